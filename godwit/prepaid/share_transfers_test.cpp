// Transfers of tokens between routers.

#include "godwit/prepaid/prepaid_share.h"
#include "godwit/prepaid/testing_single_customer.h"

#include <catch2/catch.hpp>

using namespace Godwit;
using namespace Godwit::Testing;

TEST_CASE("transferred tokens exist only once")
{
    PrepaidSimulation sim = startedSimulation(2);
    const Tokens both = headroom(sim.share(0), TestCustomer) + headroom(sim.share(1), TestCustomer);
    sim.moveTokens(0, 1, TestCustomer, 1000, false);
    CHECK(headroom(sim.share(0), TestCustomer) + headroom(sim.share(1), TestCustomer) == both);
    sim.moveTokens(0, 1, TestCustomer, 1000, true);
    CHECK(headroom(sim.share(0), TestCustomer) + headroom(sim.share(1), TestCustomer) == both - 1000);
}

TEST_CASE("a request that waits at another router gets all tokens that no request waits for here")
{
    // Near the end of a budget what is left is spread over all routers. A request that needs all of it is served only
    // if none of them keeps half for requests that may never arrive.
    PrepaidSimulation sim = startedSimulation(2, 40'000);
    for (int i = 0; i < 40; ++i) {
        sim.request(0, TestCustomer, 100);
        sim.finish(0, 100);
        sim.advance(std::chrono::milliseconds(50));
        sim.sync(0, WriteOutcome::Done);
    }
    const Tokens held = headroom(sim.share(0), TestCustomer);
    REQUIRE(held > 1000);
    sim.moveTokens(0, 1, TestCustomer, held, false);
    CHECK(headroom(sim.share(0), TestCustomer) > 0);
    const Tokens rest = headroom(sim.share(0), TestCustomer);
    noteShortfall(sim.share(0), TestCustomer, rest);
    sim.moveTokens(0, 1, TestCustomer, rest, false, rest);
    CHECK(headroom(sim.share(0), TestCustomer) > 0);
    accountAt(sim, 0).shortfall = 0;
    const Tokens left = headroom(sim.share(0), TestCustomer);
    sim.moveTokens(0, 1, TestCustomer, left, false, left);
    CHECK(headroom(sim.share(0), TestCustomer) == 0);
}

TEST_CASE("a router that is not a home serves from received tokens, without a write of its own")
{
    // In a large fleet few routers draw grants. Callers of any other router are served once a holder has sent the
    // tokens that their request needs, even if that router has never written anything.
    PrepaidSimulation sim(2, {{TestCustomer, Total}});
    sim.sync(0, WriteOutcome::Done);
    PrepaidShare &share = sim.share(1);
    share.accounts[TestCustomer].isHome = false;
    sim.sync(1, WriteOutcome::Done);
    CHECK(share.predecessorSettled);
    CHECK(share.ledger.accounts.at(TestCustomer).granted.count(HolderId{"host-1"}) == 0);
    CHECK_FALSE(sim.request(1, TestCustomer, 1000));
    sim.moveTokens(0, 1, TestCustomer, 1000, false, 1000);
    CHECK(sim.request(1, TestCustomer, 1000));
    sim.finish(1, 900);
    sim.advance(WriteInterval);
    const auto revision = share.ledgerRevision;
    sim.sync(1, WriteOutcome::Done);
    CHECK(share.ledgerRevision == revision);
    CHECK(sim.request(1, TestCustomer, 100));
    CHECK_FALSE(sim.request(1, TestCustomer, 1));
}

TEST_CASE("a router that holds only received tokens writes no marks")
{
    // Nearly every router of a large fleet holds some tokens that a home sent. When each of them kept writing marks
    // without effect, the store got three times the writes that the homes need.
    PrepaidSimulation sim(2, {{TestCustomer, Total}});
    sim.sync(0, WriteOutcome::Done);
    PrepaidShare &share = sim.share(1);
    share.accounts[TestCustomer].isHome = false;
    sim.sync(1, WriteOutcome::Done);
    const auto revision = share.markRevision;
    for (int i = 0; i < 5; ++i) {
        sim.moveTokens(0, 1, TestCustomer, 1000, false);
        sim.advance(WriteInterval * 2);
        sim.sync(0, WriteOutcome::Done);
        sim.sync(1, WriteOutcome::Done);
    }
    REQUIRE(headroom(share, TestCustomer) > 0);
    CHECK(share.markRevision == revision);
}

TEST_CASE("a router can spend all tokens it received, however many")
{
    // Guards against refusals that lasted for many seconds while the router held enough: it had received tokens, so
    // that its net usage and hence the limit of its mark were negative.
    const CustomerId own{"own"};
    PrepaidSimulation sim(2, {{TestCustomer, Total}, {own, Total}});
    sim.sync(0, WriteOutcome::Done);
    sim.share(1).accounts[TestCustomer].isHome = false;
    sim.sync(1, WriteOutcome::Done);
    sim.request(1, TestCustomer, 100);
    for (int i = 0; i < 30; ++i) {
        sim.request(0, TestCustomer, 100);
        sim.request(1, own, 1000);
        sim.finish(1, 1000);
        sim.sync(0, WriteOutcome::Done);
        sim.moveTokens(0, 1, TestCustomer, 1000, false);
        sim.advance(WriteInterval);
        sim.sync(1, WriteOutcome::Done);
    }
    REQUIRE(accountAt(sim, 1).netUsed < -8000);
    CHECK(headroom(sim.share(1), TestCustomer) == -accountAt(sim, 1).netUsed);
    CHECK(sim.request(1, TestCustomer, 8000));
}

TEST_CASE("a transfer request that cannot be met waits for the next write and is met once")
{
    PrepaidSimulation sim(2, {{TestCustomer, Total}});
    sim.sync(0, WriteOutcome::Done);
    sim.share(1).accounts[TestCustomer].isHome = false;
    sim.sync(1, WriteOutcome::Done);
    const Tokens more = headroom(sim.share(0), TestCustomer) + 1000;
    sim.requestTokens(0, 1, TestCustomer, more, false);
    CHECK(headroom(sim.share(1), TestCustomer) == 0);
    noteShortfall(sim.share(0), TestCustomer, more);
    sim.advance(std::chrono::milliseconds(50));
    sim.sync(0, WriteOutcome::Done);
    sim.serveTransferRequests(0, false);
    CHECK(headroom(sim.share(1), TestCustomer) == more);
    sim.serveTransferRequests(0, false);
    CHECK(headroom(sim.share(1), TestCustomer) == more);
    CHECK(sim.request(1, TestCustomer, more));
    // The unused tokens go back to the home.
    sim.finish(1, more - 300);
    const TokenTransfer left = takeUnusedTokens(sim.share(1), TestCustomer, HolderId{"host-0"});
    CHECK(left.amount == 300);
    CHECK(headroom(sim.share(1), TestCustomer) == 0);
}

TEST_CASE("an expired transfer request is not met")
{
    PrepaidSimulation sim(2, {{TestCustomer, Total}});
    sim.sync(0, WriteOutcome::Done);
    sim.requestTokens(0, 1, TestCustomer, headroom(sim.share(0), TestCustomer) + 1, false);
    REQUIRE(sim.share(0).transferRequests.size() == 1);
    sim.advance(std::chrono::seconds(1));
    CHECK(serveTransferRequests(sim.share(0), sim.now()).empty());
    CHECK(sim.share(0).transferRequests.empty());
}
