#include "standins/loadtool/report.h"

#include <array>
#include <iomanip>
#include <map>

namespace Godwit::Standins
{

namespace
{

using Json = nlohmann::json;

constexpr std::array<double, 3> Fractions = {0.5, 0.95, 0.99};
constexpr int NameWidth = 44;
constexpr int NumberWidth = 12;

Json timesToJson(const LatencyHistogram &histogram)
{
    return {
        {"count", entries(histogram)},
        {"p50_ms", percentile(histogram, Fractions[0])},
        {"p95_ms", percentile(histogram, Fractions[1])},
        {"p99_ms", percentile(histogram, Fractions[2])},
    };
}

void printTimes(std::ostream &out, const std::string &name, const LatencyHistogram &histogram)
{
    out << "  " << std::left << std::setw(NameWidth) << name << std::right << std::setw(NumberWidth)
        << entries(histogram);
    for (const double fraction : Fractions) {
        out << std::setw(NumberWidth) << percentile(histogram, fraction);
    }
    out << '\n';
}

void printCount(std::ostream &out, const std::string &name, std::int64_t count)
{
    out << "  " << std::left << std::setw(NameWidth) << name << std::right << std::setw(NumberWidth) << count << '\n';
}

std::uint64_t wholeAnswers(const Tally &tally)
{
    std::uint64_t whole = 0;
    for (const auto &kind : tally.outcomes) {
        whole += kind[static_cast<std::size_t>(CallOutcome::Whole)];
    }
    return whole;
}

double wholePerSecond(const PhaseResult &phase)
{
    return phase.seconds > 0 ? static_cast<double>(wholeAnswers(phase.tally)) / phase.seconds : 0;
}

LatencyHistogram allLatencies(const Tally &tally)
{
    LatencyHistogram all = makeLatencyHistogram();
    for (const auto &histogram : tally.latency) {
        all += histogram;
    }
    return all;
}

// Reasons of the calls that ended without a whole answer, by kind of outcome.
std::map<std::string, std::int64_t> finalReasons(const Tally &tally)
{
    std::map<std::string, std::int64_t> reasons;
    for (const auto &call : tally.calls) {
        if (call.outcome != CallOutcome::Whole) {
            ++reasons[std::string(enumName(CallOutcomeNames, call.outcome)) + ": " + call.reason];
        }
    }
    return reasons;
}

struct CustomerSum
{
    std::int64_t calls = 0;
    std::int64_t whole = 0;
    std::int64_t notRun = 0;
    std::int64_t tokens = 0;
};

std::vector<CustomerSum> customerSums(const Tally &tally, const LoadSpec &spec)
{
    std::vector<CustomerSum> sums(spec.customers.size());
    for (const auto &call : tally.calls) {
        CustomerSum &sum = sums[call.customer];
        ++sum.calls;
        sum.whole += call.outcome == CallOutcome::Whole ? 1 : 0;
        sum.notRun += call.outcome == CallOutcome::NotRun ? 1 : 0;
        sum.tokens += call.tokens;
    }
    return sums;
}

Json customersToJson(const Tally &tally, const LoadSpec &spec)
{
    Json customers;
    const auto sums = customerSums(tally, spec);
    for (std::size_t i = 0; i < sums.size(); ++i) {
        customers[spec.customers[i].name] = {
            {"calls", sums[i].calls},
            {"whole", sums[i].whole},
            {"not_run", sums[i].notRun},
            {"tokens", sums[i].tokens},
        };
    }
    return customers;
}

} // namespace

Json phaseToJson(const PhaseResult &phase, const LoadSpec &spec)
{
    Json kinds;
    for (const auto &row : LoadKindNames) {
        const auto kind = static_cast<std::size_t>(row.value);
        Json counts;
        for (const auto &outcome : CallOutcomeNames) {
            counts[std::string(outcome.name)] = phase.tally.outcomes[kind][static_cast<std::size_t>(outcome.value)];
        }
        kinds[std::string(row.name)] = {{"outcomes", counts}, {"latency", timesToJson(phase.tally.latency[kind])}};
    }
    return {
        {"phase", phase.name},
        {"seconds", phase.seconds},
        {"seed", spec.seed},
        {"calls", phase.tally.calls.size()},
        {"attempts", phase.tally.attempts},
        {"resent_after_idle_close", phase.tally.resent},
        {"not_sent", phase.tally.notSent},
        {"whole_per_second", wholePerSecond(phase)},
        {"kinds", kinds},
        {"first_token", timesToJson(phase.tally.firstToken)},
        {"between_tokens", timesToJson(phase.tally.betweenTokens)},
        {"ended_without_answer", finalReasons(phase.tally)},
        {"refused_or_broken_attempts", phase.tally.reasons},
        {"example_messages", phase.tally.examples},
        {"address_lookups", phase.tally.addressLookups},
        {"address_failures", phase.tally.addressFailures},
        {"customers", customersToJson(phase.tally, spec)},
    };
}

Json checksToJson(const std::vector<Check> &checks)
{
    Json rows = Json::array();
    for (const auto &check : checks) {
        rows.push_back(
            {{"check", check.name}, {"found", check.found}, {"holds", check.holds}, {"detail", check.detail}});
    }
    return rows;
}

void printPhase(std::ostream &out, const PhaseResult &phase, const LoadSpec &spec)
{
    out << std::fixed << std::setprecision(2);
    out << phase.name << ": " << phase.tally.calls.size() << " calls, " << phase.tally.attempts << " attempts in "
        << phase.seconds << " s, " << wholePerSecond(phase) << " whole answers a second, seed " << spec.seed << '\n';
    out << "  " << std::left << std::setw(NameWidth) << "times in ms" << std::right << std::setw(NumberWidth) << "count"
        << std::setw(NumberWidth) << "p50" << std::setw(NumberWidth) << "p95" << std::setw(NumberWidth) << "p99"
        << '\n';
    for (const auto &row : LoadKindNames) {
        printTimes(
            out, std::string(row.name) + ", whole answer", phase.tally.latency[static_cast<std::size_t>(row.value)]);
    }
    printTimes(out, "first token", phase.tally.firstToken);
    printTimes(out, "between tokens", phase.tally.betweenTokens);
    out << "  ended without an answer\n";
    for (const auto &[reason, count] : finalReasons(phase.tally)) {
        printCount(out, "  " + reason, count);
    }
    out << "  refused or broken attempts\n";
    for (const auto &[reason, count] : phase.tally.reasons) {
        printCount(out, "  " + reason, static_cast<std::int64_t>(count));
        const auto example = phase.tally.examples.find(reason);
        if (example != phase.tally.examples.end() && !example->second.empty()) {
            out << "      such as: " << example->second << '\n';
        }
    }
    if (phase.tally.resent > 0) {
        printCount(out, "resent: an idle connection was closed", static_cast<std::int64_t>(phase.tally.resent));
    }
    if (phase.tally.notSent > 0) {
        printCount(out, "not sent: too many calls in flight", static_cast<std::int64_t>(phase.tally.notSent));
    }
    if (phase.tally.addressFailures > 0) {
        printCount(out, "address lookups that failed", static_cast<std::int64_t>(phase.tally.addressFailures));
    }
    const auto sums = customerSums(phase.tally, spec);
    for (std::size_t i = 0; i < sums.size(); ++i) {
        out << "  customer " << spec.customers[i].name << ": " << sums[i].calls << " calls, " << sums[i].whole
            << " whole, " << sums[i].notRun << " not run, " << sums[i].tokens << " tokens of chat\n";
    }
}

void printChecks(std::ostream &out, const std::vector<Check> &checks)
{
    out << "checks against the stand-ins' counts\n";
    for (const auto &check : checks) {
        out << "  " << (check.holds ? "ok    " : "FAILED") << ' ' << std::left << std::setw(NameWidth) << check.name
            << std::right << std::setw(NumberWidth) << check.found;
        if (!check.detail.empty()) {
            out << "  (" << check.detail << ')';
        }
        out << '\n';
    }
}

Json budgetsToJson(const std::vector<BudgetFigures> &budgets)
{
    Json rows = Json::array();
    for (const auto &budget : budgets) {
        rows.push_back({{"budget", budget.id},
                        {"prepaid", budget.prepaid},
                        {"billed", budget.billed},
                        {"billed_in_run", budget.billed - budget.billedBefore},
                        {"left", budget.prepaid - budget.billed}});
    }
    return rows;
}

void printBudgets(std::ostream &out, const std::vector<BudgetFigures> &budgets)
{
    for (const auto &budget : budgets) {
        out << "budget " << budget.id << ": prepaid " << budget.prepaid << ", billed " << budget.billed << " ("
            << budget.billed - budget.billedBefore << " in this run), left " << budget.prepaid - budget.billed << '\n';
    }
}

Json comparisonToJson(const PhaseResult &relay, const PhaseResult &router)
{
    const LatencyHistogram plain = allLatencies(relay.tally);
    const LatencyHistogram routed = allLatencies(router.tally);
    return {
        {"relay_whole_per_second", wholePerSecond(relay)},
        {"router_whole_per_second", wholePerSecond(router)},
        {"throughput_ratio", wholePerSecond(relay) > 0 ? wholePerSecond(router) / wholePerSecond(relay) : 0},
        {"relay", timesToJson(plain)},
        {"router", timesToJson(routed)},
        {"added_p50_ms", percentile(routed, Fractions[0]) - percentile(plain, Fractions[0])},
        {"added_p99_ms", percentile(routed, Fractions[2]) - percentile(plain, Fractions[2])},
    };
}

void printComparison(std::ostream &out, const PhaseResult &relay, const PhaseResult &router)
{
    const Json comparison = comparisonToJson(relay, router);
    out << std::fixed << std::setprecision(3);
    out << "relay against router, whole answers of all kinds\n";
    out << "  " << std::left << std::setw(NameWidth) << "times in ms" << std::right << std::setw(NumberWidth) << "count"
        << std::setw(NumberWidth) << "p50" << std::setw(NumberWidth) << "p95" << std::setw(NumberWidth) << "p99"
        << '\n';
    printTimes(out, "relay", allLatencies(relay.tally));
    printTimes(out, "router", allLatencies(router.tally));
    out << "  added: p50 " << comparison["added_p50_ms"].get<double>() << " ms, p99 "
        << comparison["added_p99_ms"].get<double>() << " ms\n";
    out << "  whole answers a second: relay " << wholePerSecond(relay) << ", router " << wholePerSecond(router)
        << ", ratio " << comparison["throughput_ratio"].get<double>() << '\n';
}

} // namespace Godwit::Standins
