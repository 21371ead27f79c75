#pragma once

// Claims this router's shares of the fleet's limits in the platform's store, and hands back what it holds beyond its
// part. BudgetKeeper keeps the lease under which they stand. Not thread-safe.
//
// Example:
//   LimitShareKeeper keeper(relay, store, {settings.callerListen});
//   keeper.step();

#include "godwit/base/time.h"
#include "godwit/gateway/limit_shares.h"
#include "godwit/relay/relay.h"
#include "platform/store_client.h"

#include <string>
#include <vector>

namespace Godwit
{

struct LimitShareManagerOptions
{
    std::string self; // The address that callers reach this router by.
    std::string prefix = "godwit/shares/";
    // Routers that start together hear of each other within this time, and claim one after another.
    Duration settleDelay = std::chrono::seconds(1);
    Duration settleJitter = std::chrono::milliseconds(1500);
    // After a claim that another router was faster with.
    Duration conflictJitter = std::chrono::milliseconds(600);
    // While shares are lacking, the routers together ask for them this often.
    Duration fleetRetryInterval = std::chrono::milliseconds(600);
};

class LimitShareManager
{
public:
    LimitShareManager(Relay &relay, StoreClient &store, LimitShareManagerOptions options);

    // Makes the call that is due, if any.
    void step();

private:
    void readStoredShares(int fairShare);
    void claim(const std::vector<ShareClaim> &claims, int fairShare);
    void releaseShares(const std::vector<ShareClaim> &shares, int fairShare);
    void retryLater();
    int firstNumberToTry() const;
    Duration randomDelay(Duration most) const;
    std::string keyOf(int number) const;
    void logChange(std::string_view change, std::size_t count, int fairShare) const;

    Relay &m_relay;
    StoreClient &m_store;
    LimitShareManagerOptions m_options;
    bool m_callInFlight = false;
    std::uint64_t m_lease = 0; // Under which the next call was timed.
    TimePoint m_nextCall;
    bool m_hadConflict = false;
};

} // namespace Godwit
