// Runs scenario files: godwit-scenario [--seed N] [--seeds N] [--jobs N] [--trace] [--prove] [--survey] FILE ...
//
// A failure prints the seed and the last events. With --prove each scenario also has to fail without each safeguard
// that it names as red-without. Exit code 0: all as it must be; 1: a failure; 2: a script or option is wrong.

#include "scenarios/safeguards.h"
#include "scenarios/scenario_runner.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

using namespace Godwit;
using namespace Godwit::Scenarios;

namespace
{

constexpr std::size_t EventsShown = 60;

struct RunOptions
{
    bool trace = false;
    std::size_t jobs = 1;
};

void printTrace(const ScenarioResult &result, bool whole)
{
    const std::size_t shown = whole ? result.trace.size() : std::min(EventsShown, result.trace.size());
    for (std::size_t i = result.trace.size() - shown; i < result.trace.size(); ++i) {
        std::cout << "  " << result.trace[i] << '\n';
    }
}

// Runs the variants on so many threads; calls `done` for each, in their order.
template<typename Done>
void runVariants(const Scenario &scenario, const std::vector<Variant> &variants, std::size_t jobs, Done done)
{
    for (std::size_t begin = 0; begin < variants.size(); begin += jobs) {
        std::vector<std::future<ScenarioResult>> running;
        for (std::size_t i = begin; i < std::min(begin + jobs, variants.size()); ++i) {
            running.push_back(std::async(std::launch::async, [&scenario, &variant = variants[i]] {
                return runScenario(scenario, variant);
            }));
        }
        bool goOn = true;
        for (std::size_t i = 0; i < running.size(); ++i) {
            goOn = done(variants[begin + i], running[i].get()) && goOn;
        }
        if (!goOn) {
            return;
        }
    }
}

// Runs all variants of the script; prints the failed ones, and one line for the rest.
bool runAll(const Scenario &scenario, const RunOptions &options)
{
    std::size_t failed = 0;
    const auto variants = variantsOf(scenario);
    runVariants(scenario, variants, options.jobs, [&](const Variant &variant, const ScenarioResult &result) {
        const bool passed = result.failures.empty();
        failed += passed ? 0 : 1;
        if (!passed) {
            std::cout << "FAILED  " << scenario.name << " (seed " << scenario.setup.seed << ") "
                      << variantName(scenario, variant) << '\n';
        }
        // One history is enough to read; the others are printed on demand.
        if ((!passed && failed == 1) || options.trace) {
            printTrace(result, options.trace);
        }
        for (const std::string &failure : result.failures) {
            std::cout << failure << '\n';
        }
        return true;
    });
    if (failed == 0) {
        std::cout << "passed  " << scenario.name << " (seed " << scenario.setup.seed << ", " << variants.size()
                  << " runs)\n";
    }
    return failed == 0;
}

// Demands that some variant fails without each of `safeguards`.
bool prove(const Scenario &scenario, const std::vector<std::string> &safeguards, const RunOptions &options)
{
    bool proved = true;
    for (const std::string &safeguard : safeguards) {
        auto variants = variantsOf(scenario);
        for (Variant &variant : variants) {
            variant.withoutSafeguards = {safeguard};
        }
        std::string red;
        runVariants(scenario, variants, options.jobs, [&](const Variant &variant, const ScenarioResult &result) {
            if (red.empty() && !result.failures.empty()) {
                red = variantName(scenario, variant) + ": " + result.failures.front();
            }
            return red.empty();
        });
        std::cout << (red.empty() ? "NOT RED " : "red     ") << scenario.name << " without " << safeguard << ' ' << red
                  << std::endl;
        proved = proved && !red.empty();
    }
    return proved;
}

std::optional<Scenario> load(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    LastReason reason;
    auto scenario = file ? parseScenario(path, text.str(), reason) : std::nullopt;
    if (!scenario) {
        std::cout << (reason ? reason->message : path + ": can't be read") << '\n';
        return std::nullopt;
    }
    const auto known = safeguardNames();
    for (const std::string &safeguard : scenario->setup.redWithout) {
        if (std::find(known.begin(), known.end(), safeguard) == known.end()) {
            std::cout << path << ": there is no safeguard '" << safeguard << "'\n";
            return std::nullopt;
        }
    }
    return scenario;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("godwit-scenario", "Runs scenarios on the decision logic under simulated time.");
    options.add_options()("seed", "run with this seed instead of the script's", cxxopts::value<std::uint64_t>());
    options.add_options()("seeds", "run with so many seeds", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("trace", "print all events");
    options.add_options()("prove", "also demand a failure without each safeguard that the script names");
    options.add_options()("survey", "tell for every safeguard whether the script fails without it");
    options.add_options()("jobs", "runs at the same time", cxxopts::value<std::size_t>()->default_value("1"));
    options.add_options()("files", "scenario files", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"files"});
    options.positional_help("FILE ...");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("files") == 0) {
            std::cout << options.help();
            return 2;
        }
        RunOptions run;
        run.trace = arguments.count("trace") > 0;
        run.jobs = std::max<std::size_t>(1, arguments["jobs"].as<std::size_t>());
        bool passed = true;
        for (const std::string &path : arguments["files"].as<std::vector<std::string>>()) {
            auto scenario = load(path);
            if (!scenario) {
                return 2;
            }
            if (arguments.count("seed") > 0) {
                scenario->setup.seed = arguments["seed"].as<std::uint64_t>();
            }
            for (std::uint64_t i = 0; i < arguments["seeds"].as<std::uint64_t>(); ++i) {
                passed = runAll(*scenario, run) && passed;
                ++scenario->setup.seed;
            }
            scenario->setup.seed -= arguments["seeds"].as<std::uint64_t>();
            if (arguments.count("prove") > 0) {
                passed = prove(*scenario, scenario->setup.redWithout, run) && passed;
            }
            if (arguments.count("survey") > 0) {
                prove(*scenario, safeguardNames(), run);
            }
        }
        return passed ? 0 : 1;
    } catch (const cxxopts::exceptions::exception &e) {
        std::cout << e.what() << "\n" << options.help();
        return 2;
    }
}
