#include "godwit/gateway/endpoint_reach.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Godwit;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr TimePoint Start{seconds(1000)};
const EndpointGroup North{"engine", DataCentreId{"north"}};

EndpointTable tableOf(const std::vector<std::string> &ids)
{
    std::vector<ListedEndpoint> listed;
    for (const std::string &id : ids) {
        ListedEndpoint endpoint;
        endpoint.id = EndpointId{id};
        endpoint.service = North.service;
        endpoint.dataCentre = North.dataCentre;
        listed.push_back(endpoint);
    }
    EndpointTable table;
    replaceEndpoints(table, listed);
    return table;
}

bool fail(EndpointReach &reach,
          const char *endpoint,
          TimePoint at,
          ConnectionFailure failure = ConnectionFailure::NotConnected,
          std::size_t size = 2)
{
    return recordConnectionFailure(reach, North, {EndpointId{endpoint}, failure, at - milliseconds(50)}, size, at);
}

bool failProbe(EndpointReach &reach, const char *endpoint, TimePoint at, std::size_t size)
{
    const FailedConnection failed{EndpointId{endpoint}, ConnectionFailure::NotConnected, at - milliseconds(50), true};
    return recordConnectionFailure(reach, North, failed, size, at);
}

} // namespace

TEST_CASE("a group is partitioned when all of its endpoints fail and none answers in between")
{
    EndpointReach reach;
    CHECK_FALSE(fail(reach, "a", Start));
    CHECK_FALSE(fail(reach, "a", Start + milliseconds(10)));
    CHECK_FALSE(isPartitioned(reach, North));
    CHECK(fail(reach, "b", Start + milliseconds(20)));
    CHECK(isPartitioned(reach, North));
    CHECK(partitionedGroups(reach) == std::vector<EndpointGroup>{North});
}

// Guards against taking the deaths of some endpoints for a partition from all of them.
TEST_CASE("failures of requests make no partition of a larger group unless a probe of another endpoint fails too")
{
    EndpointReach reach;
    const EndpointTable table = tableOf({"a", "b", "c"});
    fail(reach, "a", Start, ConnectionFailure::Reset, 3);
    CHECK_FALSE(fail(reach, "b", Start, ConnectionFailure::Reset, 3));
    const auto probes = takeDueProbes(reach, table, 1, Start);
    REQUIRE(probes.size() == 1);
    CHECK(probes[0].endpoint == EndpointId{"c"});
    EndpointReach reached = reach;
    recordAnswer(reached, North, Start, Start + milliseconds(3));
    CHECK_FALSE(needsProbes(reached));
    CHECK(failProbe(reach, "c", Start + milliseconds(3), 6));
    CHECK(isPartitioned(reach, North));
}

// Guards against a partition that is inferred from the deaths of two endpoints while the others serve.
TEST_CASE("endpoints that answer over older connections raise the evidence that a partition needs")
{
    EndpointReach reach;
    fail(reach, "a", Start, ConnectionFailure::Reset, 6);
    recordAnswer(reach, North, Start - seconds(1), Start + milliseconds(1));
    CHECK_FALSE(failProbe(reach, "b", Start + milliseconds(2), 6));
    CHECK_FALSE(failProbe(reach, "c", Start + milliseconds(3), 6));
    CHECK(failProbe(reach, "d", Start + milliseconds(4), 6));
}

TEST_CASE("endpoints that die while others answer don't make a partition")
{
    EndpointReach reach;
    fail(reach, "a", Start);
    recordAnswer(reach, North, Start + milliseconds(5), Start + milliseconds(10));
    CHECK_FALSE(fail(reach, "b", Start + milliseconds(20)));
    CHECK_FALSE(isPartitioned(reach, North));
}

TEST_CASE("the only endpoint of a group suffices for a partition")
{
    EndpointReach reach;
    CHECK(fail(reach, "a", Start, ConnectionFailure::Reset, 1));
}

TEST_CASE("only a connection opened after the failures ends a partition")
{
    EndpointReach reach;
    fail(reach, "a", Start);
    fail(reach, "b", Start);
    CHECK_FALSE(recordAnswer(reach, North, Start - seconds(2), Start + seconds(1)));
    CHECK(isPartitioned(reach, North));
    CHECK(recordAnswer(reach, North, Start + milliseconds(900), Start + seconds(1)));
    CHECK_FALSE(isPartitioned(reach, North));
    CHECK_FALSE(recordAnswer(reach, North, Start + milliseconds(900), Start + seconds(1)));
}

TEST_CASE("a silent endpoint is no evidence while others of its group answer")
{
    EndpointReach reach;
    recordAnswer(reach, North, Start - seconds(2), Start);
    CHECK_FALSE(fail(reach, "a", Start + milliseconds(20), ConnectionFailure::Silent));
    CHECK(reach.groups.at(North).failures.empty());
    fail(reach, "a", Start + milliseconds(200), ConnectionFailure::Silent);
    recordAnswer(reach, North, Start - seconds(2), Start + milliseconds(300));
    CHECK_FALSE(fail(reach, "b", Start + milliseconds(400), ConnectionFailure::Silent));
    CHECK_FALSE(isPartitioned(reach, North));
}

TEST_CASE("trouble on a kept connection is probed unless its group answers")
{
    EndpointReach reach;
    const EndpointTable table = tableOf({"a", "b"});
    recordTrouble(reach, North, Start);
    CHECK(needsProbes(reach));
    CHECK(takeDueProbes(reach, table, 0, Start + milliseconds(50)).empty());
    recordAnswer(reach, North, Start - seconds(1), Start + milliseconds(60));
    CHECK_FALSE(needsProbes(reach));
    recordTrouble(reach, North, Start + milliseconds(70));
    CHECK(takeDueProbes(reach, table, 0, Start + milliseconds(170)).size() == 1);
    CHECK(takeDueProbes(reach, table, 0, Start + milliseconds(180)).empty());
}

TEST_CASE("a first failure is followed by a probe of another endpoint")
{
    EndpointReach reach;
    const EndpointTable table = tableOf({"a", "b"});
    fail(reach, "a", Start);
    for (std::uint64_t random = 0; random < 4; ++random) {
        EndpointReach copy = reach;
        const auto probes = takeDueProbes(copy, table, random, Start);
        REQUIRE(probes.size() == 1);
        CHECK(probes[0].endpoint == EndpointId{"b"});
    }
}

TEST_CASE("a partitioned group is probed with one connection at a time")
{
    EndpointReach reach;
    const EndpointTable table = tableOf({"a", "b"});
    fail(reach, "a", Start);
    fail(reach, "b", Start);
    CHECK(takeDueProbes(reach, table, 0, Start).size() == 1);
    CHECK(takeDueProbes(reach, table, 0, Start + seconds(5)).empty());
    finishProbe(reach, North);
    CHECK(takeDueProbes(reach, table, 0, Start + milliseconds(99)).empty());
    CHECK(takeDueProbes(reach, table, 0, Start + milliseconds(100)).size() == 1);
    finishProbe(reach, North);
    CHECK(takeDueProbes(reach, table, 0, Start + milliseconds(1000)).size() == 1);
    finishProbe(reach, North);
    CHECK(takeDueProbes(reach, table, 0, Start + milliseconds(1499)).empty());
    CHECK(takeDueProbes(reach, table, 0, Start + milliseconds(1500)).size() == 1);
    finishProbe(reach, North);
    CHECK(takeDueProbes(reach, table, 0, Start + seconds(5)).size() == 1);
}

TEST_CASE("new endpoints of a partitioned group are probed at once")
{
    EndpointReach reach;
    onEndpointsListed(reach, tableOf({"a", "b"}));
    fail(reach, "a", Start);
    fail(reach, "b", Start);
    takeDueProbes(reach, tableOf({"a", "b"}), 0, Start);
    finishProbe(reach, North);
    const EndpointTable table = tableOf({"a", "c"});
    onEndpointsListed(reach, table);
    CHECK(reach.groups.at(North).failures.count(EndpointId{"b"}) == 0);
    const auto probes = takeDueProbes(reach, table, 0, Start + milliseconds(1));
    REQUIRE(probes.size() == 1);
    CHECK(probes[0].endpoint == EndpointId{"c"});
    finishProbe(reach, North);
    CHECK(takeDueProbes(reach, table, 0, Start + milliseconds(2)).empty());
    onEndpointsListed(reach, tableOf({}));
    CHECK(reach.groups.empty());
}

TEST_CASE("the backoff of a group's endpoints is cleared")
{
    EndpointTable table = tableOf({"a"});
    EndpointState &endpoint = table.endpoints.at(EndpointId{"a"});
    beginAttempt(endpoint);
    endAttempt(endpoint, AttemptFeedback::Unreachable, {}, Start);
    CHECK(endpoint.backoffUntil > Start);
    clearBackoff(table, North);
    CHECK(endpoint.backoffUntil <= Start);
    CHECK(endpoint.consecutiveFailures == 0);
}
