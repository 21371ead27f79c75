#pragma once

// Persists which services have had several versions of their endpoints' software in the last minute, so that routers
// that all restart know it. Only one router of the fleet writes, and only when that changes. Not thread-safe.
//
// Example:
//   VersionHistoryStore history(relay, store, key);
//   history.isWriter = [] { return true; };
//   history.step();

#include "godwit/gateway/store_item.h"
#include "godwit/relay/relay.h"
#include "platform/store_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace Godwit
{

class VersionHistoryStore
{
public:
    VersionHistoryStore(Relay &relay, StoreClient &store, std::string key);

    const std::string &key() const
    {
        return m_key;
    }

    // Writes the versions if they have changed. To be called periodically.
    void step();

    // Processes an item of this router's copy of the store; ignores other keys and older revisions. The versions of the
    // first one count as listed until now.
    void onItem(const StoreItem &item);

    // Whether this router writes on behalf of the fleet; false if unset.
    std::function<bool()> isWriter;

private:
    using Versions = std::map<std::string, std::set<std::string>>; // By service; those with several.

    Versions currentVersions() const;
    void write(const Versions &versions);

    Relay &m_relay;
    StoreClient &m_store;
    std::string m_key;
    std::uint64_t m_revision = 0; // 0 if the store has no value.
    Versions m_stored;
    bool m_writeInFlight = false;
    bool m_wasRead = false;
};

} // namespace Godwit
