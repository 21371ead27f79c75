#pragma once

// Finds out which endpoints have died, and which requests were under way there. Not thread-safe.
//
// Example:
//   SuspectKeeper suspects(io, relay);
//   suspects.onListed();

#include "godwit/base/time.h"
#include "godwit/gateway/crash_watch.h"
#include "godwit/relay/relay.h"

#include <boost/asio/io_context.hpp>

#include <string_view>

namespace Godwit
{

struct SuspectKeeperOptions
{
    // A first opening packet that is lost is repeated after a second.
    Duration probeLimit = std::chrono::milliseconds(1300);
    std::size_t maxShown = 8; // Requests in one line.
};

class SuspectKeeper
{
public:
    SuspectKeeper(boost::asio::io_context &io, Relay &relay, SuspectKeeperOptions options);

    // The list of endpoints has changed.
    void onListed();

private:
    void onCut(const RequestCut &cut);
    void askPort(const EndpointCuts &cuts);
    void onDeath(const EndpointCuts &death, std::string_view sign);
    void logDeath(const EndpointCuts &death, std::string_view sign) const;

    boost::asio::io_context &m_io;
    Relay &m_relay;
    SuspectKeeperOptions m_options;
    CrashWatch m_watch;
};

} // namespace Godwit
