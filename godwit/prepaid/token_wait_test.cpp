#include "godwit/prepaid/token_wait.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

using std::chrono::milliseconds;

Duration waitFor(milliseconds latencyTarget, milliseconds exchange, milliseconds timeLeft = milliseconds(2500))
{
    return tokenWait({latencyTarget, timeLeft, exchange}, TokenWaitOptions{});
}

} // namespace

TEST_CASE("a request waits longer for tokens while exchanges are slow")
{
    // Guards against refusals behind a full link whose homes hold plenty: exchanges took 100 ms, a request waited 62.
    CHECK(waitFor(milliseconds(500), milliseconds(80)) == milliseconds(160));
    CHECK(waitFor(milliseconds(1500), milliseconds(150)) == milliseconds(300));
    // At most a third of the latency target, and never beyond the deadline.
    CHECK(waitFor(milliseconds(150), milliseconds(100)) == milliseconds(50));
    CHECK(waitFor(milliseconds(1500), milliseconds(150), milliseconds(90)) == milliseconds(90));
}

TEST_CASE("a request waits no longer for tokens while exchanges are shorter than its wait")
{
    CHECK(waitFor(milliseconds(1500), milliseconds(15)) == milliseconds(120));
    CHECK(waitFor(milliseconds(400), milliseconds(40)) == milliseconds(50));
    CHECK(waitFor(milliseconds(400), milliseconds(40), milliseconds(30)) == milliseconds(30));
}
