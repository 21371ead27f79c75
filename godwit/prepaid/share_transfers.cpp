// Transfers of tokens between routers, and the queued requests for them.

#include "godwit/prepaid/prepaid_share.h"
#include "godwit/prepaid/share_internal.h"

#include <algorithm>
#include <utility>

namespace Godwit
{

using internal::boundedAccount;
using internal::expectedDemand;

Tokens sendTokens(PrepaidShare &share, const CustomerId &customer, const TokenDemand &demand, TimePoint now)
{
    ShareAccount *account = boundedAccount(share, customer);
    if (account == nullptr) {
        return 0;
    }
    const Tokens spare = headroom(share, customer);
    const Tokens kept = std::min(spare / 2, expectedDemand(share, *account, share.options.lendingReserve, now));
    const bool waitsHere = account->shortfall > 0;
    const Tokens urgent = waitsHere ? 0 : std::clamp<Tokens>(demand.shortfall, 0, spare);
    const Tokens amount = std::max(urgent, std::clamp<Tokens>(demand.wanted, 0, spare - kept));
    account->netUsed += amount;
    return amount;
}

TokenTransfer takeUnusedTokens(PrepaidShare &share, const CustomerId &customer, const HolderId &to)
{
    const Tokens left = headroom(share, customer);
    if (left > 0) {
        share.accounts.at(customer).netUsed += left;
    }
    return TokenTransfer{to, customer, left};
}

std::optional<TokenTransfer> requestTransfer(PrepaidShare &share, TransferRequest request)
{
    ShareAccount *account = boundedAccount(share, request.customer);
    if (account == nullptr || request.needed <= 0) {
        return std::nullopt;
    }
    if (headroom(share, request.customer) < request.needed) {
        share.transferRequests.push_back(std::move(request));
        return std::nullopt;
    }
    account->netUsed += request.needed;
    return TokenTransfer{request.from, request.customer, request.needed};
}

std::vector<TokenTransfer> serveTransferRequests(PrepaidShare &share, TimePoint now)
{
    std::vector<TokenTransfer> transfers;
    for (TransferRequest &request : std::exchange(share.transferRequests, {})) {
        if (request.deadline <= now) {
            continue;
        }
        if (auto transfer = requestTransfer(share, std::move(request))) {
            transfers.push_back(std::move(*transfer));
        }
    }
    return transfers;
}

void receiveTokens(PrepaidShare &share, const CustomerId &customer, Tokens amount)
{
    share.accounts[customer].netUsed -= std::max<Tokens>(0, amount);
}

} // namespace Godwit
