// The fault soak: plays seeds one after another and ends with a summary.
//
//   soak --program build/godwit/daemon/godwitd --seed 1 --minutes 0.7 --seeds 50 --logs soak-logs
//   soak --program build/godwit/daemon/godwitd --seed 700 --minutes 0.5 --routers many
//   soak --program build/godwit/daemon/godwitd --seed 700 --minutes 1.2 --routers 87 --only "cut peers,crash requests"
//   soak --program build/godwit/daemon/godwitd --file soak/seeds.txt --minutes 0.6
//
// Exit codes: 0 all promises kept, 1 one was broken, 2 wrong arguments.

#include "soak/play.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <exception>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace
{

using Godwit::Soak::PlayOptions;
using Godwit::Soak::PlayResult;

struct Arguments
{
    PlayOptions play;
    std::uint64_t seeds = 1;
    std::string file; // Plays the seeds that it names instead.
};

std::size_t readRouters(const std::string &value)
{
    constexpr std::size_t least = 2;
    constexpr std::size_t most = 200;
    std::size_t end = 0;
    const std::size_t routers = std::stoull(value, &end);
    if (end != value.size() || routers < least || routers > most) {
        throw std::invalid_argument("--routers takes many, few, or a number from 2 to 200");
    }
    return routers;
}

// Names of faults with commas between them.
std::vector<Godwit::Soak::Fault> readFaults(const std::string &value)
{
    std::vector<Godwit::Soak::Fault> faults;
    std::istringstream names(value);
    for (std::string name; std::getline(names, name, ',');) {
        const auto fault = Godwit::Soak::faultNamed(name);
        if (!fault) {
            throw std::invalid_argument("--only takes faults as the summary names them, such as 'kill fleet,pause'");
        }
        faults.push_back(*fault);
    }
    if (faults.empty()) {
        throw std::invalid_argument("--only takes a fault at least");
    }
    return faults;
}

// Throws std::invalid_argument or std::out_of_range with an argument that can't be read.
Arguments readArguments(const std::vector<std::string> &words)
{
    Arguments arguments;
    if (words.size() % 2 != 0) {
        throw std::invalid_argument("an option lacks its value");
    }
    for (std::size_t i = 0; i < words.size(); i += 2) {
        const std::string &value = words[i + 1];
        if (words[i] == "--program") {
            arguments.play.program = value;
        } else if (words[i] == "--seed") {
            arguments.play.seed = std::stoull(value);
        } else if (words[i] == "--seeds") {
            arguments.seeds = std::stoull(value);
        } else if (words[i] == "--minutes") {
            constexpr double millisecondsOfMinute = 60'000;
            arguments.play.time = std::chrono::milliseconds(std::llround(std::stod(value) * millisecondsOfMinute));
        } else if (words[i] == "--routers") {
            arguments.play.routers = value == "many" || value == "few" ? 0 : readRouters(value);
            arguments.play.fleet = value != "few";
        } else if (words[i] == "--only") {
            arguments.play.only = readFaults(value);
        } else if (words[i] == "--file") {
            arguments.file = value;
        } else if (words[i] == "--logs") {
            arguments.play.logFolder = value;
        } else {
            throw std::invalid_argument("unknown option " + words[i]);
        }
    }
    return arguments;
}

std::vector<std::uint64_t> seedsOf(const Arguments &arguments)
{
    std::vector<std::uint64_t> seeds;
    if (arguments.file.empty()) {
        for (std::uint64_t i = 0; i < arguments.seeds; ++i) {
            seeds.push_back(arguments.play.seed + i);
        }
        return seeds;
    }
    std::ifstream file(arguments.file);
    if (!file) {
        throw std::invalid_argument("can't read " + arguments.file);
    }
    for (std::string line; std::getline(file, line);) {
        if (!line.empty() && line[0] != '#') {
            seeds.push_back(std::stoull(line));
        }
    }
    return seeds;
}

void printSummary(const std::vector<PlayResult> &results)
{
    std::size_t requests = 0;
    std::size_t breaches = 0;
    std::map<std::string, int> outcomes;
    std::map<Godwit::Soak::Fault, int> faults;
    std::string broken;
    std::chrono::milliseconds lag{0};
    for (const PlayResult &result : results) {
        requests += result.requests;
        breaches += result.breaches.size();
        lag = std::max(lag, result.longestLag);
        for (const auto &[name, count] : result.outcomes) {
            outcomes[name] += count;
        }
        for (const auto &[fault, count] : result.faults) {
            faults[fault] += count;
        }
        std::map<std::string, int> kinds;
        for (const auto &breach : result.breaches) {
            ++kinds[std::string(promiseName(breach.promise))];
        }
        for (const auto &[kind, count] : kinds) {
            broken += "  seed " + std::to_string(result.seed) + ": " + kind + ' ' + std::to_string(count) + '\n';
        }
    }
    std::cout << "\nsummary: " << results.size() << " seeds, " << requests << " requests, " << breaches
              << " times a promise was broken\n  outcomes:";
    for (const auto &[name, count] : outcomes) {
        std::cout << ' ' << name << ' ' << count << ';';
    }
    std::cout << "\n  faults:";
    for (const auto &[fault, count] : faults) {
        std::cout << ' ' << faultName(fault) << ' ' << count << ';';
    }
    std::cout << "\n  longest lag of the soak itself: " << lag.count() << " ms\n" << broken << std::flush;
}

void printRepeats(const PlayResult &result)
{
    for (const auto &[service, traffic] : result.traffic) {
        // A play with few repeats says little of a share that is used twice.
        constexpr double leastPart = 1.0 / 3;
        std::cout << "  " << service << ": " << traffic.repeats.size() << " repeats, at most " << traffic.mostRepeats
                  << " in a window that allows " << traffic.allowedThen << " (" << std::lround(traffic.mostUsed * 100)
                  << "%, the fullest), " << traffic.windowsBeyond << " windows beyond"
                  << (traffic.mostUsed < leastPart ? ": the allowance was hardly tried\n" : "\n");
    }
}

void printCrashes(const PlayResult &result)
{
    for (const auto &[target, history] : result.crashes) {
        std::cout << "  " << target << ": " << history.deaths.size() << " endpoints died, sent "
                  << history.sentAfterwards << " times more by routers in touch\n";
    }
}

void printPartitions(const PlayResult &result)
{
    for (const auto &spell : result.partitions) {
        std::cout << "  " << spell.routers.size() << " routers partitioned: served " << spell.partitioned.served
                  << " of " << spell.partitioned.sent << ", the others " << spell.others.served << " of "
                  << spell.others.sent << '\n';
    }
}

void printBrittleSpells(const PlayResult &result)
{
    for (const auto &spell : result.brittleSpells) {
        std::cout << "  brittle: " << spell.crashes << " crashes of " << spell.endpoints << " endpoints, "
                  << spell.otherCrashes << " more by routers out of touch\n";
    }
    if (result.resumptions.sent > 0) {
        std::cout << "  streams taken up: " << result.resumptions.wentOn << " of " << result.resumptions.sent
                  << " went on, " << result.resumptions.mixed << " at another version\n";
    }
}

void printTimeHanded(const PlayResult &result)
{
    const auto &counts = result.timeHanded;
    std::cout << "  time left: " << counts.sends << " sends, " << counts.lateRepeats << " late repeats, "
              << counts.tooLong << " with too long a time\n";
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    std::vector<std::uint64_t> seeds;
    try {
        arguments = readArguments({argv + 1, argv + argc});
        seeds = seedsOf(arguments);
    } catch (const std::exception &error) {
        std::cerr << "soak: " << error.what() << '\n';
        return 2;
    }
    std::vector<PlayResult> results;
    bool kept = true;
    for (const std::uint64_t seed : seeds) {
        PlayOptions options = arguments.play;
        options.seed = seed;
        results.push_back(playSeed(options, std::cout));
        const PlayResult &result = results.back();
        kept = kept && result.breaches.empty();
        std::cout << "seed " << result.seed << ": " << result.requests << " requests, served " << result.spent << " of "
                  << result.prepaidTotal << " tokens, " << result.breaches.size() << " times a promise was broken"
                  << std::endl;
        printRepeats(result);
        printCrashes(result);
        printPartitions(result);
        printBrittleSpells(result);
        printTimeHanded(result);
    }
    printSummary(results);
    return kept ? 0 : 1;
}
