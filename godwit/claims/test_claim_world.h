#pragma once

// A small fleet for tests of claims: routers, callers, a key-value service with lost answers, delays and outages, and
// an endpoint that counts executions. Simulated time; every random choice comes from one printed seed.
//
// Example:
//   ClaimWorld world(seed, options, 3);
//   world.kv.lostAnswers = 0.2;
//   world.call(0, key, firstSend);
//   world.run(std::chrono::seconds(10));
//   CHECK(world.violations.empty());

#include "godwit/claims/claim_agent.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Godwit::Test
{

struct KvFake
{
    struct Value
    {
        std::uint64_t version = 0;
        std::string text;
    };
    std::map<std::string, Value> values;
    bool away = false;
    // Probabilities for each command.
    double lostAnswers = 0;
    double lateWrites = 0; // The answer is lost, and the write lands up to two seconds later.
    double rejections = 0;
    Duration latency = std::chrono::milliseconds(2);
    std::size_t largestValue = 0;

    KvReply apply(const KvCommand &command);
};

struct RouterFake
{
    ClaimAgent agent;
    bool dead = false;
    TimePoint pausedUntil;
    Duration clockError{};
    std::uint64_t nextCall = 1;
};

struct CallRecord
{
    std::size_t router = 0;
    RequestKey key;
    bool firstSend = false;
    bool answered = false;
    bool granted = false;
    // Its caller went to another router before the answer came.
    bool abandoned = false;
    bool finished = false;
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    std::optional<std::string> replay;
    std::optional<Error> error;
};

class ClaimWorld
{
public:
    ClaimWorld(std::uint64_t seed, const ClaimOptions &options, std::size_t routerCount);

    // Sends a call to a router now; returns its number in `calls`.
    std::size_t call(std::size_t router, const RequestKey &key, bool firstSend, std::uint64_t digest = 1);
    void run(Duration time);
    void at(Duration delay, std::function<void()> step);
    void kill(std::size_t router);
    void pause(std::size_t router, Duration time);
    // Tells all other routers that this one is gone.
    void declareGone(std::size_t router);
    // A key with a UUIDv7 created `age` ago.
    RequestKey newKey(Duration age = Duration::zero());

    KvFake kv;
    std::vector<RouterFake> routers;
    std::vector<CallRecord> calls;
    std::map<RequestKey, int> executions;
    std::map<RequestKey, std::string> answers;
    // Called when the key is executed.
    std::map<RequestKey, std::function<void()>> onExecution;
    // What broke a promise, in words.
    std::vector<std::string> violations;

    // How the endpoint behaves: a part of the calls is turned away, a part is run and its answer lost.
    double endpointRejects = 0;
    double endpointLosesAnswers = 0;
    Duration runTime = std::chrono::milliseconds(200);
    // From the grant to the send, and from the check of the grant to the send.
    Duration sendDelay{};
    Duration sendAfterCheck{};
    Duration giveUpAfter = std::chrono::seconds(5);
    TimePoint now = TimePoint(std::chrono::hours(100));

private:
    using Step = std::function<void()>;

    WallTime wallOf(std::size_t router) const;
    bool chance(double probability);
    // Runs the step when the router is next awake, unless it is dead.
    void onRouter(std::size_t router, Duration delay, Step step);
    void carryOut(std::size_t router, const std::vector<ClaimAction> &actions);
    void carryOutOne(std::size_t router, const ClaimAction &action);
    void send(std::size_t router, const KvCommand &command);
    void execute(std::size_t router, std::size_t number);
    void finish(std::size_t router, std::size_t number, ClaimOutcome outcome, const std::string &answer);
    void onRefused(CallRecord &record, const Error &error);
    void onReplay(CallRecord &record, const std::string &answer);
    void scheduleWake(std::size_t router);
    CallRecord &recordOf(CallId call);

    std::mt19937_64 m_random;
    std::multimap<TimePoint, Step> m_steps;
    std::map<std::size_t, TimePoint> m_wakes;
};

} // namespace Godwit::Test
