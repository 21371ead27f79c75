#include "godwit/gateway/stream_versions.h"

#include "godwit/gateway/endpoint_table.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

using namespace Godwit;
using std::chrono::seconds;

namespace
{

const TimePoint Start{seconds(100)};
const std::string Service = "engine";
const StreamVersionOptions Options;

std::map<std::string, std::set<std::string>> listed(const std::set<std::string> &names)
{
    return {{Service, names}};
}

bool several(const StreamVersions &versions, TimePoint now)
{
    return hasSeveralVersions(versions, Options, Service, now);
}

} // namespace

TEST_CASE("a stream's version is known until no caller can come back for it")
{
    StreamVersions versions;
    const StreamOrigin origin{CustomerId{"anna"}, Service, "v1"};
    CHECK(recordStream(versions, Options, "a", origin, Start));
    CHECK_FALSE(recordStream(versions, Options, "a", {CustomerId{"ben"}, Service, "v2"}, Start));
    REQUIRE(findStream(versions, "a", Start + seconds(59)) != nullptr);
    CHECK(*findStream(versions, "a", Start + seconds(59)) == origin);
    CHECK(findStream(versions, "a", Start + seconds(60)) == nullptr);
    CHECK(findStream(versions, "b", Start) == nullptr);
    CHECK(recordedStreams(versions, Service, Start).size() == 1);
    CHECK(recordedStreams(versions, "other", Start).empty());
}

// Guards against memory that grows with the number of streams.
TEST_CASE("the oldest records of streams are dropped")
{
    StreamVersions versions;
    StreamVersionOptions few;
    few.maxRecords = 3;
    for (const char *attempt : {"a", "b", "c", "d", "e"}) {
        recordStream(versions, few, attempt, {CustomerId{"anna"}, Service, "v1"}, Start);
    }
    CHECK(versions.records.size() == 3);
    CHECK(findStream(versions, "a", Start) == nullptr);
    CHECK(findStream(versions, "e", Start) != nullptr);
    recordStream(versions, few, "f", {CustomerId{"anna"}, Service, "v1"}, Start + seconds(61));
    CHECK(versions.records.size() == 1);
    CHECK(versions.expiries.size() == 1);
}

// Guards against taking up a stream at the only version that is left while it began at one that has just gone.
TEST_CASE("a version counts for as long as its streams may be taken up")
{
    StreamVersions versions;
    CHECK(setListedVersions(versions, Options, listed({"v1"}), Start).empty());
    CHECK_FALSE(several(versions, Start));
    CHECK(setListedVersions(versions, Options, listed({"v1", "v2"}), Start + seconds(1)).size() == 1);
    CHECK(setListedVersions(versions, Options, listed({"v2"}), Start + seconds(2)).empty());
    CHECK(several(versions, Start + seconds(61)));
    CHECK_FALSE(several(versions, Start + seconds(62)));
    // Replaced at once.
    CHECK(setListedVersions(versions, Options, listed({"v3"}), Start + seconds(200))
          == std::vector<std::string>{Service});
}

// Guards against a restarted router that takes the only version that it sees for the only one there was.
TEST_CASE("routers tell others about versions that are no longer listed")
{
    StreamVersions versions;
    setListedVersions(versions, Options, listed({"v1"}), Start);
    setListedVersions(versions, Options, listed({"v2"}), Start + seconds(1));
    const auto earlier = earlierVersions(versions, Options, Start + seconds(11));
    REQUIRE(earlier.size() == 1);
    CHECK(earlier.front().version == "v1");
    CHECK(earlier.front().age == seconds(10));
    StreamVersions restarted;
    setListedVersions(restarted, Options, listed({"v2"}), Start + seconds(11));
    CHECK_FALSE(several(restarted, Start + seconds(11)));
    applyEarlierVersion(restarted, earlier.front(), Start + seconds(11));
    CHECK(several(restarted, Start + seconds(60)));
    CHECK_FALSE(several(restarted, Start + seconds(61)));
}

TEST_CASE("a request for one version is sent to endpoints of that version only")
{
    EndpointTable table;
    ListedEndpoint endpoint;
    endpoint.service = Service;
    endpoint.slots = 8;
    std::vector<ListedEndpoint> list;
    for (const char *version : {"v1", "v2"}) {
        endpoint.id = EndpointId{std::string("i-") + version};
        endpoint.version = version;
        list.push_back(endpoint);
    }
    replaceEndpoints(table, list);
    ChoiceQuery query;
    query.service = Service;
    query.versions = {"v2"};
    for (std::uint64_t random = 0; random < 4; ++random) {
        const Choice choice = chooseEndpoint(table, query, {}, random, Start);
        REQUIRE(choice.endpoint != nullptr);
        CHECK(choice.endpoint->listed.version == "v2");
    }
    query.versions = {"v3"};
    CHECK_FALSE(hasCandidates(table, query));
    CHECK(chooseEndpoint(table, query, {}, 0, Start).endpoint == nullptr);
}
