#include "godwit/gateway/body_senders.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Now{seconds(100)};

BodySender sender(const std::string &customer, std::uint64_t heldBytes, Duration silence)
{
    return {CustomerId{customer}, heldBytes, Now - silence};
}

} // namespace

TEST_CASE("only senders that make no progress are refused")
{
    // Guards against refusing a sender that is sending, however much it holds.
    CHECK_FALSE(senderToRefuse({sender("a", 1'000'000, milliseconds(900))}, Now));
    CHECK_FALSE(senderToRefuse({sender("a", 0, seconds(9))}, Now));
    CHECK(senderToRefuse({sender("a", 1'000'000, milliseconds(900)), sender("a", 10, seconds(1))}, Now) == 1);
}

TEST_CASE("the customer that holds most loses a request first")
{
    // Guards against many unfinished requests of one customer displacing a slow sender of another.
    CHECK(
        senderToRefuse(
            {sender("slow", 900, seconds(5)), sender("crowd", 800, seconds(1)), sender("crowd", 800, seconds(2))}, Now)
        == 2);
}

TEST_CASE("single bytes are no progress")
{
    // Guards against a client holding its room with a byte from time to time.
    SenderProgress progress{Now, 0};
    recordBodyBytes(progress, 1, Now + seconds(1));
    CHECK(progress.lastProgressAt == Now);
    recordBodyBytes(progress, 1023, Now + seconds(2));
    CHECK(progress.lastProgressAt == Now + seconds(2));
    recordBodyBytes(progress, 1023, Now + seconds(3));
    CHECK(progress.lastProgressAt == Now + seconds(2));
}
