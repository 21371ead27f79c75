#pragma once

// Keeps RelayState::reach up to date: records what happens to direct connections to endpoints, and probes groups of
// endpoints with one connection at a time while they are in trouble. Not thread-safe.
//
// Example:
//   monitor.onConnectionEvent(endpoint, DirectConnectionEvent::Answered, openedAt);

#include "godwit/base/time.h"
#include "godwit/gateway/endpoint_reach.h"
#include "godwit/relay/endpoint_exchange.h"

#include <boost/asio/steady_timer.hpp>

#include <string>

namespace Godwit
{

class Relay;

struct ReachMonitorOptions
{
    // Interval of the checks for due probes.
    Duration checkInterval = std::chrono::milliseconds(50);
    // Time for a probe to connect and to receive the first byte of a response.
    Duration probeTimeout = std::chrono::milliseconds(400);
};

class ReachMonitor
{
public:
    ReachMonitor(Relay &relay, ReachMonitorOptions options);

    void onConnectionEvent(const ListedEndpoint &endpoint, DirectConnectionEvent event, TimePoint openedAt);

    // The list of endpoints has changed.
    void onEndpointsChanged();

    // The path that probes request from endpoints of a service.
    std::string probePath(const std::string &service) const;

private:
    void recordFailure(const ListedEndpoint &endpoint, const FailedConnection &failed);
    void onPartitioned(const EndpointGroup &group);
    void onHealed(const EndpointGroup &group);
    void closeIdleConnections(const EndpointGroup &group);
    void scheduleCheck();
    void probe(const ReachProbe &probe);

    Relay &m_relay;
    ReachMonitorOptions m_options;
    boost::asio::steady_timer m_timer;
    bool m_checkScheduled = false;
};

} // namespace Godwit
