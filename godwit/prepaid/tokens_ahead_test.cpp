#include "godwit/prepaid/tokens_ahead.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace Godwit;

namespace
{

const CustomerId Desk{"desk"};
constexpr Tokens Total = 50'000'000;
constexpr Tokens Size = 9000;

// The customer is at home elsewhere, where so much remains of its total.
PrepaidShare shareWithHomeElsewhere(Tokens remains)
{
    PrepaidShare share = makePrepaidShare({});
    applyTotals(share, 1, {{Desk, Total}});
    share.ledger.accounts[Desk].total = Total;
    share.accounts[Desk].holdsAhead = false;
    share.heldElsewhere[Desk][HolderId{"home"}].remaining = remains;
    return share;
}

Tokens wantedOfDesk(PrepaidShare &share, Duration ahead, TimePoint now)
{
    const auto wanted = tokensAhead(share, ahead, TokensAheadOptions{}, now);
    return wanted.empty() ? 0 : wanted.front().tokens;
}

// What one router had to refuse of a steady customer that is at home elsewhere, where plenty is held.
struct Outcome
{
    int requests = 0;
    int refused = 0;
    Tokens leftOver = 0;
};

// A request each 6 ms. One that finds no tokens asks for them and waits 50 ms at most. The home answers each wish in
// full after `exchange`.
Outcome serve(Duration exchange, bool keepsAhead)
{
    struct Wish
    {
        TimePoint answeredAt;
        Tokens tokens = 0;
    };
    constexpr Duration step = std::chrono::milliseconds(6);
    constexpr Duration patience = std::chrono::milliseconds(50);
    constexpr Duration takes = std::chrono::milliseconds(300);
    const TokensAheadOptions options;
    PrepaidShare share = shareWithHomeElsewhere(Total);
    ExchangeTime time;
    std::deque<Wish> wishes;
    std::deque<TimePoint> waiting;
    std::deque<TimePoint> running;
    Outcome outcome;
    Tokens onItsWay = 0;
    const auto ask = [&](Tokens tokens, TimePoint now) {
        wishes.push_back({now + exchange, tokens});
        onItsWay += tokens;
    };
    for (TimePoint now{}; now < TimePoint{} + std::chrono::seconds(6); now += step) {
        while (!wishes.empty() && wishes.front().answeredAt <= now) {
            receiveTokens(share, Desk, wishes.front().tokens);
            onItsWay -= wishes.front().tokens;
            noteExchange(time, exchange);
            wishes.pop_front();
        }
        while (!running.empty() && running.front() <= now) {
            settle(share, Desk, Size, Size);
            running.pop_front();
        }
        ++outcome.requests;
        noteRequest(share, Desk, Size, now);
        waiting.push_back(now);
        while (!waiting.empty() && waiting.front() + patience < now) {
            ++outcome.refused;
            waiting.pop_front();
        }
        while (!waiting.empty() && reserve(share, Desk, Size)) {
            running.push_back(now + takes);
            waiting.pop_front();
        }
        const Tokens lacking = Size * static_cast<Tokens>(waiting.size()) - headroom(share, Desk) - onItsWay;
        if (lacking > 0) {
            ask(lacking, now);
        }
        const Tokens ahead = keepsAhead ? wantedOfDesk(share, aheadTime(time, options), now) : 0;
        if (ahead > onItsWay) {
            ask(ahead - onItsWay, now);
        }
    }
    outcome.leftOver = headroom(share, Desk);
    return outcome;
}

} // namespace

TEST_CASE("a customer whose callers keep to one small host is not refused while its home holds plenty")
{
    // The caller is told to come back, again and again. The host's link is full, so that an exchange with the home
    // takes three times as long as a request may wait; tokens for it arrive when it has been refused.
    constexpr Duration choked = std::chrono::milliseconds(150);
    const Outcome without = serve(choked, false);
    const Outcome with = serve(choked, true);
    CHECK(without.refused > without.requests / 3);
    CHECK(with.refused < with.requests / 20);
}

TEST_CASE("where exchanges are quick little is kept, since it would be lost with its router")
{
    const Outcome quick = serve(std::chrono::milliseconds(3), true);
    const auto requests = TokensAheadOptions().least / std::chrono::milliseconds(6);
    CHECK(quick.refused == 0);
    // A steady demand is known to within a tenth.
    CHECK(quick.leftOver <= Size * requests * 11 / 10);
}

TEST_CASE("nothing is kept near the end of a budget, or at the customer's home")
{
    const TokensAheadOptions options;
    const TimePoint now = TimePoint{} + std::chrono::seconds(1);
    const auto keeps = [&](PrepaidShare share) {
        noteRequest(share, Desk, Size, now);
        return wantedOfDesk(share, options.most, now) > 0;
    };
    CHECK(keeps(shareWithHomeElsewhere(Total)));
    CHECK_FALSE(keeps(shareWithHomeElsewhere(Total / 10)));
    PrepaidShare atHome = shareWithHomeElsewhere(Total);
    atHome.accounts[Desk].holdsAhead = true;
    CHECK_FALSE(keeps(atHome));
}

TEST_CASE("of many customers those alone are looked at that were asked for lately")
{
    // A router of a platform with hundreds of thousands of budgets spent its processor time on looking through them
    // all, twenty times a second.
    PrepaidShare share = makePrepaidShare({});
    std::map<CustomerId, std::optional<Tokens>> totals;
    for (int i = 0; i < 300; ++i) {
        totals[CustomerId{"customer-" + std::to_string(i)}] = Total;
    }
    applyTotals(share, 1, totals);
    const TimePoint now = TimePoint{} + std::chrono::seconds(1);
    noteRequest(share, CustomerId{"customer-7"}, Size, now);
    const TokensAheadOptions options;
    tokensAhead(share, options.most, options, now);
    CHECK(share.askedFor.size() == 1);
    tokensAhead(share, options.most, options, now + std::chrono::minutes(2));
    CHECK(share.askedFor.empty());
    CHECK(share.accounts.at(CustomerId{"customer-7"}).demandBySize.empty());
}
