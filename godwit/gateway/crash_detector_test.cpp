#include "godwit/gateway/crash_detector.h"
#include "godwit/gateway/request_identity.h"

#include <catch2/catch.hpp>

using namespace Godwit;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1h);

ListedEndpoint endpointAt(const char *id, const char *address)
{
    ListedEndpoint endpoint;
    endpoint.id = EndpointId{id};
    endpoint.service = "plain";
    endpoint.address = address;
    return endpoint;
}

InterruptedAttempt attemptAt(std::uint64_t fingerprint, Duration after, bool trial = false)
{
    return {fingerprint, Start + after - 40ms, Start + after, trial};
}

} // namespace

// Guards against reporting a crash when only a single connection broke.
TEST_CASE("an endpoint has crashed if its port refuses, with the attempts interrupted since the probe")
{
    CrashDetector detector;
    const ListedEndpoint endpoint = endpointAt("a", "10.0.0.1:80");
    CHECK(recordInterruption(detector, endpoint, attemptAt(1, 0s)));
    CHECK_FALSE(recordInterruption(detector, endpoint, attemptAt(2, 1ms)));
    CHECK(recordNoCrash(detector, endpoint.id).empty());
    CHECK(recordInterruption(detector, endpoint, attemptAt(3, 1s, true)));
    CHECK_FALSE(recordInterruption(detector, endpoint, attemptAt(4, 1s)));
    const auto crash = takeCrash(detector, endpoint.id);
    REQUIRE(crash);
    REQUIRE(crash->attempts.size() == 2);
    CHECK(crash->attempts[0].fingerprint == 3);
    CHECK(crash->probedSince == Start + 1s);
    CHECK_FALSE(takeCrash(detector, endpoint.id));
}

TEST_CASE("trials at an endpoint that did not crash are returned once")
{
    CrashDetector detector;
    const ListedEndpoint endpoint = endpointAt("a", "10.0.0.1:80");
    recordInterruption(detector, endpoint, attemptAt(1, 0s, true));
    CHECK(recordNoCrash(detector, endpoint.id).size() == 1);
    CHECK(recordNoCrash(detector, endpoint.id).empty());
}

// Guards against missing the crash of an endpoint that restarts before its port is probed.
TEST_CASE("another endpoint at the same address indicates that the former one has crashed")
{
    CrashDetector detector;
    const ListedEndpoint endpoint = endpointAt("a", "10.0.0.1:80");
    recordInterruption(detector, endpoint, attemptAt(1, 0s));
    recordNoCrash(detector, endpoint.id);
    CHECK(takeReplacedEndpoints(detector, {endpoint}, Start + 1s).empty());
    const auto replaced = takeReplacedEndpoints(detector, {endpointAt("b", "10.0.0.1:80")}, Start + 2s);
    REQUIRE(replaced.size() == 1);
    CHECK(replaced[0].id == endpoint.id);
    recordInterruption(detector, endpoint, attemptAt(1, 10s));
    CHECK(takeReplacedEndpoints(detector, {}, Start + 30s).empty());
    CHECK(detector.interruptions.empty());
}

TEST_CASE("a request that was answered completely is not blamed for a crash")
{
    CrashDetector detector;
    const ListedEndpoint endpoint = endpointAt("a", "10.0.0.1:80");
    recordInterruption(detector, endpoint, attemptAt(1, 0s));
    forgetInterruptionsOf(detector, 1);
    CHECK(detector.interruptions.empty());
}

// Guards against one customer's crashes causing another customer's requests to be refused.
TEST_CASE("requests are identified by method, host, target, customer and body")
{
    const RequestIdentity base{"GET", "desk.example", "/read/1", CustomerId{"anna"}, "body"};
    const auto same = requestFingerprint(base);
    CHECK(requestFingerprint(base) == same);
    RequestIdentity other = base;
    other.customer = CustomerId{"ben"};
    CHECK(requestFingerprint(other) != same);
    other = base;
    other.body = "bodx";
    CHECK(requestFingerprint(other) != same);
    other = base;
    other.host = "desk.example/";
    other.target = "read/1";
    CHECK(requestFingerprint(other) != same);
}
