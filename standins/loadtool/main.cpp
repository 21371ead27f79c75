// loadtool: open-loop or closed-loop load on routers, with a report that is checked against the stand-ins' counts.

#include "standins/common/program.h"
#include "standins/loadtool/ground_truth.h"
#include "standins/loadtool/load_worker.h"
#include "standins/loadtool/report.h"

#include <toml++/toml.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <thread>

using namespace Godwit;
using namespace Godwit::Standins;

namespace
{

constexpr int ChecksFailedExitCode = 1;
constexpr int UsageExitCode = 2;
constexpr int RunFailedExitCode = 3;

using Texts = std::vector<std::string>;

// Parts of "a:b:c"; exactly `count` of them.
Texts splitParts(const std::string &text, std::size_t count, const std::string &form)
{
    Texts parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ':');) {
        parts.push_back(part);
    }
    if (parts.size() != count) {
        throw std::runtime_error("'" + text + "' must have the form " + form);
    }
    return parts;
}

void addOptions(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("routers", "Routers to ask for addresses, IP:PORT,...", cxxopts::value<Texts>());
    add("direct", "Send to these addresses without asking: relays, IP:PORT,...", cxxopts::value<Texts>());
    add("against",
        "A relay to compare the routers with, IP:PORT,...: the same load goes to both in turn.",
        cxxopts::value<Texts>());
    add("rounds", "Turns of a comparison.", cxxopts::value<int>()->default_value("3"));
    add("spec",
        "TOML file with any of: rate, connections, duration, streamed, plain, booking, model, service, "
        "service_path, max_tokens, prompt_bytes, prefixes. Options of the command line go before it.",
        cxxopts::value<std::string>());
    add("rate", "Calls a second, Poisson arrivals.", cxxopts::value<double>());
    add("connections", "Closed loop of so many callers instead of --rate.", cxxopts::value<std::size_t>());
    add("duration", "Seconds, of each phase.", cxxopts::value<double>());
    add("customers", "NAME:KEY:SHARE,...", cxxopts::value<Texts>()->default_value("nobody:none:1"));
    add("mix", "STREAMED:PLAIN:BOOKING weights.", cxxopts::value<std::string>());
    add("model", "Model of the chat calls.", cxxopts::value<std::string>());
    add("service", "Route of the bookings.", cxxopts::value<std::string>());
    add("service-path", "Path of the bookings at the service.", cxxopts::value<std::string>());
    add("lookups", "The service's calls are lookups, which may be repeated, instead of bookings.");
    add("max-tokens", "Output limit of the chat calls.", cxxopts::value<std::int64_t>());
    add("prompt-bytes", "Bytes of a prompt.", cxxopts::value<std::size_t>());
    add("prefixes", "Different prompt beginnings.", cxxopts::value<std::size_t>());
    add("priority", "Godwit-Priority of the calls, 0 to 9.", cxxopts::value<int>()->default_value("0"));
    add("deadline-ms", "Godwit-Deadline-Ms of the calls; 0: none.", cxxopts::value<std::int64_t>()->default_value("0"));
    add("attempts", "Attempts of one call with the same id.", cxxopts::value<int>()->default_value("4"));
    add("retry-wait-ms",
        "The longest Retry-After that is waited for.",
        cxxopts::value<std::int64_t>()->default_value("2000"));
    add("timeout-ms", "Time limit of one attempt.", cxxopts::value<std::int64_t>()->default_value("30000"));
    add("threads", "Threads of the tool.", cxxopts::value<std::size_t>()->default_value("1"));
    add("seed", "Seed of arrivals, kinds and customers.", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("engines", "Engine stand-ins to check against, IP:PORT,...", cxxopts::value<Texts>());
    add("services", "Service stand-ins to check against, IP:PORT,...", cxxopts::value<Texts>());
    add("operators", "Operators' listener of a router, IP:PORT, to check budgets.", cxxopts::value<std::string>());
    add("token", "Token for it.", cxxopts::value<std::string>()->default_value(""));
    add("budgets", "Budgets to check, ID,...", cxxopts::value<Texts>());
    add("booking-cost", "What one booking is billed.", cxxopts::value<std::int64_t>()->default_value("1"));
    add("settle-ms",
        "How long the budgets may take to show all bills.",
        cxxopts::value<std::int64_t>()->default_value("10000"));
    add("json", "Also write the report to this file.", cxxopts::value<std::string>());
    add("help", "Prints this text.");
}

template<typename Value>
void take(Value &value, const cxxopts::ParseResult &parsed, const std::string &option)
{
    if (parsed.count(option) > 0) {
        value = parsed[option].as<Value>();
    }
}

template<typename Value>
void take(Value &value, const toml::table &table, const std::string &key)
{
    value = table[key].value_or(value);
}

void readSpecFile(LoadSpec &spec, const std::string &file)
{
    const toml::table table = toml::parse_file(file);
    take(spec.rate, table, "rate");
    take(spec.connections, table, "connections");
    double seconds = toSeconds(spec.duration);
    take(seconds, table, "duration");
    spec.duration = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    for (const auto &row : LoadKindNames) {
        take(spec.mix[static_cast<std::size_t>(row.value)], table, std::string(row.name));
    }
    take(spec.model, table, "model");
    take(spec.service, table, "service");
    take(spec.servicePath, table, "service_path");
    take(spec.maxTokens, table, "max_tokens");
    take(spec.promptBytes, table, "prompt_bytes");
    take(spec.prefixes, table, "prefixes");
}

void readMix(LoadSpec &spec, const std::string &text)
{
    const Texts parts = splitParts(text, LoadKindCount, "STREAMED:PLAIN:BOOKING, such as 4:2:1");
    double sum = 0;
    for (std::size_t i = 0; i < LoadKindCount; ++i) {
        spec.mix[i] = std::stod(parts[i]);
        sum += spec.mix[i];
    }
    if (sum <= 0) {
        throw std::runtime_error("--mix needs a weight above 0");
    }
}

void readCustomers(LoadSpec &spec, const Texts &texts)
{
    for (const auto &text : texts) {
        const Texts parts = splitParts(text, 3, "NAME:KEY:SHARE, such as franchise:secret:2");
        spec.customers.push_back({parts[0], parts[1], std::stod(parts[2])});
    }
}

LoadSpec specOf(const cxxopts::ParseResult &parsed)
{
    LoadSpec spec;
    if (parsed.count("spec") > 0) {
        readSpecFile(spec, parsed["spec"].as<std::string>());
    }
    take(spec.rate, parsed, "rate");
    take(spec.connections, parsed, "connections");
    double seconds = toSeconds(spec.duration);
    take(seconds, parsed, "duration");
    spec.duration = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    if (parsed.count("mix") > 0) {
        readMix(spec, parsed["mix"].as<std::string>());
    }
    readCustomers(spec, parsed["customers"].as<Texts>());
    take(spec.model, parsed, "model");
    take(spec.service, parsed, "service");
    take(spec.servicePath, parsed, "service-path");
    spec.lookups = parsed.count("lookups") > 0;
    take(spec.maxTokens, parsed, "max-tokens");
    take(spec.promptBytes, parsed, "prompt-bytes");
    take(spec.prefixes, parsed, "prefixes");
    take(spec.priority, parsed, "priority");
    take(spec.deadlineMs, parsed, "deadline-ms");
    take(spec.attempts, parsed, "attempts");
    spec.longestRetryWait = std::chrono::milliseconds(parsed["retry-wait-ms"].as<std::int64_t>());
    spec.timeout = std::chrono::milliseconds(parsed["timeout-ms"].as<std::int64_t>());
    spec.threads = std::max<std::size_t>(1, parsed["threads"].as<std::size_t>());
    take(spec.seed, parsed, "seed");
    take(spec.targets, parsed, "routers");
    if (parsed.count("direct") > 0) {
        take(spec.targets, parsed, "direct");
        spec.direct = true;
    }
    if (spec.targets.empty()) {
        throw std::runtime_error("name the targets with --routers or --direct");
    }
    return spec;
}

TruthSources sourcesOf(const cxxopts::ParseResult &parsed)
{
    TruthSources sources;
    take(sources.engines, parsed, "engines");
    take(sources.services, parsed, "services");
    take(sources.operators, parsed, "operators");
    take(sources.token, parsed, "token");
    take(sources.budgets, parsed, "budgets");
    take(sources.bookingCost, parsed, "booking-cost");
    sources.settleTime = std::chrono::milliseconds(parsed["settle-ms"].as<std::int64_t>());
    return sources;
}

void runPhase(const LoadSpec &spec, PhaseResult &result)
{
    std::vector<std::unique_ptr<LoadWorker>> workers;
    std::vector<std::thread> threads;
    const TimePoint start = monotonicNow();
    for (std::size_t i = 0; i < spec.threads; ++i) {
        workers.push_back(std::make_unique<LoadWorker>(spec, i));
        threads.emplace_back([&worker = *workers.back()] {
            worker.run();
        });
    }
    for (std::size_t i = 0; i < spec.threads; ++i) {
        threads[i].join();
        merge(result.tally, workers[i]->takeTally());
    }
    result.seconds += toSeconds(monotonicNow() - start);
}

// Sends the same load to the relay and to the routers in turn, so that both meet the same state of the machine.
void runComparison(const LoadSpec &spec, const Texts &relays, int rounds, PhaseResult &relay, PhaseResult &router)
{
    LoadSpec relaySpec = spec;
    relaySpec.targets = relays;
    relaySpec.direct = true;
    LoadSpec routerSpec = spec;
    for (int round = 0; round < rounds; ++round) {
        relaySpec.seed = spec.seed + static_cast<std::uint64_t>(round);
        routerSpec.seed = relaySpec.seed;
        runPhase(relaySpec, relay);
        runPhase(routerSpec, router);
    }
}

int run(const cxxopts::ParseResult &parsed)
{
    const LoadSpec spec = specOf(parsed);
    const TruthSources sources = sourcesOf(parsed);
    const auto budgetsBefore = fetchBudgets(sources);
    PhaseResult router{spec.direct ? "direct" : "routers", 0, {}};
    PhaseResult relay{"relay", 0, {}};
    const bool compares = parsed.count("against") > 0;
    if (compares) {
        runComparison(spec, parsed["against"].as<Texts>(), parsed["rounds"].as<int>(), relay, router);
    } else {
        runPhase(spec, router);
    }
    const std::int64_t spent = spentByCallers(router.tally, sources.bookingCost);
    GroundTruth truth = fetchTruth(sources, budgetsBefore, spent);
    truth.lookups = spec.lookups;
    const auto checks = verify(router.tally, truth);

    nlohmann::json report = {{"load", phaseToJson(router, spec)}, {"checks", checksToJson(checks)}};
    printPhase(std::cout, router, spec);
    if (compares) {
        printPhase(std::cout, relay, spec);
        printComparison(std::cout, relay, router);
        report["relay"] = phaseToJson(relay, spec);
        report["comparison"] = comparisonToJson(relay, router);
    }
    if (truth.budgets) {
        printBudgets(std::cout, *truth.budgets);
        report["budgets"] = budgetsToJson(*truth.budgets);
    }
    printChecks(std::cout, checks);
    if (parsed.count("json") > 0) {
        std::ofstream(parsed["json"].as<std::string>()) << report.dump(2) << '\n';
    }
    return allHold(checks) ? 0 : ChecksFailedExitCode;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("loadtool",
                             "Load on routers, with a report that is checked against the stand-ins' own counts.\n"
                             "Exit codes: 0 all checks hold, 1 a check failed, 2 bad options, 3 the run failed.\n");
    addOptions(options);
    const auto parsed = parseOptions(options, argc, argv);
    try {
        return run(parsed);
    } catch (const toml::parse_error &error) {
        std::cerr << "loadtool: --spec: " << error.description() << " at line " << error.source().begin.line << '\n';
        return UsageExitCode;
    } catch (const std::exception &error) {
        std::cerr << "loadtool: " << error.what() << '\n';
        return RunFailedExitCode;
    }
}
