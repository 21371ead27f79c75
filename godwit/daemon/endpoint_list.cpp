#include "godwit/daemon/endpoint_list.h"

#include "platform/site_codec.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// Lapsed entries are back within about two seconds of the store's return.
constexpr Duration MissingGrace = std::chrono::milliseconds(2300);

// Starts of endpoints that are no longer listed are remembered up to this many, so that a late write of an old one is
// known for what it is.
constexpr std::size_t MaxKnownStarts = 4096;

} // namespace

EndpointList::EndpointList(boost::asio::io_context &io, Relay &relay)
    : m_relay(relay)
    , m_timer(io)
{
}

void EndpointList::onStoreReturn(std::optional<TimePoint> at)
{
    const TimePoint now = Relay::now();
    const TimePoint keepUntil = at ? *at + MissingGrace : now;
    if (now >= keepUntil) {
        // Another router has heard the store all the while: what is missing has gone.
        if (now < m_keepMissingUntil) {
            m_keepMissingUntil = now;
            apply();
        }
        return;
    }
    if (now >= m_keepMissingUntil) {
        m_mayHaveLapsed.clear();
        for (const auto &[id, endpoint] : m_used) {
            m_mayHaveLapsed.insert(id);
        }
    }
    m_keepMissingUntil = keepUntil;
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

void EndpointList::onListed(const SharedPrefix::Items &items)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        it = items.count(it->first) == 0 ? m_entries.erase(it) : std::next(it);
    }
    for (const auto &[key, item] : items) {
        read(key, item);
    }
    dropForeign();
    m_listed.clear();
    for (const auto &[key, entry] : m_entries) {
        if (entry.endpoint) {
            m_listed[entry.endpoint->id] = *entry.endpoint;
        }
    }
    apply();
}

void EndpointList::read(const std::string &key, const StoreItem &item)
{
    Entry &entry = m_entries[key];
    if (entry.revision == item.revision) {
        return;
    }
    entry.revision = item.revision;
    LastReason reason;
    auto endpoint = decodeEndpoint(std::string_view(key).substr(EndpointPrefix.size()), item.value, reason);
    if (!endpoint) {
        logRefusal(key, entry, reason->message);
        entry.endpoint.reset();
        return;
    }
    EndpointIncarnation &newest = m_newestStart[endpoint->id];
    if (endpoint->startedAt != 0 && endpoint->startedAt < newest) {
        // A write of an earlier start that the store has done late. What was known of the newer one still holds.
        logRefusal(key, entry, "an entry of an earlier start of the endpoint");
        return;
    }
    newest = std::max(newest, endpoint->startedAt);
    endpoint->coldUntil = Relay::now() + endpoint->coldFor;
    entry.endpoint = std::move(endpoint);
}

// Where most endpoints tell their start, an entry without one comes from another writer. Not where any does: one
// foreign entry that tells a start would else drop every endpoint of a platform where none does.
void EndpointList::dropForeign()
{
    int told = 0;
    int untold = 0;
    for (const auto &[key, entry] : m_entries) {
        if (entry.endpoint) {
            ++(entry.endpoint->startedAt != 0 ? told : untold);
        }
    }
    for (auto &[key, entry] : m_entries) {
        if (told > untold && entry.endpoint && entry.endpoint->startedAt == 0) {
            logRefusal(key, entry, "the entry doesn't say when its endpoint started, as others do");
            entry.endpoint.reset();
        }
    }
}

void EndpointList::logRefusal(const std::string &key, const Entry &entry, std::string_view cause)
{
    m_relay.log().write(
        "endpoint_refused",
        {{"key", std::string_view(key)}, {"revision", static_cast<std::int64_t>(entry.revision)}, {"cause", cause}});
}

void EndpointList::apply()
{
    const TimePoint now = Relay::now();
    for (const auto &[id, endpoint] : m_listed) {
        m_mayHaveLapsed.erase(id);
    }
    if (now >= m_keepMissingUntil) {
        m_mayHaveLapsed.clear();
    }
    std::map<EndpointId, ListedEndpoint> used = m_listed;
    bool kept = false;
    for (const auto &[id, endpoint] : m_used) {
        // One that is there but can't be read has not lapsed.
        const bool missing = m_entries.count(std::string(EndpointPrefix) + id.value) == 0;
        const bool keep = missing && m_mayHaveLapsed.count(id) != 0;
        kept = (keep && used.emplace(id, endpoint).second) || kept;
    }
    m_used = std::move(used);
    std::vector<ListedEndpoint> list;
    for (const auto &[id, endpoint] : m_used) {
        list.push_back(placed(endpoint));
    }
    for (const EndpointId &id : replaceEndpoints(m_relay.state().endpoints, list)) {
        m_relay.pool().closeIdle(id);
        m_relay.log().write("endpoint_started_anew",
                            {{"endpoint", std::string_view(id.value)}, {"started_at", m_used.at(id).startedAt}});
    }
    for (auto it = m_newestStart.begin(); it != m_newestStart.end();) {
        const bool forget = m_newestStart.size() > MaxKnownStarts && m_used.count(it->first) == 0;
        it = forget ? m_newestStart.erase(it) : std::next(it);
    }
    m_relay.log().write(
        "endpoints",
        {{"listed", static_cast<std::int64_t>(m_listed.size())}, {"used", static_cast<std::int64_t>(m_used.size())}});
    if (kept) {
        armRemovals(m_keepMissingUntil);
    }
}

ListedEndpoint EndpointList::placed(ListedEndpoint endpoint) const
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

void EndpointList::armRemovals(TimePoint at)
{
    if (m_armed) {
        return;
    }
    m_armed = true;
    m_timer.expires_at(at);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        m_armed = false;
        if (!error) {
            apply();
        }
    });
}

} // namespace Godwit
