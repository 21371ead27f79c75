#include "godwit/daemon/limit_share_manager.h"

#include <algorithm>
#include <charconv>

namespace Godwit
{
namespace
{

std::map<int, StoredShare> parseStoredShares(const std::vector<StoreItem> &items, std::size_t prefixLength)
{
    std::map<int, StoredShare> stored;
    for (const StoreItem &item : items) {
        int number = 0;
        const char *end = item.key.data() + item.key.size();
        const auto parsed = std::from_chars(item.key.data() + prefixLength, end, number);
        if (parsed.ec == std::errc() && parsed.ptr == end) {
            stored[number] = {item.value, item.revision};
        }
    }
    return stored;
}

} // namespace

LimitShareManager::LimitShareManager(Relay &relay, StoreClient &store, LimitShareManagerOptions options)
    : m_relay(relay)
    , m_store(store)
    , m_options(std::move(options))
{
}

void LimitShareManager::step()
{
    RelayState &state = m_relay.state();
    LimitShares &shares = state.limitShares;
    const TimePoint now = Relay::now();
    if (m_callInFlight || shares.lease == 0 || !state.platformInReach || state.stage != RelayStage::Serving) {
        return;
    }
    if (shares.lease != std::exchange(m_lease, shares.lease)) {
        m_nextCall = now + m_options.settleDelay + randomDelay(m_options.settleJitter);
    }
    const AdvertisedRouters &group = state.senders;
    const bool isSender = std::find(group.routers.begin(), group.routers.end(), group.self) != group.routers.end();
    if (now < m_nextCall || !isSender) {
        return;
    }
    const int fairShare = fairShareCount(group.routers.size(), minShares(m_relay.options().retryRules));
    const auto surplus = releaseSurplus(shares, m_relay.options().limitShares, fairShare);
    if (!surplus.empty()) {
        releaseShares(surplus, fairShare);
    } else if (needsShares(shares, fairShare)) {
        readStoredShares(fairShare);
    }
}

void LimitShareManager::readStoredShares(int fairShare)
{
    m_callInFlight = true;
    m_store.range(m_options.prefix, [this, fairShare, lease = m_lease](const StoreItemsReply &reply) {
        m_callInFlight = false;
        const LimitShares &shares = m_relay.state().limitShares;
        if (reply.status != StoreStatus::Ok || shares.lease != lease) {
            retryLater();
            return;
        }
        const auto claims = planClaims(shares,
                                       m_relay.options().limitShares,
                                       parseStoredShares(reply.items, m_options.prefix.size()),
                                       m_options.self,
                                       fairShare,
                                       firstNumberToTry());
        if (claims.empty()) {
            retryLater();
            return;
        }
        claim(claims, fairShare);
    });
}

void LimitShareManager::claim(const std::vector<ShareClaim> &claims, int fairShare)
{
    m_callInFlight = true;
    StoreTransaction transaction;
    for (const ShareClaim &share : claims) {
        transaction.conditions.push_back({keyOf(share.number), share.revision});
        transaction.puts.push_back({keyOf(share.number), m_options.self, m_lease});
    }
    m_store.transact(transaction, [this, claims, fairShare, lease = m_lease](const StoreWriteReply &reply) {
        m_callInFlight = false;
        LimitShares &shares = m_relay.state().limitShares;
        if (reply.status == StoreStatus::Ok && shares.lease == lease) {
            const RelayOptions &options = m_relay.options();
            const TimePoint usable = Relay::now() + options.retryRules.window + options.limitShares.maxSendDelay;
            addShares(shares, claims, reply.revision, usable);
            m_hadConflict = false;
            logChange("claimed", claims.size(), fairShare);
        } else if (reply.status == StoreStatus::ConditionFailed) {
            m_hadConflict = true;
            logChange("conflict", claims.size(), fairShare);
            m_nextCall = Relay::now() + randomDelay(m_options.conflictJitter);
        } else {
            retryLater();
        }
    });
}

void LimitShareManager::releaseShares(const std::vector<ShareClaim> &shares, int fairShare)
{
    m_callInFlight = true;
    logChange("returned", shares.size(), fairShare);
    StoreTransaction transaction;
    for (const ShareClaim &share : shares) {
        transaction.conditions.push_back({keyOf(share.number), share.revision});
        transaction.removals.push_back(keyOf(share.number));
    }
    // If the call fails, the shares that remain in the store expire with the lease.
    m_store.transact(transaction, [this](const StoreWriteReply &) {
        m_callInFlight = false;
    });
}

void LimitShareManager::retryLater()
{
    const auto routers = static_cast<Duration::rep>(m_relay.state().senders.routers.size());
    const Duration meanDelay = m_options.fleetRetryInterval * std::max<Duration::rep>(1, routers);
    m_nextCall = Relay::now() + meanDelay / 2 + randomDelay(meanDelay);
}

// Routers with the same view of the fleet start at different numbers, which avoids conflicts between their claims.
int LimitShareManager::firstNumberToTry() const
{
    if (m_hadConflict) {
        return static_cast<int>(m_relay.random() % static_cast<std::uint64_t>(LimitShareCount));
    }
    const AdvertisedRouters &group = m_relay.state().senders;
    const auto before = std::count_if(group.routers.begin(), group.routers.end(), [&group](const std::string &router) {
        return router < group.self;
    });
    return static_cast<int>(before * LimitShareCount
                            / std::max<std::ptrdiff_t>(1, static_cast<std::ptrdiff_t>(group.routers.size())));
}

Duration LimitShareManager::randomDelay(Duration most) const
{
    const double fraction = static_cast<double>(m_relay.random() % 1024) / 1024.0;
    return std::chrono::duration_cast<Duration>(most * fraction);
}

std::string LimitShareManager::keyOf(int number) const
{
    return m_options.prefix + std::to_string(number);
}

void LimitShareManager::logChange(std::string_view change, std::size_t count, int fairShare) const
{
    const LimitShares &shares = m_relay.state().limitShares;
    m_relay.log().write("limit_shares",
                        {{"change", change},
                         {"count", static_cast<std::int64_t>(count)},
                         {"held", static_cast<std::int64_t>(shares.held.size())},
                         {"fair", static_cast<std::int64_t>(fairShare)}});
}

} // namespace Godwit
