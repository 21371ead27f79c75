#include "godwit/daemon/limit_share_keeper.h"

#include <algorithm>
#include <charconv>

namespace Godwit
{
namespace
{

std::map<int, StoredShare> standingShares(const std::vector<StoreItem> &items, std::size_t prefixLength)
{
    std::map<int, StoredShare> standing;
    for (const StoreItem &item : items) {
        int number = 0;
        const char *end = item.key.data() + item.key.size();
        const auto parsed = std::from_chars(item.key.data() + prefixLength, end, number);
        if (parsed.ec == std::errc() && parsed.ptr == end) {
            standing[number] = {item.value, item.revision};
        }
    }
    return standing;
}

} // namespace

LimitShareKeeper::LimitShareKeeper(Relay &relay, StoreClient &store, LimitShareKeeperOptions options)
    : m_relay(relay)
    , m_store(store)
    , m_options(std::move(options))
{
}

void LimitShareKeeper::step()
{
    RelayState &state = m_relay.state();
    LimitShares &shares = state.limitShares;
    const TimePoint now = Relay::now();
    if (m_calling || shares.lease == 0 || !state.platformInReach || state.stage != RelayStage::Serving) {
        return;
    }
    if (shares.lease != std::exchange(m_lease, shares.lease)) {
        m_nextCall = now + m_options.settle + byLot(m_options.settleSpread);
    }
    const AdvertisedRouters &group = state.senders;
    const bool sends = std::find(group.routers.begin(), group.routers.end(), group.self) != group.routers.end();
    if (now < m_nextCall || !sends) {
        return;
    }
    const int fair = fairShareCount(group.routers.size(), minShares(m_relay.options().retryRules));
    const auto surplus = releaseSurplus(shares, m_relay.options().limitShares, fair);
    if (!surplus.empty()) {
        giveBack(surplus, fair);
    } else if (needsShares(shares, fair)) {
        readStanding(fair);
    }
}

void LimitShareKeeper::readStanding(int fair)
{
    m_calling = true;
    m_store.range(m_options.prefix, [this, fair, lease = m_lease](const StoreItemsReply &reply) {
        m_calling = false;
        const LimitShares &shares = m_relay.state().limitShares;
        if (reply.status != StoreStatus::Ok || shares.lease != lease) {
            retryLater();
            return;
        }
        const auto claims = planClaims(shares,
                                       m_relay.options().limitShares,
                                       standingShares(reply.items, m_options.prefix.size()),
                                       m_options.self,
                                       fair,
                                       firstNumber());
        if (claims.empty()) {
            retryLater();
            return;
        }
        claim(claims, fair);
    });
}

void LimitShareKeeper::claim(const std::vector<ShareClaim> &claims, int fair)
{
    m_calling = true;
    StoreTransaction transaction;
    for (const ShareClaim &share : claims) {
        transaction.conditions.push_back({keyOf(share.number), share.revision});
        transaction.puts.push_back({keyOf(share.number), m_options.self, m_lease});
    }
    m_store.transact(transaction, [this, claims, fair, lease = m_lease](const StoreWriteReply &reply) {
        m_calling = false;
        LimitShares &shares = m_relay.state().limitShares;
        if (reply.status == StoreStatus::Ok && shares.lease == lease) {
            const RelayOptions &options = m_relay.options();
            const TimePoint usable = Relay::now() + options.retryRules.window + options.limitShares.maxSendDelay;
            addShares(shares, claims, reply.revision, usable);
            m_hadConflict = false;
            logChange("claimed", claims.size(), fair);
        } else if (reply.status == StoreStatus::ConditionFailed) {
            m_hadConflict = true;
            logChange("conflict", claims.size(), fair);
            m_nextCall = Relay::now() + byLot(m_options.conflictSpread);
        } else {
            retryLater();
        }
    });
}

void LimitShareKeeper::giveBack(const std::vector<ShareClaim> &shares, int fair)
{
    m_calling = true;
    logChange("returned", shares.size(), fair);
    StoreTransaction transaction;
    for (const ShareClaim &share : shares) {
        transaction.conditions.push_back({keyOf(share.number), share.revision});
        transaction.removals.push_back(keyOf(share.number));
    }
    // One that stays in the store after a lost call ends with the lease.
    m_store.transact(transaction, [this](const StoreWriteReply &) {
        m_calling = false;
    });
}

void LimitShareKeeper::retryLater()
{
    const auto routers = static_cast<Duration::rep>(m_relay.state().senders.routers.size());
    const Duration turn = m_options.retryInterval * std::max<Duration::rep>(1, routers);
    m_nextCall = Relay::now() + turn / 2 + byLot(turn);
}

// Routers that know of the same others begin at different numbers.
int LimitShareKeeper::firstNumber() const
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

Duration LimitShareKeeper::byLot(Duration most) const
{
    const double lot = static_cast<double>(m_relay.random() % 1024) / 1024.0;
    return std::chrono::duration_cast<Duration>(most * lot);
}

std::string LimitShareKeeper::keyOf(int number) const
{
    return m_options.prefix + std::to_string(number);
}

void LimitShareKeeper::logChange(std::string_view change, std::size_t count, int fair) const
{
    const LimitShares &shares = m_relay.state().limitShares;
    m_relay.log().write("limit_shares",
                        {{"change", change},
                         {"count", static_cast<std::int64_t>(count)},
                         {"held", static_cast<std::int64_t>(shares.held.size())},
                         {"fair", static_cast<std::int64_t>(fair)}});
}

} // namespace Godwit
