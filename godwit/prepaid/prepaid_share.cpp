// Limits and reservations: what a router may spend now, and an upper bound on what is left of a budget.

#include "godwit/prepaid/prepaid_share.h"

#include "godwit/prepaid/share_internal.h"

#include <algorithm>
#include <utility>

namespace Godwit
{

using internal::accountOf;
using internal::boundedAccount;
using internal::committed;
using internal::limitOf;
using internal::peerHoldingsOf;

namespace
{

void boundBy(Tokens &limit, const std::map<CustomerId, Tokens> &bounds, const CustomerId &customer)
{
    const auto found = bounds.find(customer);
    if (found != bounds.end()) {
        limit = std::min(limit, found->second);
    }
}

const LedgerAccount *ledgerAccount(const PrepaidShare &share, const CustomerId &customer)
{
    const auto found = share.ledger.accounts.find(customer);
    return found == share.ledger.accounts.end() ? nullptr : &found->second;
}

} // namespace

namespace internal
{

const ShareAccount *accountOf(const PrepaidShare &share, const CustomerId &customer)
{
    const auto found = share.accounts.find(customer);
    return found == share.accounts.end() ? nullptr : &found->second;
}

ShareAccount *boundedAccount(PrepaidShare &share, const CustomerId &customer)
{
    const auto found = share.accounts.find(customer);
    return found == share.accounts.end() || !found->second.bounded ? nullptr : &found->second;
}

const std::map<HolderId, PeerHolding> &peerHoldingsOf(const PrepaidShare &share, const CustomerId &customer)
{
    static const std::map<HolderId, PeerHolding> none;
    const auto found = share.peerHoldings.find(customer);
    return found == share.peerHoldings.end() ? none : found->second;
}

Tokens committed(const ShareAccount &account)
{
    return account.netUsed + account.reserved;
}

Tokens limitOf(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account)
{
    Tokens limit = account.granted;
    boundBy(limit, share.pendingGrants, customer);
    boundBy(limit, share.uncertainGrants, customer);
    // All marks are treated as as old as the newest one, which is safe: the limits of older marks have grown further.
    limit = std::min(limit, limitAtAge(account.mark, share.markAge));
    for (const auto *marks : {&share.uncertainMarks, &share.pendingMarks}) {
        const auto found = marks->find(customer);
        if (found != marks->end()) {
            limit = std::min(limit, limitAtAge(found->second, share.markAge));
        }
    }
    return limit;
}

} // namespace internal

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
            // Other routers may hold more than the lowered total allows: spend nothing beyond what is already
            // committed.
            account.granted = std::min(account.granted, committed(account));
            share.ledgerKnown = false;
        }
    }
}

bool canReserve(const PrepaidShare &share, const CustomerId &customer, Tokens tokens)
{
    const ShareAccount *account = accountOf(share, customer);
    return account == nullptr || !account->bounded
        || (!share.returned && committed(*account) + tokens <= limitOf(share, customer, *account));
}

bool reserve(PrepaidShare &share, const CustomerId &customer, Tokens tokens)
{
    if (!canReserve(share, customer, tokens)) {
        return false;
    }
    if (ShareAccount *account = boundedAccount(share, customer)) {
        account->reserved += tokens;
    }
    return true;
}

void settle(PrepaidShare &share, const CustomerId &customer, Tokens reserved, Tokens used)
{
    const auto found = share.accounts.find(customer);
    if (found == share.accounts.end() || found->second.reserved < reserved) {
        return;
    }
    found->second.reserved -= reserved;
    found->second.netUsed += std::min(used, reserved);
}

void noteShortfall(PrepaidShare &share, const CustomerId &customer, Tokens tokens)
{
    ShareAccount &account = share.accounts[customer];
    account.shortfall = std::max(account.shortfall, tokens);
}

Tokens headroom(const PrepaidShare &share, const CustomerId &customer)
{
    const ShareAccount *account = accountOf(share, customer);
    if (account == nullptr || share.returned) {
        return 0;
    }
    return std::max<Tokens>(0, limitOf(share, customer, *account) - committed(*account));
}

Tokens knownUnallocated(const PrepaidShare &share, const CustomerId &customer)
{
    const LedgerAccount *account = ledgerAccount(share, customer);
    return account == nullptr ? 0 : unallocatedTokens(*account);
}

Tokens unusedGrant(const PrepaidShare &share, const CustomerId &customer)
{
    const ShareAccount *account = accountOf(share, customer);
    if (account == nullptr || share.returned) {
        return 0;
    }
    return std::max<Tokens>(0, account->granted - committed(*account));
}

Tokens maxRemaining(const PrepaidShare &share, const CustomerId &customer)
{
    const LedgerAccount *account = ledgerAccount(share, customer);
    const ShareAccount *own = accountOf(share, customer);
    if (own == nullptr) {
        return 0;
    }
    if (account == nullptr) {
        // No router has drawn on it yet.
        return own->total;
    }
    const auto &others = peerHoldingsOf(share, customer);
    if (!own->isHome && !others.empty()) {
        // This router's copy of the ledger is as old as its last write; the home's report is newer.
        Tokens reported = 0;
        for (const auto &[holder, held] : others) {
            reported = std::max(reported, held.remaining);
        }
        return headroom(share, customer) + reported;
    }
    Tokens unallocated = unallocatedTokens(*account);
    std::uint64_t newest = share.ledgerRevision;
    Tokens remaining = unusedGrant(share, customer);
    for (const auto &[holder, granted] : account->granted) {
        // A holder without a recent report may have used nothing.
        remaining += holder == share.options.self || others.count(holder) != 0 ? 0 : granted;
    }
    for (const auto &[holder, held] : others) {
        remaining += held.unused;
        if (held.ledgerRevision > newest) {
            newest = held.ledgerRevision;
            unallocated = held.unallocated;
        }
    }
    return remaining + std::max<Tokens>(0, unallocated);
}

bool isNearEnd(const PrepaidShare &share, const CustomerId &customer)
{
    const ShareAccount *account = accountOf(share, customer);
    return account != nullptr && account->bounded
        && static_cast<double>(maxRemaining(share, customer))
        < share.options.nearEndFraction * static_cast<double>(account->total);
}

Duration timeUntilLimitGrows(const PrepaidShare &share, const CustomerId &customer, TimePoint now)
{
    const ShareAccount *own = accountOf(share, customer);
    if (own == nullptr) {
        return Duration::zero();
    }
    if (own->isHome) {
        const auto left = own->mark.fixedPeriod - share.markAge;
        return std::max<Duration>(left, Duration::zero());
    }
    Duration latest = Duration::zero();
    for (const auto &[holder, held] : peerHoldingsOf(share, customer)) {
        latest = std::max<Duration>(latest, held.limitGrowsAt - now);
    }
    return latest;
}

} // namespace Godwit
