#include "godwit/daemon/version_history_store.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Godwit
{

using nlohmann::json;

VersionHistoryStore::VersionHistoryStore(Relay &relay, StoreClient &store, std::string key)
    : m_relay(relay)
    , m_store(store)
    , m_key(std::move(key))
{
}

VersionHistoryStore::Versions VersionHistoryStore::currentVersions() const
{
    const StreamVersions &state = m_relay.state().streamVersions;
    Versions versions = state.listed;
    for (const EarlierVersion &earlier : earlierVersions(state, m_relay.options().streamVersions, Relay::now())) {
        versions[earlier.service].insert(earlier.version);
    }
    for (auto it = versions.begin(); it != versions.end();) {
        it = it->second.size() < 2 ? versions.erase(it) : std::next(it);
    }
    return versions;
}

void VersionHistoryStore::step()
{
    if (m_writeInFlight || !m_relay.state().platformInReach || !isWriter || !isWriter()) {
        return;
    }
    const Versions versions = currentVersions();
    if (versions != m_stored) {
        write(versions);
    }
}

void VersionHistoryStore::write(const Versions &versions)
{
    m_writeInFlight = true;
    StoreTransaction transaction;
    transaction.conditions.push_back({m_key, m_revision});
    transaction.puts.push_back({m_key, json(versions).dump(), 0});
    m_store.transact(transaction, [this, versions](const StoreWriteReply &reply) {
        m_writeInFlight = false;
        if (reply.status == StoreStatus::Ok) {
            m_revision = reply.revision;
            m_stored = versions;
            m_relay.log().write("versions_kept", {{"services", static_cast<std::int64_t>(versions.size())}});
        } else if (reply.status == StoreStatus::ConditionFailed && reply.currentItems) {
            m_revision = 0;
            for (const StoreItem &item : *reply.currentItems) {
                onItem(item);
            }
        }
    });
}

void VersionHistoryStore::onItem(const StoreItem &item)
{
    if (item.key != m_key || item.revision <= m_revision) {
        return;
    }
    m_revision = item.revision;
    const bool isFirst = !std::exchange(m_wasRead, true);
    try {
        m_stored = json::parse(item.value).get<Versions>();
    } catch (const json::exception &) {
        m_stored.clear();
        m_relay.log().write("versions_unreadable", {{"key", std::string_view(m_key)}});
        return;
    }
    if (!isFirst) {
        return;
    }
    const TimePoint now = Relay::now();
    for (const auto &[service, names] : m_stored) {
        for (const std::string &name : names) {
            applyEarlierVersion(m_relay.state().streamVersions, {service, name, Duration::zero()}, now);
        }
    }
}

} // namespace Godwit
