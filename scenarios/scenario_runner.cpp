#include "scenarios/scenario_runner.h"

#include "scenarios/world.h"

#include <algorithm>

namespace Godwit::Scenarios
{
namespace
{

// How much later each further fault of a run begins.
constexpr Duration StrikeGap = std::chrono::milliseconds(700);

struct TimedStatement
{
    Duration at{};
    const Statement *statement = nullptr;
};

// The statements of the faults that strike, each at its time after the strike.
std::vector<TimedStatement> strikeOf(const Scenario &scenario, const Variant &variant)
{
    std::vector<TimedStatement> all;
    Duration begin{};
    for (const std::size_t fault : variant.faults) {
        Duration at = begin;
        for (const Statement &statement : scenario.faults[fault].statements) {
            if (const auto *wait = std::get_if<Wait>(&statement.command)) {
                at += wait->length;
            } else {
                all.push_back({at, &statement});
            }
        }
        begin += StrikeGap;
    }
    std::stable_sort(all.begin(), all.end(), [](const TimedStatement &a, const TimedStatement &b) {
        return a.at < b.at;
    });
    return all;
}

void strike(World &world, const Scenario &scenario, const Variant &variant)
{
    Duration now{};
    for (const TimedStatement &timed : strikeOf(scenario, variant)) {
        world.perform(Wait{timed.at - now});
        now = timed.at;
        world.perform(timed.statement->command);
    }
}

} // namespace

std::vector<Variant> variantsOf(const Scenario &scenario)
{
    std::vector<Variant> variants;
    if (scenario.faults.empty()) {
        variants.push_back({});
    }
    for (std::size_t first = 0; first < scenario.faults.size(); ++first) {
        variants.push_back({{first}, {}});
        for (std::size_t second = first; second < scenario.faults.size(); ++second) {
            variants.push_back({{first, second}, {}});
        }
    }
    return variants;
}

std::string variantName(const Scenario &scenario, const Variant &variant)
{
    std::string name;
    for (const std::size_t fault : variant.faults) {
        name += (name.empty() ? "" : " + ") + scenario.faults[fault].name;
    }
    return name;
}

ScenarioResult runScenario(const Scenario &scenario, const Variant &variant)
{
    World world(scenario.setup);
    for (const std::string &safeguard : variant.withoutSafeguards) {
        world.perform(Without{safeguard});
    }
    ScenarioResult result;
    for (const Statement &statement : scenario.statements) {
        if (std::holds_alternative<Strike>(statement.command)) {
            strike(world, scenario, variant);
        } else {
            world.perform(statement.command);
        }
        for (const std::string &failure : world.failures()) {
            result.failures.push_back(scenario.name + ": line " + std::to_string(statement.line) + " (" + statement.text
                                      + "): " + failure);
        }
        if (!result.failures.empty()) {
            break;
        }
    }
    result.trace = world.trace();
    return result;
}

} // namespace Godwit::Scenarios
