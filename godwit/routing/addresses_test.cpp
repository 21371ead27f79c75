#include "godwit/routing/addresses.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace Godwit;

namespace
{

std::vector<RouterAddress> makeRouters(int count)
{
    std::vector<RouterAddress> routers;
    for (int i = 0; i < count; ++i) {
        RouterAddress router;
        router.host = HostId("entry-" + std::to_string(i));
        router.dataCentre = DataCentreId("dc-" + std::to_string(i % 3));
        router.address = "10.0.0." + std::to_string(i) + ":80";
        router.load = 100;
        routers.push_back(router);
    }
    return routers;
}

CustomerId customer(int number)
{
    return CustomerId("customer-" + std::to_string(number));
}

AddressOptions optionsFor(double share, std::uint64_t pick = 0)
{
    AddressOptions options;
    options.customerShare = share;
    options.selector = pick;
    return options;
}

} // namespace

TEST_CASE("callers of a small customer use one host, with a fallback in another data centre")
{
    const auto routers = makeRouters(8);
    for (int number = 0; number < 50; ++number) {
        std::set<std::string> first;
        for (std::uint64_t pick = 0; pick < 20; ++pick) {
            const auto answer = chooseAddresses(routers, customer(number), optionsFor(0.01, pick));
            REQUIRE(answer.addresses.size() == 2);
            CHECK(answer.ttl == std::chrono::seconds(30));
            first.insert(answer.addresses.front());
            const auto dataCentreOf = [&](const std::string &address) {
                return std::find_if(routers.begin(),
                                    routers.end(),
                                    [&](const RouterAddress &router) {
                                        return router.address == address;
                                    })
                    ->dataCentre;
            };
            CHECK(dataCentreOf(answer.addresses[0]) != dataCentreOf(answer.addresses[1]));
        }
        CHECK(first.size() == 1);
    }
}

TEST_CASE("callers of a large customer are spread over several hosts")
{
    const auto routers = makeRouters(8);
    std::set<std::string> first;
    for (std::uint64_t pick = 0; pick < 20; ++pick) {
        first.insert(chooseAddresses(routers, customer(1), optionsFor(0.4, pick)).addresses.front());
    }
    CHECK(first.size() == 5);
}

TEST_CASE("the death of a host moves only its own customers, to different hosts")
{
    const auto routers = makeRouters(8);
    auto fewer = routers;
    fewer.erase(fewer.begin() + 3);
    std::set<std::string> newHosts;
    for (int number = 0; number < 400; ++number) {
        const auto before = chooseAddresses(routers, customer(number), optionsFor(0.001)).addresses.front();
        const auto after = chooseAddresses(fewer, customer(number), optionsFor(0.001)).addresses.front();
        if (before == routers[3].address) {
            newHosts.insert(after);
        } else {
            CHECK(before == after);
        }
    }
    CHECK(newHosts.size() >= 5);
}

TEST_CASE("leaving hosts are left out while others are live")
{
    auto routers = makeRouters(3);
    routers[0].leaving = true;
    for (int number = 0; number < 20; ++number) {
        for (const auto &address : chooseAddresses(routers, customer(number), optionsFor(1)).addresses) {
            CHECK(address != routers[0].address);
        }
    }
    routers[1].leaving = true;
    routers[2].leaving = true;
    CHECK(chooseAddresses(routers, customer(1), optionsFor(1)).addresses.size() == 3);
    CHECK(chooseAddresses({}, customer(1), optionsFor(1)).addresses.empty());
}

TEST_CASE("an overloaded host diverts callers for half of its excess load")
{
    auto routers = makeRouters(8);
    int number = 0;
    while (chooseAddresses(routers, customer(number), optionsFor(0.001)).addresses.front() != routers[0].address) {
        ++number;
    }
    routers[0].load = 200;
    int moved = 0;
    constexpr int callers = 2000;
    for (int pick = 0; pick < callers; ++pick) {
        const auto options = optionsFor(0.001, static_cast<std::uint64_t>(pick));
        const auto first = chooseAddresses(routers, customer(number), options).addresses.front();
        moved += first == routers[0].address ? 0 : 1;
    }
    // The mean load is 112.5 and the bound 140.6, so 30% of the load is in excess.
    CHECK(static_cast<double>(moved) / callers == Approx(0.15).margin(0.03));
}

TEST_CASE("active hosts in the caller's data centre come first")
{
    const auto routers = makeRouters(6);
    for (std::uint64_t pick = 0; pick < 6; ++pick) {
        auto options = optionsFor(1, pick);
        options.callerDataCentre = DataCentreId("dc-1");
        const auto first = chooseAddresses(routers, customer(1), options).addresses.front();
        CHECK((first == routers[1].address || first == routers[4].address));
    }
}
