#include "godwit/gateway/entry_hosts.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

std::vector<EntryHost> hosts(int large, int small, double loadOfAll)
{
    std::vector<EntryHost> all;
    all.reserve(static_cast<std::size_t>(large) + static_cast<std::size_t>(small));
    for (int i = 0; i < large + small; ++i) {
        all.push_back({i < large ? 500.0 : 60.0, loadOfAll / (large + small)});
    }
    return all;
}

} // namespace

TEST_CASE("small hosts are not advertised while the large ones can carry the whole load")
{
    // Guards against callers that wait for seconds and give up: a host with a link of 10 Mbit/s would receive as many
    // requests as a host with 200.
    const EntryHostOptions options;
    CHECK(minAdvertisedCapacity(hosts(6, 54, 860), options) == 500);
    CHECK(minAdvertisedCapacity(hosts(6, 54, 1400), options) == 500);
}

TEST_CASE("all hosts are advertised if there are too few large ones or if all are alike")
{
    const EntryHostOptions options;
    CHECK(minAdvertisedCapacity(hosts(6, 54, 1700), options) == 60);
    CHECK(minAdvertisedCapacity(hosts(1, 54, 860), options) == 60);
    CHECK(minAdvertisedCapacity(hosts(0, 8, 200), options) == 60);
    CHECK(minAdvertisedCapacity(hosts(0, 8, 5000), options) == 0);
    CHECK(minAdvertisedCapacity({}, options) == 0);
}

TEST_CASE("the capacity of a host is limited by the scarcer of processor and link")
{
    const EntryHostOptions options;
    CHECK(requestCapacity(0.5, 200, options) == Approx(500));
    CHECK(requestCapacity(0.12, 10, options) == Approx(62.5));
}

TEST_CASE("callers of a region-restricted host get routers in its regions, even small ones, before others")
{
    // Guards against prompts leaving the regions to which the operators have restricted their route.
    const RegionId east{"east"};
    const RegionId west{"west"};
    const std::vector<EntryAddress> hosts = {
        {"east-large", east, true}, {"east-small", east, false}, {"west-small", west, false}};
    using Addresses = std::vector<std::string>;
    CHECK(addressesForRegions(hosts, {}) == Addresses{"east-large"});
    CHECK(addressesForRegions(hosts, std::set<RegionId>{east}) == Addresses{"east-large"});
    CHECK(addressesForRegions(hosts, std::set<RegionId>{west}) == Addresses{"west-small"});
    CHECK(addressesForRegions(hosts, std::set<RegionId>{east, west}) == Addresses{"east-large"});
    CHECK(addressesForRegions(hosts, std::set<RegionId>{RegionId{"north"}}) == Addresses{"east-large"});
    CHECK(addressesForRegions({}, {}).empty());
}

TEST_CASE("partitioned hosts are not advertised while the others can carry the load")
{
    const auto advertised = [](double load) {
        std::vector<EntryAddress> hosts = {
            {"a", {}, true, 100, true}, {"b", {}, true, 100, false}, {"c", {}, false, 100, false}};
        avoidPartitioned(hosts, load, {});
        return hosts[0].advertised;
    };
    CHECK_FALSE(advertised(40));
    CHECK(advertised(60));
    std::vector<EntryAddress> all = {{"a", {}, true, 100, true}};
    avoidPartitioned(all, 0, {});
    CHECK(all[0].advertised);
}
