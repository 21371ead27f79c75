#include "godwit/membership/platform_lease.h"

#include <catch2/catch.hpp>

using namespace Godwit;
using std::chrono::seconds;

namespace
{

constexpr TimePoint Start{seconds(100)};

KvReply replyTo(const KvCommand &command, KvStatus status, std::string value = "")
{
    KvReply reply;
    reply.tag = command.tag;
    reply.status = status;
    reply.value = std::move(value);
    return reply;
}

PlatformLease grantedLease(Duration answerDelay)
{
    PlatformLease lease = makePlatformLease({});
    const auto commands = onTick(lease, Start);
    REQUIRE(commands.size() == 1);
    CHECK(commands[0].verb == KvVerb::GrantLease);
    CHECK(commands[0].value == "30000");
    CHECK(onKvReply(lease, replyTo(commands[0], KvStatus::Ok, "lease-1"), Start + answerDelay));
    return lease;
}

} // namespace

TEST_CASE("a lease counts from the moment its request was sent")
{
    // The answer to the grant is held up for 20 s. The platform counts from before that; a holder that counted
    // from the answer would believe 20 s after another took over.
    const PlatformLease lease = grantedLease(seconds(20));
    CHECK(leaseHeld(lease, Start + seconds(28)));
    CHECK_FALSE(leaseHeld(lease, Start + seconds(29)));
    CHECK(leaseRemaining(lease, Start + seconds(19)) == seconds(10));
}

TEST_CASE("an unanswered renewal doesn't lengthen the lease, an answered one does")
{
    PlatformLease lease = grantedLease(seconds(0));
    auto commands = onTick(lease, Start + seconds(10));
    REQUIRE(commands.size() == 1);
    CHECK(commands[0].key == "lease-1");
    onKvReply(lease, replyTo(commands[0], KvStatus::Unknown), Start + seconds(12));
    CHECK(leaseRemaining(lease, Start + seconds(12)) == seconds(17));
    commands = onTick(lease, Start + seconds(13));
    REQUIRE(commands.size() == 1);
    onKvReply(lease, replyTo(commands[0], KvStatus::Ok), Start + seconds(14));
    CHECK(leaseRemaining(lease, Start + seconds(14)) == seconds(28));
    CHECK(lease.generation == 1);
}

TEST_CASE("a lapsed lease ends at once, and its successor is another generation")
{
    PlatformLease lease = grantedLease(seconds(0));
    auto commands = onTick(lease, Start + seconds(10));
    onKvReply(lease, replyTo(commands.at(0), KvStatus::NotFound), Start + seconds(11));
    CHECK_FALSE(leaseHeld(lease, Start + seconds(11)));
    commands = onTick(lease, Start + seconds(11));
    onKvReply(lease, replyTo(commands.at(0), KvStatus::Ok, "lease-2"), Start + seconds(11));
    CHECK(leaseHeld(lease, Start + seconds(11)));
    CHECK(lease.generation == 2);
}
