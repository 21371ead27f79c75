#include "godwit/gateway/held_bytes.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

constexpr std::uint64_t Limit = 1'000'000;
const TimePoint Start{std::chrono::seconds(10)};

HeldBytesOptions limited()
{
    HeldBytesOptions options;
    options.limitBytes = Limit;
    return options;
}

HeldBytes holding(std::uint64_t forCallers, std::uint64_t bodies, std::uint64_t forEndpoints)
{
    HeldBytes held;
    setHeld(held, HeldSide::Caller, 0, forCallers);
    setHeld(held, HeldSide::Body, 0, bodies);
    setHeld(held, HeldSide::Endpoint, 0, forEndpoints);
    return held;
}

ReaderProgress reader(Duration still, std::size_t queued)
{
    ReaderProgress progress;
    progress.lastProgressAt = Start - still;
    progress.queuedBytes = queued;
    return progress;
}

} // namespace

TEST_CASE("a quarter of the process's memory may be held")
{
    CHECK(heldBytesLimit(160) == 40ULL * 1024 * 1024);
    CHECK(heldBytesLimit(0) == 0);
}

TEST_CASE("counts of all sides add up, and replacing a count leaves the others as they are")
{
    // Guards against a count that drifts until the router refuses all bodies.
    HeldBytes held = holding(100, 20, 3);
    CHECK(totalHeldBytes(held) == 123);
    setHeld(held, HeldSide::Caller, 60, 10);
    CHECK(heldBytes(held, HeldSide::Caller) == 50);
    setHeld(held, HeldSide::Caller, 50, 0);
    CHECK(totalHeldBytes(held) == 23);
}

TEST_CASE("the queue of a caller is limited to 16 KB once over half of the limit is held")
{
    const HeldBytesOptions options = limited();
    const HeldBytes half = holding(Limit / 2, 0, 0);
    const HeldBytes over = holding(Limit / 4, Limit / 4, 1);
    constexpr std::size_t kilobyte = 1024;
    CHECK_FALSE(shouldPauseReading(half, options, 256 * kilobyte));
    CHECK(shouldPauseReading(half, options, 256 * kilobyte + 1));
    CHECK_FALSE(shouldPauseReading(over, options, 16 * kilobyte));
    CHECK(shouldPauseReading(over, options, 16 * kilobyte + 1));
}

TEST_CASE("without a limit nothing is refused and no caller is disconnected for memory")
{
    // Guards against a change for deployments that set no limit.
    const HeldBytes held = holding(100 * Limit, Limit, Limit);
    CHECK_FALSE(shouldPauseReading(held, {}, 256UL * 1024));
    CHECK(mayHoldBody(held, {}, Limit));
    CHECK_FALSE(mustDisconnectCaller(held, {}));
}

TEST_CASE("a body is held only while it fits below the limit")
{
    const HeldBytesOptions options = limited();
    const HeldBytes held = holding(0, Limit - 1000, 0);
    CHECK(mayHoldBody(held, options, 1000));
    CHECK_FALSE(mayHoldBody(held, options, 1001));
    CHECK(mayHoldBody(held, options, std::nullopt));
    const HeldBytes full = holding(Limit, 0, 0);
    CHECK_FALSE(mayHoldBody(full, options, std::nullopt));
    CHECK(mayHoldBody(full, options, 0));
}

TEST_CASE("a sixteenth of the limit is kept for small requests")
{
    // Guards against a crowd of large requests leaving no room for ordinary ones.
    const HeldBytesOptions options = limited();
    const HeldBytes nearly = holding(0, Limit * 15 / 16, 0);
    CHECK(mayHoldBody(nearly, options, 16UL * 1024));
    CHECK_FALSE(mayHoldBody(nearly, options, 16UL * 1024 + 1));
    CHECK(mayKeepReceiving(nearly, options, 20'000));
    CHECK_FALSE(mayKeepReceiving(holding(0, Limit * 15 / 16 + 1, 0), options, 20'000));
    CHECK(mayKeepReceiving(holding(0, 2 * Limit, 0), options, 16UL * 1024));
}

TEST_CASE("a single large request may use the whole limit")
{
    // Guards against refusing a request within the configured limits while the router is idle.
    const HeldBytesOptions options = limited();
    CHECK(mayHoldBody({}, options, Limit));
    CHECK(mayKeepReceiving(holding(0, Limit, 0), options, Limit));
    CHECK_FALSE(mayKeepReceiving(holding(0, Limit + 1, 0), options, Limit + 1));
    CHECK(mayKeepReceiving(holding(0, 2 * Limit, 0), {}, 2 * Limit));
}

TEST_CASE("callers are disconnected at the limit only if enough is queued for them")
{
    // Guards against disconnecting callers that read because of bodies of other requests.
    const HeldBytesOptions options = limited();
    CHECK_FALSE(mustDisconnectCaller(holding(Limit - 1, 0, 0), options));
    CHECK(mustDisconnectCaller(holding(Limit, 0, 0), options));
    CHECK(mustDisconnectCaller(holding(Limit / 2, Limit / 2, 0), options));
    CHECK_FALSE(mustDisconnectCaller(holding(Limit / 10, Limit, 0), options));
}

TEST_CASE("the caller with queued bytes that has read nothing for the longest time is disconnected")
{
    // Guards against disconnecting a caller that reads, or one that is idle.
    using std::chrono::seconds;
    CHECK(callerToDisconnect({reader(seconds(9), 0), reader(seconds(1), 10), reader(seconds(3), 5)}) == 2);
    CHECK_FALSE(callerToDisconnect({reader(seconds(9), 0)}));
    CHECK_FALSE(callerToDisconnect({}));
}

TEST_CASE("a reader stalls when it takes no byte for the timeout while bytes are queued")
{
    constexpr Duration timeout = std::chrono::seconds(4);
    ReaderProgress slow = reader(timeout, 1);
    CHECK(isStalled(slow, timeout, Start));
    CHECK_FALSE(isStalled(reader(timeout - Duration(1), 1), timeout, Start));
    CHECK_FALSE(isStalled(reader(timeout, 0), timeout, Start));
    slow.taken = 1000;
    slow.acknowledged = 500;
    SECTION("nothing changed")
    {
        recordQueued(slow, 10, Start);
        recordTaken(slow, 0, Start);
        recordAcknowledged(slow, 500, Start);
        CHECK(isStalled(slow, timeout, Start));
    }
    SECTION("the kernel accepted bytes")
    {
        recordQueued(slow, 10, Start);
        recordTaken(slow, 1, Start);
        CHECK(slow.queuedBytes == 10);
        CHECK_FALSE(isStalled(slow, timeout, Start));
    }
    SECTION("the reader's host acknowledged bytes")
    {
        recordAcknowledged(slow, 499, Start);
        CHECK_FALSE(isStalled(slow, timeout, Start));
    }
}

TEST_CASE("an idle reader is not stalled by the first bytes that are queued for it")
{
    // Guards against disconnecting a caller that was idle before its request.
    ReaderProgress idle = reader(std::chrono::hours(1), 0);
    recordQueued(idle, 100, Start);
    CHECK_FALSE(isStalled(idle, std::chrono::seconds(4), Start + std::chrono::seconds(3)));
    CHECK(isStalled(idle, std::chrono::seconds(4), Start + std::chrono::seconds(4)));
}

TEST_CASE("a reader is checked when its timeout expires, and not without pause after that")
{
    // Guards against a busy loop over a reader that stays connected after the timeout.
    using std::chrono::milliseconds;
    constexpr Duration timeout = std::chrono::seconds(4);
    CHECK(nextProgressCheck(reader(Duration::zero(), 1), timeout, Start) == milliseconds(500));
    CHECK(nextProgressCheck(reader(milliseconds(3900), 1), timeout, Start) == milliseconds(100));
    CHECK(nextProgressCheck(reader(timeout, 1), timeout, Start) == milliseconds(500));
}
