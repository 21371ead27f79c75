#include "godwit/daemon/first_death_store.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace Godwit
{
namespace
{

// A change that only removes deaths is delayed by up to this time, to be combined with the next addition.
constexpr Duration MaxRemovalDelay = std::chrono::seconds(10);
// Limits the checks when many endpoints die, since many routers report each death.
constexpr Duration MinCheckInterval = std::chrono::milliseconds(50);

} // namespace

FirstDeathStore::FirstDeathStore(Relay &relay, StoreClient &store, std::string key)
    : m_relay(relay)
    , m_store(store)
    , m_key(std::move(key))
{
}

void FirstDeathStore::onSuspectsChanged()
{
    if (m_checkScheduled) {
        return;
    }
    const TimePoint now = Relay::now();
    if (now >= m_lastCheckAt + MinCheckInterval) {
        writeIfChanged();
        return;
    }
    m_checkScheduled = true;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_relay.io(), m_lastCheckAt + MinCheckInterval - now);
    timer->async_wait([this, timer](const boost::system::error_code &error) {
        m_checkScheduled = false;
        if (!error) {
            writeIfChanged();
        }
    });
}

void FirstDeathStore::writeIfChanged()
{
    if (m_writeInFlight || !m_relay.state().platformInReach || !isWriter || !isWriter()) {
        return;
    }
    const TimePoint now = Relay::now();
    m_lastCheckAt = now;
    const auto deaths = collectFirstDeaths(m_relay.state().suspects, now);
    if (shouldWrite(keysOf(deaths), now)) {
        write(deaths);
    }
}

bool FirstDeathStore::shouldWrite(const DeathKeys &wanted, TimePoint now) const
{
    const bool adds = !std::includes(m_stored.begin(), m_stored.end(), wanted.begin(), wanted.end());
    return adds || (wanted != m_stored && now >= m_writtenAt + MaxRemovalDelay);
}

void FirstDeathStore::write(const std::vector<FirstDeath> &deaths)
{
    m_writeInFlight = true;
    m_writtenAt = Relay::now();
    StoreTransaction transaction;
    transaction.conditions.push_back({m_key, m_revision});
    transaction.puts.push_back({m_key, encodeFirstDeaths(deaths), 0});
    m_store.transact(transaction, [this, keys = keysOf(deaths)](const StoreWriteReply &reply) {
        m_writeInFlight = false;
        if (reply.status == StoreStatus::Ok) {
            m_revision = reply.revision;
            m_stored = keys;
            m_relay.log().write("first_deaths_kept", {{"count", static_cast<std::int64_t>(keys.size())}});
            onSuspectsChanged();
        } else if (reply.status == StoreStatus::ConditionFailed && reply.currentItems) {
            m_revision = 0;
            for (const StoreItem &item : *reply.currentItems) {
                onItem(item);
            }
        }
    });
}

void FirstDeathStore::onItem(const StoreItem &item)
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
    const DeathKeys before = std::exchange(m_stored, keysOf(*deaths));
    for (const FirstDeath &death : *deaths) {
        const bool isNew = before.count({death.fingerprint, death.endpoint}) == 0;
        if (isNew && !wasAnsweredSince(state.recentAnswers, death.fingerprint, now - death.age)) {
            recordFirstDeath(state.suspects, death, now);
        }
    }
}

FirstDeathStore::DeathKeys FirstDeathStore::keysOf(const std::vector<FirstDeath> &deaths)
{
    DeathKeys keys;
    for (const FirstDeath &death : deaths) {
        keys.emplace(death.fingerprint, death.endpoint);
    }
    return keys;
}

} // namespace Godwit
