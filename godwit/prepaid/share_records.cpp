// Records read from the store: takeover from an earlier process on this host, and the outcome of unanswered writes.

#include "godwit/prepaid/prepaid_share.h"
#include "godwit/prepaid/share_internal.h"

#include <algorithm>
#include <utility>

namespace Godwit
{

using internal::accountOf;
using internal::clearPending;
using internal::grantedTo;
using internal::grantWithin;
using internal::shortestFixedPeriod;

namespace
{

std::chrono::milliseconds absoluteDifference(std::chrono::milliseconds a, std::chrono::milliseconds b)
{
    return a > b ? a - b : b - a;
}

// Upper bound on the age of an earlier process's mark when this process started; unset if the clocks cannot tell.
//
// The time of day may have been stepped, and the step may have been reverted since. The record therefore has two times:
// the time of day when it was written, and the time of day when the writer started plus the uptime since. A step before
// the write affects just one of them, so that the larger age is not too small; after a step back the writer itself went
// by the time of day.
std::optional<std::chrono::milliseconds> markAgeAtStart(const PrepaidOptions &options, const MarkRecord &mark)
{
    using std::chrono::milliseconds;
    const HostTime &started = options.startedAt;
    const HostTime &written = mark.writtenAt;
    const milliseconds uptime = started.uptime - written.uptime;
    const milliseconds byDay = started.wall - written.wall;
    const milliseconds bySteadyDay = started.wall - mark.steadyWall;
    const milliseconds difference =
        std::min(absoluteDifference(uptime, byDay), absoluteDifference(uptime, bySteadyDay));
    const bool sameBoot = started.boot == written.boot && uptime >= milliseconds(0);
    if (sameBoot && difference <= options.clockAgreement) {
        return uptime + options.markAgeMargin;
    }
    // If each process has its own uptime, or after a reboot of the host, only the time of day is available.
    milliseconds age = std::max(byDay, bySteadyDay);
    if (age < milliseconds(0)) {
        return std::nullopt;
    }
    if (sameBoot && difference <= options.clockTolerance) {
        age = std::max(age, uptime);
    }
    return age + options.markAgeMargin;
}

bool hasAnyGrant(const PrepaidLedger &ledger, const HolderId &holder)
{
    return std::any_of(ledger.accounts.begin(), ledger.accounts.end(), [&holder](const auto &entry) {
        return entry.second.granted.count(holder) != 0;
    });
}

// Charges what an earlier process on this host may have used, and returns the rest of its grant.
void settlePredecessor(PrepaidShare &share, PrepaidLedger &ledger, const std::optional<MarkRecord> &mark)
{
    share.predecessorMarkAge = mark ? markAgeAtStart(share.options, *mark) : std::nullopt;
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
            const Tokens limit =
                share.predecessorMarkAge ? limitAtAge(found, *share.predecessorMarkAge) : maxLimitOf(found);
            charge = std::min(charge, limit);
            // This much was used when the mark was written; the process may have received tokens since.
            unsure = charge - std::min(charge, found.used);
        }
        account.spent += charge;
        account.unsure += std::max<Tokens>(0, unsure);
        account.granted.erase(held);
    }
}

// The unallocated tokens under the total of the document or of the ledger, whichever is newer.
Tokens unallocatedUnderNewestTotal(const PrepaidShare &share, const PrepaidLedger &ledger, const CustomerId &customer)
{
    const auto entry = ledger.accounts.find(customer);
    const ShareAccount *own = accountOf(share, customer);
    if (entry == ledger.accounts.end() || own == nullptr) {
        return 0;
    }
    const bool ledgerNewer = ledger.documentVersion > share.documentVersion;
    const Tokens total = ledgerNewer ? entry->second.total : own->total;
    return unallocatedTokens(entry->second) - entry->second.total + total;
}

} // namespace

void onRecordsRead(PrepaidShare &share,
                   PrepaidLedger ledger,
                   std::uint64_t ledgerRevision,
                   const std::optional<MarkRecord> &mark,
                   std::uint64_t markRevision)
{
    const bool ownMark = mark && mark->writer == share.options.incarnation;
    // A second return would also return the tokens that other routers sent a second time, and so allow them to be spent
    // twice.
    share.returned = share.returned || (ownMark && mark->returned);
    share.predecessorSettled = share.predecessorSettled || ownMark;
    const bool nothingLeft = !mark || mark->returned;
    if (!share.predecessorSettled && nothingLeft && !hasAnyGrant(ledger, share.options.self)) {
        // With nothing to take over, this process is ready without a write.
        share.predecessorSettled = true;
    }
    if (!share.predecessorSettled) {
        settlePredecessor(share, ledger, mark);
    } else {
        if (mark && share.markWrittenAt.wall.count() == 0) {
            // A write of an earlier process took effect after this process had first read the records. A successor will
            // use its mark.
            share.markWrittenAt = mark->writtenAt;
            share.shortestFixedPeriod = shortestFixedPeriod(*mark);
            share.markAge = std::chrono::milliseconds(0);
        }
        // The records show whether an unanswered write took effect.
        for (auto &[customer, account] : share.accounts) {
            account.granted = grantedTo(ledger, customer, share.options.self);
            account.mark = mark && mark->marks.count(customer) != 0 ? mark->marks.at(customer) : Mark{};
            account.granted = grantWithin(account, unallocatedUnderNewestTotal(share, ledger, customer));
        }
    }
    share.ledger = std::move(ledger);
    share.ledgerRevision = ledgerRevision;
    share.markRevision = markRevision;
    share.ledgerKnown = true;
    clearPending(share);
}

void onLedgerUpdate(PrepaidShare &share, PrepaidLedger ledger, std::uint64_t ledgerRevision)
{
    // The condition of an open write detects a newer ledger, and records in doubt must be read anyway. Before this
    // process's first write, its copy of the ledger holds the charge for its predecessor, which would be lost.
    if (!share.predecessorSettled || share.writing || !share.ledgerKnown || ledgerRevision <= share.ledgerRevision) {
        return;
    }
    share.ledger = std::move(ledger);
    share.ledgerRevision = ledgerRevision;
}

} // namespace Godwit
