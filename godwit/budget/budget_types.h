#pragma once

// The settings, events and actions of the prepaid budgets, as plain values.
//
// Example:
//   for (const BudgetAction &action : actions) {
//       if (const auto *granted = std::get_if<ReservationGranted>(&action)) {
//           startCall(granted->call);
//       }
//   }

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/kv.h"
#include "godwit/base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Godwit
{

// The top byte of every KvCommand tag that the budgets emit.
constexpr std::uint64_t BudgetTagSpace = 0x01ULL << 56;

// Takes single safeguards out, so that tests can show what each of them prevents. Never set outside of tests.
struct BudgetFaults
{
    bool repeatUnknownWrites = false; // Applies a write again without asking whether it took effect.
    bool releaseBeforeRecord = false; // Reports a bill durable at once.
    bool ignoreClosing = false; // A router goes on although its ledger was closed.
    bool ignoreSeal = false; // A sealed witness still accepts copies.
    bool closeWithoutSeal = false; // Closes a router without hearing one witness of each group.
    bool releaseOnOneWitness = false; // Releases when one witness has the bill instead of the whole group.
    bool skipFoldMark = false; // Folds bills without looking at what was folded before.
    bool skipDuplicateKeys = false; // Bills the second call of an equal request key too.
    bool spendWhileReturning = false; // Counts an amount as spendable while its return may still take effect.
    bool keepOldWitnesses = false; // Releases on the new witnesses before the ledger names them for sure.
};

// How one customer's budget trades few false refusals against little stranded in idle routers.
struct BudgetRule
{
    // The part of what is left that routers may hold ahead, shared by their demand and up to their demand for
    // `BudgetOptions::outageCover`. 0: a router takes only what waiting calls need. Overspend is zero for every value.
    double reserveShare = 0.9;
};

// Settings of one router. The defaults fit eight routers and some tens of budgets.
struct BudgetOptions
{
    DataCentreId dataCentre;
    // Seeds the jitter of retries; pass another value to each router.
    std::uint64_t seed = 1;
    // Number of shard keys. Equal at all routers and at the operators' tool, and fixed once budgets exist.
    std::uint32_t shardCount = 64;
    // Writes a second that the whole fleet may spend on budgets; a router takes its part by the number of peers.
    double fleetWritesPerSecond = 60;
    // The same for reads. Beyond it, calls that can't be met are refused by what was seen last.
    double fleetReadsPerSecond = 400;
    // A slice is sized to serve its router's demand for so long without the platform.
    Duration outageCover = std::chrono::minutes(10);
    // The longest time that a bill stays unfolded when the write allowance permits.
    Duration foldInterval = std::chrono::seconds(5);
    // The longest time that a bill stays out of the ledger while witnesses have it.
    Duration ledgerInterval = std::chrono::seconds(1);
    // A slice without demand goes back after this time.
    Duration idleReturnAfter = std::chrono::minutes(2);
    // Bills that may wait for the platform; more refuse new reservations.
    std::size_t maxTailBills = 32768;
    // How long the oldest bill may wait for its release before new reservations are refused.
    Duration maxReleaseWait = std::chrono::seconds(2);
    // How long a bill waits for the witnesses in other data centres before those in its own suffice.
    Duration farPatience = std::chrono::milliseconds(300);
    // A record seen so recently may answer a call that can't be met, when reads are short.
    Duration recordFreshFor = std::chrono::milliseconds(250);
    // How long a call that can't be met waits for other routers to return what they don't need.
    Duration gatherTime = std::chrono::milliseconds(250);
    // A copy that was not acknowledged is sent again after this time.
    Duration copyResend = std::chrono::milliseconds(200);
    // A platform command without a reply counts as KvStatus::Unknown after this time.
    Duration commandTimeout = std::chrono::seconds(5);
    // An incarnation that holds a slice but was no peer for so long is closed.
    Duration orphanGrace = std::chrono::minutes(1);
    // The n-th choice among the closers of a router waits n times as long before it acts.
    Duration closeStagger = std::chrono::seconds(3);
    // Request keys that each shard remembers in order to bill a repeated request once.
    std::size_t billedKeysKept = 4096;
    BudgetFaults faults;
};

// A live router as the membership sees it.
struct BudgetPeer
{
    Incarnation incarnation;
    DataCentreId dataCentre;
};

// The worst case of one call, to be set aside before the call may run.
struct Reservation
{
    CallId call;
    RequestKey key;
    BudgetId budget;
    Tokens worstCase = 0;
    // The call is refused when it is not granted by then.
    TimePoint giveUpAt;
};

// The call may run; its worst case is set aside until settle() or cancelReservation().
struct ReservationGranted
{
    CallId call;
};

// The call must not run here.
//
// BudgetExhausted: less is left than the worst case, whoever holds it. BudgetBusy: the rest is reserved or held;
// see `holders`. PlatformAway: this router holds too little and can't draw, or too many bills wait for release.
// UnknownBudget: the platform has no such budget.
struct ReservationRefused
{
    CallId call;
    Error error;
    // Live routers that held a part when the record was last seen, most first; may be empty.
    std::vector<Incarnation> holders;
};

// The bill is safe: the last chunk may be released to the caller.
struct BillDurable
{
    CallId call;
    Tokens billed = 0;
    // An earlier call with an equal request key was billed; this one costs nothing.
    bool duplicate = false;
};

// The bill can't be recorded any more: the caller must not get the last chunk.
struct BillLost
{
    CallId call;
    Error error;
};

// A message for another router's onPeerMessage(). It may be lost, doubled or late.
struct PeerSend
{
    Incarnation to;
    std::string cbor;
};

// Other routers closed this incarnation. The process needs a new Incarnation and a new BudgetAgent.
struct IncarnationClosed
{
};

using BudgetAction =
    std::variant<KvCommand, ReservationGranted, ReservationRefused, BillDurable, BillLost, PeerSend, IncarnationClosed>;

} // namespace Godwit
