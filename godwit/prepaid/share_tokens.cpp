// Tokens that move between routers, and the wishes that wait for them.

#include "godwit/prepaid/prepaid_share.h"
#include "godwit/prepaid/share_internal.h"

#include <algorithm>
#include <utility>

namespace Godwit
{

using internal::boundedAccount;
using internal::tokensFor;

Tokens sendTokens(PrepaidShare &share, const CustomerId &customer, const TokenWish &wish, TimePoint now)
{
    ShareAccount *account = boundedAccount(share, customer);
    if (account == nullptr) {
        return 0;
    }
    const Tokens spare = headroom(share, customer);
    const Tokens kept = std::min(spare / 2, tokensFor(share, *account, share.options.keepFromOthers, now));
    const bool waitsHere = account->shortOf > 0;
    const Tokens urgent = waitsHere ? 0 : std::clamp<Tokens>(wish.lacking, 0, spare);
    const Tokens amount = std::max(urgent, std::clamp<Tokens>(wish.wanted, 0, spare - kept));
    account->net += amount;
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
    ShareAccount *account = boundedAccount(share, ask.customer);
    if (account == nullptr || ask.needed <= 0) {
        return std::nullopt;
    }
    if (headroom(share, ask.customer) < ask.needed) {
        share.asks.push_back(std::move(ask));
        return std::nullopt;
    }
    account->net += ask.needed;
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

} // namespace Godwit
