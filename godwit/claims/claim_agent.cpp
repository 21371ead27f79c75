#include "godwit/claims/claim_agent.h"

#include "godwit/base/hash.h"
#include "godwit/claims/claim_decision.h"
#include "godwit/claims/claim_write.h"

#include <algorithm>
#include <utility>

namespace Godwit
{

using namespace internal;

namespace
{

constexpr std::string_view ShardPrefix = "claims/";
constexpr std::size_t MaxGoneRouters = 10'000;

using Actions = std::vector<ClaimAction>;

// The agent and the event that it handles; passed through the steps below.
struct Step
{
    ClaimAgent &agent;
    TimePoint now;
    Actions &out;
    // Shards are served in turn; else one event's shard is looked at alone.
    bool inRound = false;
};

std::string shardKey(std::uint32_t index)
{
    return std::string(ShardPrefix) + std::to_string(index);
}

void refuse(Step &step, CallId call, Error error)
{
    ++step.agent.counters.refused;
    step.out.emplace_back(ClaimRefused{call, std::move(error)});
}

Duration awayRetryAfter(const Step &step)
{
    const auto untilProbe = step.agent.nextProbeAt - step.now;
    return std::max<Duration>(untilProbe, Duration::zero()) + step.agent.options.probeInterval;
}

Error awayError(const Step &step, const WaitingClaim &waiting)
{
    auto error =
        undecidedError(step.agent, waiting.request, ErrorKind::PlatformAway, "the platform's service does not answer");
    error.retryAfter = awayRetryAfter(step);
    return error;
}

// The claim's time is over: the platform is silent, or the router's share of its writes is too small for the claims.
Error lateError(const Step &step, const ClaimShard &shard, const WaitingClaim &waiting)
{
    const bool silent = shard.operation && step.now - shard.operation->sentAt > step.agent.options.probeInterval;
    if (step.agent.away || step.agent.failures > 0 || silent) {
        return awayError(step, waiting);
    }
    auto error = undecidedError(step.agent,
                                waiting.request,
                                ErrorKind::Overloaded,
                                "more claims wait than the platform's service may be given");
    error.retryAfter = step.agent.options.inProgressRetryAfter;
    return error;
}

void addChange(Step &step, ClaimShard &shard, OwnChange change)
{
    if (step.agent.changeCount >= step.agent.options.maxWaiting) {
        // The entry stays claimed by this router: others are told "in progress" and later "unknown", never "not run".
        ++step.agent.counters.droppedOutcomes;
        if (change.call) {
            step.out.emplace_back(ClaimFinished{*change.call});
        }
        return;
    }
    ++step.agent.changeCount;
    shard.changes.push_back(std::move(change));
}

// Called when a claim leaves its shard's list unanswered or refused.
void dropWaiting(Step &step, ClaimShard &shard, const WaitingClaim &waiting, std::optional<CallId> finishedFor)
{
    step.agent.shardOfCall.erase(waiting.request.call);
    --step.agent.waitingCount;
    if (!waiting.mayStand || step.agent.options.faults.forgetLostWrites) {
        if (finishedFor) {
            step.out.emplace_back(ClaimFinished{*finishedFor});
        }
        return;
    }
    // Its write got no answer and may stand, or may still land. Nobody may run it any more, but if it were forgotten,
    // the id would look "in progress" until it is too old. So it is taken back, after this router's answer if need be.
    OwnChange release;
    release.key = waiting.request.key;
    release.sequence = waiting.sequence;
    release.call = finishedFor;
    release.since = step.now;
    addChange(step, shard, std::move(release));
}

void grant(Step &step, std::uint32_t index, const WaitingClaim &waiting)
{
    step.agent.shardOfCall.erase(waiting.request.call);
    --step.agent.waitingCount;
    step.agent.held[waiting.request.call] = {waiting.request.key, waiting.sequence, index, step.now};
    ++step.agent.counters.granted;
    step.out.emplace_back(ClaimGranted{waiting.request.call});
}

void refuseWaiting(Step &step, ClaimShard &shard, const WaitingClaim &waiting, Error error)
{
    refuse(step, waiting.request.call, std::move(error));
    dropWaiting(step, shard, waiting, std::nullopt);
}

void replay(Step &step, ClaimShard &shard, const WaitingClaim &waiting, std::string answer)
{
    ++step.agent.counters.replayed;
    step.out.emplace_back(ClaimReplay{waiting.request.call, std::move(answer)});
    dropWaiting(step, shard, waiting, std::nullopt);
}

// Refuses what has waited until its end.
void expireWaiting(Step &step, ClaimShard &shard)
{
    auto waiting = std::move(shard.waiting);
    shard.waiting.clear();
    for (auto &claim : waiting) {
        if (claim.request.giveUpAt > step.now) {
            shard.waiting.push_back(std::move(claim));
            continue;
        }
        refuseWaiting(step, shard, claim, lateError(step, shard, claim));
    }
}

// The rest of a change's patience is for the platform: the call need not wait for it.
void releaseImpatient(Step &step, ClaimShard &shard)
{
    for (auto &change : shard.changes) {
        if (change.call && step.now >= change.since + step.agent.options.finishPatience) {
            step.out.emplace_back(ClaimFinished{*change.call});
            change.call.reset();
        }
    }
}

void refill(Allowance &allowance, double rate, double burst, TimePoint now)
{
    allowance.units = std::min(burst, allowance.units + toSeconds(now - allowance.at) * rate);
    allowance.at = now;
}

TimePoint readyAt(const Allowance &allowance, double rate)
{
    const double seconds = std::max(0.0, 1.0 - allowance.units) / rate;
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return allowance.at + wait + (wait > Duration::zero() ? Duration(1) : Duration::zero());
}

void setRecord(Step &step, ClaimShard &shard, std::optional<ClaimRecord> record, std::size_t bytes)
{
    step.agent.cachedBytes -= shard.recordBytes;
    shard.record = std::move(record);
    shard.recordBytes = shard.record ? bytes : 0;
    step.agent.cachedBytes += shard.recordBytes;
}

void startOperation(Step &step, std::uint32_t index, ClaimShard &shard, ShardOperation operation, KvCommand command)
{
    operation.tag = ClaimTagSpace | step.agent.nextTag++;
    operation.sentAt = step.now;
    command.tag = operation.tag;
    command.key = shardKey(index);
    step.agent.shardOfTag[operation.tag] = index;
    shard.operation = std::move(operation);
    step.out.emplace_back(std::move(command));
}

void startRead(Step &step, std::uint32_t index, ClaimShard &shard)
{
    ++step.agent.counters.reads;
    step.agent.reads.units -= 1;
    KvCommand command;
    command.verb = KvVerb::Get;
    startOperation(step, index, shard, ShardOperation{}, std::move(command));
}

// Without a unit put aside, many shards would read while the allowance lets one write, and read again later.
void takeWriteUnit(Step &step, ClaimShard &shard)
{
    step.agent.writes.units -= shard.hasWriteUnit ? 0 : 1;
    shard.hasWriteUnit = true;
}

void returnWriteUnit(Step &step, ClaimShard &shard)
{
    step.agent.writes.units += shard.hasWriteUnit ? 1 : 0;
    shard.hasWriteUnit = false;
}

void startWrite(Step &step, std::uint32_t index, ClaimShard &shard, ClaimRecord record)
{
    ++step.agent.counters.writes;
    takeWriteUnit(step, shard);
    shard.hasWriteUnit = false;
    KvCommand command;
    command.verb = KvVerb::CompareAndSwap;
    command.expectedVersion = shard.version;
    command.value = encodeClaimRecord(record);
    ShardOperation operation;
    operation.write = true;
    operation.expectedVersion = shard.version;
    operation.bytes = command.value.size();
    operation.record = std::move(record);
    startOperation(step, index, shard, std::move(operation), std::move(command));
}

// Answers what the record decides; adds the rest to `write`. Returns whether some claim needs a newer record.
bool decideWaiting(Step &step, std::uint32_t index, ClaimShard &shard, ClaimWrite &write)
{
    bool lookAgain = false;
    auto waiting = std::move(shard.waiting);
    shard.waiting.clear();
    for (auto &claim : waiting) {
        auto answer = answerFromRecord({step.agent, write.record, shard.seenAt, step.now}, claim);
        switch (answer.kind) {
        case ClaimAnswerKind::Granted:
            // An entry that the write under construction adds is not granted: it is not in the platform yet.
            grant(step, index, claim);
            continue;
        case ClaimAnswerKind::Replay:
            replay(step, shard, claim, std::move(answer.replay));
            continue;
        case ClaimAnswerKind::Refused:
            refuseWaiting(step, shard, claim, std::move(answer.error));
            continue;
        case ClaimAnswerKind::LookAgain:
            lookAgain = true;
            break;
        case ClaimAnswerKind::Free:
            if (!addClaim(write, claim, step.agent, step.now)) {
                auto error = undecidedError(step.agent,
                                            claim.request,
                                            ErrorKind::Overloaded,
                                            "the claims kept for this part of the ids fill their record");
                error.retryAfter = step.agent.options.answerRetention;
                refuseWaiting(step, shard, claim, std::move(error));
                continue;
            }
            break;
        }
        shard.waiting.push_back(std::move(claim));
    }
    return lookAgain;
}

Duration gatherTime(const ClaimAgent &agent)
{
    return agent.paced ? agent.options.pacedFinishGather : agent.options.finishGather;
}

// Whether all changes may wait for company.
bool mayGather(const Step &step, const ClaimShard &shard)
{
    if (step.agent.draining) {
        return false;
    }
    return std::all_of(shard.changes.begin(), shard.changes.end(), [&](const OwnChange &change) {
        return change.outcome != ClaimOutcome::NotRun && step.now < change.since + gatherTime(step.agent);
    });
}

// Drops the changes that the record shows as done.
void settleChanges(Step &step, ClaimShard &shard)
{
    auto changes = std::move(shard.changes);
    shard.changes.clear();
    for (auto &change : changes) {
        if (!changeIsDone(change, shard, step.agent.self)) {
            shard.changes.push_back(std::move(change));
            continue;
        }
        --step.agent.changeCount;
        if (change.call) {
            step.out.emplace_back(ClaimFinished{*change.call});
        }
    }
}

void grantBeforeAnswer(Step &step, std::uint32_t index, ClaimShard &shard)
{
    for (const auto &claim : shard.waiting) {
        grant(step, index, claim);
    }
    shard.waiting.clear();
}

// A new claim must not take the unit that others have waited for: they would wait for as long as claims come.
bool mustWaitForUnit(Step &step, const ClaimShard &shard)
{
    if (shard.hasWriteUnit) {
        return false;
    }
    const bool othersFirst = step.agent.paced && !step.inRound;
    const bool none = step.agent.writes.units < 1;
    step.agent.paced = step.agent.paced || none;
    return none || othersFirst;
}

// Reads when the allowance has room; else the shard's turn comes back.
void readIfAllowed(Step &step, std::uint32_t index, ClaimShard &shard)
{
    if (step.agent.reads.units >= 1) {
        takeWriteUnit(step, shard);
        startRead(step, index, shard);
    }
}

// Writes claims and changes, or reads when the record can't decide.
void work(Step &step, std::uint32_t index, ClaimShard &shard)
{
    const auto &options = step.agent.options;
    refill(step.agent.writes, options.writesPerSecond, options.writeBurst, step.now);
    refill(step.agent.reads, options.readsPerSecond, options.readBurst, step.now);
    if (shard.record) {
        settleChanges(step, shard);
    }
    if (shard.waiting.empty() && (shard.changes.empty() || mayGather(step, shard))) {
        return;
    }
    if (mustWaitForUnit(step, shard)) {
        return;
    }
    if (!shard.record || step.now - shard.seenAt > options.recordFreshFor) {
        readIfAllowed(step, index, shard);
        return;
    }
    ClaimWrite write = beginWrite(shard, step.agent, step.now);
    if (decideWaiting(step, index, shard, write)) {
        readIfAllowed(step, index, shard);
        return;
    }
    if (shard.waiting.empty() && (shard.changes.empty() || mayGather(step, shard))) {
        return;
    }
    for (auto &claim : shard.waiting) {
        claim.mayStand = true;
    }
    startWrite(step, index, shard, std::move(write.record));
    if (options.faults.grantBeforeWrite) {
        grantBeforeAnswer(step, index, shard);
    }
}

// When the shard has something to do next, with an operation in flight or without.
std::optional<TimePoint> computeDueAt(const Step &step, const ClaimShard &shard)
{
    std::optional<TimePoint> due;
    const auto consider = [&](TimePoint time) {
        due = due ? std::min(*due, time) : time;
    };
    for (const auto &claim : shard.waiting) {
        consider(claim.request.giveUpAt);
    }
    for (const auto &change : shard.changes) {
        if (change.call) {
            consider(change.since + step.agent.options.finishPatience);
        }
    }
    if (shard.operation) {
        consider(shard.operation->sentAt + step.agent.options.replyTimeout);
        return due;
    }
    if (step.agent.away || (shard.waiting.empty() && shard.changes.empty())) {
        return due;
    }
    const auto &options = step.agent.options;
    auto workAt = std::max(shard.notBefore, step.now);
    workAt = std::max(workAt, readyAt(step.agent.reads, options.readsPerSecond));
    workAt = std::max(workAt, readyAt(step.agent.writes, options.writesPerSecond));
    if (shard.waiting.empty() && mayGather(step, shard)) {
        TimePoint gathered = TimePoint::max();
        for (const auto &change : shard.changes) {
            gathered = std::min(gathered, change.since + gatherTime(step.agent));
        }
        workAt = std::max(workAt, gathered);
    }
    consider(workAt);
    return due;
}

void dropOldRecords(ClaimAgent &agent)
{
    while (agent.cachedBytes > agent.options.maxCachedBytes) {
        ClaimShard *oldest = nullptr;
        for (auto &[index, shard] : agent.shards) {
            if (shard.record && agent.busy.count(index) == 0 && (!oldest || shard.lastUse < oldest->lastUse)) {
                oldest = &shard;
            }
        }
        if (!oldest) {
            return;
        }
        agent.cachedBytes -= oldest->recordBytes;
        oldest->recordBytes = 0;
        oldest->record.reset();
    }
}

// Does what the shard has to do now and notes when to look again.
void pump(Step &step, std::uint32_t index)
{
    auto &shard = step.agent.shards[index];
    expireWaiting(step, shard);
    releaseImpatient(step, shard);
    const bool idle = shard.waiting.empty() && shard.changes.empty();
    if (!shard.operation && !idle && !step.agent.away && step.now >= shard.notBefore) {
        work(step, index, shard);
    }
    if (!shard.operation) {
        returnWriteUnit(step, shard);
    }
    shard.dueAt = computeDueAt(step, shard);
    shard.lastUse = ++step.agent.useClock;
    if (shard.operation || !shard.waiting.empty() || !shard.changes.empty()) {
        step.agent.busy.insert(index);
    } else {
        step.agent.busy.erase(index);
    }
    dropOldRecords(step.agent);
}

// Looks at all busy shards, beginning after the one served last, so that none is starved of the write allowance.
void pumpBusy(Step &step, bool dueOnly)
{
    const std::vector<std::uint32_t> round(step.agent.busy.begin(), step.agent.busy.end());
    const auto first = std::upper_bound(round.begin(), round.end(), step.agent.lastServed) - round.begin();
    const auto count = static_cast<std::ptrdiff_t>(round.size());
    step.inRound = true;
    for (std::ptrdiff_t i = 0; i < count; ++i) {
        const auto index = round[static_cast<std::size_t>((first + i) % count)];
        const auto &due = step.agent.shards[index].dueAt;
        if (dueOnly && (!due || *due > step.now)) {
            continue;
        }
        const auto tag = step.agent.nextTag;
        pump(step, index);
        if (step.agent.nextTag != tag) {
            step.agent.lastServed = index;
        }
    }
    step.inRound = false;
    step.agent.paced = step.agent.paced && step.agent.writes.units < 1;
}

void goAway(Step &step)
{
    auto &agent = step.agent;
    agent.away = true;
    agent.probeInterval = agent.options.probeInterval;
    agent.nextProbeAt = step.now + agent.probeInterval;
    const std::vector<std::uint32_t> round(agent.busy.begin(), agent.busy.end());
    for (const auto index : round) {
        auto &shard = agent.shards[index];
        auto waiting = std::move(shard.waiting);
        shard.waiting.clear();
        for (const auto &claim : waiting) {
            refuseWaiting(step, shard, claim, awayError(step, claim));
        }
    }
    pumpBusy(step, false);
}

void noteFailure(Step &step)
{
    auto &agent = step.agent;
    ++agent.failures;
    if (agent.away) {
        agent.probeInterval = std::min(agent.probeInterval * 2, agent.options.maxProbeInterval);
        agent.nextProbeAt = step.now + agent.probeInterval;
    } else if (agent.failures >= agent.options.awayAfterFailures) {
        goAway(step);
    }
}

void noteSuccess(Step &step)
{
    step.agent.failures = 0;
    if (step.agent.away) {
        step.agent.away = false;
        pumpBusy(step, false);
    }
}

void backOff(Step &step, ClaimShard &shard)
{
    const auto &options = step.agent.options;
    shard.backoff = std::clamp(shard.backoff * 2, options.conflictBackoff, options.maxConflictBackoff);
    // Routers that collided must not come back in step: each waits a part of its own.
    const auto part = stableHash(step.agent.self.value + std::to_string(step.agent.nextTag)) % 1024;
    shard.notBefore = step.now + shard.backoff / 2 + shard.backoff * static_cast<std::int64_t>(part) / 2048;
}

// What a reply showed is the record now.
void showRecord(
    Step &step, ClaimShard &shard, ClaimRecord record, std::uint64_t version, TimePoint sentAt, std::size_t bytes)
{
    setRecord(step, shard, std::move(record), bytes);
    shard.version = version;
    shard.seenAt = sentAt;
    if (shard.lostWriteOver && version > *shard.lostWriteOver) {
        shard.lostWriteOver.reset();
    }
}

// The shard's claims can't be decided, and writing over what can't be read would lose claims.
void refuseUnreadable(Step &step, ClaimShard &shard, const Error &reason)
{
    auto waiting = std::move(shard.waiting);
    shard.waiting.clear();
    for (const auto &claim : waiting) {
        refuseWaiting(step, shard, claim, reason);
    }
    setRecord(step, shard, std::nullopt, 0);
    shard.notBefore = step.now + step.agent.options.maxProbeInterval;
}

void showStored(Step &step, ClaimShard &shard, const KvReply &reply, TimePoint sentAt)
{
    LastReason reason;
    auto record = decodeClaimRecord(reply.value, reason);
    if (!record) {
        refuseUnreadable(step, shard, *reason);
        return;
    }
    showRecord(step, shard, std::move(*record), reply.version, sentAt, reply.value.size());
}

void onWritten(Step &step, std::uint32_t index, ClaimShard &shard, ShardOperation operation, std::uint64_t version)
{
    shard.backoff = Duration::zero();
    showRecord(step, shard, std::move(operation.record), version, operation.sentAt, operation.bytes);
    auto waiting = std::move(shard.waiting);
    shard.waiting.clear();
    for (auto &claim : waiting) {
        if (claim.mayStand && holdsClaim(*shard.record, claim, step.agent.self)) {
            grant(step, index, claim);
        } else {
            shard.waiting.push_back(std::move(claim));
        }
    }
    settleChanges(step, shard);
}

void onLost(Step &step, std::uint32_t index, ClaimShard &shard, const ShardOperation &operation)
{
    ++step.agent.counters.lostAnswers;
    if (!operation.write) {
        return;
    }
    if (step.agent.options.faults.grantOnUnknownWrite) {
        grantBeforeAnswer(step, index, shard);
    }
    // The write may have taken effect, or may do so later. Only the stored record can tell, and only a record of a
    // later version that the write can't land any more.
    shard.lostWriteOver = std::max(shard.lostWriteOver.value_or(0), operation.expectedVersion);
    setRecord(step, shard, std::nullopt, 0);
}

void settleOperation(Step &step, std::uint32_t index, const KvReply &reply)
{
    auto &shard = step.agent.shards[index];
    auto operation = std::move(*shard.operation);
    shard.operation.reset();
    step.agent.shardOfTag.erase(operation.tag);
    switch (reply.status) {
    case KvStatus::Ok:
        if (operation.write) {
            onWritten(step, index, shard, std::move(operation), reply.version);
        } else {
            showStored(step, shard, reply, operation.sentAt);
        }
        noteSuccess(step);
        break;
    case KvStatus::NotFound:
        showRecord(step, shard, ClaimRecord{}, 0, operation.sentAt, 0);
        noteSuccess(step);
        break;
    case KvStatus::Conflict:
        ++step.agent.counters.conflicts;
        backOff(step, shard);
        showStored(step, shard, reply, operation.sentAt);
        noteSuccess(step);
        break;
    case KvStatus::Rejected:
        backOff(step, shard);
        noteFailure(step);
        break;
    case KvStatus::Unknown:
        onLost(step, index, shard, operation);
        noteFailure(step);
        break;
    }
    pump(step, index);
}

void timeOutOperations(Step &step)
{
    const std::vector<std::uint32_t> round(step.agent.busy.begin(), step.agent.busy.end());
    for (const auto index : round) {
        const auto &operation = step.agent.shards[index].operation;
        if (operation && step.now >= operation->sentAt + step.agent.options.replyTimeout) {
            settleOperation(step, index, KvReply{operation->tag, KvStatus::Unknown, 0, {}});
        }
    }
}

void probe(Step &step)
{
    auto &agent = step.agent;
    const std::uint32_t index = agent.busy.empty() ? 0 : *agent.busy.begin();
    auto &shard = agent.shards[index];
    if (shard.operation) {
        return;
    }
    agent.nextProbeAt = step.now + agent.options.replyTimeout;
    startRead(step, index, shard);
    agent.busy.insert(index);
    shard.dueAt = computeDueAt(step, shard);
}

// A known outcome never changes, so it can be told while the platform is away.
bool answerWhileAway(Step &step, std::uint32_t index, WaitingClaim &waiting)
{
    const auto shard = step.agent.shards.find(index);
    if (shard == step.agent.shards.end() || !shard->second.record) {
        return false;
    }
    auto answer = answerFromRecord({step.agent, *shard->second.record, shard->second.seenAt, step.now}, waiting);
    if (answer.kind == ClaimAnswerKind::Replay) {
        ++step.agent.counters.replayed;
        step.out.emplace_back(ClaimReplay{waiting.request.call, std::move(answer.replay)});
        return true;
    }
    if (answer.kind == ClaimAnswerKind::Refused) {
        refuse(step, waiting.request.call, std::move(answer.error));
        return true;
    }
    return false;
}

} // namespace

ClaimAgent makeClaimAgent(const Incarnation &self, const ClaimOptions &options)
{
    ClaimAgent agent;
    agent.self = self;
    agent.writes.units = options.writeBurst;
    agent.reads.units = options.readBurst;
    agent.options = options;
    return agent;
}

std::uint32_t claimShard(const RequestKey &key, std::uint32_t shardCount)
{
    // The separator can't stand in an id, so two different keys can't give one text.
    return static_cast<std::uint32_t>(stableHash(key.customer.value + '\n' + key.id) % shardCount);
}

void claim(ClaimAgent &agent, const ClaimRequest &request, TimePoint now, Actions &out)
{
    Step step{agent, now, out};
    agent.wallBase = request.wallNow;
    agent.wallBaseAt = now;
    WaitingClaim waiting;
    waiting.request = request;
    waiting.arrivedAt = now;
    if (auto error = checkRequest(agent, request, waiting.createdAt)) {
        refuse(step, request.call, std::move(*error));
        return;
    }
    if (agent.draining) {
        refuse(step, request.call, undecidedError(agent, request, ErrorKind::Draining, "this router is stopping"));
        return;
    }
    if (agent.waitingCount >= agent.options.maxWaiting) {
        auto error = undecidedError(agent, request, ErrorKind::Overloaded, "too many claims wait for the platform");
        error.retryAfter = agent.options.inProgressRetryAfter;
        refuse(step, request.call, std::move(error));
        return;
    }
    const auto index = claimShard(request.key, agent.options.shardCount);
    if (agent.away) {
        if (!answerWhileAway(step, index, waiting)) {
            refuse(step, request.call, awayError(step, waiting));
        }
        return;
    }
    waiting.sequence = agent.nextSequence++;
    ++agent.waitingCount;
    agent.shardOfCall[request.call] = index;
    auto &shard = agent.shards[index];
    const bool scheduled = shard.operation || (!shard.waiting.empty() && shard.dueAt && *shard.dueAt > now);
    shard.waiting.push_back(std::move(waiting));
    if (scheduled) {
        shard.dueAt = shard.dueAt ? std::min(*shard.dueAt, request.giveUpAt) : request.giveUpAt;
        return;
    }
    pump(step, index);
}

bool claimStillValid(const ClaimAgent &agent, CallId call, TimePoint now)
{
    // A router that was paused after the grant would send long after its caller was told "unknown". That send would
    // still be the only one, since no other router takes the claim over, but nobody waits for it any more.
    const auto held = agent.held.find(call);
    return held != agent.held.end() && now - held->second.grantedAt <= agent.options.grantValidity;
}

void finishClaim(ClaimAgent &agent,
                 CallId call,
                 ClaimOutcome outcome,
                 std::string answer,
                 WallTime wallNow,
                 TimePoint now,
                 Actions &out)
{
    Step step{agent, now, out};
    agent.wallBase = wallNow;
    agent.wallBaseAt = now;
    if (const auto found = agent.held.find(call); found != agent.held.end()) {
        const auto held = found->second;
        agent.held.erase(found);
        OwnChange change{held.key, held.sequence, outcome, std::move(answer), call, now};
        addChange(step, agent.shards[held.shard], std::move(change));
        pump(step, held.shard);
        return;
    }
    const auto found = agent.shardOfCall.find(call);
    if (found == agent.shardOfCall.end()) {
        out.emplace_back(ClaimFinished{call});
        return;
    }
    const auto index = found->second;
    auto &shard = agent.shards[index];
    const auto claim = std::find_if(shard.waiting.begin(), shard.waiting.end(), [&](const WaitingClaim &waiting) {
        return waiting.request.call == call;
    });
    const auto waiting = std::move(*claim);
    shard.waiting.erase(claim);
    dropWaiting(step, shard, waiting, call);
    pump(step, index);
}

void onKvReply(ClaimAgent &agent, const KvReply &reply, TimePoint now, Actions &out)
{
    const auto found = agent.shardOfTag.find(reply.tag);
    if (found == agent.shardOfTag.end()) {
        return;
    }
    Step step{agent, now, out};
    settleOperation(step, found->second, reply);
}

void onTick(ClaimAgent &agent, TimePoint now, Actions &out)
{
    Step step{agent, now, out};
    timeOutOperations(step);
    if (agent.away && now >= agent.nextProbeAt) {
        probe(step);
    }
    pumpBusy(step, true);
}

std::optional<TimePoint> nextWake(const ClaimAgent &agent)
{
    std::optional<TimePoint> wake;
    if (agent.away) {
        wake = agent.nextProbeAt;
    }
    for (const auto index : agent.busy) {
        const auto &due = agent.shards.at(index).dueAt;
        if (due) {
            wake = wake ? std::min(*wake, *due) : *due;
        }
    }
    return wake;
}

void setClaimWriteRate(ClaimAgent &agent, double writesPerSecond)
{
    agent.options.writesPerSecond = writesPerSecond;
}

void setLiveRouters(ClaimAgent &agent, std::vector<Incarnation> live)
{
    agent.live = std::set<Incarnation>(live.begin(), live.end());
}

void onRouterGone(ClaimAgent &agent, const Incarnation &router, TimePoint now, Actions &out)
{
    Step step{agent, now, out};
    agent.live.erase(router);
    if (agent.gone.size() >= MaxGoneRouters) {
        // Forgotten ones are neither live nor gone: their claims are answered "unknown" after a grace.
        agent.gone.clear();
    }
    agent.gone.insert(router);
    pumpBusy(step, true);
}

void drainClaims(ClaimAgent &agent, TimePoint now, Actions &out)
{
    Step step{agent, now, out};
    agent.draining = true;
    pumpBusy(step, false);
}

bool claimsDrained(const ClaimAgent &agent)
{
    return agent.draining && agent.held.empty() && agent.waitingCount == 0 && agent.changeCount == 0;
}

} // namespace Godwit
