#pragma once

// Announces the versions of the services' software in the store before streams begin at them, see
// announced_versions.h. One router of the fleet writes; the others take its place if it does not. Not thread-safe.
//
// Example:
//   VersionAnnouncer announcer(relay, store, key);
//   announcer.isWriter = [] { return true; };
//   announcer.step();

#include "godwit/gateway/announced_versions.h"
#include "godwit/gateway/store_item.h"
#include "godwit/relay/relay.h"
#include "platform/store_client.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

struct VersionAnnouncerOptions
{
    // A router that is not the writer announces a version that is still not announced after `takeOverDelay` and a
    // random part of `takeOverSpread` for each router. There is no writer in the first second after all routers have
    // started.
    Duration takeOverDelay = std::chrono::milliseconds(100);
    Duration takeOverSpread = std::chrono::milliseconds(10);
    // Limit of the wait in confirm(); the caller of a stream waits meanwhile.
    Duration confirmationTimeout = std::chrono::milliseconds(300);
};

class VersionAnnouncer
{
public:
    VersionAnnouncer(Relay &relay, StoreClient &store, std::string key, VersionAnnouncerOptions options = {});

    const std::string &key() const
    {
        return m_key;
    }

    // Writes the announcements if the listed versions require a change. To be called periodically, and after each
    // change of the listed endpoints.
    void step();

    // Applies the value of the key from a copy of the store; ignores older revisions.
    void onItem(const StoreItem &item);

    // Reads the key from the store. `done` is called once: when the read has ended, or after `confirmationTimeout`.
    // Calls while a read is open share its result.
    void confirm(std::function<void()> done);

    // Whether this router writes on behalf of the fleet; false if unset.
    std::function<bool()> isWriter;

    // Called after this router has written the key.
    std::function<void(const StoreItem &)> onWritten;

private:
    using Waiters = std::vector<std::function<void()>>;

    bool mayTakeOver(TimePoint now);
    void write(const VersionAnnouncements &announcements);
    void onRead(const StoreItemReply &reply, TimePoint startedAt);
    void apply(const VersionAnnouncements &announcements, std::uint64_t revision);

    Relay &m_relay;
    StoreClient &m_store;
    std::string m_key;
    VersionAnnouncerOptions m_options;
    std::uint64_t m_writeRevision = 0; // Expected revision of the key; 0 if the store has none.
    bool m_writeInFlight = false;
    std::optional<TimePoint> m_takeOverAt; // Set while a listed version is not announced.
    boost::asio::steady_timer m_takeOverTimer;
    std::shared_ptr<Waiters> m_readers; // Of the open read; null if none is open.
};

} // namespace Godwit
