#include "godwit/prepaid/prepaid_share.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Godwit
{
namespace
{

// Weight of the newest request in the mean size.
constexpr double MeanSizeNewest = 0.1;

void boundBy(Tokens &limit, const std::map<CustomerId, Tokens> &bounds, const CustomerId &customer)
{
    const auto found = bounds.find(customer);
    if (found != bounds.end()) {
        limit = std::min(limit, found->second);
    }
}

// An open or doubtful write may or may not take effect: only what every outcome allows is safe.
Tokens limitOf(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account)
{
    Tokens limit = account.granted;
    boundBy(limit, share.pendingGrants, customer);
    boundBy(limit, share.doubtfulGrants, customer);
    // All as old as the newest: those before it let the router go further still.
    limit = std::min(limit, reachOf(account.mark, share.markAge));
    for (const auto *marks : {&share.doubtfulMarks, &share.pendingMarks}) {
        const auto found = marks->find(customer);
        if (found != marks->end()) {
            limit = std::min(limit, reachOf(found->second, share.markAge));
        }
    }
    return limit;
}

Tokens committed(const ShareAccount &account)
{
    return account.net + account.reserved;
}

double decayed(double sum, Duration passed, Duration memory)
{
    return sum * std::exp(-std::max(0.0, toSeconds(passed)) / toSeconds(memory));
}

// A decaying sum as a rate. The sum of a short past has not reached its level yet.
double rateOf(double sum, Duration past, Duration memory)
{
    const double seconds = toSeconds(memory);
    return sum / (seconds * (1.0 - std::exp(-toSeconds(past) / seconds)));
}

double rateOf(const PrepaidOptions &options, const RecentDemand &demand, TimePoint now)
{
    if (demand.longSum <= 0) {
        return 0;
    }
    const Duration passed = now - demand.at;
    const Duration past = std::max<Duration>(now - demand.since, options.leastPast);
    return std::max(options.shortWeight
                        * rateOf(decayed(demand.shortSum, passed, options.shortMemory), past, options.shortMemory),
                    rateOf(decayed(demand.longSum, passed, options.longMemory), past, options.longMemory));
}

double demandNow(const PrepaidShare &share, const ShareAccount &account, TimePoint now)
{
    return rateOf(share.options, account.demand, now);
}

void add(const PrepaidOptions &options, RecentDemand &demand, Tokens tokens, TimePoint now)
{
    if (demand.longSum <= 0) {
        demand.since = now;
        demand.at = now;
    }
    const Duration passed = now - demand.at;
    demand.shortSum = decayed(demand.shortSum, passed, options.shortMemory) + static_cast<double>(tokens);
    demand.longSum = decayed(demand.longSum, passed, options.longMemory) + static_cast<double>(tokens);
    demand.at = now;
}

void noteDemand(const PrepaidShare &share, ShareAccount &account, Tokens tokens, TimePoint now)
{
    add(share.options, account.demand, tokens, now);
    if (static_cast<double>(tokens) <= account.meanSize) {
        add(share.options, account.smallDemand, tokens, now);
    }
    // The first request counts in full.
    const double newest = account.meanSize > 0 ? MeanSizeNewest : 1.0;
    account.meanSize += newest * (static_cast<double>(tokens) - account.meanSize);
}

Tokens tokensFor(const PrepaidShare &share, const ShareAccount &account, Duration time, TimePoint now)
{
    return static_cast<Tokens>(demandNow(share, account, now) * toSeconds(time));
}

const LedgerAccount *ledgerAccount(const PrepaidShare &share, const CustomerId &customer)
{
    const auto found = share.ledger.accounts.find(customer);
    return found == share.ledger.accounts.end() ? nullptr : &found->second;
}

Tokens grantedTo(const PrepaidLedger &ledger, const CustomerId &customer, const HolderId &holder)
{
    const auto entry = ledger.accounts.find(customer);
    if (entry == ledger.accounts.end()) {
        return 0;
    }
    const auto held = entry->second.granted.find(holder);
    return held == entry->second.granted.end() ? 0 : held->second;
}

// This router's part of what all routers together would hold, by their demand.
double fairPart(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, TimePoint now)
{
    const double own = demandNow(share, account, now);
    double all = own;
    const auto others = share.heldElsewhere.find(customer);
    if (others != share.heldElsewhere.end()) {
        for (const auto &[holder, held] : others->second) {
            all += held.demandPerSecond;
        }
    }
    return all > 0 ? own / all : 1.0;
}

// The room as the newer of document and ledger gives the total.
Tokens roomUnder(const PrepaidShare &share, const PrepaidLedger &ledger, const CustomerId &customer)
{
    const auto entry = ledger.accounts.find(customer);
    const auto own = share.accounts.find(customer);
    if (entry == ledger.accounts.end() || own == share.accounts.end()) {
        return 0;
    }
    const bool ledgerNewer = ledger.documentVersion > share.documentVersion;
    const Tokens total = ledgerNewer ? entry->second.total : own->second.total;
    return roomOf(entry->second) - entry->second.total + total;
}

// Where more is out than the total allows, this router gives back all that it can: what others have used of theirs is
// not known here. Until the grants have gone back in a write, what is over the total is not spent either.
Tokens grantWithin(const ShareAccount &account, Tokens room)
{
    return room < 0 ? std::max(std::min(committed(account), account.granted), account.granted + room) : account.granted;
}

// The grant to ask for: enough for a time without the platform, a fair part of a scarce room, and always what a
// waiting request lacks.
Tokens wantedGrant(
    const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, Tokens room, TimePoint now)
{
    const PrepaidOptions &options = share.options;
    const Tokens unused = account.granted - committed(account);
    if (room < 0) {
        return grantWithin(account, room);
    }
    if (!account.holdsAhead) {
        // A reservation or a received amount may still be open; the rest goes back.
        return std::clamp<Tokens>(committed(account), 0, account.granted);
    }
    const auto idle = static_cast<Tokens>(options.idleShare * static_cast<double>(room));
    // One usual request at least; a larger one asks for what it lacks.
    const Tokens least = std::max(static_cast<Tokens>(account.meanSize), account.shortOf);
    const Tokens wanted = std::max({idle, least, tokensFor(share, account, options.holdFor, now)});
    if (static_cast<double>(unused) > options.returnAbove * static_cast<double>(wanted)) {
        return committed(account) + wanted;
    }
    const Duration refillBelow =
        std::max<Duration>(options.refillGrantBelow - (markInterval(share) - options.markEvery), options.holdFor / 2);
    if (unused >= std::max({idle / 2, least, tokensFor(share, account, refillBelow, now)})) {
        return account.granted;
    }
    const auto part = static_cast<Tokens>(fairPart(share, customer, account, now) * static_cast<double>(room));
    const Tokens lacking = std::max<Tokens>(0, account.shortOf - unused);
    const Tokens more = std::clamp<Tokens>(wanted - unused, 0, std::max(part, std::min(lacking, room)));
    // Crumbs stay where every router can draw them: shared out they serve nobody, and each would cost a write.
    const bool serves = lacking > 0 && more >= lacking;
    const bool crumb = !serves && static_cast<double>(more) < options.leastDraw * account.meanSize;
    return crumb && account.granted > 0 ? account.granted : account.granted + more;
}

// How far a customer's marks run ahead of what is used, as a time of its demand, and how long they bind.
struct MarkTimes
{
    Duration lead{};
    std::chrono::milliseconds binds{};
};

MarkTimes markTimes(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, TimePoint now)
{
    const PrepaidOptions &options = share.options;
    // In a large fleet marks are written less often, and have to last as long.
    const std::chrono::milliseconds least = markInterval(share) * 6 / 5;
    const std::chrono::milliseconds usual = std::max(options.markLead, least);
    const double demand = demandNow(share, account, now);
    const double untilUsedUp = demand > 0 ? static_cast<double>(mayRemain(share, customer)) / demand : 0;
    if (demand > 0 && untilUsedUp < toSeconds(options.closeMarksWithin)) {
        const double seconds = options.closeLeadPart * static_cast<double>(account.total) / demand;
        const auto lead = std::clamp(std::chrono::milliseconds(std::llround(std::min(seconds, 1e6) * 1000)),
                                     std::max(options.closeLeadLeast, least),
                                     usual);
        return {lead, std::max(options.closeBinds, lead)};
    }
    return {usual, usual};
}

Mark wantedMark(
    const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, Tokens granted, TimePoint now)
{
    const MarkTimes times = markTimes(share, customer, account, now);
    Tokens ahead =
        std::max({tokensFor(share, account, times.lead, now), static_cast<Tokens>(account.meanSize), account.shortOf});
    const double demand = demandNow(share, account, now);
    const double fastest = share.options.fastGrowthPart * static_cast<double>(account.total);
    const double wished = std::min(share.options.markGrowth * demand, std::max(demand, fastest));
    double perSecond = std::max(wished, account.meanSize);
    if (account.meanSize <= 0) {
        // Without demand yet: the first requests should not wait for a write.
        ahead = std::max(granted / 50, account.shortOf);
        perSecond = static_cast<double>(granted) / toSeconds(share.options.holdFor);
    }
    Mark mark;
    mark.used = committed(account);
    // Tokens that other routers sent are beyond any grant and need no mark; without this bound the mark of a router
    // that was sent many would keep it from spending them.
    mark.limit = std::min(granted, std::max<Tokens>(0, mark.used) + ahead);
    mark.perSecond = static_cast<Tokens>(perSecond);
    mark.binds = times.binds;
    return mark;
}

bool markIsLow(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, TimePoint now)
{
    const Tokens left = account.mark.limit - committed(account);
    // Half of the lead may be used before the mark counts as low.
    const Tokens refill = tokensFor(share, account, markTimes(share, customer, account, now).lead / 2, now);
    return account.mark.limit < account.granted && left < std::max(refill, account.shortOf);
}

// The total to use in a write: never one of an older document than the ledger has seen.
void adoptTotals(PrepaidShare &share, PrepaidLedger &ledger)
{
    if (ledger.documentVersion > share.documentVersion) {
        return;
    }
    for (auto &[customer, account] : share.accounts) {
        LedgerAccount &entry = ledger.accounts[customer];
        if (account.bounded && entry.total != account.total) {
            entry.total = account.total;
            // Only versions that change a total are written: the others would make each router write.
            ledger.documentVersion = share.documentVersion;
        }
    }
}

// How old an earlier process's mark may have been when this process started; unset when the clocks can't tell.
std::optional<std::chrono::milliseconds> ageAtStart(const PrepaidOptions &options, const MarkRecord &mark)
{
    using std::chrono::milliseconds;
    const milliseconds uptime = options.startedAt.uptime - mark.writtenAt.uptime;
    const milliseconds wall = options.startedAt.wall - mark.writtenAt.wall;
    const milliseconds apart = uptime > wall ? uptime - wall : wall - uptime;
    if (wall < milliseconds(0)) {
        return std::nullopt;
    }
    // Where each process has an uptime of its own, or after a restart of the host, the time of day has to do.
    const bool uptimeShared = options.startedAt.boot == mark.writtenAt.boot && apart <= options.clockTolerance;
    return (uptimeShared ? std::max(uptime, wall) : wall) + options.markCaution;
}

bool holdsAnyOf(const PrepaidLedger &ledger, const HolderId &holder)
{
    return std::any_of(ledger.accounts.begin(), ledger.accounts.end(), [&holder](const auto &entry) {
        return entry.second.granted.count(holder) != 0;
    });
}

// Charges what an earlier process on this host may have used and gives the rest of its grant back.
void takeOver(PrepaidShare &share, PrepaidLedger &ledger, const std::optional<MarkRecord> &mark)
{
    share.foundMarkAge = mark ? ageAtStart(share.options, *mark) : std::nullopt;
    for (auto &[customer, account] : ledger.accounts) {
        const auto held = account.granted.find(share.options.self);
        if (held == account.granted.end()) {
            continue;
        }
        Tokens charge = held->second;
        Tokens unsure = charge;
        if (mark) {
            const auto entry = mark->marks.find(customer);
            const Mark found = entry == mark->marks.end() ? Mark{} : entry->second;
            const Tokens reach = share.foundMarkAge ? reachOf(found, *share.foundMarkAge) : furthestReachOf(found);
            charge = std::min(charge, reach);
            // It had used this much when it wrote the mark, and may have received tokens since.
            unsure = charge - std::min(charge, found.used);
        }
        account.spent += charge;
        account.unsure += std::max<Tokens>(0, unsure);
        account.granted.erase(held);
    }
}

void lowerTo(std::map<CustomerId, Tokens> &bounds, const CustomerId &customer, Tokens bound)
{
    const auto [entry, isNew] = bounds.emplace(customer, bound);
    if (!isNew) {
        entry->second = std::min(entry->second, bound);
    }
}

void lowerTo(std::map<CustomerId, Mark> &bounds, const CustomerId &customer, const Mark &bound)
{
    const auto [entry, isNew] = bounds.emplace(customer, bound);
    if (!isNew) {
        entry->second.limit = std::min(entry->second.limit, bound.limit);
        entry->second.perSecond = std::min(entry->second.perSecond, bound.perSecond);
        entry->second.binds = std::max(entry->second.binds, bound.binds);
    }
}

// A write of the mark alone leaves the grants as they are.
void limitToGrants(PrepaidShare &share, MarkRecord &mark)
{
    for (auto &[customer, entry] : mark.marks) {
        const Tokens granted = share.accounts[customer].granted;
        share.pendingGrants[customer] = granted;
        entry.limit = std::min(entry.limit, granted);
    }
    share.pendingMarks = mark.marks;
}

// Of marks that let their router go somewhere.
std::chrono::milliseconds shortestBinds(const MarkRecord &record)
{
    std::optional<std::chrono::milliseconds> shortest;
    for (const auto &[customer, mark] : record.marks) {
        if (mark.limit > mark.used) {
            shortest = shortest ? std::min(*shortest, mark.binds) : mark.binds;
        }
    }
    return shortest.value_or(std::chrono::milliseconds(0));
}

void clearPending(PrepaidShare &share)
{
    share.writing = false;
    share.pendingWritesLedger = false;
    share.pendingGrants.clear();
    share.pendingMarks.clear();
}

} // namespace

PrepaidShare makePrepaidShare(PrepaidOptions options)
{
    PrepaidShare share;
    share.options = std::move(options);
    return share;
}

void applyTotals(PrepaidShare &share,
                 std::uint64_t documentVersion,
                 const std::map<CustomerId, std::optional<Tokens>> &totals)
{
    if (documentVersion < share.documentVersion) {
        return;
    }
    share.documentVersion = documentVersion;
    for (const auto &[customer, total] : totals) {
        ShareAccount &account = share.accounts[customer];
        const bool lowered = account.bounded && total && *total < account.total;
        account.bounded = total.has_value();
        account.total = total.value_or(0);
        if (lowered) {
            // A total below what is out would be overspent if each holder went on: stop at what is committed.
            account.granted = std::min(account.granted, committed(account));
            share.ledgerKnown = false;
        }
    }
}

std::chrono::milliseconds markInterval(const PrepaidShare &share)
{
    const double even = 1000.0 * share.markWriters / share.options.fleetMarksPerSecond;
    return std::max(share.options.markEvery, std::chrono::milliseconds(std::llround(even)));
}

void noteRequest(PrepaidShare &share, const CustomerId &customer, Tokens tokens, TimePoint now)
{
    const auto found = share.accounts.find(customer);
    if (found != share.accounts.end() && found->second.bounded) {
        noteDemand(share, found->second, tokens, now);
    }
}

bool reserve(PrepaidShare &share, const CustomerId &customer, Tokens tokens)
{
    const auto found = share.accounts.find(customer);
    if (found == share.accounts.end() || !found->second.bounded) {
        return true;
    }
    ShareAccount &account = found->second;
    if (share.returned || committed(account) + tokens > limitOf(share, customer, account)) {
        return false;
    }
    account.reserved += tokens;
    return true;
}

void settle(PrepaidShare &share, const CustomerId &customer, Tokens reserved, Tokens used)
{
    const auto found = share.accounts.find(customer);
    if (found == share.accounts.end() || found->second.reserved < reserved) {
        return;
    }
    found->second.reserved -= reserved;
    found->second.net += std::min(used, reserved);
}

void wantMore(PrepaidShare &share, const CustomerId &customer, Tokens tokens)
{
    ShareAccount &account = share.accounts[customer];
    account.shortOf = std::max(account.shortOf, tokens);
}

double demandPerSecond(const PrepaidShare &share, const CustomerId &customer, TimePoint now)
{
    const auto found = share.accounts.find(customer);
    return found == share.accounts.end() ? 0 : demandNow(share, found->second, now);
}

double smallDemandPerSecond(const PrepaidShare &share, const CustomerId &customer, TimePoint now)
{
    const auto found = share.accounts.find(customer);
    return found == share.accounts.end() ? 0 : rateOf(share.options, found->second.smallDemand, now);
}

bool mustLeaveToSmaller(const PrepaidShare &share, const CustomerId &customer, Tokens tokens, TimePoint now)
{
    const auto found = share.accounts.find(customer);
    if (found == share.accounts.end() || !found->second.bounded
        || static_cast<double>(tokens) <= found->second.meanSize) {
        return false;
    }
    double demand = smallDemandPerSecond(share, customer, now);
    const auto others = share.heldElsewhere.find(customer);
    if (others != share.heldElsewhere.end()) {
        for (const auto &[holder, held] : others->second) {
            // A home has been asked for this router's requests as well.
            demand = found->second.holdsAhead ? demand + held.smallDemandPerSecond
                                              : std::max(demand, held.smallDemandPerSecond);
        }
    }
    const auto kept = static_cast<Tokens>(demand * toSeconds(share.options.keepForSmall));
    return mayRemain(share, customer) < tokens + kept;
}

Tokens headroom(const PrepaidShare &share, const CustomerId &customer)
{
    const auto found = share.accounts.find(customer);
    if (found == share.accounts.end() || share.returned) {
        return 0;
    }
    return std::max<Tokens>(0, limitOf(share, customer, found->second) - committed(found->second));
}

Tokens roomKnown(const PrepaidShare &share, const CustomerId &customer)
{
    const LedgerAccount *account = ledgerAccount(share, customer);
    return account == nullptr ? 0 : roomOf(*account);
}

Tokens unusedGrant(const PrepaidShare &share, const CustomerId &customer)
{
    const auto found = share.accounts.find(customer);
    if (found == share.accounts.end() || share.returned) {
        return 0;
    }
    return std::max<Tokens>(0, found->second.granted - committed(found->second));
}

Tokens mayRemain(const PrepaidShare &share, const CustomerId &customer)
{
    const LedgerAccount *account = ledgerAccount(share, customer);
    const auto own = share.accounts.find(customer);
    if (account == nullptr || own == share.accounts.end()) {
        return 0;
    }
    const auto others = share.heldElsewhere.find(customer);
    if (!own->second.holdsAhead && others != share.heldElsewhere.end() && !others->second.empty()) {
        // This router's own copy of the ledger is as old as its last write; the home's word is not.
        Tokens told = 0;
        for (const auto &[holder, held] : others->second) {
            told = std::max(told, held.remaining);
        }
        return headroom(share, customer) + told;
    }
    Tokens room = roomOf(*account);
    std::uint64_t newest = share.ledgerRevision;
    Tokens remaining = unusedGrant(share, customer);
    const auto isHeard = [&](const HolderId &holder) {
        return others != share.heldElsewhere.end() && others->second.count(holder) != 0;
    };
    for (const auto &[holder, granted] : account->granted) {
        // A holder that nobody hears may have used nothing at all.
        remaining += holder == share.options.self || isHeard(holder) ? 0 : granted;
    }
    if (others != share.heldElsewhere.end()) {
        for (const auto &[holder, held] : others->second) {
            remaining += held.unused;
            if (held.ledgerRevision > newest) {
                newest = held.ledgerRevision;
                room = held.room;
            }
        }
    }
    return remaining + std::max<Tokens>(0, room);
}

Duration untilTokensGrow(const PrepaidShare &share, const CustomerId &customer, TimePoint now)
{
    const auto own = share.accounts.find(customer);
    if (own == share.accounts.end()) {
        return Duration::zero();
    }
    if (own->second.holdsAhead) {
        const auto left = own->second.mark.binds - share.markAge;
        return std::max<Duration>(left, Duration::zero());
    }
    Duration latest = Duration::zero();
    const auto others = share.heldElsewhere.find(customer);
    if (others != share.heldElsewhere.end()) {
        for (const auto &[holder, held] : others->second) {
            latest = std::max<Duration>(latest, held.growsAt - now);
        }
    }
    return latest;
}

Tokens sendTokens(PrepaidShare &share, const CustomerId &customer, const TokenWish &wish, TimePoint now)
{
    const auto found = share.accounts.find(customer);
    if (found == share.accounts.end() || !found->second.bounded) {
        return 0;
    }
    const Tokens spare = headroom(share, customer);
    const Tokens kept = std::min(spare / 2, tokensFor(share, found->second, share.options.keepFromOthers, now));
    const bool waitsHere = found->second.shortOf > 0;
    const Tokens urgent = waitsHere ? 0 : std::clamp<Tokens>(wish.lacking, 0, spare);
    const Tokens amount = std::max(urgent, std::clamp<Tokens>(wish.wanted, 0, spare - kept));
    found->second.net += amount;
    return amount;
}

TokenGift takeLeftovers(PrepaidShare &share, const CustomerId &customer, const HolderId &to)
{
    const Tokens left = headroom(share, customer);
    if (left > 0) {
        share.accounts.at(customer).net += left;
    }
    return TokenGift{to, customer, left};
}

std::optional<TokenGift> askTokens(PrepaidShare &share, TokenAsk ask)
{
    const auto found = share.accounts.find(ask.customer);
    if (found == share.accounts.end() || !found->second.bounded || ask.needed <= 0) {
        return std::nullopt;
    }
    if (headroom(share, ask.customer) < ask.needed) {
        share.asks.push_back(std::move(ask));
        return std::nullopt;
    }
    found->second.net += ask.needed;
    return TokenGift{ask.from, ask.customer, ask.needed};
}

std::vector<TokenGift> serveAsks(PrepaidShare &share, TimePoint now)
{
    std::vector<TokenGift> gifts;
    for (TokenAsk &ask : std::exchange(share.asks, {})) {
        if (ask.until <= now) {
            continue;
        }
        if (auto gift = askTokens(share, std::move(ask))) {
            gifts.push_back(std::move(*gift));
        }
    }
    return gifts;
}

void receiveTokens(PrepaidShare &share, const CustomerId &customer, Tokens amount)
{
    share.accounts[customer].net -= std::max<Tokens>(0, amount);
}

void onRecordsRead(PrepaidShare &share,
                   PrepaidLedger ledger,
                   std::uint64_t ledgerRevision,
                   const std::optional<MarkRecord> &mark,
                   std::uint64_t markRevision)
{
    share.takenOver = share.takenOver || (mark && mark->writer == share.options.incarnation);
    if (!share.takenOver && !mark && !holdsAnyOf(ledger, share.options.self)) {
        // Nothing to take over, so that nothing has to be written before this process counts as ready.
        share.takenOver = true;
    }
    if (!share.takenOver) {
        takeOver(share, ledger, mark);
    } else {
        if (mark && share.markWrittenAt.wall.count() == 0) {
            // An earlier process's write has landed after this one's first reading. A successor will go by its mark.
            share.markWrittenAt = mark->writtenAt;
            share.shortestBinds = shortestBinds(*mark);
            share.markAge = std::chrono::milliseconds(0);
        }
        // What an unanswered write did shows here.
        for (auto &[customer, account] : share.accounts) {
            account.granted = grantedTo(ledger, customer, share.options.self);
            account.mark = mark && mark->marks.count(customer) != 0 ? mark->marks.at(customer) : Mark{};
            account.granted = grantWithin(account, roomUnder(share, ledger, customer));
        }
    }
    share.ledger = std::move(ledger);
    share.ledgerRevision = ledgerRevision;
    share.markRevision = markRevision;
    share.ledgerKnown = true;
    clearPending(share);
}

void onLedgerHeard(PrepaidShare &share, PrepaidLedger ledger, std::uint64_t ledgerRevision)
{
    // While a write is open its condition decides; while the records are in doubt they have to be read. Before the
    // first write of this process its own copy has what its predecessor is charged, which would be lost.
    if (!share.takenOver || share.writing || !share.ledgerKnown || ledgerRevision <= share.ledgerRevision) {
        return;
    }
    share.ledger = std::move(ledger);
    share.ledgerRevision = ledgerRevision;
}

bool checkMarks(PrepaidShare &share, const HostTime &hostTime)
{
    const HostTime &written = share.markWrittenAt;
    // By both clocks: a successor may have only the time of day to go by, and that may have been set back.
    share.markAge = std::max(std::chrono::milliseconds(0),
                             std::min(hostTime.uptime - written.uptime, hostTime.wall - written.wall));
    share.marksBind = written.wall.count() > 0 && share.markAge < share.shortestBinds;
    return !share.marksBind;
}

std::optional<ShareWrite> planWrite(PrepaidShare &share, TimePoint now, const HostTime &hostTime)
{
    if (share.writing || !share.ledgerKnown || share.returned) {
        return std::nullopt;
    }
    PrepaidLedger ledger = share.ledger;
    adoptTotals(share, ledger);
    MarkRecord mark;
    mark.writer = share.options.incarnation;
    mark.writtenAt = hostTime;
    bool ledgerChanges = !share.takenOver || ledger.documentVersion != share.ledger.documentVersion;
    const std::chrono::milliseconds refresh(
        std::llround(static_cast<double>(share.shortestBinds.count()) * share.options.markRefreshPart));
    const bool markIsOld = !share.marksBind || hostTime.uptime >= share.markWrittenAt.uptime + refresh;
    bool markLow = markIsOld;
    bool urgent = !share.takenOver;
    bool markSuffices = share.takenOver;
    bool anyWaits = false;
    bool holdsAny = !share.takenOver;
    for (auto &[customer, account] : share.accounts) {
        if (!account.bounded) {
            continue;
        }
        LedgerAccount &entry = ledger.accounts[customer];
        const Tokens heldBefore = grantedTo(ledger, customer, share.options.self);
        entry.granted[share.options.self] = account.granted;
        const Tokens granted = wantedGrant(share, customer, account, roomOf(entry), now);
        entry.granted[share.options.self] = granted;
        if (granted == 0) {
            entry.granted.erase(share.options.self);
        }
        holdsAny = holdsAny || granted > committed(account);
        const bool low = markIsLow(share, customer, account, now);
        // A waiting request is a reason to hurry only if the write can help it.
        const bool markHelps = account.shortOf > 0 && low && account.shortOf <= unusedGrant(share, customer);
        urgent = urgent || markHelps || (account.shortOf > 0 && granted > account.granted);
        markSuffices = markSuffices && (account.shortOf == 0 || markHelps);
        anyWaits = anyWaits || account.shortOf > 0;
        ledgerChanges = ledgerChanges || granted != heldBefore;
        markLow = markLow || low;
        share.pendingGrants[customer] = granted;
        mark.marks[customer] = wantedMark(share, customer, account, granted, now);
        account.shortOf = 0;
    }
    share.pendingMarks = mark.marks;
    // The mark is this router's own, so that its write is never refused because another router was faster. Where the
    // ledger is contended a mark that is overdue goes first: it would grow old, and with it what a death costs.
    const bool markOverdue = share.takenOver && share.ledgerContended && markIsOld;
    if ((anyWaits && markSuffices) || (ledgerChanges && markOverdue)) {
        ledgerChanges = false;
        // The ledger's turn is next, whatever else is due.
        share.ledgerContended = false;
        limitToGrants(share, mark);
    }
    // A little shorter than the time between two marks, which the caller's ticks would else stretch.
    // A mark of a router that holds nothing unused says nothing: its successor charges no more than the grant.
    markLow = markLow && holdsAny;
    const Duration usual = Duration(markInterval(share)) * 9 / 10;
    const Duration interval = urgent ? share.options.urgentInterval : usual;
    if ((!ledgerChanges && !markLow) || (share.takenOver && now - share.lastWriteAt < interval)) {
        clearPending(share);
        return std::nullopt;
    }
    ShareWrite write;
    write.ledgerRevision = share.ledgerRevision;
    if (ledgerChanges) {
        write.ledger = encodePrepaidLedger(ledger);
    }
    write.mark = encodeMark(mark);
    write.markRevision = share.markRevision;
    share.pendingLedger = std::move(ledger);
    share.pendingWritesLedger = ledgerChanges;
    share.writing = true;
    share.lastWriteBefore = std::exchange(share.lastWriteAt, now);
    share.markWrittenBefore = share.markWrittenAt;
    share.markWrittenAt = hostTime;
    share.markAge = std::chrono::milliseconds(0);
    share.shortestBinds = shortestBinds(mark);
    share.marksBind = true;
    return write;
}

std::optional<ShareWrite> planReturn(PrepaidShare &share, TimePoint now)
{
    if (share.writing || !share.ledgerKnown || share.returned || !share.takenOver) {
        return std::nullopt;
    }
    PrepaidLedger ledger = share.ledger;
    for (auto &[customer, account] : share.accounts) {
        const auto entry = ledger.accounts.find(customer);
        if (entry == ledger.accounts.end()) {
            continue;
        }
        entry->second.granted.erase(share.options.self);
        entry->second.spent += committed(account);
        // Nothing may be spent once this is on its way, whatever becomes of it.
        share.pendingGrants[customer] = committed(account);
    }
    ShareWrite write;
    write.ledger = encodePrepaidLedger(ledger);
    write.ledgerRevision = share.ledgerRevision;
    write.markRevision = share.markRevision;
    write.removesMark = true;
    share.pendingLedger = std::move(ledger);
    share.pendingWritesLedger = true;
    share.writing = true;
    share.lastWasReturn = true;
    // If it is refused, the mark that stands is as old as it was.
    share.markWrittenBefore = share.markWrittenAt;
    share.lastWriteBefore = std::exchange(share.lastWriteAt, now);
    return write;
}

void onWriteDone(PrepaidShare &share, std::uint64_t revision)
{
    if (share.lastWasReturn) {
        share.returned = true;
        clearPending(share);
        return;
    }
    for (const auto &[customer, granted] : share.pendingGrants) {
        ShareAccount &account = share.accounts[customer];
        // A total that was lowered meanwhile has taken the grant down to what is committed.
        account.granted = share.ledgerKnown ? granted : std::min(granted, committed(account));
    }
    for (const auto &[customer, mark] : share.pendingMarks) {
        share.accounts[customer].mark = mark;
    }
    if (share.pendingWritesLedger) {
        share.ledgerContended = false;
        share.ledger = std::move(share.pendingLedger);
        share.ledgerRevision = revision;
    }
    share.markRevision = revision;
    share.takenOver = true;
    share.doubtfulGrants.clear();
    share.doubtfulMarks.clear();
    clearPending(share);
}

void onWriteRefused(PrepaidShare &share, bool conditionFailed)
{
    share.markWrittenAt = share.markWrittenBefore;
    if (conditionFailed) {
        // What stands is known now: the next try need not wait.
        share.lastWriteAt = share.lastWriteBefore;
    }
    share.ledgerContended = share.ledgerContended || (conditionFailed && share.pendingWritesLedger);
    share.ledgerKnown = share.ledgerKnown && !conditionFailed;
    share.lastWasReturn = false;
    clearPending(share);
}

void onWriteUnknown(PrepaidShare &share)
{
    for (const auto &[customer, granted] : share.pendingGrants) {
        lowerTo(share.doubtfulGrants, customer, granted);
    }
    for (const auto &[customer, mark] : share.pendingMarks) {
        lowerTo(share.doubtfulMarks, customer, mark);
    }
    share.ledgerKnown = false;
    share.lastWasReturn = false;
    clearPending(share);
}

} // namespace Godwit
