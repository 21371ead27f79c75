// Writes to the store: when one is due, what it contains, and the effects of each outcome.

#include "godwit/prepaid/prepaid_share.h"
#include "godwit/prepaid/share_internal.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Godwit
{

using internal::clearPending;
using internal::committed;
using internal::grantedTo;
using internal::markIsLow;
using internal::shortestFixedPeriod;
using internal::targetGrant;
using internal::targetMark;

namespace
{

// Sets the totals for a write, never from a document older than the ledger's.
void adoptTotals(PrepaidShare &share, PrepaidLedger &ledger)
{
    if (ledger.documentVersion > share.documentVersion) {
        return;
    }
    for (auto &[customer, account] : share.accounts) {
        LedgerAccount &entry = ledger.accounts[customer];
        if (account.bounded && entry.total != account.total) {
            entry.total = account.total;
            // Only document versions that change a total are recorded; otherwise each new version would make every
            // router write.
            ledger.documentVersion = share.documentVersion;
        }
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
        entry->second.growthPerSecond = std::min(entry->second.growthPerSecond, bound.growthPerSecond);
        entry->second.fixedPeriod = std::max(entry->second.fixedPeriod, bound.fixedPeriod);
    }
}

// A write of the mark record alone leaves the grants as they are.
void limitToGrants(PrepaidShare &share, MarkRecord &mark)
{
    for (auto &[customer, entry] : mark.marks) {
        const Tokens granted = share.accounts[customer].granted;
        share.pendingGrants[customer] = granted;
        entry.limit = std::min(entry.limit, granted);
    }
    share.pendingMarks = mark.marks;
}

} // namespace

namespace internal
{

Tokens grantedTo(const PrepaidLedger &ledger, const CustomerId &customer, const HolderId &holder)
{
    const auto entry = ledger.accounts.find(customer);
    if (entry == ledger.accounts.end()) {
        return 0;
    }
    const auto held = entry->second.granted.find(holder);
    return held == entry->second.granted.end() ? 0 : held->second;
}

std::chrono::milliseconds shortestFixedPeriod(const MarkRecord &record)
{
    std::optional<std::chrono::milliseconds> shortest;
    for (const auto &[customer, mark] : record.marks) {
        if (mark.limit > mark.used) {
            shortest = shortest ? std::min(*shortest, mark.fixedPeriod) : mark.fixedPeriod;
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

} // namespace internal

bool updateMarkAge(PrepaidShare &share, const HostTime &hostTime)
{
    const HostTime &written = share.markWrittenAt;
    // By both clocks: a successor may have only the time of day, and that may have been set back.
    share.markAge = std::max(std::chrono::milliseconds(0),
                             std::min(hostTime.uptime - written.uptime, hostTime.wall - written.wall));
    share.markLimitsFixed = written.wall.count() > 0 && share.markAge < share.shortestFixedPeriod;
    return !share.markLimitsFixed;
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
    const HostTime &started = share.options.startedAt;
    mark.steadyWall = started.wall + (hostTime.uptime - started.uptime);
    bool ledgerChanges = !share.predecessorSettled || ledger.documentVersion != share.ledger.documentVersion;
    const std::chrono::milliseconds refresh(
        std::llround(static_cast<double>(share.shortestFixedPeriod.count()) * share.options.markRefreshFraction));
    const bool markIsOld = !share.markLimitsFixed || hostTime.uptime >= share.markWrittenAt.uptime + refresh;
    bool markLow = markIsOld;
    bool urgent = !share.predecessorSettled;
    bool markSuffices = share.predecessorSettled;
    bool anyWaits = false;
    bool holdsAny = !share.predecessorSettled;
    for (auto &[customer, account] : share.accounts) {
        if (!account.bounded) {
            continue;
        }
        LedgerAccount &entry = ledger.accounts[customer];
        const Tokens grantedBefore = grantedTo(ledger, customer, share.options.self);
        entry.granted[share.options.self] = account.granted;
        const Tokens granted = targetGrant(share, customer, account, unallocatedTokens(entry), now);
        entry.granted[share.options.self] = granted;
        if (granted == 0) {
            entry.granted.erase(share.options.self);
        }
        // Tokens received from other routers are not part of a grant.
        holdsAny = holdsAny || granted > std::max<Tokens>(0, committed(account));
        const bool low = markIsLow(share, customer, account, now);
        // A waiting request makes the write urgent only if the write can help it.
        const bool markHelps = account.shortfall > 0 && low && account.shortfall <= unusedGrant(share, customer);
        urgent = urgent || markHelps || (account.shortfall > 0 && granted > account.granted);
        markSuffices = markSuffices && (account.shortfall == 0 || markHelps);
        anyWaits = anyWaits || account.shortfall > 0;
        ledgerChanges = ledgerChanges || granted != grantedBefore;
        markLow = markLow || low;
        share.pendingGrants[customer] = granted;
        mark.marks[customer] = targetMark(share, customer, account, granted, now);
        account.shortfall = 0;
    }
    share.pendingMarks = mark.marks;
    // The mark record is written by this router alone, so that its write never loses to another router's. While the
    // ledger is contended an overdue mark is written first: the cost of a crash grows with its age.
    const bool markOverdue = share.predecessorSettled && share.ledgerContended && markIsOld;
    if ((anyWaits && markSuffices) || (ledgerChanges && markOverdue)) {
        ledgerChanges = false;
        // The next write includes the ledger, whatever else is due.
        share.ledgerContended = false;
        limitToGrants(share, mark);
    }
    // A mark without unused tokens has no effect, since a successor charges no more than the grant. The interval is
    // slightly shortened, as the period of the caller's ticks would otherwise lengthen it.
    markLow = markLow && holdsAny;
    const Duration usual = Duration(markInterval(share)) * 9 / 10;
    const Duration interval = urgent ? share.options.urgentInterval : usual;
    if ((!ledgerChanges && !markLow) || (share.predecessorSettled && now - share.lastWriteAt < interval)) {
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
    share.previousWriteAt = std::exchange(share.lastWriteAt, now);
    share.previousMarkWrittenAt = share.markWrittenAt;
    share.markWrittenAt = hostTime;
    share.markAge = std::chrono::milliseconds(0);
    share.shortestFixedPeriod = shortestFixedPeriod(mark);
    share.markLimitsFixed = true;
    return write;
}

std::optional<ShareWrite> planReturn(PrepaidShare &share, TimePoint now)
{
    if (share.writing || !share.ledgerKnown || share.returned || !share.predecessorSettled) {
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
        // Nothing may be spent once the write has been sent, whatever its outcome.
        share.pendingGrants[customer] = committed(account);
    }
    ShareWrite write;
    write.ledger = encodePrepaidLedger(ledger);
    write.ledgerRevision = share.ledgerRevision;
    write.markRevision = share.markRevision;
    MarkRecord mark;
    mark.writer = share.options.incarnation;
    mark.returned = true;
    write.mark = encodeMark(mark);
    share.pendingLedger = std::move(ledger);
    share.pendingWritesLedger = true;
    share.writing = true;
    share.lastWriteWasReturn = true;
    // If the write is refused, the age of the stored mark is unchanged.
    share.previousMarkWrittenAt = share.markWrittenAt;
    share.previousWriteAt = std::exchange(share.lastWriteAt, now);
    return write;
}

void onWriteDone(PrepaidShare &share, std::uint64_t revision)
{
    if (share.lastWriteWasReturn) {
        share.returned = true;
        clearPending(share);
        return;
    }
    for (const auto &[customer, granted] : share.pendingGrants) {
        ShareAccount &account = share.accounts[customer];
        // If a total was lowered in the meantime, the grant has been reduced to what is committed.
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
    share.predecessorSettled = true;
    share.uncertainGrants.clear();
    share.uncertainMarks.clear();
    clearPending(share);
}

void onWriteRefused(PrepaidShare &share, bool conditionFailed)
{
    share.markWrittenAt = share.previousMarkWrittenAt;
    if (conditionFailed) {
        // The newer records are known now, so the retry need not wait.
        share.lastWriteAt = share.previousWriteAt;
    }
    share.ledgerContended = share.ledgerContended || (conditionFailed && share.pendingWritesLedger);
    share.ledgerKnown = share.ledgerKnown && !conditionFailed;
    share.lastWriteWasReturn = false;
    clearPending(share);
}

void onWriteUnknown(PrepaidShare &share)
{
    for (const auto &[customer, granted] : share.pendingGrants) {
        lowerTo(share.uncertainGrants, customer, granted);
    }
    for (const auto &[customer, mark] : share.pendingMarks) {
        lowerTo(share.uncertainMarks, customer, mark);
    }
    share.ledgerKnown = false;
    share.lastWriteWasReturn = false;
    clearPending(share);
}

} // namespace Godwit
