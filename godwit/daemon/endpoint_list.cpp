#include "godwit/daemon/endpoint_list.h"

#include "platform/site_codec.h"

namespace Godwit
{
namespace
{

// Lapsed entries are back within about two seconds of the store's return.
constexpr Duration MissingGrace = std::chrono::milliseconds(2300);

} // namespace

EndpointList::EndpointList(boost::asio::io_context &io, Relay &relay)
    : m_relay(relay)
    , m_timer(io)
{
}

void EndpointList::onStoreRegained()
{
    m_keepMissingUntil = Relay::now() + MissingGrace;
}

void EndpointList::onListed(const PrefixWatch::Items &items)
{
    m_listed.clear();
    for (const auto &[key, item] : items) {
        LastReason reason;
        auto endpoint = decodeEndpoint(std::string_view(key).substr(EndpointPrefix.size()), item.value, reason);
        if (endpoint) {
            m_listed[endpoint->id] = std::move(*endpoint);
        } else if (m_badRevisions[key] != item.revision) {
            m_badRevisions[key] = item.revision;
            m_relay.log().write("endpoint_refused",
                                {{"key", std::string_view(key)},
                                 {"revision", static_cast<std::int64_t>(item.revision)},
                                 {"cause", std::string_view(reason->message)}});
        }
    }
    apply();
}

void EndpointList::apply()
{
    const TimePoint now = Relay::now();
    const bool keepMissing = now < m_keepMissingUntil;
    std::map<EndpointId, ListedEndpoint> used = m_listed;
    bool kept = false;
    if (keepMissing) {
        for (const auto &[id, endpoint] : m_used) {
            kept = used.emplace(id, endpoint).second || kept;
        }
    }
    m_used = std::move(used);
    std::vector<ListedEndpoint> list;
    for (const auto &[id, endpoint] : m_used) {
        list.push_back(endpoint);
    }
    replaceEndpoints(m_relay.state().endpoints, list);
    m_relay.log().write(
        "endpoints",
        {{"listed", static_cast<std::int64_t>(m_listed.size())}, {"used", static_cast<std::int64_t>(m_used.size())}});
    if (kept) {
        armRemovals(m_keepMissingUntil);
    }
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
