#include "godwit/gateway/connection_limits.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Now{seconds(100)};

ConnectionActivity activity(ConnectionPhase phase, Duration age)
{
    return {phase, Now - age};
}

} // namespace

TEST_CASE("the limits of all ports together leave descriptors for the router's own connections")
{
    // Guards against strangers at several ports taking the descriptors of connections to store and endpoints.
    for (const std::uint64_t descriptors : {256U, 1024U, 4100U, 20'000U}) {
        const ConnectionLimits limits = connectionLimits(descriptors);
        const std::size_t sum = limits.callers + limits.entry + limits.metrics + limits.lent + limits.unprovenPeers;
        CHECK(sum <= descriptors * 7 / 8);
        CHECK(limits.callers == descriptors / 2);
    }
}

TEST_CASE("answered connections are closed first, then idle ones, heads and bodies")
{
    // Guards against closing a connection on which a request arrives while others have none.
    const std::vector<ConnectionActivity> all = {activity(ConnectionPhase::Body, seconds(9)),
                                                 activity(ConnectionPhase::Head, seconds(8)),
                                                 activity(ConnectionPhase::Idle, seconds(7)),
                                                 activity(ConnectionPhase::Closing, milliseconds(1)),
                                                 activity(ConnectionPhase::Busy, seconds(60))};
    CHECK(connectionToClose(all, Now) == 3);
    CHECK(connectionToClose({all[0], all[1], all[2]}, Now) == 2);
    CHECK(connectionToClose({all[0], all[1]}, Now) == 1);
    CHECK(connectionToClose({all[0], all[4]}, Now) == 0);
}

TEST_CASE("of connections in the same phase the oldest is closed")
{
    // Guards against closing the connection whose request is about to arrive.
    CHECK(connectionToClose({activity(ConnectionPhase::Idle, seconds(2)), activity(ConnectionPhase::Idle, seconds(3))},
                            Now)
          == 1);
}

TEST_CASE("a connection that was just accepted is closed after older ones of any phase")
{
    // Guards against a crowd that reconnects quickly closing each proper connection before its request arrives.
    CHECK(connectionToClose({activity(ConnectionPhase::Idle, milliseconds(1)),
                             activity(ConnectionPhase::Head, milliseconds(70)),
                             activity(ConnectionPhase::Body, milliseconds(60))},
                            Now)
          == 1);
    CHECK(connectionToClose(
              {activity(ConnectionPhase::Idle, milliseconds(900)), activity(ConnectionPhase::Body, seconds(2))}, Now)
          == 1);
}

TEST_CASE("busy connections are never closed")
{
    // Guards against breaking off requests in flight to accept new connections.
    CHECK_FALSE(connectionToClose({activity(ConnectionPhase::Busy, seconds(60))}, Now));
    CHECK_FALSE(connectionToClose({}, Now));
}
