#include "godwit/daemon/first_death_keeper.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace Godwit
{
namespace
{

// What only leaves the value waits so long for a death that takes it along.
constexpr Duration RemovalsWait = std::chrono::seconds(10);
// When many endpoints die, each death is told by many routers.
constexpr Duration LookPause = std::chrono::milliseconds(50);

} // namespace

FirstDeathKeeper::FirstDeathKeeper(Relay &relay, StoreClient &store, std::string key)
    : m_relay(relay)
    , m_store(store)
    , m_key(std::move(key))
{
}

void FirstDeathKeeper::onBookChanged()
{
    if (m_lookDue) {
        return;
    }
    const TimePoint now = Relay::now();
    if (now >= m_lookedAt + LookPause) {
        look();
        return;
    }
    m_lookDue = true;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_relay.io(), m_lookedAt + LookPause - now);
    timer->async_wait([this, timer](const boost::system::error_code &error) {
        m_lookDue = false;
        if (!error) {
            look();
        }
    });
}

void FirstDeathKeeper::look()
{
    if (m_writing || !m_relay.state().platformInReach || !writes || !writes()) {
        return;
    }
    const TimePoint now = Relay::now();
    m_lookedAt = now;
    const auto deaths = collectFirstDeaths(m_relay.state().suspects, now);
    if (isWorthWriting(knownOf(deaths), now)) {
        write(deaths);
    }
}

bool FirstDeathKeeper::isWorthWriting(const Known &wanted, TimePoint now) const
{
    const bool adds = !std::includes(m_stored.begin(), m_stored.end(), wanted.begin(), wanted.end());
    return adds || (wanted != m_stored && now >= m_writtenAt + RemovalsWait);
}

void FirstDeathKeeper::write(const std::vector<FirstDeath> &deaths)
{
    m_writing = true;
    m_writtenAt = Relay::now();
    StoreTransaction transaction;
    transaction.conditions.push_back({m_key, m_revision});
    transaction.puts.push_back({m_key, encodeFirstDeaths(deaths), 0});
    m_store.transact(transaction, [this, known = knownOf(deaths)](const StoreWriteReply &reply) {
        m_writing = false;
        if (reply.status == StoreStatus::Ok) {
            m_revision = reply.revision;
            m_stored = known;
            m_relay.log().write("first_deaths_kept", {{"count", static_cast<std::int64_t>(known.size())}});
            onBookChanged();
        } else if (reply.status == StoreStatus::ConditionFailed && reply.currentItems) {
            m_revision = 0;
            for (const StoreItem &item : *reply.currentItems) {
                onItem(item);
            }
        }
    });
}

void FirstDeathKeeper::onItem(const StoreItem &item)
{
    if (item.key != m_key || item.revision <= m_revision) {
        return;
    }
    const auto deaths = decodeFirstDeaths(item.value);
    m_revision = item.revision;
    if (!deaths) {
        m_relay.log().write("first_deaths_unreadable", {{"key", std::string_view(m_key)}});
        return;
    }
    RelayState &state = m_relay.state();
    const TimePoint now = Relay::now();
    const Known before = std::exchange(m_stored, knownOf(*deaths));
    for (const FirstDeath &death : *deaths) {
        const bool isNew = before.count({death.fingerprint, death.endpoint}) == 0;
        if (isNew && !wasAnsweredSince(state.recentAnswers, death.fingerprint, now - death.age)) {
            recordFirstDeath(state.suspects, death, now);
        }
    }
}

FirstDeathKeeper::Known FirstDeathKeeper::knownOf(const std::vector<FirstDeath> &deaths)
{
    Known known;
    for (const FirstDeath &death : deaths) {
        known.emplace(death.fingerprint, death.endpoint);
    }
    return known;
}

} // namespace Godwit
