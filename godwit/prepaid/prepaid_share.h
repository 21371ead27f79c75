#pragma once

// One router's share of the customers' prepaid totals: what it may spend now, and what it asks of the platform.
//
// A router spends only below two limits, both written in the platform before anything is spent:
//   - its grant in the ledger, which no other router can spend. A grant stays charged until its holder, or the next
//     process on the same host, gives it back, so nobody has to decide whether a silent router is dead;
//   - its mark. Its limit stands for a fixed time after the mark was written and grows at a steady rate from then on.
//     The next process on the same host charges as far as the mark may have let its predecessor go, and gives the rest
//     of the grant back. So a router that can't write its mark may still go on, up to its grant, and a long loss of
//     the platform refuses nobody whose budget is held here; and a death costs what may have been spent since the
//     mark, rather than all that was held. The time is measured by the clocks of the host, which both processes
//     share; the platform's leases take no part, since they may pause or lapse while it is down.
// Of each customer only its home holds tokens ahead of requests (`holdsAhead`); the other routers ask the home for what
// each request needs. What nobody can account for after a death of all is what the marks ran ahead: with one mark for
// each customer instead of one for each router and customer it is a few requests, not a twentieth of the budget.
// Between routers tokens move by messages: the sender counts them as gone at once, the receiver as come when they
// arrive. A message that is lost costs tokens and never overspends.
//
// Pure: (state, event, now). The owner carries out the writes and reports how they ended.
//
// Example:
//   noteRequest(share, customer, 1200, now);
//   if (reserve(share, customer, 1200)) { ... settle(share, customer, 1200, 950); }
//   if (auto write = planWrite(share, now)) { store(*write); }  // then onWriteDone(), onWriteRefused() ...

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/prepaid/prepaid_record.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Godwit
{

struct PrepaidOptions
{
    HolderId self;
    Incarnation incarnation;
    HostTime startedAt; // Of this process.
    // How much of its recent demand a router holds: the platform is away for some 9 s at a time.
    Duration grantPeriod = std::chrono::seconds(12);
    // A mark's limit runs this time of demand ahead of what is used, and binds as long: processes are back within some
    // 2 s of their end and find a mark that still binds, so that they charge its limit and no more. A router that can't
    // reach the store goes on without a pause.
    std::chrono::milliseconds markWriteAhead{2300};
    // A customer that has more left gets a longer lead, up to this: while the mark binds more callers may come.
    std::chrono::milliseconds maxWriteAhead{3500};
    // A customer that will have used up its total within this time at its present demand is marked closely: whatever
    // nobody can account for after a death is missing at the end, and a twentieth of the total turns away everything
    // that is still due. The others have enough left.
    Duration tightMarkThreshold = std::chrono::seconds(18);
    // Close marks run ahead by this part of the total, within the bounds. They bind longer than they run ahead: where
    // the store is away such a customer waits for the difference.
    double tightWriteAheadFraction = 0.012;
    // They run ahead by this part of what is left at most, so that a death does not take all that is kept for small
    // requests.
    double tightWriteAheadRemainingFraction = 0.25;
    std::chrono::milliseconds minTightWriteAhead{300};
    std::chrono::milliseconds tightFixedPeriod{2300};
    // A mark is written anew when this part of the time that it binds has passed, so that a successor finds a young
    // one.
    double markRefreshFraction = 0.33;
    // A successor takes a mark for this much older than its clocks say: what a clock may be set back unnoticed in
    // small steps.
    std::chrono::milliseconds markAgeMargin{250};
    // How fast a mark's limit grows once it binds no more, as a multiple of the demand: a customer may ask for more
    // than it lately did.
    double markGrowthFactor = 2;
    // It grows faster than the demand only up to this part of the total a second: all of the growth is charged where a
    // death comes with a loss of the store, and a customer that sends five times its usual would lose half of its
    // total.
    double fastGrowthFraction = 0.02;
    // Where uptime and time of day differ by no more than this over the same span, the uptime, which makes no steps,
    // counts alone. Less than `markCaution`, so that a difference by chance does no harm.
    std::chrono::milliseconds clockAgreement{100};
    // Uptime and time of day that are further apart than this over the same span don't speak of the same host start.
    std::chrono::milliseconds clockTolerance{3000};
    // Marks are written no more often than this, but for requests that wait.
    std::chrono::milliseconds minMarkInterval{250};
    // In a large fleet each router writes its mark less often, so that the fleet as a whole writes this many a second.
    double fleetMarksPerSecond = 28;
    // A grant is asked for again when less than this is left of it, or at once when a request waits. In a large fleet
    // the time between two marks is taken off, so that one write carries both.
    Duration refillThreshold = std::chrono::milliseconds(10500);
    // What a router keeps for itself when another one asks for tokens.
    Duration lendingReserve = std::chrono::seconds(2);
    // Time constants of the two averages of the demand, of which the higher counts: the short one follows a burst,
    // the long one keeps a lull from giving everything back. The short one counts in part only: where requests are
    // few, each of them would look like a burst and strand tokens.
    Duration shortTimeConstant = std::chrono::seconds(2);
    Duration longTimeConstant = std::chrono::seconds(6);
    double shortWeight = 0.6;
    // The averages of a customer that has just come are corrected for their short past, which is taken to be at
    // least this long.
    Duration minRateWindow = std::chrono::milliseconds(1500);
    // Writes for a request that waits come at most this often.
    Duration urgentInterval = std::chrono::milliseconds(40);
    // With no demand yet, each router holds this part of its even share of what is left, ready for the first calls.
    double idleFraction = 0.5;
    // A budget with less than this part of its total left is near its end: what requests have left over goes to the
    // customer's home, and routers tell one another what sizes are asked for.
    double nearEndFraction = 0.15;
    // Of the last tokens the demand of each smaller size is kept from a request, for this long times the logarithm of
    // how many times smaller it is: one large request takes the tokens of many small ones. Zero: first come, first
    // served.
    Duration smallRequestReserveTime = std::chrono::seconds(8);
    // No more than this part of the total is kept, so that little is left unused if no more requests come.
    double smallRequestReserveFraction = 0.02;
    // A draw of less than this part of a usual request is left undone, unless a request waits for it.
    double minDrawFraction = 0.5;
    // More than this multiple of what it wants to hold goes back.
    double returnThresholdFactor = 1.4;
};

// Sizes of requests in half octaves: one class is some 1.4 times the one before.
using SizeClass = int;

// What a customer asked for here lately, as decaying sums.
struct RecentDemand
{
    double shortSum = 0;
    double longSum = 0;
    TimePoint at; // When the sums were last brought up to date.
    TimePoint since; // The first request.
};

struct ShareAccount
{
    Tokens netUsed = 0; // Used and sent to others, less received.
    Tokens reserved = 0; // Of requests under way, at their most.
    Tokens granted = 0; // As the platform has acknowledged.
    Mark mark; // As the platform has acknowledged.
    RecentDemand demand;
    double meanRequestSize = 0; // Of recent requests.
    std::map<SizeClass, RecentDemand> demandBySize;
    Tokens shortfall = 0; // What waiting requests lack.
    Tokens total = 0;
    bool bounded = false; // The customer has a prepaid total.
    bool isHome = true; // This router draws tokens before requests need them.
};

// Another router's wish that waits here until a write has made room for it.
struct TransferRequest
{
    HolderId from;
    CustomerId customer;
    Tokens needed = 0;
    TimePoint deadline; // Its request waits no longer.
};

// Tokens that leave for another router.
struct TokenTransfer
{
    HolderId to;
    CustomerId customer;
    Tokens amount = 0;
};

// A write that the owner carries out as one transaction, under the conditions on both revisions.
struct ShareWrite
{
    std::optional<std::string> ledger; // Unset: the ledger stays as it is, and its revision doesn't matter.
    std::uint64_t ledgerRevision = 0; // 0: absent.
    std::string mark;
    std::uint64_t markRevision = 0;
};

// What another router has lately said that it holds of one customer's budget.
struct PeerHolding
{
    Tokens spendable = 0; // It could spend or send this now.
    Tokens unused = 0; // What is left of its grant.
    double demandPerSecond = 0;
    std::map<SizeClass, double> demandBySize; // Tokens a second.
    Tokens unallocated = 0; // What was left to grant at `ledgerRevision`.
    std::uint64_t ledgerRevision = 0;
    Tokens remaining = 0; // By its own mayRemain().
    TimePoint limitGrowsAt; // When its mark will cease to bind, unless it is written anew before.
};

struct PrepaidShare
{
    PrepaidOptions options;
    std::map<CustomerId, ShareAccount> accounts;
    std::set<CustomerId> activeCustomers; // Accounts with demand here lately.
    std::uint64_t documentVersion = 0;
    int markWriters = 1; // Routers that are home to some customer, and so write marks.
    std::deque<TransferRequest> transferRequests; // In the order in which they came.
    std::map<CustomerId, std::map<HolderId, PeerHolding>> peerHoldings;

    PrepaidLedger ledger; // As last read or written.
    std::uint64_t ledgerRevision = 0;
    std::uint64_t markRevision = 0;
    bool ledgerKnown = false; // False: read before the next write.
    bool predecessorSettled = false; // What an earlier process on this host held is accounted for.
    // When the newest mark that may be in the platform was written; a mark may also be on its way.
    HostTime markWrittenAt;
    HostTime previousMarkWrittenAt; // The same without the open write.
    // The shortest time that one of that record's marks binds.
    std::chrono::milliseconds shortestFixedPeriod{};
    bool markLimitsFixed = false; // All of them.
    // Of that mark, when last looked at; by the clock that shows less.
    std::chrono::milliseconds markAge{};
    // Of the mark that an earlier process on this host left, by the clock that shows more; unset: there was none, or
    // none that this host's clocks can place.
    std::optional<std::chrono::milliseconds> predecessorMarkAge;

    bool writing = false;
    bool lastWriteWasReturn = false; // Everything is being given back.
    bool ledgerContended = false; // The last write that named the ledger was refused: another router was faster.
    std::map<CustomerId, Tokens> pendingGrants; // Of the open write.
    std::map<CustomerId, Mark> pendingMarks;
    // Of writes whose outcome nobody knows: they bind until a later write of this router stands, since that one
    // changes the mark's revision and so makes the earlier ones void.
    std::map<CustomerId, Tokens> uncertainGrants;
    std::map<CustomerId, Mark> uncertainMarks;
    PrepaidLedger pendingLedger;
    bool pendingWritesLedger = false;
    TimePoint lastWriteAt;
    TimePoint previousWriteAt; // The same without the open write.
    bool returned = false; // All was given back; nothing more may be spent.
};

PrepaidShare makePrepaidShare(PrepaidOptions options);

// Takes the totals of a newer document. A customer whose total went down spends nothing until the ledger has been
// read again: others may hold more than is left.
void applyTotals(PrepaidShare &share,
                 std::uint64_t documentVersion,
                 const std::map<CustomerId, std::optional<Tokens>> &totals);

// How often this router writes its mark, given how many do so.
std::chrono::milliseconds markInterval(const PrepaidShare &share);

// Counts a request that has just arrived towards the customer's recent demand here. Once for each request.
void noteRequest(PrepaidShare &share, const CustomerId &customer, Tokens tokens, TimePoint now);

// How many of the tokens that are left a request of this size has to leave to smaller ones, whoever holds them.
Tokens smallRequestReserve(const PrepaidShare &share, const CustomerId &customer, Tokens tokens, TimePoint now);

// Whether a request of this size would take tokens that are kept for smaller ones.
bool wouldUseSmallRequestReserve(const PrepaidShare &share, const CustomerId &customer, Tokens tokens, TimePoint now);

// demandPerSecond() by the size of requests; sizes with less than a token a second are left out.
std::map<SizeClass, double> demandBySize(const PrepaidShare &share, const CustomerId &customer, TimePoint now);

// Forgets the customer's demand by size. For customers whose requests have ceased: memory is for those that are served.
void clearDemandBySize(PrepaidShare &share, const CustomerId &customer);

// Reserves `tokens`, or says no. Customers without a total always get a yes.
bool reserve(PrepaidShare &share, const CustomerId &customer, Tokens tokens);

// Ends a reservation. `used` may be 0 and never exceeds what was reserved.
void settle(PrepaidShare &share, const CustomerId &customer, Tokens reserved, Tokens used);

// Notes that a request waits for `tokens`, so that the next write asks for them.
void noteShortfall(PrepaidShare &share, const CustomerId &customer, Tokens tokens);

// Tokens a second that the customer lately asked for here.
double demandPerSecond(const PrepaidShare &share, const CustomerId &customer, TimePoint now);

// What could be reserved now.
Tokens headroom(const PrepaidShare &share, const CustomerId &customer);

// What is left of the grant, also beyond the mark.
Tokens unusedGrant(const PrepaidShare &share, const CustomerId &customer);

// What the ledger had left to grant when it was last read or written here.
Tokens knownUnallocated(const PrepaidShare &share, const CustomerId &customer);

// What the customer may still have, anywhere in the fleet, counting as unused all that may be unused.
Tokens maxRemaining(const PrepaidShare &share, const CustomerId &customer);

// Whether little of the customer's total is left: see PrepaidOptions::nearEndPart. Never for one without a total.
bool isNearEnd(const PrepaidShare &share, const CustomerId &customer);

// How long it takes until more of the customer's tokens can be spent than now, here or at its home; zero when nothing
// but time on the way keeps them. While the store is away this is when the marks cease to bind: a caller that comes
// back sooner is refused again.
Duration timeUntilLimitGrows(const PrepaidShare &share, const CustomerId &customer, TimePoint now);

// What another router asks for.
struct TokenDemand
{
    Tokens shortfall = 0; // Of requests that wait there.
    Tokens wanted = 0; // The same and what the next requests will need.
};

// Tokens that leave for another router. Returns what was taken, at most `wanted`. What is needed here soon stays here,
// unless a request waits there and none here: near the end of a budget that one can be served and a later one may
// never come.
Tokens sendTokens(PrepaidShare &share, const CustomerId &customer, const TokenDemand &demand, TimePoint now);

// What lies idle here goes to another router.
TokenTransfer takeUnusedTokens(PrepaidShare &share, const CustomerId &customer, const HolderId &to);

// Another router needs tokens for requests that wait there. What can be sent at once is in the result; else the wish
// waits here, and counts as what a request lacks in the next write.
std::optional<TokenTransfer> requestTransfer(PrepaidShare &share, TransferRequest request);

// Those of the waiting wishes that can be met now, in their order; those whose time is over go.
std::vector<TokenTransfer> serveTransferRequests(PrepaidShare &share, TimePoint now);

void receiveTokens(PrepaidShare &share, const CustomerId &customer, Tokens amount);

// The ledger and this host's mark, as read from the platform. `mark` is empty when there is none.
void onRecordsRead(PrepaidShare &share,
                   PrepaidLedger ledger,
                   std::uint64_t ledgerRevision,
                   const std::optional<MarkRecord> &mark,
                   std::uint64_t markRevision);

// The ledger as another router has just written it. Knowing it saves the write that would find it out: a write is
// refused unless it names the newest revision.
void onLedgerUpdate(PrepaidShare &share, PrepaidLedger ledger, std::uint64_t ledgerRevision);

// The next write, if one is due. While one is open none is planned.
std::optional<ShareWrite> planWrite(PrepaidShare &share, TimePoint now, const HostTime &hostTime);

// Looks whether the marks still bind; call it often. True when they have just ceased to.
bool updateMarkAge(PrepaidShare &share, const HostTime &hostTime);

// Gives everything back. Only when no reservation is open; nothing can be reserved afterwards.
std::optional<ShareWrite> planReturn(PrepaidShare &share, TimePoint now);

void onWriteDone(PrepaidShare &share, std::uint64_t revision);

// The write certainly had no effect. `conditionFailed`: both records must be read before the next one.
void onWriteRefused(PrepaidShare &share, bool conditionFailed);

// Nobody knows whether the write took effect, or will: both records must be read before the next one.
void onWriteUnknown(PrepaidShare &share);

} // namespace Godwit
