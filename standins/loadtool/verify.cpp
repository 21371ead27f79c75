#include "standins/loadtool/verify.h"

#include <algorithm>
#include <utility>

namespace Godwit::Standins
{

namespace
{

// Checks that `found` is zero; `example` names one of the calls.
Check noneOf(std::string name, std::int64_t found, const std::string &example)
{
    return {std::move(name), found, found == 0, example.empty() ? std::string() : "such as " + example};
}

template<typename Condition>
Check countCalls(std::string name, const Tally &tally, Condition bad)
{
    std::int64_t found = 0;
    std::string example;
    for (const auto &call : tally.calls) {
        if (bad(call)) {
            ++found;
            example = call.id;
        }
    }
    return noneOf(std::move(name), found, example);
}

void checkEngines(const Tally &tally, const GroundTruth &truth, std::vector<Check> &checks)
{
    const auto &executions = *truth.engines;
    const auto countOf = [&executions](const CallRecord &call) {
        const auto found = executions.find(call.id);
        return found == executions.end() ? EngineExecutions{} : found->second;
    };
    // A chat may be repeated, so an attempt that was not run says nothing of an earlier one that broke off.
    checks.push_back(countCalls("chats said to be not run that ran", tally, [&](const CallRecord &call) {
        return call.kind != LoadKind::Booking && call.outcome == CallOutcome::NotRun && call.everyAttemptNotRun
            && countOf(call).started > 0;
    }));
    checks.push_back(countCalls("whole chat answers that no engine finished", tally, [&](const CallRecord &call) {
        return call.kind != LoadKind::Booking && call.outcome == CallOutcome::Whole && countOf(call).finished == 0;
    }));
}

void checkServices(const Tally &tally, const GroundTruth &truth, std::vector<Check> &checks)
{
    const auto &executions = *truth.services;
    const auto countOf = [&executions](const CallRecord &call) {
        const auto found = executions.find(call.id);
        return found == executions.end() ? std::uint64_t{0} : found->second;
    };
    checks.push_back(countCalls("bookings said to be not run that ran", tally, [&](const CallRecord &call) {
        return call.kind == LoadKind::Booking && call.outcome == CallOutcome::NotRun && countOf(call) > 0;
    }));
    checks.push_back(countCalls("confirmed bookings that were not executed", tally, [&](const CallRecord &call) {
        return call.kind == LoadKind::Booking && call.outcome == CallOutcome::Whole && countOf(call) == 0;
    }));
    if (truth.lookups) {
        return;
    }
    std::int64_t repeated = 0;
    std::string example;
    for (const auto &[id, count] : executions) {
        if (count > 1) {
            ++repeated;
            example = id;
        }
    }
    checks.push_back(noneOf("bookings executed more than once", repeated, example));
}

void checkBudgets(const Tally &tally, const GroundTruth &truth, std::vector<Check> &checks)
{
    std::int64_t overspend = 0;
    for (const auto &budget : *truth.budgets) {
        overspend += std::max<std::int64_t>(0, budget.billed - budget.prepaid);
    }
    const std::int64_t billed = billedInRun(*truth.budgets);
    checks.push_back(noneOf("tokens billed beyond the prepaid", overspend, {}));

    const std::int64_t spent = spentByCallers(tally, truth.bookingCost);
    const std::string figures = "billed " + std::to_string(billed) + ", whole answers cost " + std::to_string(spent)
        + ", read " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(truth.settledAfter).count())
        + " ms after the run and later";
    checks.push_back({"tokens of whole answers without a bill",
                      std::max<std::int64_t>(0, spent - billed),
                      billed >= spent,
                      figures});
    // A call that ended unknown may rightly have been billed; without such calls the sums are equal.
    const bool anyUnknown = std::any_of(tally.calls.begin(), tally.calls.end(), [](const CallRecord &call) {
        return call.outcome != CallOutcome::Whole && call.outcome != CallOutcome::NotRun;
    });
    const std::int64_t excess = std::max<std::int64_t>(0, billed - spent);
    checks.push_back({"tokens billed without a whole answer", excess, excess == 0 || anyUnknown, figures});
}

} // namespace

void addEngineExecutions(GroundTruth &truth, const nlohmann::json &answer)
{
    if (!truth.engines) {
        truth.engines.emplace();
    }
    for (const auto &[id, count] : answer.at("executions").items()) {
        EngineExecutions &sum = (*truth.engines)[id];
        sum.started += count.at("started").get<std::uint64_t>();
        sum.finished += count.at("finished").get<std::uint64_t>();
        sum.tokens += count.at("tokens").get<std::int64_t>();
    }
}

void addServiceExecutions(GroundTruth &truth, const nlohmann::json &answer)
{
    if (!truth.services) {
        truth.services.emplace();
    }
    for (const auto &[id, count] : answer.at("executions").items()) {
        (*truth.services)[id] += count.get<std::uint64_t>();
    }
}

std::int64_t billedInRun(const std::vector<BudgetFigures> &budgets)
{
    std::int64_t billed = 0;
    for (const auto &budget : budgets) {
        billed += budget.billed - budget.billedBefore;
    }
    return billed;
}

std::int64_t spentByCallers(const Tally &tally, std::int64_t bookingCost)
{
    std::int64_t spent = 0;
    for (const auto &call : tally.calls) {
        if (call.outcome == CallOutcome::Whole) {
            spent += call.kind == LoadKind::Booking ? bookingCost : call.tokens;
        }
    }
    return spent;
}

std::vector<Check> verify(const Tally &tally, const GroundTruth &truth)
{
    std::vector<Check> checks;
    const auto unrecorded = static_cast<std::int64_t>(tally.started - tally.calls.size());
    checks.push_back(noneOf("calls that the tool lost", unrecorded, {}));
    checks.push_back(countCalls("answers of another request", tally, [](const CallRecord &call) {
        return call.outcome == CallOutcome::Foreign;
    }));
    checks.push_back(countCalls("calls that ended with a part of their answer", tally, [](const CallRecord &call) {
        return call.outcome == CallOutcome::Incomplete;
    }));
    if (truth.engines) {
        checkEngines(tally, truth, checks);
    }
    if (truth.services) {
        checkServices(tally, truth, checks);
    }
    if (truth.budgets) {
        checkBudgets(tally, truth, checks);
    }
    return checks;
}

bool allHold(const std::vector<Check> &checks)
{
    return std::all_of(checks.begin(), checks.end(), [](const Check &check) {
        return check.holds;
    });
}

} // namespace Godwit::Standins
