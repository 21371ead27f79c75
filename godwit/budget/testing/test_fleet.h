#pragma once

// The fleet that the tests share: three data centres with two routers each, and one budget.
//
// Example:
//   TestFleet fleet(1'000'000);
//   fleet.call("a1", simpleCall("request-1"));

#include "godwit/budget/testing/simulated_fleet.h"

#include <string>

namespace Godwit
{

inline BudgetOptions testOptions()
{
    BudgetOptions options;
    // The oracle looks for the key of each bill.
    options.billedKeysKept = 100'000;
    return options;
}

inline SimulatedCall simpleCall(const std::string &id)
{
    SimulatedCall call;
    call.id = id;
    call.budget = "b";
    call.worstCase = 200;
    call.actual = 100;
    return call;
}

struct TestFleet : SimulatedFleet
{
    explicit TestFleet(Tokens prepaid, const BudgetOptions &fleetOptions = testOptions(), std::uint64_t seed = 7)
        : SimulatedFleet(fleetOptions, seed)
    {
        for (const char *host : Hosts) {
            addRouter(host, std::string(1, host[0]));
        }
        createBudget("b", prepaid);
        announcePeers();
    }

    // Sends `count` calls, one each `pause`, and waits a second for their answers.
    void callMany(const std::string &host, const std::string &prefix, int count, Duration pause)
    {
        for (int i = 0; i < count; ++i) {
            call(host, simpleCall(prefix + std::to_string(i)));
            runFor(pause);
        }
        runFor(std::chrono::seconds(1));
    }

    void drainAll()
    {
        for (const char *host : Hosts) {
            drain(host);
        }
        runFor(std::chrono::minutes(1));
    }

    static constexpr const char *Hosts[] = {"a1", "a2", "b1", "b2", "c1", "c2"};
};

} // namespace Godwit
