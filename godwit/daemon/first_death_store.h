#pragma once

// Keeps the first death under each request in the platform's store, so that it outlives all routers. One router of the
// fleet writes for all. Not thread-safe.
//
// Example:
//   FirstDeathKeeper keeper(relay, store, key);
//   keeper.onBookChanged();

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

    // A death has been noted, or was taken back. To be called now and then besides, since a write can fail.
    void onSuspectsChanged();

    // The copy of what the store keeps has this item.
    void onItem(const StoreItem &item);

    // Whether this router writes for the fleet; unset: it doesn't.
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
    std::uint64_t m_revision = 0; // 0: the store has no value.
    DeathKeys m_stored;
    bool m_writeInFlight = false;
    TimePoint m_writtenAt;
    TimePoint m_lastCheckAt;
    bool m_checkScheduled = false;
};

} // namespace Godwit
