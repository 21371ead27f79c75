#pragma once

// One router's share of the customers' prepaid totals: what it may spend now, and what it writes to the platform's
// store.
//
// A router spends only below two limits, both of which are in the store before any of the tokens are spent:
//   - its grant in the ledger, which no other router can spend. A grant stays charged until its holder, or the next
//     process on the same host, returns it, so that no router has to decide whether a silent one is dead;
//   - its mark. The limit of a mark is fixed for a time after the write and then grows at a fixed rate, for at most
//     MarkGrowthPeriod. The next process on the same host charges what the mark allowed its predecessor and returns the
//     rest of the grant. A router that cannot write its mark therefore keeps serving for the length of a usual store
//     outage, as far as its grant allows, and a crash costs what may have been spent since the last mark rather than
//     the whole grant. The age of a mark is measured by the host's clocks, which both processes share. Leases of the
//     platform are not used for this, since they may pause or expire while the platform is down.
//
// Each customer has one home router (`ShareAccount::isHome`), which draws grants ahead of requests; the other routers
// request from it what each request needs. After a crash of the whole fleet only the write-ahead of the marks is
// unaccounted for. One mark for each customer, rather than one for each router and customer, keeps this to a few
// requests instead of a twentieth of the budget.
//
// Tokens move between routers in messages: the sender deducts them at once, the receiver adds them on arrival. A lost
// message costs tokens but never causes an overspend.
//
// Pure: functions of (state, event, now). The owner performs the writes and reports their outcome.
//
// Example:
//   noteRequest(share, customer, 1200, now);
//   if (reserve(share, customer, 1200)) { ... settle(share, customer, 1200, 950); }
//   if (auto write = planWrite(share, now, hostTime)) { store(*write); }  // then onWriteDone(), onWriteRefused() ...

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
    HostTime startedAt; // Start of this process.
    // A grant covers the recent demand for this long. Store outages last some 9 s.
    Duration grantPeriod = std::chrono::seconds(12);
    // Write-ahead of a mark: its limit exceeds the current usage by the demand of this period, and is fixed for as
    // long. A process is usually restarted within some 2 s of its end, while the limit is still fixed, and so charges
    // just the limit. A router that cannot reach the store continues without a pause.
    std::chrono::milliseconds markWriteAhead{2300};
    // Upper bound of the write-ahead of customers that have more left: their request rate may rise while the limit is
    // fixed.
    std::chrono::milliseconds maxWriteAhead{3500};
    // Customers that will exhaust their total within this time at the present demand get tight marks. What is
    // unaccounted for after a crash is missing at the end of the budget, and a loss of a twentieth of the total would
    // refuse every request still to come. Other customers have enough left.
    Duration tightMarkThreshold = std::chrono::seconds(18);
    // Write-ahead of tight marks, as a fraction of the total. Their limit stays fixed for longer than the write-ahead
    // covers: during a store outage such a customer waits for the difference.
    double tightWriteAheadFraction = 0.012;
    // Upper bound of that write-ahead, as a fraction of what remains, so that a crash does not take all that is
    // reserved for small requests.
    double tightWriteAheadRemainingFraction = 0.25;
    std::chrono::milliseconds minTightWriteAhead{300};
    std::chrono::milliseconds tightFixedPeriod{2300};
    // A mark is rewritten after this fraction of its fixed period, so that a successor finds a recent one.
    double markRefreshFraction = 0.33;
    // A successor adds this to the age of a mark: a clock may have been set back by this much, in small steps, without
    // being noticed.
    std::chrono::milliseconds markAgeMargin{250};
    // Growth rate of a mark's limit after its fixed period, as a multiple of the demand, since the demand may rise.
    double markGrowthFactor = 2;
    // The limit grows faster than the demand only up to this fraction of the total per second. A crash during a store
    // outage charges all of the growth; without this bound a customer at five times its usual demand would lose half of
    // its total.
    double fastGrowthFraction = 0.02;
    // If uptime and time of day differ by no more than this over the same span, only the uptime is used, as it is never
    // stepped. Smaller than `markAgeMargin`, so that an accidental agreement is harmless.
    std::chrono::milliseconds clockAgreement{100};
    // If uptime and time of day differ by more than this over the same span, they do not belong to the same boot of the
    // host.
    std::chrono::milliseconds clockTolerance{3000};
    // Minimum time between two marks, unless a request waits.
    std::chrono::milliseconds minMarkInterval{250};
    // Target rate of mark writes of the whole fleet. In a large fleet each router writes its mark less often.
    double fleetMarksPerSecond = 28;
    // A grant is refilled when less than the demand of this time is left of it, or at once if a request waits. In a
    // large fleet the increase of the mark interval is subtracted, so that one write carries both.
    Duration refillThreshold = std::chrono::milliseconds(10500);
    // Period of its own demand for which a router keeps tokens when another one requests some.
    Duration lendingReserve = std::chrono::seconds(2);
    // Time constants of the two moving averages of the demand, of which the higher is used: the short one follows
    // bursts, the long one prevents a lull from returning the whole grant. The short one is weighted: at low rates
    // every single request would look like a burst and strand tokens.
    Duration shortTimeConstant = std::chrono::seconds(2);
    Duration longTimeConstant = std::chrono::seconds(6);
    double shortWeight = 0.6;
    // The averages of a new customer are normalised to the time since its first request, but to no less than this.
    Duration minRateWindow = std::chrono::milliseconds(1500);
    // Minimum time between two writes for waiting requests.
    Duration urgentInterval = std::chrono::milliseconds(40);
    // Without demand, a router draws this fraction of the unallocated tokens, ready for the first calls.
    double idleFraction = 0.5;
    // A budget is near its end when less than this fraction of its total remains. Routers then send unused tokens to
    // the customer's home and exchange the demand by request size.
    double nearEndFraction = 0.15;
    // Near the end of a budget, tokens are reserved for requests smaller than the one at hand: the demand of each
    // smaller size over this time, multiplied by the logarithm of the ratio of the sizes. One large request would
    // otherwise take the tokens of many small ones. Zero: first come, first served.
    Duration smallRequestReserveTime = std::chrono::seconds(8);
    // Upper bound of that reserve, as a fraction of the total: little stays unused if no more requests arrive.
    double smallRequestReserveFraction = 0.02;
    // A draw smaller than this fraction of a mean request is skipped unless a request waits for it.
    double minDrawFraction = 0.5;
    // Tokens are returned when the unused grant exceeds its target by this factor.
    double returnThresholdFactor = 1.4;
};

// Request sizes in half octaves: each class is about 1.4 times the size of the one below.
using SizeClass = int;

// Recent demand for one customer at this router, as exponentially decaying sums.
struct RecentDemand
{
    double shortSum = 0;
    double longSum = 0;
    TimePoint at; // Time of the last update of the sums.
    TimePoint since; // Time of the first request.
};

struct ShareAccount
{
    Tokens netUsed = 0; // Tokens used and sent to others, less received.
    Tokens reserved = 0; // Upper bound on the usage of requests in progress.
    Tokens granted = 0; // As acknowledged by the store.
    Mark mark; // As acknowledged by the store.
    RecentDemand demand;
    double meanRequestSize = 0; // Moving average.
    std::map<SizeClass, RecentDemand> demandBySize;
    Tokens shortfall = 0; // Tokens that waiting requests lack.
    Tokens total = 0;
    bool bounded = false; // The customer has a prepaid total.
    bool isHome = true; // This router is the customer's home and draws grants ahead of requests.
};

// A request of another router for tokens, queued here until a write has made enough available.
struct TransferRequest
{
    HolderId from;
    CustomerId customer;
    Tokens needed = 0;
    TimePoint deadline; // When the call that needs the tokens stops waiting.
};

// Tokens to send to another router.
struct TokenTransfer
{
    HolderId to;
    CustomerId customer;
    Tokens amount = 0;
};

// A write that the owner performs as one transaction, conditional on both revisions.
struct ShareWrite
{
    std::optional<std::string> ledger; // Unset: the ledger is not written, and its revision is not checked.
    std::uint64_t ledgerRevision = 0; // 0 if the record does not exist.
    std::string mark;
    std::uint64_t markRevision = 0;
};

// What another router last reported about its part of one customer's budget.
struct PeerHolding
{
    Tokens spendable = 0; // Tokens that it could spend or send now.
    Tokens unused = 0; // Unused part of its grant.
    double demandPerSecond = 0;
    std::map<SizeClass, double> demandBySize; // Tokens per second.
    Tokens unallocated = 0; // Unallocated tokens in the ledger at `ledgerRevision`.
    std::uint64_t ledgerRevision = 0;
    Tokens remaining = 0; // Its own maxRemaining().
    TimePoint limitGrowsAt; // When its mark's limit starts to grow, unless the mark is rewritten before.
};

struct PrepaidShare
{
    PrepaidOptions options;
    std::map<CustomerId, ShareAccount> accounts;
    std::set<CustomerId> activeCustomers; // Customers with recent demand here.
    std::uint64_t documentVersion = 0;
    int markWriters = 1; // Number of routers that are home to a customer and so write marks.
    std::deque<TransferRequest> transferRequests; // In order of arrival.
    std::map<CustomerId, std::map<HolderId, PeerHolding>> peerHoldings;

    PrepaidLedger ledger; // As last read or written.
    std::uint64_t ledgerRevision = 0;
    std::uint64_t markRevision = 0;
    bool ledgerKnown = false; // If false, the records must be read before the next write.
    bool predecessorSettled = false; // The tokens held by an earlier process on this host are accounted for.
    // When the newest mark record that may be in the store was written; it may also still be in flight.
    HostTime markWrittenAt;
    HostTime previousMarkWrittenAt; // The value before the open write.
    // The shortest fixed period of the marks in that record.
    std::chrono::milliseconds shortestFixedPeriod{};
    bool markLimitsFixed = false; // The limits of all marks are still fixed.
    // Age of that record at the last updateMarkAge(), by the clock that gives the smaller value.
    std::chrono::milliseconds markAge{};
    // Age of the mark record left by an earlier process on this host, by the clock that gives the larger value. Unset
    // if there was none, or if this host's clocks cannot determine its age.
    std::optional<std::chrono::milliseconds> predecessorMarkAge;

    bool writing = false;
    bool lastWriteWasReturn = false; // The open or last write returns all grants.
    bool ledgerContended = false; // The last write of the ledger lost to another router's.
    std::map<CustomerId, Tokens> pendingGrants; // Of the open write.
    std::map<CustomerId, Mark> pendingMarks;
    // Of writes with unknown outcome. They limit spending until a later write of this router succeeds: it changes the
    // revision of the mark record, so that the earlier writes can no longer take effect.
    std::map<CustomerId, Tokens> uncertainGrants;
    std::map<CustomerId, Mark> uncertainMarks;
    PrepaidLedger pendingLedger;
    bool pendingWritesLedger = false;
    TimePoint lastWriteAt;
    TimePoint previousWriteAt; // The value before the open write.
    bool returned = false; // All grants were returned; nothing more may be spent.
};

PrepaidShare makePrepaidShare(PrepaidOptions options);

// Applies the totals of a document, unless an older one than the last. A customer whose total was lowered spends
// nothing until the ledger has been read again: other routers may hold more than is left.
void applyTotals(PrepaidShare &share,
                 std::uint64_t documentVersion,
                 const std::map<CustomerId, std::optional<Tokens>> &totals);

// The time between two marks of this router, given the number of mark writers.
std::chrono::milliseconds markInterval(const PrepaidShare &share);

// Adds a request to the customer's recent demand at this router. To be called once for each request, on arrival.
void noteRequest(PrepaidShare &share, const CustomerId &customer, Tokens tokens, TimePoint now);

// How many of the customer's remaining tokens, fleet-wide, are reserved for requests smaller than this one.
Tokens smallRequestReserve(const PrepaidShare &share, const CustomerId &customer, Tokens tokens, TimePoint now);

// Whether a request of this size would take tokens that are reserved for smaller ones.
bool wouldUseSmallRequestReserve(const PrepaidShare &share, const CustomerId &customer, Tokens tokens, TimePoint now);

// demandPerSecond() by request size. Sizes with less than one token per second are omitted.
std::map<SizeClass, double> demandBySize(const PrepaidShare &share, const CustomerId &customer, TimePoint now);

// Drops the customer's demand by size, to free memory once its requests have ceased.
void clearDemandBySize(PrepaidShare &share, const CustomerId &customer);

// Whether reserve() would succeed.
bool canReserve(const PrepaidShare &share, const CustomerId &customer, Tokens tokens);

// Reserves `tokens`; false if the limits don't allow it. Always succeeds for customers without a total.
bool reserve(PrepaidShare &share, const CustomerId &customer, Tokens tokens);

// Ends a reservation of `reserved` tokens and charges `used`, which may be 0 and is capped at `reserved`.
void settle(PrepaidShare &share, const CustomerId &customer, Tokens reserved, Tokens used);

// Records that a request waits for `tokens`, so that the next write asks for them.
void noteShortfall(PrepaidShare &share, const CustomerId &customer, Tokens tokens);

// The customer's recent demand at this router, in tokens per second.
double demandPerSecond(const PrepaidShare &share, const CustomerId &customer, TimePoint now);

// Tokens that could be reserved now.
Tokens headroom(const PrepaidShare &share, const CustomerId &customer);

// Unused part of the grant, including what the mark does not yet allow.
Tokens unusedGrant(const PrepaidShare &share, const CustomerId &customer);

// Unallocated tokens in the ledger as last read or written by this router.
Tokens knownUnallocated(const PrepaidShare &share, const CustomerId &customer);

// Upper bound on the customer's remaining tokens in the whole fleet: whatever may be unused counts as unused.
Tokens maxRemaining(const PrepaidShare &share, const CustomerId &customer);

// Whether the budget is near its end, see PrepaidOptions::nearEndFraction. False for customers without a total.
bool isNearEnd(const PrepaidShare &share, const CustomerId &customer);

// Time until more of the customer's tokens can be spent than now, here or at its home; zero if only message latency
// stands in the way. During a store outage this is when the marks' limits start to grow: a caller that retries earlier
// is refused again.
Duration timeUntilLimitGrows(const PrepaidShare &share, const CustomerId &customer, TimePoint now);

// Amounts requested by another router.
struct TokenDemand
{
    Tokens shortfall = 0; // Needed by requests that wait there.
    Tokens wanted = 0; // The shortfall plus the expected demand of the next requests.
};

// Deducts tokens for another router and returns their amount, at most `demand.wanted`. The tokens that this router
// needs soon are kept, unless a request waits there and none waits here: near the end of a budget the waiting request
// can be served, while later ones here may never arrive.
Tokens sendTokens(PrepaidShare &share, const CustomerId &customer, const TokenDemand &demand, TimePoint now);

// Deducts all unused tokens, to be sent to another router.
TokenTransfer takeUnusedTokens(PrepaidShare &share, const CustomerId &customer, const HolderId &to);

// Handles another router's request for tokens that calls wait for. Returns the transfer if the tokens are available.
// Otherwise the request is queued, and counts as a shortfall in the next write.
std::optional<TokenTransfer> requestTransfer(PrepaidShare &share, TransferRequest request);

// Serves the queued requests that can be met now, in order, and drops the expired ones.
std::vector<TokenTransfer> serveTransferRequests(PrepaidShare &share, TimePoint now);

void receiveTokens(PrepaidShare &share, const CustomerId &customer, Tokens amount);

// Takes the ledger and this host's mark record as read from the store. `mark` is empty if there is none.
void onRecordsRead(PrepaidShare &share,
                   PrepaidLedger ledger,
                   std::uint64_t ledgerRevision,
                   const std::optional<MarkRecord> &mark,
                   std::uint64_t markRevision);

// Takes the ledger that another router has just written. A write must name the newest revision, so this avoids a write
// that would be refused only to learn of it.
void onLedgerUpdate(PrepaidShare &share, PrepaidLedger ledger, std::uint64_t ledgerRevision);

// The next write, if one is due. At most one write is open at a time.
std::optional<ShareWrite> planWrite(PrepaidShare &share, TimePoint now, const HostTime &hostTime);

// Updates the age of the marks; to be called often. Returns false while the limits of all marks are still fixed.
bool updateMarkAge(PrepaidShare &share, const HostTime &hostTime);

// Plans the return of all grants. Requires that no reservation is open; nothing can be reserved afterwards.
std::optional<ShareWrite> planReturn(PrepaidShare &share, TimePoint now);

void onWriteDone(PrepaidShare &share, std::uint64_t revision);

// The write definitely had no effect. `conditionFailed`: both records must be read before the next write.
void onWriteRefused(PrepaidShare &share, bool conditionFailed);

// It is unknown whether the write took or will take effect. Both records must be read before the next write.
void onWriteUnknown(PrepaidShare &share);

} // namespace Godwit
