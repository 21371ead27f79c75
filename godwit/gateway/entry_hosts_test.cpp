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

TEST_CASE("small hosts are not listed while the large ones can carry everything")
{
    // Callers of one host wait for seconds and give up: its link takes 10 Mbit/s, and it gets as many of them as a host
    // with 200.
    const EntryHostOptions options;
    CHECK(minAdvertisedCapacity(hosts(6, 54, 860), options) == 500);
    CHECK(minAdvertisedCapacity(hosts(6, 54, 1400), options) == 500);
}

TEST_CASE("all hosts are listed when the large ones are too few, and when all are alike")
{
    const EntryHostOptions options;
    CHECK(minAdvertisedCapacity(hosts(6, 54, 1700), options) == 60);
    CHECK(minAdvertisedCapacity(hosts(1, 54, 860), options) == 60);
    CHECK(minAdvertisedCapacity(hosts(0, 8, 200), options) == 60);
    CHECK(minAdvertisedCapacity(hosts(0, 8, 5000), options) == 0);
    CHECK(minAdvertisedCapacity({}, options) == 0);
}

TEST_CASE("a host can take what the scarcer of processor and link allows")
{
    const EntryHostOptions options;
    CHECK(requestCapacity(0.5, 200, options) == Approx(500));
    CHECK(requestCapacity(0.12, 10, options) == Approx(62.5));
}

TEST_CASE("callers of a bound host are told of routers in its regions, small ones before large ones elsewhere")
{
    // Guards against prompts that leave the regions to which the operators have bound their route.
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
