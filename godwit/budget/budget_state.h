#pragma once

// What one router knows of the prepaid budgets: plain values that can be copied and compared at any point.
//
// Example: see budget_agent.h. Nothing but the functions of this package reads or writes these fields.

#include "godwit/budget/budget_types.h"
#include "godwit/budget/due_queue.h"
#include "godwit/budget/ledger_record.h"
#include "godwit/budget/slice_policy.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Godwit
{

// A reservation that is not settled yet.
struct BudgetCall
{
    BudgetId budget;
    std::uint64_t keyHash = 0;
    Tokens worstCase = 0;
    bool granted = false;
    TimePoint since;
};

// A settled call until its bill is folded into the budget's shard.
struct PendingBill
{
    CallId call;
    BudgetId budget;
    std::uint32_t shard = 0;
    std::uint64_t keyHash = 0;
    Tokens amount = 0;
    TimePoint settledAt;
};

// The part of one budget that this router may spend, and what it last saw of the rest.
struct BudgetSlice
{
    std::uint32_t shard = 0;
    // As the platform's record has it: covers `reserved`, `unfolded` and what is spendable.
    Tokens held = 0;
    // The most that a write without an answer may yet take off `held`.
    Tokens returning = 0;
    Tokens reserved = 0;
    // Settled, but not folded.
    Tokens unfolded = 0;
    // Calls that wait for a draw, first come first.
    std::vector<CallId> waiting;

    // From the record as last seen.
    bool seen = false;
    bool exists = false;
    bool scarce = false;
    TimePoint seenAt;
    Tokens free = 0;
    Tokens unbilled = 0;
    Tokens otherDemand = 0;
    int claimants = 1;
    // Whether this router gets the whole rest once little is left.
    bool home = false;
    std::vector<Incarnation> holders;

    DemandEstimate demand;
    TimePoint lastUsed;
    // Another router's calls wait for this budget; surplus goes back at once until then.
    TimePoint pressureUntil;
    TimePoint needSentAt;
};

// A slice as a write in flight would leave it.
struct ProposedSlice
{
    BudgetId budget;
    Tokens held = 0;
    Tokens free = 0;
    Tokens unbilled = 0;
    bool scarce = false;
};

enum class ShardPhase {
    Idle,
    Reading,
    Writing,
};

// The exchange with one shard record; one command in flight at most.
struct ShardSync
{
    ShardPhase phase = ShardPhase::Idle;
    // The version that the write in flight, or the last one without an answer, expects.
    std::uint64_t version = 0;
    // Number of the last write sent.
    std::uint64_t write = 0;
    // Whether the record is known to have carried this router's mark.
    bool marked = false;
    // Whether this router has taken its slices and mark out, as the last step of a drain.
    bool left = false;
    // A write had no answer and may yet take effect.
    bool uncertain = false;
    // One of those was the last step of a drain.
    bool leaveUncertain = false;
    // Something came up since the read in flight was sent.
    bool again = false;
    unsigned conflicts = 0;
    // Budgets to draw for, return from or look at.
    std::set<BudgetId> dirty;
    // Budgets touched by writes whose effect is not known.
    std::set<BudgetId> atRisk;
    // Sequence numbers of unfolded bills.
    std::set<std::uint64_t> bills;
    // The write in flight.
    std::vector<ProposedSlice> proposed;
    std::vector<std::uint64_t> duplicates;
    std::uint64_t proposedThrough = 0;
    bool proposedLeave = false;
};

// What decides about releases in one version of the own ledger.
struct LedgerTerms
{
    std::uint64_t epoch = 1;
    std::uint64_t write = 0;
    std::uint64_t recordedThrough = 0;
    WitnessGroups witnesses;
    std::set<std::uint32_t> shards;
};

// The own ledger; one command in flight at most.
struct OwnLedger
{
    // The tag of the command in flight; 0 when there is none.
    std::uint64_t tag = 0;
    KvVerb verb = KvVerb::Get;
    // The last version seen; 0 until the ledger is created.
    std::uint64_t version = 0;
    // A write had no answer, or a witness is sealed: read before the next write.
    bool needsRead = false;
    // Another router has set it to closing: reopen.
    bool closing = false;
    bool deleted = false;
    LedgerTerms stored;
    LedgerTerms proposed;
    // Writes on top of `version` that may yet take effect.
    std::vector<LedgerTerms> uncertain;
    std::set<std::uint32_t> wantedShards;
    WitnessGroups wantedWitnesses;
    std::uint64_t writes = 0;
    TimePoint lastWriteAt;
    TimePoint lastReadAt;
};

// The copies that go to one witness; one message in flight at most.
struct WitnessLink
{
    std::uint64_t acknowledged = 0;
    std::uint64_t sentThrough = 0;
    bool inFlight = false;
    bool suspect = false;
    bool sealed = false;
    TimePoint firstSentAt;
    TimePoint sentAt;
    unsigned resends = 0;
};

// The bills that this router keeps for another one.
struct WitnessedTail
{
    std::uint64_t epoch = 0;
    std::uint64_t through = 0;
    // Copies of this and earlier epochs are refused. Kept for good: a router that was paused for hours must still
    // be refused when it resumes.
    std::uint64_t sealedEpoch = 0;
    std::map<std::uint64_t, LedgerBill> bills;
};

enum class ClosingPhase {
    ReadLedger,
    MarkClosing,
    Seal,
    MarkClosed,
    ReadShard,
    WriteShard,
    ClearLedger,
};

// The closing of one gone router.
struct RouterClosing
{
    ClosingPhase phase = ClosingPhase::ReadLedger;
    TimePoint nextAt;
    std::uint64_t tag = 0;
    std::uint64_t version = 0;
    LedgerRecord ledger;
    // The tails of sealed witnesses.
    std::map<Incarnation, std::deque<LedgerBill>> tails;
    std::set<std::uint32_t> shardsLeft;
    unsigned attempts = 0;
    // The router had its time to reopen the ledger.
    bool graceGiven = false;
};

// A writer of shards that is no peer.
struct MissingWriter
{
    TimePoint since;
    // Where its mark was seen.
    std::set<std::uint32_t> shards;
};

enum class AgentLife {
    Open,
    Draining,
    Drained,
    Closed,
};

enum class CommandOwner {
    Shard,
    Ledger,
    Closing,
};

struct OpenCommand
{
    CommandOwner owner = CommandOwner::Shard;
    std::uint32_t shard = 0;
    Incarnation closing;
};

struct PlatformHealth
{
    unsigned failures = 0;
    TimePoint retryAt;
};

// Calls of the platform that this router may make now; refilled with time.
struct CallAllowance
{
    double credit = 1;
    TimePoint refilledAt;
};

// Request keys whose bills were released here, for repeats at the same router.
struct ReleasedKeys
{
    std::unordered_set<std::uint64_t> hashes;
    std::deque<std::uint64_t> order;
};

struct BudgetAgent
{
    Incarnation self;
    BudgetOptions options;
    AgentLife life = AgentLife::Open;
    std::uint64_t random = 0;

    std::map<Incarnation, DataCentreId> peers;
    std::unordered_map<BudgetId, BudgetRule> rules;
    std::unordered_map<BudgetId, BudgetSlice> slices;
    std::unordered_map<CallId, BudgetCall> calls;

    std::uint64_t lastSequence = 0;
    // Unfolded bills by sequence number.
    std::map<std::uint64_t, PendingBill> bills;
    // Sequence numbers of bills whose BillDurable is still to come.
    std::set<std::uint64_t> unreleased;
    ReleasedKeys releasedKeys;

    std::map<std::uint32_t, ShardSync> shards;
    OwnLedger ledger;
    std::map<Incarnation, WitnessLink> links;
    std::map<Incarnation, WitnessedTail> tails;
    std::map<Incarnation, RouterClosing> closings;
    std::map<Incarnation, MissingWriter> missing;

    PlatformHealth platform;
    CallAllowance writes;
    CallAllowance reads;
    std::uint64_t lastTag = BudgetTagSpace;
    std::unordered_map<std::uint64_t, OpenCommand> commands;

    DueQueue<std::uint32_t> shardDue;
    DueQueue<BudgetId> reviews;
    DueQueue<CallId> giveUps;
    DueQueue<std::uint64_t> timeouts;
    // When onTick() is next needed.
    std::optional<TimePoint> wakeAt;
};

} // namespace Godwit
