#include "godwit/daemon/endpoint_list.h"

#include "platform/site_codec.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// Expired entries are written again within about two seconds of the store's return.
constexpr Duration MissingEntryGracePeriod = std::chrono::milliseconds(2300);

// Bound of the remembered start times. Those of endpoints that are no longer listed are kept up to this number, so that
// a delayed write of an earlier start is recognised.
constexpr std::size_t MaxRememberedStarts = 4096;

} // namespace

EndpointList::EndpointList(boost::asio::io_context &io, Relay &relay)
    : m_relay(relay)
    , m_timer(io)
{
}

void EndpointList::onStoreReturn(std::optional<TimePoint> at)
{
    const TimePoint now = Relay::now();
    const TimePoint graceUntil = at ? *at + MissingEntryGracePeriod : now;
    if (now >= graceUntil) {
        // Another router reached the store throughout: missing endpoints were removed.
        if (now < m_graceUntil) {
            m_graceUntil = now;
            apply();
        }
        return;
    }
    if (now >= m_graceUntil) {
        m_possiblyLapsed.clear();
        for (const auto &[id, endpoint] : m_inUse) {
            m_possiblyLapsed.insert(id);
        }
    }
    m_graceUntil = graceUntil;
}

void EndpointList::setEvacuated(const std::set<DataCentreId> &evacuated)
{
    if (evacuated == m_evacuated) {
        return;
    }
    const TimePoint now = Relay::now();
    for (const DataCentreId &dataCentre : m_evacuated) {
        if (evacuated.count(dataCentre) == 0) {
            m_evacuationEnds[dataCentre] = now;
        }
    }
    m_evacuated = evacuated;
    m_relay.log().write("evacuation", {{"data_centres", static_cast<std::int64_t>(evacuated.size())}});
    apply();
}

void EndpointList::onEntriesChanged(const SharedPrefix::Items &items)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        it = items.count(it->first) == 0 ? m_entries.erase(it) : std::next(it);
    }
    for (const auto &[key, item] : items) {
        decodeEntry(key, item);
    }
    dropEntriesWithoutStart();
    m_listed.clear();
    for (const auto &[key, entry] : m_entries) {
        if (entry.endpoint) {
            m_listed[entry.endpoint->id] = *entry.endpoint;
        }
    }
    apply();
}

void EndpointList::decodeEntry(const std::string &key, const StoreItem &item)
{
    Entry &entry = m_entries[key];
    if (entry.revision == item.revision) {
        return;
    }
    entry.revision = item.revision;
    LastReason reason;
    auto endpoint = decodeEndpoint(std::string_view(key).substr(EndpointPrefix.size()), item.value, reason);
    if (!endpoint) {
        m_relay.recordRefusedEntry("endpoint", key, entry.revision, reason->message);
        entry.endpoint.reset();
        return;
    }
    EndpointIncarnation &newest = m_newestStart[endpoint->id];
    if (endpoint->startedAt != 0 && endpoint->startedAt < newest) {
        // A delayed write of an earlier start; the state of the newer start remains valid.
        m_relay.recordRefusedEntry(
            "endpoint", key, entry.revision, "the entry belongs to an earlier start of the endpoint");
        return;
    }
    newest = std::max(newest, endpoint->startedAt);
    endpoint->coldUntil = Relay::now() + endpoint->coldFor;
    entry.endpoint = std::move(endpoint);
}

// Where most entries contain a start time, an entry without one comes from another writer. The majority decides:
// otherwise a single foreign entry with a start time would drop all endpoints of a platform whose entries have none.
void EndpointList::dropEntriesWithoutStart()
{
    int withStart = 0;
    int withoutStart = 0;
    for (const auto &[key, entry] : m_entries) {
        if (entry.endpoint) {
            ++(entry.endpoint->startedAt != 0 ? withStart : withoutStart);
        }
    }
    for (auto &[key, entry] : m_entries) {
        if (withStart > withoutStart && entry.endpoint && entry.endpoint->startedAt == 0) {
            m_relay.recordRefusedEntry(
                "endpoint", key, entry.revision, "the entry has no start time, unlike most others");
            entry.endpoint.reset();
        }
    }
}

void EndpointList::apply()
{
    const TimePoint now = Relay::now();
    for (const auto &[id, endpoint] : m_listed) {
        m_possiblyLapsed.erase(id);
    }
    if (now >= m_graceUntil) {
        m_possiblyLapsed.clear();
    }
    std::map<EndpointId, ListedEndpoint> used = m_listed;
    bool kept = false;
    for (const auto &[id, endpoint] : m_inUse) {
        // An entry that exists but can't be decoded has not expired.
        const bool missing = m_entries.count(std::string(EndpointPrefix) + id.value) == 0;
        const bool keep = missing && m_possiblyLapsed.count(id) != 0;
        kept = (keep && used.emplace(id, endpoint).second) || kept;
    }
    m_inUse = std::move(used);
    std::vector<ListedEndpoint> list;
    for (const auto &[id, endpoint] : m_inUse) {
        list.push_back(withDataCentreState(endpoint));
    }
    for (const EndpointId &id : replaceEndpoints(m_relay.state().endpoints, list)) {
        m_relay.pool().closeIdle(id);
        m_relay.log().write("endpoint_started_anew",
                            {{"endpoint", std::string_view(id.value)}, {"started_at", m_inUse.at(id).startedAt}});
    }
    std::map<std::string, std::set<std::string>> versions;
    for (const ListedEndpoint &endpoint : list) {
        versions[endpoint.service].insert(endpoint.version);
    }
    m_relay.setListedVersions(std::move(versions));
    m_relay.reachMonitor().onEndpointsChanged();
    for (auto it = m_newestStart.begin(); it != m_newestStart.end();) {
        const bool forget = m_newestStart.size() > MaxRememberedStarts && m_inUse.count(it->first) == 0;
        it = forget ? m_newestStart.erase(it) : std::next(it);
    }
    m_relay.log().write(
        "endpoints",
        {{"listed", static_cast<std::int64_t>(m_listed.size())}, {"used", static_cast<std::int64_t>(m_inUse.size())}});
    if (kept) {
        scheduleRemoval(m_graceUntil);
    }
}

ListedEndpoint EndpointList::withDataCentreState(ListedEndpoint endpoint) const
{
    endpoint.region = regionOf(m_relay.options().regions, endpoint.dataCentre);
    endpoint.evacuated = m_evacuated.count(endpoint.dataCentre) != 0;
    const auto end = m_evacuationEnds.find(endpoint.dataCentre);
    const auto &routes = m_relay.state().routes;
    const GatewayService *service = routes ? findService(*routes, endpoint.service) : nullptr;
    if (end != m_evacuationEnds.end() && service != nullptr) {
        endpoint.coldUntil = std::max(endpoint.coldUntil, end->second + service->coldStart.duration);
    }
    return endpoint;
}

void EndpointList::scheduleRemoval(TimePoint at)
{
    if (m_removalScheduled) {
        return;
    }
    m_removalScheduled = true;
    m_timer.expires_at(at);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        m_removalScheduled = false;
        if (!error) {
            apply();
        }
    });
}

} // namespace Godwit
