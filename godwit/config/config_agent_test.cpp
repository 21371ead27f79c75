#include "godwit/config/config_agent.h"

#include "godwit/config/simulated_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <set>

using namespace Godwit;
using namespace Godwit::Simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// RapidCheck reads its seed from here unless the caller set another.
const int seedIsSet = setenv("RC_PARAMS", "seed=20261202 max_success=300", 0);

ConfigPatch patchOf(std::string path, std::optional<std::string> value, std::uint64_t expected, std::string id)
{
    ConfigPatch patch;
    patch.path = std::move(path);
    patch.value = std::move(value);
    patch.expectedRevision = expected;
    patch.id = std::move(id);
    patch.author = "test";
    return patch;
}

FleetOptions smallFleet(std::uint64_t seed)
{
    FleetOptions options;
    options.nodes = 4;
    options.dataCentres = 2;
    options.seed = seed;
    return options;
}

void startWithBase(SimulatedFleet &fleet)
{
    fleet.start();
    fleet.run(seconds(1));
    fleet.submit(0, patchOf("", "[customers.dolna]\nshare = 1.0\n", 0, "base"));
    fleet.run(seconds(2));
    REQUIRE(fleet.outcomes.size() == 1);
    REQUIRE(fleet.outcomes[0].accepted);
}

const ConfigDocument &documentOf(const SimulatedFleet &fleet, std::size_t node)
{
    return *fleet.nodes[node].agent.document;
}

std::optional<std::string> shareOf(const SimulatedFleet &fleet, std::size_t node)
{
    return valueAt(documentOf(fleet, node), "", "customers.dolna.share");
}

// What must hold of every history, whatever the faults were.
struct Verdict
{
    bool ok = true;
    std::string why;

    void require(bool condition, const std::string &what)
    {
        if (!condition && ok) {
            ok = false;
            why = what;
        }
    }
};

void checkNeverReverts(const SimulatedFleet &fleet, Verdict &verdict)
{
    for (const Node &node : fleet.nodes) {
        const bool rises =
            std::adjacent_find(node.adopted.begin(), node.adopted.end(), std::greater_equal<>()) == node.adopted.end();
        verdict.require(rises, "a router went back to an older revision");
    }
}

std::string customerOf(const std::string &path)
{
    return path.substr(0, path.find(".share"));
}

// Changes are of `customers.X` or `customers.X.share`, so all changes of one customer touch each other.
void checkLineage(const SimulatedFleet &fleet, const ConfigDocument &final, Verdict &verdict)
{
    std::map<std::string, std::uint64_t> lastChange;
    std::map<std::string, std::string> shares;
    std::set<std::string> applied;
    for (const ConfigHistoryEntry &entry : final.history) {
        verdict.require(applied.insert(entry.id).second, "a change was applied twice");
        const ConfigPatch &patch = fleet.submitted.at(entry.id);
        if (patch.path.empty()) {
            continue;
        }
        const std::string customer = customerOf(patch.path);
        verdict.require(patch.expectedRevision >= lastChange[customer],
                        "a change was overwritten by an author who had not seen it");
        lastChange[customer] = entry.revision;
        std::string value = *patch.value;
        value.erase(std::remove_if(value.begin(),
                                   value.end(),
                                   [](char c) {
                                       return c < '0' || c > '9';
                                   }),
                    value.end());
        shares[customer] = value;
    }
    for (const auto &[customer, share] : shares) {
        verdict.require(valueAt(final, "", customer + ".share") == share, "the value in force is not the last one");
    }
}

// Each accepted change stands in the history under its revision, and none was also refused.
void checkAccepted(const SimulatedFleet &fleet, Verdict &verdict)
{
    std::map<std::uint64_t, ChangeOutcome> byRevision;
    std::set<std::string> acceptedIds;
    for (const ChangeOutcome &outcome : fleet.outcomes) {
        if (!outcome.accepted) {
            continue;
        }
        acceptedIds.insert(outcome.patch.id);
        const auto [known, fresh] = byRevision.emplace(outcome.revision, outcome);
        verdict.require(fresh || known->second.patch.id == outcome.patch.id, "two changes share a revision");
    }
    for (const ChangeOutcome &outcome : fleet.outcomes) {
        const bool maybe = outcome.error == ErrorKind::OutcomeUnknown;
        verdict.require(outcome.accepted || maybe || acceptedIds.count(outcome.patch.id) == 0,
                        "a change was accepted and refused");
    }
    const ConfigDocument &final = documentOf(fleet, 0);
    for (const auto &accepted : byRevision) {
        const ChangeOutcome &outcome = accepted.second;
        const auto entry = std::find_if(final.history.begin(), final.history.end(), [&](const auto &row) {
            return row.revision == outcome.revision;
        });
        verdict.require(entry != final.history.end() && entry->id == outcome.patch.id,
                        "an accepted change is missing from the history");
    }
    checkLineage(fleet, final, verdict);
}

void checkConverged(const SimulatedFleet &fleet, Verdict &verdict)
{
    for (const Node &node : fleet.nodes) {
        verdict.require(node.agent.document != nullptr, "a router has no configuration");
        if (node.agent.document) {
            verdict.require(documentDigest(*node.agent.document) == documentDigest(documentOf(fleet, 0)),
                            "routers differ after all faults have ended");
        }
    }
}

Verdict judge(const SimulatedFleet &fleet)
{
    Verdict verdict;
    checkNeverReverts(fleet, verdict);
    checkConverged(fleet, verdict);
    if (verdict.ok) {
        checkAccepted(fleet, verdict);
    }
    return verdict;
}

enum class Step {
    Change,
    ChangeStale, // From an author who read some revisions ago.
    Repeat, // The last change again, at another router.
    LoseAnswers,
    KeepAnswers,
    PlatformDown,
    PlatformUp,
    WatchLate,
    WatchOff,
    Cut,
    Heal,
    Restart,
    Pause,
    Count,
};

void endFaults(SimulatedFleet &fleet)
{
    fleet.options.platformUp = true;
    fleet.options.lostAnswers = 0.0;
    fleet.options.lostPeerMessages = 0.0;
    fleet.options.watchDelay = milliseconds(5);
    fleet.options.watches = true;
    fleet.heal();
    fleet.run(seconds(30));
}

// One random history of racing authors and faults. Everything follows from the steps and the seed.
Verdict runHistory(const std::vector<int> &steps, std::uint64_t seed, const ConfigAgentOptions &agent)
{
    FleetOptions options = smallFleet(seed);
    options.agent = agent;
    options.agent.maxPatchesInHead = 6; // Snapshots happen often.
    options.agent.snapshotChunkBytes = 300;
    options.agent.snapshotDeleteDelay = seconds(2);
    options.lostPeerMessages = 0.1;
    SimulatedFleet fleet(options);
    std::mt19937_64 random(seed);
    fleet.start();
    fleet.run(seconds(1));
    fleet.submit(0, patchOf("", "[customers.dolna]\nshare = 1.0\n", 0, "base"));
    fleet.run(seconds(1));
    ConfigPatch last;
    int number = 0;
    for (const int step : steps) {
        const std::size_t node = random() % options.nodes;
        const std::uint64_t revision = configRevision(fleet.nodes[node].agent);
        switch (static_cast<Step>(step)) {
        case Step::Change:
        case Step::ChangeStale: {
            const std::uint64_t age = static_cast<Step>(step) == Step::Change ? 0 : random() % 4;
            const std::string customer = "customers.c" + std::to_string(random() % 3);
            const bool whole = random() % 5 == 0;
            const std::string value = std::to_string(random() % 1000 + 1);
            ++number;
            last = patchOf(whole ? customer : customer + ".share",
                           whole ? "{ share = " + value + " }" : value,
                           revision - std::min(revision, age),
                           "change-" + std::to_string(number));
            fleet.submit(node, last);
            break;
        }
        case Step::Repeat:
            if (!last.id.empty()) {
                fleet.submit(node, last);
            }
            break;
        case Step::LoseAnswers:
            fleet.options.lostAnswers = 0.5;
            break;
        case Step::KeepAnswers:
            fleet.options.lostAnswers = 0.0;
            break;
        case Step::PlatformDown:
            fleet.options.platformUp = false;
            break;
        case Step::PlatformUp:
            fleet.options.platformUp = true;
            break;
        case Step::WatchLate:
            fleet.options.watchDelay = seconds(3);
            break;
        case Step::WatchOff:
            fleet.options.watches = false;
            break;
        case Step::Cut:
            fleet.cut(1 + random() % (options.nodes - 1));
            break;
        case Step::Heal:
            fleet.heal();
            break;
        case Step::Restart:
            fleet.restart(node);
            break;
        case Step::Pause:
        case Step::Count:
            fleet.run(milliseconds(random() % 3000));
            break;
        }
        fleet.run(milliseconds(random() % 20));
    }
    endFaults(fleet);
    return judge(fleet);
}

} // namespace

TEST_CASE("a change accepted at one router is in force at all within a moment")
{
    SimulatedFleet fleet(smallFleet(1));
    startWithBase(fleet);
    fleet.submit(2, patchOf("customers.dolna.share", "4.0", 1, "change"));
    fleet.run(milliseconds(100));
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        CHECK(shareOf(fleet, node) == "4.0");
    }
}

TEST_CASE("the loser of a race is told the path, and the winner's change stays")
{
    // Two routers take changes of the same path from authors who both read revision 1. Both write at once; one
    // compare-and-swap wins. The loser's router reads the new head, finds the path changed and refuses.
    SimulatedFleet fleet(smallFleet(2));
    startWithBase(fleet);
    fleet.submit(1, patchOf("customers.dolna.share", "4.0", 1, "operator"));
    fleet.submit(2, patchOf("customers.dolna.share", "9.0", 1, "automation"));
    fleet.run(seconds(2));
    REQUIRE(fleet.outcomes.size() == 3);
    const auto accepted = std::count_if(fleet.outcomes.begin() + 1, fleet.outcomes.end(), [](const auto &outcome) {
        return outcome.accepted;
    });
    CHECK(accepted == 1);
    const ChangeOutcome &loser = fleet.outcomes[1].accepted ? fleet.outcomes[2] : fleet.outcomes[1];
    const ChangeOutcome &winner = fleet.outcomes[1].accepted ? fleet.outcomes[1] : fleet.outcomes[2];
    CHECK(loser.error == ErrorKind::RevisionConflict);
    CHECK(shareOf(fleet, 3) == winner.patch.value);
}

TEST_CASE("racing changes of different paths are all accepted")
{
    SimulatedFleet fleet(smallFleet(3));
    startWithBase(fleet);
    for (std::size_t i = 0; i < 40; ++i) {
        fleet.submit(i % 4, patchOf("customers.c" + std::to_string(i) + ".share", "2", 1, std::to_string(i)));
    }
    fleet.run(seconds(5));
    for (const ChangeOutcome &outcome : fleet.outcomes) {
        CHECK(outcome.accepted);
    }
    CHECK(judge(fleet).why.empty());
}

TEST_CASE("a lost answer to the accepting write ends in the truth")
{
    // The write takes effect, its answer is lost. The operator must hear "accepted", with the revision it made:
    // the router reads the head again and finds its own change there.
    SimulatedFleet fleet(smallFleet(4));
    startWithBase(fleet);
    fleet.options.lostAnswers = 1.0;
    fleet.submit(1, patchOf("customers.dolna.share", "4.0", 1, "change"));
    fleet.run(milliseconds(500));
    fleet.options.lostAnswers = 0.0;
    fleet.run(seconds(5));
    REQUIRE(fleet.outcomes.size() == 2);
    CHECK(fleet.outcomes[1].accepted);
    CHECK(fleet.outcomes[1].revision == 2);
    CHECK(documentOf(fleet, 0).revision == 2);
}

TEST_CASE("a change without an answer says that it may have been made, and its repetition finds it")
{
    SimulatedFleet fleet(smallFleet(5));
    startWithBase(fleet);
    fleet.options.lostAnswers = 1.0;
    fleet.submit(1, patchOf("customers.dolna.share", "4.0", 1, "change"));
    fleet.run(seconds(15));
    REQUIRE(fleet.outcomes.size() == 2);
    CHECK(fleet.outcomes[1].error == ErrorKind::OutcomeUnknown);
    fleet.options.lostAnswers = 0.0;
    fleet.submit(2, patchOf("customers.dolna.share", "4.0", 1, "change"));
    fleet.run(seconds(5));
    CHECK(fleet.outcomes[2].accepted);
    CHECK(fleet.outcomes[2].revision == 2);
}

TEST_CASE("a router that restarts while the platform is away takes the highest its fellows know")
{
    // Router 0 was cut off and stands at revision 1; the others stand at 2. Router 3 restarts without platform.
    // The old revision reaches it first; taking it would put back what it had served as replaced before.
    const auto firstAfterRestart = [](bool faultSkipStartWait) {
        FleetOptions options = smallFleet(6);
        options.agent.faultSkipStartWait = faultSkipStartWait;
        SimulatedFleet fleet(options);
        startWithBase(fleet);
        fleet.cut(1);
        fleet.options.watches = false;
        fleet.submit(2, patchOf("customers.dolna.share", "4.0", 1, "change"));
        fleet.run(milliseconds(50));
        fleet.options.platformUp = false;
        fleet.run(milliseconds(50));
        REQUIRE(configRevision(fleet.nodes[0].agent) == 1);
        REQUIRE(configRevision(fleet.nodes[3].agent) == 2);
        fleet.heal();
        fleet.options.nearDelay = milliseconds(50); // Routers 1 and 3 are near each other, 0 and 3 far.
        fleet.restart(3);
        CHECK(currentDocument(fleet.nodes[3].agent) == nullptr);
        fleet.run(seconds(5));
        REQUIRE_FALSE(fleet.nodes[3].adopted.empty());
        return fleet.nodes[3].adopted.front();
    };
    CHECK(firstAfterRestart(false) == 2);
    CHECK(firstAfterRestart(true) == 1);
}

TEST_CASE("old documents from a fellow, and old heads, are passed over")
{
    SimulatedFleet fleet(smallFleet(7));
    startWithBase(fleet);
    const auto old = fleet.nodes[0].agent.document;
    const StoredValue oldHead = fleet.store.at(std::string(ConfigHeadKey));
    fleet.submit(2, patchOf("customers.dolna.share", "4.0", 1, "change"));
    fleet.run(seconds(1));
    // A fellow sends the old head's patches as if they were news.
    ConfigAgent stale = makeConfigAgent({});
    stale.document = old;
    stale.peers[fleet.nodes[1].agent.options.self] = 0;
    const Incarnation from = fleet.nodes[0].agent.options.self;
    for (const ConfigAction &action : onPeerRevision(stale, fleet.nodes[1].agent.options.self, 0, fleet.now())) {
        if (const auto *send = std::get_if<SendDocument>(&action)) {
            onPeerDocument(fleet.nodes[1].agent, from, send->cbor, fleet.now());
        }
    }
    CHECK(shareOf(fleet, 1) == "4.0");
    // The platform shows the old head (an answer that was held up, or a store put back from a copy).
    fleet.store[std::string(ConfigHeadKey)] = {oldHead.version, oldHead.value};
    fleet.run(seconds(10));
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        CHECK(shareOf(fleet, node) == "4.0");
    }
}

TEST_CASE("hostile bytes from a peer do no harm")
{
    SimulatedFleet fleet(smallFleet(8));
    startWithBase(fleet);
    std::mt19937_64 random(8);
    const Incarnation from = fleet.nodes[1].agent.options.self;
    for (int i = 0; i < 2000; ++i) {
        std::string bytes(random() % 40, '\0');
        for (char &byte : bytes) {
            byte = static_cast<char>(random());
        }
        onPeerDocument(fleet.nodes[0].agent, from, bytes, fleet.now());
    }
    CHECK(configRevision(fleet.nodes[0].agent) == 1);
}

TEST_CASE("documents larger than one value go through snapshots, and old ones are deleted")
{
    FleetOptions options = smallFleet(9);
    options.agent.maxHeadBytes = 1000;
    options.agent.snapshotChunkBytes = 1000;
    options.agent.snapshotDeleteDelay = seconds(2);
    SimulatedFleet fleet(options);
    std::string base;
    for (int i = 0; i < 100; ++i) {
        base += "[customers.c" + std::to_string(i) + "]\nshare = 1.0\n";
    }
    fleet.start();
    fleet.run(seconds(1));
    fleet.submit(0, patchOf("", base, 0, "base"));
    fleet.run(seconds(2));
    for (int i = 0; i < 30; ++i) {
        const std::string customer = "customers.c" + std::to_string(i) + ".share";
        fleet.submit(1, patchOf(customer, "3", 1, "change-" + std::to_string(i)));
        fleet.run(milliseconds(300));
    }
    fleet.run(seconds(5));
    CHECK(fleet.store.at(std::string(ConfigHeadKey)).value.size() <= 1000);
    CHECK(documentOf(fleet, 3).revision == 31);
    CHECK(fleet.nodes[1].agent.counters.snapshotWrites == 1);
    const std::size_t chunks = fleet.nodes[1].agent.head.snapshotChunks;
    CHECK(chunks > 1);
    CHECK(fleet.store.size() == chunks + 1);
    fleet.restart(2);
    fleet.run(seconds(1));
    CHECK(documentOf(fleet, 2).revision == 31);
    CHECK(judge(fleet).why.empty());
}

TEST_CASE("a snapshot is named only when all of it stands")
{
    // The platform refuses one chunk for a while. A head that named the snapshot all the same could not be read by
    // any router that starts: the fleet's configuration would be lost with its last running router.
    FleetOptions options = smallFleet(13);
    options.agent.maxHeadBytes = 1000;
    options.agent.snapshotChunkBytes = 1000;
    options.rejects = [](const KvCommand &command) {
        return command.verb == KvVerb::CompareAndSwap && command.key.find("snapshot") != std::string::npos
            && command.key.back() == '1';
    };
    SimulatedFleet fleet(options);
    std::string base;
    for (int i = 0; i < 100; ++i) {
        base += "[customers.c" + std::to_string(i) + "]\nshare = 1.0\n";
    }
    fleet.start();
    fleet.run(seconds(1));
    fleet.submit(0, patchOf("", base, 0, "base"));
    fleet.run(seconds(2));
    CHECK(fleet.store.count(std::string(ConfigHeadKey)) == 0);
    fleet.options.rejects = nullptr;
    fleet.run(seconds(5));
    REQUIRE(fleet.outcomes.size() == 1);
    CHECK(fleet.outcomes[0].accepted);
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        fleet.restart(node);
    }
    fleet.run(seconds(5));
    REQUIRE(fleet.nodes[2].agent.document);
    CHECK(documentOf(fleet, 2).revision == 1);
}

TEST_CASE("a router that no fellow reaches reads the platform itself")
{
    FleetOptions options = smallFleet(10);
    options.nodes = 8;
    SimulatedFleet fleet(options);
    startWithBase(fleet);
    std::size_t alone = 0;
    while (fleet.nodes[alone].agent.watching) {
        ++alone;
    }
    fleet.cutOff(alone);
    fleet.submit(alone == 0 ? 1 : 0, patchOf("customers.dolna.share", "4.0", 1, "change"));
    fleet.run(seconds(3));
    CHECK(shareOf(fleet, alone) == "4.0");
}

TEST_CASE("operators and automation race a thousand times")
{
    // Each round, two authors who read the same revision change the same path at different routers, with answers
    // lost, watches late and restarts between. One wins each round, or the outcome is said to be unknown; nothing
    // that was accepted is overwritten by an author who had not seen it.
    FleetOptions options = smallFleet(11);
    options.lostAnswers = 0.1;
    options.watchDelay = milliseconds(800);
    SimulatedFleet fleet(options);
    std::mt19937_64 random(11);
    fleet.start();
    fleet.run(seconds(1));
    Verdict verdict;
    for (int round = 0; round < 1000 && verdict.ok; ++round) {
        const std::uint64_t seen = configRevision(fleet.nodes[round % 4].agent);
        const std::string path = "customers.c" + std::to_string(round % 7) + ".share";
        for (std::size_t author = 0; author < 2; ++author) {
            const std::string value = std::to_string(round * 2 + static_cast<int>(author) + 1);
            fleet.submit((static_cast<std::size_t>(round) + author) % 4,
                         patchOf(path, value, seen, std::to_string(round) + (author == 0 ? "-a" : "-b")));
        }
        fleet.run(milliseconds(random() % 200));
        if (random() % 50 == 0) {
            fleet.restart(random() % 4);
        }
        checkNeverReverts(fleet, verdict);
    }
    endFaults(fleet);
    CHECK(verdict.why.empty());
    std::map<std::string, int> winners;
    std::map<std::uint64_t, std::string> byRevision;
    for (const ChangeOutcome &outcome : fleet.outcomes) {
        if (outcome.accepted) {
            CHECK(byRevision.emplace(outcome.revision, outcome.patch.id).second);
            ++winners[outcome.patch.id.substr(0, outcome.patch.id.find('-'))];
        }
    }
    CHECK(std::all_of(winners.begin(), winners.end(), [](const auto &round) {
        return round.second == 1;
    }));
    CHECK(winners.size() > 300);
    Verdict end;
    checkConverged(fleet, end);
    CHECK(end.why.empty());
}

TEST_CASE("random histories of races and faults keep every promise")
{
    const bool held = rc::check("configuration histories", [] {
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, static_cast<int>(Step::Count)));
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const Verdict verdict = runHistory(steps, seed, {});
        if (!verdict.ok) {
            RC_FAIL(verdict.why);
        }
    });
    CHECK(held);
}

TEST_CASE("the random histories notice each safeguard that is taken out")
{
    // Without its safeguard some history must break a promise; otherwise the test above proves nothing.
    const auto notices = [](const ConfigAgentOptions &agent) {
        std::mt19937_64 random(2024);
        for (std::uint64_t seed = 0; seed < 200; ++seed) {
            std::vector<int> steps(60);
            for (int &step : steps) {
                step = static_cast<int>(random() % static_cast<std::uint64_t>(Step::Count));
            }
            if (!runHistory(steps, seed, agent).ok) {
                return true;
            }
        }
        return false;
    };
    ConfigAgentOptions agent;
    CHECK_FALSE(notices(agent));
    SECTION("higher revisions only")
    {
        agent.faultAdoptAnyRevision = true;
    }
    SECTION("own ids are remembered")
    {
        agent.faultForgetOwnIds = true;
    }
    SECTION("conflicts are refused")
    {
        agent.faultIgnoreConflicts = true;
    }
    CHECK(notices(agent));
}
