// Records read from the platform: taking over from an earlier process on this host, and what an unanswered write did.

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

// How old an earlier process's mark may have been when this process started; unset when the clocks can't tell.
//
// The time of day may have been stepped, and the step taken back since. So the mark has its time in two ways: by the
// time of day when it was written, and by the one that its writer started with. A step before the mark is in only one
// of them, so that the greater age is not too small; after a step back the writer itself went by the time of day.
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
    // Where each process has an uptime of its own, or after a restart of the host, the time of day has to do.
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

// Charges what an earlier process on this host may have used and gives the rest of its grant back.
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
            // It had used this much when it wrote the mark, and may have received tokens since.
            unsure = charge - std::min(charge, found.used);
        }
        account.spent += charge;
        account.unsure += std::max<Tokens>(0, unsure);
        account.granted.erase(held);
    }
}

// The room as the newer of document and ledger gives the total.
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
    // Giving back once more would return tokens that others sent a second time, to be spent twice.
    share.returned = share.returned || (ownMark && mark->returned);
    share.predecessorSettled = share.predecessorSettled || ownMark;
    const bool nothingLeft = !mark || mark->returned;
    if (!share.predecessorSettled && nothingLeft && !hasAnyGrant(ledger, share.options.self)) {
        // Nothing to take over, so that nothing has to be written before this process counts as ready.
        share.predecessorSettled = true;
    }
    if (!share.predecessorSettled) {
        settlePredecessor(share, ledger, mark);
    } else {
        if (mark && share.markWrittenAt.wall.count() == 0) {
            // An earlier process's write has landed after this one's first reading. A successor will go by its mark.
            share.markWrittenAt = mark->writtenAt;
            share.shortestFixedPeriod = shortestFixedPeriod(*mark);
            share.markAge = std::chrono::milliseconds(0);
        }
        // What an unanswered write did shows here.
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
    // While a write is open its condition decides; while the records are in doubt they have to be read. Before the
    // first write of this process its own copy has what its predecessor is charged, which would be lost.
    if (!share.predecessorSettled || share.writing || !share.ledgerKnown || ledgerRevision <= share.ledgerRevision) {
        return;
    }
    share.ledger = std::move(ledger);
    share.ledgerRevision = ledgerRevision;
}

} // namespace Godwit
