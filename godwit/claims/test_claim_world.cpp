#include "godwit/claims/test_claim_world.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace Godwit::Test
{
namespace
{

// Wall time at the start of the monotonic clock.
constexpr WallTime WallStart{std::chrono::milliseconds(1'764'000'000'000)};

std::string uuidV7(WallTime time, std::uint64_t random)
{
    const auto milliseconds = static_cast<std::uint64_t>(time.time_since_epoch().count());
    std::ostringstream text;
    const auto part = [&](int digits, std::uint64_t value) {
        text << std::hex << std::setw(digits) << std::setfill('0') << (value & ((1ULL << digits * 4) - 1));
    };
    part(8, milliseconds >> 16);
    text << '-';
    part(4, milliseconds);
    text << "-7";
    part(3, random);
    text << "-8";
    part(3, random >> 12);
    text << '-';
    part(12, random >> 16);
    return text.str();
}

} // namespace

KvReply KvFake::apply(const KvCommand &command)
{
    auto &value = values[command.key];
    KvReply reply;
    reply.tag = command.tag;
    reply.status = KvStatus::Ok;
    if (command.verb == KvVerb::Get) {
        reply.status = value.version == 0 ? KvStatus::NotFound : KvStatus::Ok;
    } else if (value.version == command.expectedVersion) {
        ++value.version;
        value.text = command.value;
        largestValue = std::max(largestValue, command.value.size());
        reply.version = value.version;
        return reply;
    } else {
        reply.status = KvStatus::Conflict;
    }
    reply.version = value.version;
    reply.value = value.text;
    return reply;
}

ClaimWorld::ClaimWorld(std::uint64_t seed, const ClaimOptions &options, std::size_t routerCount)
    : m_random(seed)
{
    std::vector<Incarnation> live;
    for (std::size_t i = 0; i < routerCount; ++i) {
        live.emplace_back("router-" + std::to_string(i) + ".a");
    }
    for (const auto &self : live) {
        RouterFake router;
        router.agent = makeClaimAgent(self, options);
        setLiveRouters(router.agent, live);
        routers.push_back(std::move(router));
    }
}

WallTime ClaimWorld::wallOf(std::size_t router) const
{
    const auto sinceStart = now.time_since_epoch() + routers[router].clockError;
    return WallStart + std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart);
}

bool ClaimWorld::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

RequestKey ClaimWorld::newKey(Duration age)
{
    const auto created = now.time_since_epoch() - age;
    const auto wall = WallStart + std::chrono::duration_cast<std::chrono::milliseconds>(created);
    return {CustomerId("herculane"), uuidV7(wall, m_random())};
}

void ClaimWorld::at(Duration delay, Step step)
{
    m_steps.emplace(now + delay, std::move(step));
}

void ClaimWorld::onRouter(std::size_t router, Duration delay, Step step)
{
    at(delay, [this, router, step = std::move(step)] {
        if (routers[router].dead) {
            return;
        }
        if (routers[router].pausedUntil > now) {
            onRouter(router, routers[router].pausedUntil - now, step);
            return;
        }
        step();
    });
}

void ClaimWorld::run(Duration time)
{
    const auto end = now + time;
    while (!m_steps.empty() && m_steps.begin()->first <= end) {
        const auto first = m_steps.begin();
        now = std::max(now, first->first);
        const auto step = std::move(first->second);
        m_steps.erase(first);
        step();
    }
    now = end;
}

CallRecord &ClaimWorld::recordOf(CallId call)
{
    return calls[call.value];
}

std::size_t ClaimWorld::call(std::size_t router, const RequestKey &key, bool firstSend, std::uint64_t digest)
{
    const auto number = calls.size();
    CallRecord record;
    record.router = router;
    record.key = key;
    record.firstSend = firstSend;
    calls.push_back(record);
    onRouter(router, Duration::zero(), [=] {
        ClaimRequest request;
        request.call = CallId(number);
        request.key = key;
        request.bodyDigest = digest;
        request.wallNow = wallOf(router);
        request.giveUpAt = now + giveUpAfter;
        request.firstSend = firstSend;
        std::vector<ClaimAction> actions;
        claim(routers[router].agent, request, now, actions);
        carryOut(router, actions);
    });
    return number;
}

void ClaimWorld::kill(std::size_t router)
{
    routers[router].dead = true;
}

void ClaimWorld::pause(std::size_t router, Duration time)
{
    routers[router].pausedUntil = now + time;
}

void ClaimWorld::declareGone(std::size_t gone)
{
    for (std::size_t i = 0; i < routers.size(); ++i) {
        if (i == gone) {
            continue;
        }
        onRouter(i, Duration::zero(), [this, i, gone] {
            std::vector<ClaimAction> actions;
            onRouterGone(routers[i].agent, routers[gone].agent.self, now, actions);
            carryOut(i, actions);
        });
    }
}

void ClaimWorld::carryOut(std::size_t router, const std::vector<ClaimAction> &actions)
{
    for (const auto &action : actions) {
        carryOutOne(router, action);
    }
    scheduleWake(router);
}

void ClaimWorld::scheduleWake(std::size_t router)
{
    const auto wake = nextWake(routers[router].agent);
    const auto planned = m_wakes.find(router);
    if (!wake || (planned != m_wakes.end() && planned->second <= *wake && planned->second > now)) {
        return;
    }
    m_wakes[router] = *wake;
    onRouter(router, std::max(*wake - now, Duration(1)), [this, router] {
        std::vector<ClaimAction> actions;
        onTick(routers[router].agent, now, actions);
        m_wakes.erase(router);
        carryOut(router, actions);
    });
}

void ClaimWorld::carryOutOne(std::size_t router, const ClaimAction &action)
{
    if (const auto *command = std::get_if<KvCommand>(&action)) {
        send(router, *command);
    } else if (const auto *granted = std::get_if<ClaimGranted>(&action)) {
        auto &record = recordOf(granted->call);
        if (record.answered) {
            violations.push_back("answered twice: " + record.key.id);
        }
        record.answered = true;
        record.granted = true;
        const auto number = granted->call.value;
        onRouter(router, sendDelay, [=] {
            if (!claimStillValid(routers[router].agent, CallId(number), now)) {
                finish(router, number, ClaimOutcome::NotRun, {});
                return;
            }
            onRouter(router, sendAfterCheck, [=] {
                execute(router, number);
            });
        });
    } else if (const auto *replayed = std::get_if<ClaimReplay>(&action)) {
        onReplay(recordOf(replayed->call), replayed->answer);
    } else if (const auto *refused = std::get_if<ClaimRefused>(&action)) {
        onRefused(recordOf(refused->call), refused->error);
    } else if (const auto *finished = std::get_if<ClaimFinished>(&action)) {
        recordOf(finished->call).finished = true;
    }
}

void ClaimWorld::send(std::size_t router, const KvCommand &command)
{
    const auto reply = [this, router](const KvReply &answer, Duration delay) {
        onRouter(router, delay, [this, router, answer] {
            std::vector<ClaimAction> actions;
            onKvReply(routers[router].agent, answer, now, actions);
            carryOut(router, actions);
        });
    };
    const KvReply lost{command.tag, KvStatus::Unknown, 0, {}};
    if (kv.away || chance(kv.rejections)) {
        reply(KvReply{command.tag, KvStatus::Rejected, 0, {}}, kv.latency);
    } else if (chance(kv.lateWrites)) {
        const auto late = Duration(std::uniform_int_distribution<std::int64_t>(0, 2'000'000)(m_random));
        at(late, [this, command] {
            kv.apply(command);
        });
        reply(lost, kv.latency);
    } else if (chance(kv.lostAnswers)) {
        kv.apply(command);
        reply(lost, kv.latency);
    } else {
        at(kv.latency / 2, [this, command, reply] {
            reply(kv.apply(command), kv.latency / 2);
        });
    }
}

void ClaimWorld::execute(std::size_t router, std::size_t number)
{
    const auto key = calls[number].key;
    if (chance(endpointRejects)) {
        finish(router, number, ClaimOutcome::NotRun, {});
        return;
    }
    const int count = ++executions[key];
    if (const auto observer = onExecution.find(key); observer != onExecution.end()) {
        observer->second();
    }
    if (count > 1) {
        violations.push_back("executed " + std::to_string(count) + " times: " + key.id);
    }
    const auto answer = "answer " + std::to_string(count) + " to " + key.id;
    answers[key] = answer;
    const bool lost = chance(endpointLosesAnswers);
    onRouter(router, runTime, [=] {
        finish(router, number, lost ? ClaimOutcome::Unknown : ClaimOutcome::Ran, answer);
    });
}

void ClaimWorld::finish(std::size_t router, std::size_t number, ClaimOutcome outcome, const std::string &answer)
{
    auto &record = calls[number];
    record.outcome = outcome;
    if (outcome == ClaimOutcome::NotRun && !record.abandoned && executions[record.key] > 0) {
        violations.push_back("said 'not run' after a grant of what ran: " + record.key.id);
    }
    std::vector<ClaimAction> actions;
    finishClaim(routers[router].agent, CallId(number), outcome, answer, wallOf(router), now, actions);
    carryOut(router, actions);
}

void ClaimWorld::onRefused(CallRecord &record, const Error &error)
{
    if (record.answered) {
        violations.push_back("answered twice: " + record.key.id);
    }
    record.answered = true;
    record.error = error;
    const auto ran = executions[record.key];
    if (error.execution == Execution::NotRun && !record.abandoned && ran > 0) {
        violations.push_back("said 'not run' of what ran: " + record.key.id + ", " + error.message);
    }
    if (error.execution == Execution::Run && ran == 0) {
        violations.push_back("said 'run' of what never ran: " + record.key.id);
    }
}

void ClaimWorld::onReplay(CallRecord &record, const std::string &answer)
{
    if (record.answered) {
        violations.push_back("answered twice: " + record.key.id);
    }
    record.answered = true;
    record.replay = answer;
    if (answers[record.key] != answer) {
        violations.push_back("replayed another answer: " + record.key.id);
    }
}

} // namespace Godwit::Test
