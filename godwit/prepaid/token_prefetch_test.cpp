#include "godwit/prepaid/token_prefetch.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace Godwit;

namespace
{

const CustomerId TestCustomer{"desk"};
constexpr Tokens Total = 50'000'000;
constexpr Tokens Size = 9000;

// A share of a router that is not the customer's home; `remains` is left of the total according to the home.
PrepaidShare shareWithRemoteHome(Tokens remains)
{
    PrepaidShare share = makePrepaidShare({});
    applyTotals(share, 1, {{TestCustomer, Total}});
    share.ledger.accounts[TestCustomer].total = Total;
    share.accounts[TestCustomer].isHome = false;
    share.peerHoldings[TestCustomer][HolderId{"home"}].remaining = remains;
    return share;
}

Tokens prefetchedTokens(PrepaidShare &share, Duration period, TimePoint now)
{
    const auto wanted = tokensToPrefetch(share, period, TokenPrefetchOptions{}, now);
    return wanted.empty() ? 0 : wanted.front().tokens;
}

// Result of one router serving a customer with steady demand whose home is another router with plenty of tokens.
struct Outcome
{
    int requests = 0;
    int refused = 0;
    Tokens leftOver = 0;
};

// One request every 6 ms. A request that finds no tokens asks the home for them and waits 50 ms at most. The home
// answers each request in full after `exchange`.
Outcome serve(Duration exchange, bool prefetches)
{
    struct PendingRequest
    {
        TimePoint answeredAt;
        Tokens tokens = 0;
    };
    constexpr Duration step = std::chrono::milliseconds(6);
    constexpr Duration maxWait = std::chrono::milliseconds(50);
    constexpr Duration runTime = std::chrono::milliseconds(300);
    const TokenPrefetchOptions options;
    PrepaidShare share = shareWithRemoteHome(Total);
    ExchangeTime time;
    std::deque<PendingRequest> pendingRequests;
    std::deque<TimePoint> waiting;
    std::deque<TimePoint> running;
    Outcome outcome;
    Tokens inTransit = 0;
    const auto requestTokens = [&](Tokens tokens, TimePoint now) {
        pendingRequests.push_back({now + exchange, tokens});
        inTransit += tokens;
    };
    for (TimePoint now{}; now < TimePoint{} + std::chrono::seconds(6); now += step) {
        while (!pendingRequests.empty() && pendingRequests.front().answeredAt <= now) {
            receiveTokens(share, TestCustomer, pendingRequests.front().tokens);
            inTransit -= pendingRequests.front().tokens;
            noteExchange(time, exchange);
            pendingRequests.pop_front();
        }
        while (!running.empty() && running.front() <= now) {
            settle(share, TestCustomer, Size, Size);
            running.pop_front();
        }
        ++outcome.requests;
        noteRequest(share, TestCustomer, Size, now);
        waiting.push_back(now);
        while (!waiting.empty() && waiting.front() + maxWait < now) {
            ++outcome.refused;
            waiting.pop_front();
        }
        while (!waiting.empty() && reserve(share, TestCustomer, Size)) {
            running.push_back(now + runTime);
            waiting.pop_front();
        }
        const Tokens lacking = Size * static_cast<Tokens>(waiting.size()) - headroom(share, TestCustomer) - inTransit;
        if (lacking > 0) {
            requestTokens(lacking, now);
        }
        const Tokens period = prefetches ? prefetchedTokens(share, prefetchTime(time, options), now) : 0;
        if (period > inTransit) {
            requestTokens(period - inTransit, now);
        }
    }
    outcome.leftOver = headroom(share, TestCustomer);
    return outcome;
}

} // namespace

TEST_CASE("a customer whose callers all use one small host is not refused while its home holds plenty")
{
    // The host's link is saturated, so that an exchange with the home takes three times as long as a request may wait;
    // the tokens arrive when the request has been refused, and its caller retries again and again.
    constexpr Duration slowExchange = std::chrono::milliseconds(150);
    const Outcome without = serve(slowExchange, false);
    const Outcome with = serve(slowExchange, true);
    CHECK(without.refused > without.requests / 3);
    CHECK(with.refused < with.requests / 20);
}

TEST_CASE("little is prefetched while exchanges are fast, since it would be lost with the router")
{
    const Outcome quick = serve(std::chrono::milliseconds(3), true);
    const auto requests = TokenPrefetchOptions().minTime / std::chrono::milliseconds(6);
    CHECK(quick.refused == 0);
    // A steady demand is estimated to within a tenth.
    CHECK(quick.leftOver <= Size * requests * 11 / 10);
}

TEST_CASE("nothing is prefetched near the end of a budget, or at the customer's home")
{
    const TokenPrefetchOptions options;
    const TimePoint now = TimePoint{} + std::chrono::seconds(1);
    const auto prefetches = [&](PrepaidShare share) {
        noteRequest(share, TestCustomer, Size, now);
        return prefetchedTokens(share, options.maxTime, now) > 0;
    };
    CHECK(prefetches(shareWithRemoteHome(Total)));
    CHECK_FALSE(prefetches(shareWithRemoteHome(Total / 10)));
    PrepaidShare atHome = shareWithRemoteHome(Total);
    atHome.accounts[TestCustomer].isHome = true;
    CHECK_FALSE(prefetches(atHome));
}

TEST_CASE("only customers with recent demand are checked")
{
    // With hundreds of thousands of budgets, a router spent its processor time on checking all of them twenty times a
    // second.
    PrepaidShare share = makePrepaidShare({});
    std::map<CustomerId, std::optional<Tokens>> totals;
    for (int i = 0; i < 300; ++i) {
        totals[CustomerId{"customer-" + std::to_string(i)}] = Total;
    }
    applyTotals(share, 1, totals);
    const TimePoint now = TimePoint{} + std::chrono::seconds(1);
    noteRequest(share, CustomerId{"customer-7"}, Size, now);
    const TokenPrefetchOptions options;
    tokensToPrefetch(share, options.maxTime, options, now);
    CHECK(share.activeCustomers.size() == 1);
    tokensToPrefetch(share, options.maxTime, options, now + std::chrono::minutes(2));
    CHECK(share.activeCustomers.empty());
    CHECK(share.accounts.at(CustomerId{"customer-7"}).demandBySize.empty());
}
