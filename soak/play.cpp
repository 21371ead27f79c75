#include "soak/play.h"

#include "soak/caller.h"
#include "soak/fleet.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace Godwit::Soak
{
namespace
{

using boost::asio::yield_context;
using std::chrono::milliseconds;

// Longer than a router needs to be back and in touch.
constexpr CrasherPace SlowPace{milliseconds(4700), milliseconds(6500)};
constexpr auto LagStep = milliseconds(20);
constexpr auto ReportStep = milliseconds(200);
// One cause can break a promise for many requests; the first ones tell it.
constexpr std::size_t MostReported = 12;

void waitFor(boost::asio::io_context &io, milliseconds time, const yield_context &yield)
{
    boost::asio::steady_timer timer(io, time);
    timer.async_wait(yield);
}

template<typename Body>
void spawn(boost::asio::io_context &io, Body body)
{
    boost::asio::spawn(io, std::move(body), [](const std::exception_ptr &thrown) {
        if (thrown) {
            std::rethrow_exception(thrown);
        }
    });
}

FleetSize drawSize(std::mt19937_64 &random)
{
    FleetSize size;
    size.routers = 2 + random() % 3;
    size.plainEndpoints = 2 + random() % 3;
    size.engines = 2 + random() % 2;
    size.prepaid = static_cast<std::int64_t>(20'000 + random() % 60'000);
    return size;
}

// An allowance so low that it binds while one request in three of each endpoint asks for a repeat.
FleetSize drawFleet(std::mt19937_64 &random)
{
    constexpr double repeatRatio = 0.02;
    FleetSize size;
    size.routers = 8 + random() % 5;
    size.plainEndpoints = 4 + random() % 3;
    size.engines = 3;
    size.prepaid = 1'000'000;
    size.repeats = {repeatRatio, static_cast<double>(40 + random() % 81)};
    size.failEach = 4;
    size.shedEach = 9;
    return size;
}

// As many routers as asked for, and repeats pressed to what the routers allow themselves.
FleetSize largeFleet(std::size_t routers)
{
    FleetSize size;
    size.routers = routers;
    size.plainEndpoints = 8;
    size.engines = 8;
    size.prepaid = 20'000'000;
    size.repeats = {0.02, 214};
    size.failEach = 2;
    size.shedEach = 5;
    size.failAfter = milliseconds(1400);
    size.varyAttempts = true;
    return size;
}

FleetSize sizeFor(const PlayOptions &options, std::mt19937_64 &random)
{
    if (options.routers > 0) {
        return largeFleet(options.routers);
    }
    return options.fleet ? drawFleet(random) : drawSize(random);
}

int callersFor(const PlayOptions &options, std::mt19937_64 &random)
{
    constexpr int forEachRouter = 3;
    if (options.routers > 0) {
        return forEachRouter * static_cast<int>(options.routers);
    }
    return static_cast<int>(options.fleet ? 80 + random() % 41 : 30 + random() % 40);
}

// Of each request that crashes endpoints, how often it comes.
std::vector<CrasherPace> crashersFor(const PlayOptions &options)
{
    if (!options.only.empty() && !plays(options.only, Fault::CrashRequests)) {
        return {};
    }
    if (plays(options.only, Fault::KillAfterCrash)) {
        return {SlowPace};
    }
    if (options.routers > 0) {
        return {{}, {}, {}, {}, SlowPace, SlowPace};
    }
    return {{}, {}};
}

void printLogLines(const Fleet &fleet, const std::string &attempt, std::ostream &out)
{
    if (attempt.empty()) {
        return;
    }
    for (std::size_t i = 0; i < fleet.routers.size(); ++i) {
        std::istringstream log(fleet.routers[i].process->logText());
        for (std::string line; std::getline(log, line);) {
            if (line.find('"' + attempt + '"') != std::string::npos) {
                out << "    router-" << i << ": " << line << '\n';
            }
        }
    }
}

void printBreach(std::uint64_t seed, const Breach &breach, TimePoint start, std::ostream &out)
{
    const auto after = std::chrono::duration_cast<milliseconds>(breach.at - start);
    out << "BROKEN seed " << seed << " at " << after.count() << " ms: " << promiseName(breach.promise) << ": "
        << breach.attempt << (breach.attempt.empty() ? "" : " ") << breach.text << std::endl;
}

void keepLogs(const Fleet &fleet, const PlayOptions &options)
{
    const std::filesystem::path folder =
        std::filesystem::path(options.logFolder) / ("seed-" + std::to_string(options.seed));
    std::filesystem::create_directories(folder);
    for (std::size_t i = 0; i < fleet.routers.size(); ++i) {
        std::ofstream(folder / ("router-" + std::to_string(i) + ".log")) << fleet.routers[i].process->logText();
    }
}

} // namespace

PlayResult playSeed(const PlayOptions &options, std::ostream &out)
{
    std::mt19937_64 random(options.seed);
    FleetSize size = sizeFor(options, random);
    if (plays(options.only, Fault::EndEndpoints)) {
        size.processes = 3;
        size.plainEndpoints = options.fleet ? size.plainEndpoints : 1;
        size.engines = options.fleet ? size.engines : 1;
    }
    size.brittleEndpoints = plays(options.only, Fault::BrittleEndpoints);
    size.engineVersions = plays(options.only, Fault::EngineVersions);
    if (size.engineVersions) {
        // Two for each of the versions.
        constexpr std::size_t engines = 4;
        size.engines = std::max(size.engines, engines);
    }
    const int callers = callersFor(options, random);
    out << "seed " << options.seed << ": " << size.routers << " routers, " << size.plainEndpoints
        << " plain endpoints, " << size.engines << " engines, " << callers << " callers, " << size.prepaid
        << " tokens prepaid" << std::endl;

    boost::asio::io_context io;
    Fleet fleet(io, options.program, size);
    FaultPlayer player(fleet, options.seed, {options.fleet, options.only, options.routers > 0}, out);
    PlayResult result;
    result.seed = options.seed;
    const TimePoint start = steadyNow();
    for (int i = 0; i < callers; ++i) {
        spawn(io, [&fleet, &options, i](const yield_context &yield) {
            runCaller(fleet, options.seed, i, yield);
        });
    }
    spawn(io, [&](const yield_context &yield) {
        watchDocuments(fleet, options.seed, yield);
    });
    spawn(io, [&](const yield_context &yield) {
        player.watchRouters(yield);
    });
    const std::vector<CrasherPace> crashers = crashersFor(options);
    for (std::size_t i = 0; i < crashers.size(); ++i) {
        spawn(io, [&fleet, &options, i, pace = crashers[i]](const yield_context &yield) {
            runCrasher(fleet, options.seed, static_cast<int>(i), pace, yield);
        });
    }
    if (plays(options.only, Fault::CrashPromptParts)) {
        fleet.sharesPromptParts = true;
        spawn(io, [&](const yield_context &yield) {
            runPartCrasher(fleet, options.seed, yield);
        });
    }
    if (!crashers.empty()) {
        spawn(io, [&](const yield_context &yield) {
            player.killEndpoints(yield);
        });
    }
    if (size.processes > 0) {
        spawn(io, [&](const yield_context &yield) {
            player.endProcesses(yield);
        });
    }
    if (size.brittleEndpoints) {
        spawn(io, [&](const yield_context &yield) {
            player.makeBrittle(yield);
        });
    }
    if (plays(options.only, Fault::StarveRouters)) {
        spawn(io, [&](const yield_context &yield) {
            player.starveRouters(yield);
        });
    }
    spawn(io, [&](const yield_context &yield) {
        while (!fleet.ending) {
            const TimePoint before = steadyNow();
            waitFor(io, LagStep, yield);
            const auto took = std::chrono::duration_cast<milliseconds>(steadyNow() - before);
            result.longestLag = std::max(result.longestLag, took - LagStep);
        }
    });
    std::size_t reported = 0;
    const auto report = [&] {
        for (; reported < std::min(fleet.promises.breaches.size(), MostReported); ++reported) {
            printBreach(options.seed, fleet.promises.breaches[reported], start, out);
        }
    };
    spawn(io, [&](const yield_context &yield) {
        while (!fleet.ending) {
            waitFor(io, ReportStep, yield);
            report();
        }
    });
    spawn(io, [&](const yield_context &yield) {
        player.run(options.time, yield);
        io.stop();
    });
    io.run();
    checkPartitions(fleet.promises);
    report();
    // Routers write their logs late, so the lines are looked for at the end.
    for (std::size_t i = 0; i < reported; ++i) {
        printLogLines(fleet, fleet.promises.breaches[i].attempt, out);
    }
    if (!fleet.promises.breaches.empty() && !options.logFolder.empty()) {
        keepLogs(fleet, options);
    }
    result.requests = fleet.promises.requests.size();
    result.outcomes = fleet.promises.outcomes;
    result.faults = player.played();
    result.breaches = fleet.promises.breaches;
    result.traffic = fleet.promises.traffic;
    result.crashes = fleet.promises.crashes;
    result.partitions = fleet.promises.partitions;
    result.brittleSpells = fleet.promises.brittleSpells;
    result.resumptions = fleet.promises.resumptions;
    result.timeHanded = fleet.promises.timeHanded;
    result.spent = fleet.promises.spent;
    result.prepaidTotal = fleet.promises.prepaidTotal;
    return result;
}

} // namespace Godwit::Soak
