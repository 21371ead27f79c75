// Tokens that move between routers.

#include "godwit/prepaid/prepaid_share.h"
#include "godwit/prepaid/testing_desk.h"

#include <catch2/catch.hpp>

using namespace Godwit;
using namespace Godwit::Testing;

TEST_CASE("tokens that move between routers are there once")
{
    World world = openedWorld(2);
    const Tokens both = headroom(world.share(0), Desk) + headroom(world.share(1), Desk);
    world.trade(0, 1, Desk, 1000, false);
    CHECK(headroom(world.share(0), Desk) + headroom(world.share(1), Desk) == both);
    world.trade(0, 1, Desk, 1000, true);
    CHECK(headroom(world.share(0), Desk) + headroom(world.share(1), Desk) == both - 1000);
}

TEST_CASE("a request that waits elsewhere gets all that nobody here waits for")
{
    // Near the end of a budget what is left lies in small parts at all routers. The caller of a request that needs
    // them all is served only if none of them keeps half for requests that may never come.
    World world = openedWorld(2, 40'000);
    for (int i = 0; i < 40; ++i) {
        world.request(0, Desk, 100);
        world.finish(0, 100);
        world.advance(std::chrono::milliseconds(50));
        world.sync(0, WriteFate::Done);
    }
    const Tokens held = headroom(world.share(0), Desk);
    REQUIRE(held > 1000);
    world.trade(0, 1, Desk, held, false);
    CHECK(headroom(world.share(0), Desk) > 0);
    const Tokens rest = headroom(world.share(0), Desk);
    wantMore(world.share(0), Desk, rest);
    world.trade(0, 1, Desk, rest, false, rest);
    CHECK(headroom(world.share(0), Desk) > 0);
    deskAt(world, 0).shortOf = 0;
    const Tokens left = headroom(world.share(0), Desk);
    world.trade(0, 1, Desk, left, false, left);
    CHECK(headroom(world.share(0), Desk) == 0);
}

TEST_CASE("a router that holds nothing ahead serves from what others send, without a write of its own")
{
    // Of a large fleet few routers draw tokens. A caller of any other is served once a holder has sent what its request
    // needs, also when that router has never written anything.
    World world(2, {{Desk, Total}});
    world.sync(0, WriteFate::Done);
    PrepaidShare &share = world.share(1);
    share.accounts[Desk].holdsAhead = false;
    world.sync(1, WriteFate::Done);
    CHECK(share.takenOver);
    CHECK(share.ledger.accounts.at(Desk).granted.count(HolderId{"host-1"}) == 0);
    CHECK_FALSE(world.request(1, Desk, 1000));
    world.trade(0, 1, Desk, 1000, false, 1000);
    CHECK(world.request(1, Desk, 1000));
    world.finish(1, 900);
    world.advance(Beat);
    const auto revision = share.ledgerRevision;
    world.sync(1, WriteFate::Done);
    CHECK(share.ledgerRevision == revision);
    CHECK(world.request(1, Desk, 100));
    CHECK_FALSE(world.request(1, Desk, 1));
}

TEST_CASE("a router that holds only what others sent it writes no marks")
{
    // Nearly every router of a large fleet keeps some tokens that a home sent. Each wrote a mark that said nothing,
    // time and again: the store got three times the writes that the homes need.
    World world(2, {{Desk, Total}});
    world.sync(0, WriteFate::Done);
    PrepaidShare &share = world.share(1);
    share.accounts[Desk].holdsAhead = false;
    world.sync(1, WriteFate::Done);
    const auto revision = share.markRevision;
    for (int i = 0; i < 5; ++i) {
        world.trade(0, 1, Desk, 1000, false);
        world.advance(Beat * 2);
        world.sync(0, WriteFate::Done);
        world.sync(1, WriteFate::Done);
    }
    REQUIRE(headroom(share, Desk) > 0);
    CHECK(share.markRevision == revision);
}

TEST_CASE("a router spends all that others sent it, however much it was sent")
{
    // Callers are refused for many seconds while their router holds enough: it had been sent tokens, so that by its own
    // count it had used less than nothing, and its mark stood below nothing as well.
    const CustomerId own{"own"};
    World world(2, {{Desk, Total}, {own, Total}});
    world.sync(0, WriteFate::Done);
    world.share(1).accounts[Desk].holdsAhead = false;
    world.sync(1, WriteFate::Done);
    world.request(1, Desk, 100);
    for (int i = 0; i < 30; ++i) {
        world.request(0, Desk, 100);
        world.request(1, own, 1000);
        world.finish(1, 1000);
        world.sync(0, WriteFate::Done);
        world.trade(0, 1, Desk, 1000, false);
        world.advance(Beat);
        world.sync(1, WriteFate::Done);
    }
    REQUIRE(deskAt(world, 1).net < -8000);
    CHECK(headroom(world.share(1), Desk) == -deskAt(world, 1).net);
    CHECK(world.request(1, Desk, 8000));
}

TEST_CASE("a wish that can't be met waits for the next write, and is met once")
{
    World world(2, {{Desk, Total}});
    world.sync(0, WriteFate::Done);
    world.share(1).accounts[Desk].holdsAhead = false;
    world.sync(1, WriteFate::Done);
    const Tokens more = headroom(world.share(0), Desk) + 1000;
    world.ask(0, 1, Desk, more, false);
    CHECK(headroom(world.share(1), Desk) == 0);
    wantMore(world.share(0), Desk, more);
    world.advance(std::chrono::milliseconds(50));
    world.sync(0, WriteFate::Done);
    world.serveAsks(0, false);
    CHECK(headroom(world.share(1), Desk) == more);
    world.serveAsks(0, false);
    CHECK(headroom(world.share(1), Desk) == more);
    CHECK(world.request(1, Desk, more));
    // What was left over goes back to the home.
    world.finish(1, more - 300);
    const TokenGift left = takeLeftovers(world.share(1), Desk, HolderId{"host-0"});
    CHECK(left.amount == 300);
    CHECK(headroom(world.share(1), Desk) == 0);
}

TEST_CASE("a wish whose request waits no longer is not met")
{
    World world(2, {{Desk, Total}});
    world.sync(0, WriteFate::Done);
    world.ask(0, 1, Desk, headroom(world.share(0), Desk) + 1, false);
    REQUIRE(world.share(0).asks.size() == 1);
    world.advance(std::chrono::seconds(1));
    CHECK(serveAsks(world.share(0), world.now()).empty());
    CHECK(world.share(0).asks.empty());
}
