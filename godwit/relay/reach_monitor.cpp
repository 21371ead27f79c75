#include "godwit/relay/reach_monitor.h"

#include "godwit/base/milliseconds.h"
#include "godwit/relay/endpoint_probe.h"
#include "godwit/relay/relay.h"

#include <algorithm>

namespace Godwit
{

ReachMonitor::ReachMonitor(Relay &relay, ReachMonitorOptions options)
    : m_relay(relay)
    , m_options(options)
    , m_timer(relay.io())
{
}

void ReachMonitor::onConnectionEvent(const ListedEndpoint &endpoint, DirectConnectionEvent event, TimePoint openedAt)
{
    EndpointReach &reach = m_relay.state().reach;
    const EndpointGroup group = groupOf(endpoint);
    switch (event) {
    case DirectConnectionEvent::Answered:
        if (recordAnswer(reach, group, openedAt, Relay::now())) {
            onHealed(group);
        }
        return;
    case DirectConnectionEvent::NotConnected:
        recordFailure(endpoint, {endpoint.id, ConnectionFailure::NotConnected, openedAt});
        return;
    case DirectConnectionEvent::Reset:
        recordFailure(endpoint, {endpoint.id, ConnectionFailure::Reset, openedAt});
        return;
    case DirectConnectionEvent::Broken:
    case DirectConnectionEvent::Silent:
        if (isPartitioned(reach, group)) {
            // Other connections that were kept carry nothing either.
            closeIdleConnections(group);
        }
        recordTrouble(reach, group, Relay::now());
        scheduleCheck();
        return;
    }
}

void ReachMonitor::onEndpointsChanged()
{
    onEndpointsListed(m_relay.state().reach, m_relay.state().endpoints);
    if (needsProbes(m_relay.state().reach)) {
        scheduleCheck();
    }
}

void ReachMonitor::recordFailure(const ListedEndpoint &endpoint, const FailedConnection &failed)
{
    const EndpointGroup group = groupOf(endpoint);
    const std::size_t size = groupSize(m_relay.state().endpoints, group);
    const bool partitioned = recordConnectionFailure(m_relay.state().reach, group, failed, size, Relay::now());
    if (partitioned) {
        onPartitioned(group);
    }
    scheduleCheck();
}

void ReachMonitor::onPartitioned(const EndpointGroup &group)
{
    ++m_relay.counters().partitions;
    const GroupReach &reach = m_relay.state().reach.groups.at(group);
    std::string causes;
    for (const auto &[endpoint, failure] : reach.failures) {
        causes.append(causes.empty() ? "" : " ").append(endpoint.value).append(1, ':');
        causes.append(connectionFailureName(failure));
    }
    m_relay.log().write("endpoints_partitioned",
                        {{"service", std::string_view(group.service)},
                         {"data_centre", std::string_view(group.dataCentre.value)},
                         {"failures", std::string_view(causes)},
                         {"answered_before_ms", toMilliseconds(Relay::now() - reach.lastAnswerAt)}});
    closeIdleConnections(group);
    clearBackoff(m_relay.state().endpoints, group);
}

void ReachMonitor::closeIdleConnections(const EndpointGroup &group)
{
    for (const auto &[id, endpoint] : m_relay.state().endpoints.endpoints) {
        if (groupOf(endpoint.listed) == group) {
            m_relay.pool().closeIdle(id);
        }
    }
}

void ReachMonitor::onHealed(const EndpointGroup &group)
{
    clearBackoff(m_relay.state().endpoints, group);
    m_relay.log().write(
        "endpoints_reached_again",
        {{"service", std::string_view(group.service)}, {"data_centre", std::string_view(group.dataCentre.value)}});
}

void ReachMonitor::scheduleCheck()
{
    if (std::exchange(m_checkScheduled, true)) {
        return;
    }
    m_timer.expires_after(m_options.checkInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        m_checkScheduled = false;
        if (error) {
            return;
        }
        RelayState &state = m_relay.state();
        for (const ReachProbe &due : takeDueProbes(state.reach, state.endpoints, m_relay.random(), Relay::now())) {
            probe(due);
        }
        if (needsProbes(state.reach)) {
            scheduleCheck();
        }
    });
}

void ReachMonitor::probe(const ReachProbe &probe)
{
    const ListedEndpoint endpoint = m_relay.state().endpoints.endpoints.at(probe.endpoint).listed;
    const TimePoint openedAt = Relay::now();
    ++m_relay.counters().reachProbes;
    probeResponse(m_relay.io(),
                  endpoint.address,
                  probePath(endpoint.service),
                  m_options.probeTimeout,
                  [this, endpoint, openedAt](ProbeOutcome outcome) {
                      finishProbe(m_relay.state().reach, groupOf(endpoint));
                      if (outcome == ProbeOutcome::Accepts) {
                          onConnectionEvent(endpoint, DirectConnectionEvent::Answered, openedAt);
                      } else {
                          const bool refused = outcome == ProbeOutcome::Refuses;
                          const auto failure = refused ? ConnectionFailure::NotConnected : ConnectionFailure::Silent;
                          recordFailure(endpoint, {endpoint.id, failure, openedAt, true});
                      }
                  });
}

std::string ReachMonitor::probePath(const std::string &service) const
{
    const auto &routes = m_relay.state().routes;
    const GatewayService *found = routes ? findService(*routes, service) : nullptr;
    return found == nullptr || found->healthPath.empty() ? "/" : found->healthPath;
}

} // namespace Godwit
