#pragma once

// Passes the endpoints that the platform's store lists on to the relay.
//
// While the store is unreachable for some seconds, entries of running endpoints can expire; their owners write them
// again within about two seconds of its return. Endpoints that are missing when the store returns are therefore kept
// for a grace period, whereas those that disappear later are dropped at once. An entry that can't be decoded, or that
// comes from another writer, is ignored without effect on the other entries. Not thread-safe.

#include "godwit/daemon/shared_prefix.h"
#include "godwit/relay/relay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Godwit
{

class EndpointList
{
public:
    EndpointList(boost::asio::io_context &io, Relay &relay);

    void onEntriesChanged(const SharedPrefix::Items &items);

    // Sets the data centres whose endpoints get no requests. Endpoints of a data centre that is no longer evacuated
    // count as cold, since they may have lost their warm state and report that seconds later.
    void setEvacuated(const std::set<DataCentreId> &evacuated);

    // `at` is when the store came back after an outage in which entries can have expired;
    // unset if there was none recently.
    void onStoreReturn(std::optional<TimePoint> at);

private:
    // A decoded entry, cached by revision: with hundreds of endpoints, each change would otherwise decode all of them.
    struct Entry
    {
        std::uint64_t revision = 0;
        std::optional<ListedEndpoint> endpoint; // Unset if the entry was rejected.
    };

    void decodeEntry(const std::string &key, const StoreItem &item);
    void dropEntriesWithoutStart();
    void apply();
    // Adds the region, the evacuation and the cold start of the endpoint's data centre.
    ListedEndpoint withDataCentreState(ListedEndpoint endpoint) const;
    void scheduleRemoval(TimePoint at);

    Relay &m_relay;
    boost::asio::steady_timer m_timer;
    std::map<std::string, Entry> m_entries; // By key.
    std::map<EndpointId, EndpointIncarnation> m_newestStart; // By id; kept for a while after removal.
    std::map<EndpointId, ListedEndpoint> m_listed; // As in the store.
    std::map<EndpointId, ListedEndpoint>
        m_inUse; // m_listed, and endpoints whose entries may have expired in an outage.
    std::set<DataCentreId> m_evacuated;
    std::map<DataCentreId, TimePoint> m_evacuationEnds; // Of data centres that were evacuated before.
    std::set<EndpointId> m_possiblyLapsed; // Not listed since the store's return.
    TimePoint m_graceUntil;
    bool m_removalScheduled = false;
};

} // namespace Godwit
