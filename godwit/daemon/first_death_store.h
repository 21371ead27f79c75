#pragma once

// Persists the first endpoint death of each suspected request in the platform's store, so that it survives a restart of
// all routers. Only one router of the fleet writes. Not thread-safe.
//
// Example:
//   FirstDeathStore firstDeaths(relay, store, key);
//   firstDeaths.onSuspectsChanged();

#include "godwit/base/time.h"
#include "godwit/gateway/store_item.h"
#include "godwit/relay/relay.h"
#include "godwit/suspects/first_deaths.h"
#include "platform/store_client.h"

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Godwit
{

class FirstDeathStore
{
public:
    FirstDeathStore(Relay &relay, StoreClient &store, std::string key);

    // A death was recorded or withdrawn. Must also be called periodically, to retry failed writes.
    void onSuspectsChanged();

    // Processes an item of this router's copy of the store; ignores other keys and older revisions.
    void onItem(const StoreItem &item);

    // Whether this router writes on behalf of the fleet; false if unset.
    std::function<bool()> isWriter;

private:
    using DeathKeys = std::set<std::pair<std::uint64_t, EndpointId>>;

    void writeIfChanged();
    bool shouldWrite(const DeathKeys &wanted, TimePoint now) const;
    void write(const std::vector<FirstDeath> &deaths);
    static DeathKeys keysOf(const std::vector<FirstDeath> &deaths);

    Relay &m_relay;
    StoreClient &m_store;
    std::string m_key;
    std::uint64_t m_revision = 0; // 0 if the store has no value.
    DeathKeys m_stored;
    bool m_writeInFlight = false;
    TimePoint m_writtenAt;
    TimePoint m_lastCheckAt;
    bool m_checkScheduled = false;
};

} // namespace Godwit
