#pragma once

// Claims this router's shares of the fleet's limits in the platform's store, and releases those beyond its fair part.
// The shares are attached to the lease that BudgetManager maintains. Not thread-safe.
//
// Example:
//   LimitShareManager manager(relay, store, {settings.callerListen});
//   manager.step();

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
    std::string self; // The address at which callers reach this router.
    std::string prefix = "godwit/shares/";
    // Routers that start together discover each other within this time, and claim at random times afterwards.
    Duration settleDelay = std::chrono::seconds(1);
    Duration settleJitter = std::chrono::milliseconds(1500);
    // Bound of the random delay after a claim that conflicted with another router's.
    Duration conflictJitter = std::chrono::milliseconds(600);
    // Average interval between reads of the whole fleet while shares are lacking.
    Duration fleetRetryInterval = std::chrono::milliseconds(600);
};

class LimitShareManager
{
public:
    LimitShareManager(Relay &relay, StoreClient &store, LimitShareManagerOptions options);

    // Starts the store call that is due, if any. To be called periodically.
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
    std::uint64_t m_lease = 0; // For which m_nextCall was computed.
    TimePoint m_nextCall;
    bool m_hadConflict = false;
};

} // namespace Godwit
