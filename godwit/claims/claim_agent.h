#pragma once

// At most once: claims on not-repeatable requests, written to the platform before the first byte reaches an endpoint.
//
// Claims are grouped into shards by the hash of their key. Each shard is one value, changed by compare-and-swap, with
// one operation in flight a shard; further claims and outcomes join the next write. All functions are pure: commands
// to the platform and decisions come back as actions, replies and time are passed in.
//
// What the execution of a refusal means: it speaks of the request (all calls with its key), not only of this call. A
// claim that was refused without being granted says NotRun only when the caller vouches that it never sent the id
// before (ClaimRequest::firstSend). It says Unknown otherwise: an earlier call may have run at another router, even
// since the record was read. After a grant, NotRun is certain for as long as nothing was sent.
//
// Example:
//   ClaimAgent agent = makeClaimAgent(self, ClaimOptions{});
//   std::vector<ClaimAction> actions;
//   claim(agent, request, now, actions);               // KvCommand
//   onKvReply(agent, reply, now, actions);             // ClaimGranted
//   if (claimStillValid(agent, call, now)) { ...send... }
//   finishClaim(agent, call, ClaimOutcome::Ran, answer, wallNow, now, actions); // KvCommand, later ClaimFinished

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/kv.h"
#include "godwit/base/time.h"
#include "godwit/claims/claim_record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Godwit
{

// The top byte of each KvCommand::tag of this component.
constexpr std::uint64_t ClaimTagSpace = 0x02ULL << 56;

// Takes safeguards out, so that a test can show that they are needed. All off in production.
struct ClaimFaults
{
    // Grants a claim whose write got no answer, without reading it again.
    bool grantOnUnknownWrite = false;
    // Takes over the claims of routers that are gone.
    bool takeOverGoneClaims = false;
    // Drops the claim of a write that got no answer instead of clearing it.
    bool forgetLostWrites = false;
    // Says "not run" whenever this call was not run.
    bool notRunWithoutProof = false;
    // Drops old claims without moving the horizon.
    bool trimWithoutHorizon = false;
    // Accepts any id of any age.
    bool ignoreAge = false;
    // Grants before the write is answered.
    bool grantBeforeWrite = false;
    // Answers from the last record read, however old.
    bool trustStaleRecord = false;
};

struct ClaimOptions
{
    // Must be equal at all routers and never change while claims are kept. More shards make smaller records, which are
    // read and written whole; fewer let more claims share a write.
    std::uint32_t shardCount = 256;
    // How old an id may be when it is claimed. Records grow with it.
    Duration retention = std::chrono::minutes(30);
    // How far two hosts' wall clocks, and a caller's, may be apart.
    Duration clockSkew = std::chrono::seconds(30);
    // How long an answer is kept for replay; its claim is kept for the whole retention.
    Duration answerRetention = std::chrono::minutes(10);
    // Longer answers are not kept: a repeat then learns that it ran, not what was answered.
    std::size_t maxAnswerBytes = 4096;
    // Longer keys are refused as malformed, so that one key can't fill a shard.
    std::size_t maxKeyBytes = 256;
    // Bound of one stored record, below the platform's limit of a megabyte.
    std::size_t maxRecordBytes = 900'000;
    // How long a grant may wait before its first byte is sent.
    Duration grantValidity = std::chrono::seconds(5);
    // A claim older than this is answered "unknown" though its holder is live: the holder lost track of it.
    Duration longestRun = std::chrono::minutes(15);
    // How long a claim of a router that is neither known as live nor as gone is answered "in progress".
    Duration unknownHolderGrace = std::chrono::seconds(30);
    // When a caller that met a running request should come back.
    Duration inProgressRetryAfter = std::chrono::seconds(1);
    // An operation without a reply for so long counts as KvStatus::Unknown.
    Duration replyTimeout = std::chrono::seconds(3);
    // A record seen longer ago is read again before it is written over: others have written meanwhile, and a read is
    // cheaper to the platform than a write that comes to nothing.
    Duration recordFreshFor = std::chrono::milliseconds(20);
    // So many failed operations in a row, over all shards, count as an outage of the platform.
    int awayAfterFailures = 2;
    // Between two probes while the platform is away; doubled up to the bound after each failure.
    Duration probeInterval = std::chrono::milliseconds(250);
    Duration maxProbeInterval = std::chrono::seconds(4);
    // Bounds of the wait between two tries of a write that others overtook; doubled with each try.
    Duration conflictBackoff = std::chrono::milliseconds(2);
    Duration maxConflictBackoff = std::chrono::milliseconds(100);
    // How long an outcome may wait for other work of its shard to share a write with.
    Duration finishGather = std::chrono::milliseconds(20);
    // The same while the write allowance is used up, so that claims, whose callers wait, get most of it.
    Duration pacedFinishGather = std::chrono::milliseconds(500);
    // When ClaimFinished is given though the outcome is not recorded yet; writing it goes on.
    Duration finishPatience = std::chrono::seconds(10);
    // This router's share of the platform's writes: a rate and how many it may save up. Beyond it claims wait for
    // one another and share writes.
    double writesPerSecond = 40;
    double writeBurst = 20;
    // The same for reads.
    double readsPerSecond = 100;
    double readBurst = 50;
    // Bound of claims that wait for an answer, and of outcomes that wait to be recorded.
    std::size_t maxWaiting = 20'000;
    // Bound of the records kept in memory between operations.
    std::size_t maxCachedBytes = 4'000'000;
    ClaimFaults faults;
};

struct ClaimRequest
{
    CallId call;
    RequestKey key;
    // Digest of the body and what else makes the request what it is.
    std::uint64_t bodyDigest = 0;
    // The caller's own statement of the id's age. It must be the same each time that the id is sent. Ignored when
    // the id is a UUIDv7, which embeds its age.
    std::optional<WallTime> createdAt;
    WallTime wallNow;
    // A claim that is still undecided then is refused.
    TimePoint giveUpAt;
    // The caller vouches that it never sent this id before.
    bool firstSend = false;
};

// The request may be sent now, once, while claimStillValid() says so.
struct ClaimGranted
{
    CallId call;
};

// It ran before: this was its answer, as given to finishClaim().
struct ClaimReplay
{
    CallId call;
    std::string answer;
};

// InProgress, OutcomeUnknown, IdTooOld, PayloadDiffers, PlatformAway, Overloaded or MalformedRequest.
struct ClaimRefused
{
    CallId call;
    Error error;
};

// The outcome is recorded, or recording it goes on without the call.
struct ClaimFinished
{
    CallId call;
};

using ClaimAction = std::variant<KvCommand, ClaimGranted, ClaimReplay, ClaimRefused, ClaimFinished>;

enum class ClaimOutcome {
    Ran,
    NotRun, // Certainly not executed: the id may be claimed again.
    Unknown,
};

namespace internal
{

// A claim that waits for its shard's record or write.
struct WaitingClaim
{
    ClaimRequest request;
    WallTime createdAt;
    TimePoint arrivedAt;
    std::uint64_t sequence = 0;
    // It was part of a write that may stand, or may still come to stand.
    bool mayStand = false;
};

// A granted claim whose outcome is awaited.
struct HeldClaim
{
    RequestKey key;
    std::uint64_t sequence = 0;
    std::uint32_t shard = 0;
    TimePoint grantedAt;
};

// A change that this router makes to its own entry: an outcome to record or a claim to take back.
struct OwnChange
{
    RequestKey key;
    std::uint64_t sequence = 0;
    ClaimOutcome outcome = ClaimOutcome::NotRun;
    std::string answer;
    // Absent: nobody waits for it.
    std::optional<CallId> call;
    TimePoint since;
};

// The operation in flight of a shard.
struct ShardOperation
{
    std::uint64_t tag = 0;
    bool write = false;
    TimePoint sentAt;
    // For a write: the version that it replaces and what it puts there.
    std::uint64_t expectedVersion = 0;
    ClaimRecord record;
    std::size_t bytes = 0;
};

struct ClaimShard
{
    // The last record that was seen; absent when there is none or it was dropped to save memory.
    std::optional<ClaimRecord> record;
    std::size_t recordBytes = 0;
    std::uint64_t version = 0;
    // When the operation that showed the record was sent.
    TimePoint seenAt;
    // The version that an unanswered write was to replace: while the record stands at it, that write may still land.
    std::optional<std::uint64_t> lostWriteOver;

    std::vector<WaitingClaim> waiting;
    std::vector<OwnChange> changes;
    std::optional<ShardOperation> operation;
    // A unit of the write allowance is put aside for the write that follows a read.
    bool hasWriteUnit = false;

    // No new operation before this.
    TimePoint notBefore;
    Duration backoff{};
    // When the shard has to be looked at next; absent when it is idle.
    std::optional<TimePoint> dueAt;
    std::uint64_t lastUse = 0;
};

} // namespace internal

namespace internal
{

// A rate with savings: one operation takes one unit.
struct Allowance
{
    double units = 0;
    TimePoint at;
};

} // namespace internal

// Figures since the start, for metrics.
struct ClaimCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t lostAnswers = 0;
    std::uint64_t granted = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused = 0;
    std::uint64_t trimmed = 0;
    // Outcomes that were dropped unrecorded, because too many waited.
    std::uint64_t droppedOutcomes = 0;
};

// The state of one router's claims. A plain value; its fields are the component's own.
struct ClaimAgent
{
    ClaimOptions options;
    Incarnation self;
    std::uint64_t nextTag = 1;
    std::uint64_t nextSequence = 1;
    std::uint64_t useClock = 0;
    std::map<std::uint32_t, internal::ClaimShard> shards;
    // Shards with an operation in flight, waiting claims or changes.
    std::set<std::uint32_t> busy;
    // The shard after which the next round over the busy ones begins.
    std::uint32_t lastServed = 0;
    std::unordered_map<std::uint64_t, std::uint32_t> shardOfTag;
    // The shards of claims that wait.
    std::unordered_map<CallId, std::uint32_t> shardOfCall;
    std::unordered_map<CallId, internal::HeldClaim> held;
    std::set<Incarnation> live;
    std::set<Incarnation> gone;
    std::size_t waitingCount = 0;
    std::size_t changeCount = 0;
    std::size_t cachedBytes = 0;
    // The wall clock at a moment of the monotonic one.
    WallTime wallBase;
    TimePoint wallBaseAt;
    int failures = 0;
    bool away = false;
    TimePoint nextProbeAt;
    Duration probeInterval{};
    // Some shard waits for the write allowance: the others take their turn behind it.
    bool paced = false;
    internal::Allowance writes;
    internal::Allowance reads;
    bool draining = false;
    ClaimCounters counters;
};

// Returns an agent without claims. `self` must never have been used by an earlier agent.
ClaimAgent makeClaimAgent(const Incarnation &self, const ClaimOptions &options);

// Asks for the right to run a request once. Answered, now or later, by exactly one of ClaimGranted, ClaimReplay and
// ClaimRefused. The call id must not be in use by another claim.
void claim(ClaimAgent &agent, const ClaimRequest &request, TimePoint now, std::vector<ClaimAction> &out);

// Whether the first byte of a granted request may still be sent. False after ClaimOptions::grantValidity and for
// calls that hold no claim; finish the claim as NotRun then.
bool claimStillValid(const ClaimAgent &agent, CallId call, TimePoint now);

// Records how a granted call ended; answered by ClaimFinished. Also takes back a claim that is not answered yet: no
// other answer follows then. `answer` is kept for repeats when the call ran and the answer is short enough. A call
// without a claim is answered by ClaimFinished at once.
void finishClaim(ClaimAgent &agent,
                 CallId call,
                 ClaimOutcome outcome,
                 std::string answer,
                 WallTime wallNow,
                 TimePoint now,
                 std::vector<ClaimAction> &out);

// Takes the reply to a command of this agent. Replies to unknown or settled tags are ignored.
void onKvReply(ClaimAgent &agent, const KvReply &reply, TimePoint now, std::vector<ClaimAction> &out);

// Does what is due at `now`.
void onTick(ClaimAgent &agent, TimePoint now, std::vector<ClaimAction> &out);

// When onTick() has to be called at the latest; absent when nothing is due.
std::optional<TimePoint> nextWake(const ClaimAgent &agent);

// Sets this router's share of the platform's writes, such as when the number of routers changes.
void setClaimWriteRate(ClaimAgent &agent, double writesPerSecond);

// The routers that are known to be live; claims of others are answered "unknown" after a grace.
void setLiveRouters(ClaimAgent &agent, std::vector<Incarnation> live);

// From now on claims of `router` are answered "unknown". They are never run by another router: `router` may only be
// paused and may still send what it was granted.
void onRouterGone(ClaimAgent &agent, const Incarnation &router, TimePoint now, std::vector<ClaimAction> &out);

// Refuses new claims as Draining and writes outcomes without waiting for company.
void drainClaims(ClaimAgent &agent, TimePoint now, std::vector<ClaimAction> &out);

// Whether a draining agent holds nothing more: no granted call, no unrecorded outcome, no claim to take back.
bool claimsDrained(const ClaimAgent &agent);

// The shard of `key`, for those who look for hot shards.
std::uint32_t claimShard(const RequestKey &key, std::uint32_t shardCount);

} // namespace Godwit
