// Random schedules of calls, repeats, router deaths, pauses, lost answers, late writes and outages against an oracle
// that counts executions: each id runs at most once, "not run" and "run" are true, a replay is the request's own
// answer, every call to a living router is answered once, and nothing is left behind once all is well again.

#include "godwit/base/enum_names.h"
#include "godwit/claims/test_claim_world.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace Godwit;
using namespace Godwit::Test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t RouterCount = 3;

enum class Move {
    Call,
    Repeat,
    Pause,
    Kill,
    Outage,
    LoseAnswers,
    LateWrites,
    Calm,
    SlowSend,
};

struct Schedule
{
    std::uint64_t seed = 0;
    std::vector<std::pair<Move, std::uint32_t>> moves;
};

constexpr EnumName<Move> MoveNames[] = {
    {Move::Call, "call"},
    {Move::Repeat, "repeat"},
    {Move::Pause, "pause"},
    {Move::Kill, "kill"},
    {Move::Outage, "outage"},
    {Move::LoseAnswers, "lose answers"},
    {Move::LateWrites, "late writes"},
    {Move::Calm, "calm"},
    {Move::SlowSend, "slow send"},
};

std::ostream &operator<<(std::ostream &out, const Schedule &schedule)
{
    out << "seed " << schedule.seed;
    for (const auto &[move, value] : schedule.moves) {
        out << "; " << enumName(MoveNames, move) << ' ' << value;
    }
    return out;
}

ClaimOptions fewShards()
{
    ClaimOptions options;
    options.shardCount = 2;
    return options;
}

class Driver
{
public:
    Driver(const Schedule &schedule, const ClaimOptions &options)
        : m_world(schedule.seed, options, RouterCount)
    {
        m_world.endpointRejects = 0.2;
        m_world.endpointLosesAnswers = 0.1;
        m_world.giveUpAfter = 2s;
        for (const auto &[move, value] : schedule.moves) {
            apply(move, value);
            m_world.run(std::chrono::milliseconds(value % 97 * (value % 7)));
        }
    }

    // Ends all faults, and waits for longer than any of them lasts.
    void settle()
    {
        calm();
        m_world.run(120s);
    }

    ClaimWorld &world()
    {
        return m_world;
    }

private:
    void apply(Move move, std::uint32_t value)
    {
        const std::size_t router = value % RouterCount;
        switch (move) {
        case Move::Call:
            m_keys.push_back(m_world.newKey());
            call(router, m_keys.back(), true);
            break;
        case Move::Repeat:
            if (!m_keys.empty()) {
                repeat(router, m_keys[value / RouterCount % m_keys.size()]);
            }
            break;
        case Move::Pause:
            m_world.pause(router, std::chrono::milliseconds(value % 20'000));
            m_world.declareGone(router);
            break;
        case Move::Kill:
            // One router stays, to see what became of the others' claims.
            if (router != 0) {
                m_world.kill(router);
                m_world.declareGone(router);
            }
            break;
        case Move::Outage:
            m_world.kv.away = true;
            break;
        case Move::LoseAnswers:
            m_world.kv.lostAnswers = 0.4;
            m_world.kv.rejections = 0.1;
            break;
        case Move::LateWrites:
            m_world.kv.lateWrites = 0.4;
            break;
        case Move::Calm:
            calm();
            break;
        case Move::SlowSend:
            m_world.sendDelay = std::chrono::milliseconds(value % 6000);
            m_world.sendAfterCheck = std::chrono::milliseconds(value % 3000);
            break;
        }
    }

    void calm()
    {
        m_world.kv.away = false;
        m_world.kv.lostAnswers = 0;
        m_world.kv.lateWrites = 0;
        m_world.kv.rejections = 0;
        m_world.sendDelay = 0ms;
        m_world.sendAfterCheck = 0ms;
    }

    // A caller that goes to another router has given up waiting for its earlier calls.
    void repeat(std::size_t router, const RequestKey &key)
    {
        for (auto &earlier : m_world.calls) {
            if (earlier.key == key) {
                earlier.abandoned = true;
            }
        }
        call(router, key, false);
    }

    void call(std::size_t router, const RequestKey &key, bool firstSend)
    {
        m_world.call(router, key, firstSend);
    }

    ClaimWorld m_world;
    std::vector<RequestKey> m_keys;
};

rc::Gen<Schedule> schedules()
{
    const auto move = rc::gen::weightedElement<Move>({{8, Move::Call},
                                                      {12, Move::Repeat},
                                                      {2, Move::Pause},
                                                      {1, Move::Kill},
                                                      {2, Move::Outage},
                                                      {3, Move::LoseAnswers},
                                                      {3, Move::LateWrites},
                                                      {4, Move::Calm},
                                                      {2, Move::SlowSend}});
    const auto moves = rc::gen::container<std::vector<std::pair<Move, std::uint32_t>>>(
        60, rc::gen::pair(move, rc::gen::arbitrary<std::uint32_t>()));
    return rc::gen::map(rc::gen::pair(rc::gen::arbitrary<std::uint64_t>(), moves), [](auto pair) {
        return Schedule{pair.first, std::move(pair.second)};
    });
}

bool isLive(const ClaimWorld &world, const Incarnation &incarnation)
{
    return std::any_of(world.routers.begin(), world.routers.end(), [&](const RouterFake &router) {
        return !router.dead && router.agent.self == incarnation;
    });
}

// Claims that stand for ever though their holder lives: it neither runs the request nor takes the claim back.
void findStuckClaims(const ClaimWorld &world, std::vector<std::string> &faults)
{
    LastReason reason;
    for (const auto &[key, value] : world.kv.values) {
        const auto record = decodeClaimRecord(value.text, reason);
        if (!record) {
            faults.push_back("unreadable record " + key);
            continue;
        }
        for (const auto &[id, entry] : record->entries) {
            const bool holderLives = isLive(world, entry.holder);
            if (entry.state == ClaimState::Claimed && holderLives) {
                faults.push_back("stuck claim " + id.id);
            }
        }
    }
}

// What is wrong once all faults have ended and all waits are over.
std::vector<std::string> faultsIn(const ClaimWorld &world)
{
    auto faults = world.violations;
    for (const auto &call : world.calls) {
        if (!call.answered && !world.routers[call.router].dead) {
            faults.push_back("unanswered call of " + call.key.id);
        }
    }
    for (const auto &router : world.routers) {
        const auto &agent = router.agent;
        const bool idle = agent.held.empty() && agent.waitingCount == 0 && agent.changeCount == 0
            && agent.shardOfTag.empty() && agent.shardOfCall.empty();
        if (!router.dead && !idle) {
            faults.push_back("unfinished work at " + agent.self.value);
        }
    }
    findStuckClaims(world, faults);
    return faults;
}

// Whether the fuzzer finds a broken promise within `tries` schedules of a fixed series.
bool breaksWith(const ClaimFaults &faults, int tries)
{
    auto options = fewShards();
    options.faults = faults;
    for (int i = 0; i < tries; ++i) {
        const auto schedule = schedules()(rc::Random(static_cast<std::uint64_t>(i)), 100).value();
        Driver driver(schedule, options);
        driver.settle();
        if (!faultsIn(driver.world()).empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("no schedule of faults runs an id twice, tells an untruth or leaves a claim behind")
{
    // Overridden by the same variable in the environment.
    setenv("RC_PARAMS", "seed=20261202 max_success=2000 max_size=100", 0);
    std::printf("RC_PARAMS=%s\n", std::getenv("RC_PARAMS"));
    const bool held = rc::check("claims", [] {
        const auto schedule = *schedules();
        Driver driver(schedule, fewShards());
        driver.settle();
        for (const auto &fault : faultsIn(driver.world())) {
            RC_FAIL(fault);
        }
    });
    CHECK(held);
}

TEST_CASE("the fuzzer finds each safeguard that is taken out")
{
    constexpr int tries = 400;
    CHECK_FALSE(breaksWith({}, tries));
    ClaimFaults faults;
    faults.grantOnUnknownWrite = true;
    CHECK(breaksWith(faults, tries));
    faults = {};
    faults.takeOverGoneClaims = true;
    CHECK(breaksWith(faults, tries));
    faults = {};
    faults.grantBeforeWrite = true;
    CHECK(breaksWith(faults, tries));
    faults = {};
    faults.notRunWithoutProof = true;
    CHECK(breaksWith(faults, tries));
    faults = {};
    faults.forgetLostWrites = true;
    CHECK(breaksWith(faults, tries));
}
