// RelayCall: waiting for a free place at an endpoint of a brittle service.

#include "godwit/relay/relay_call.h"

#include "godwit/base/milliseconds.h"

#include <algorithm>
#include <utility>

namespace Godwit
{
namespace
{

// Part of the remaining latency target that a request may wait for a place; the rest is left to its run.
constexpr int WaitDivisor = 2;
// Callers wait for up to this part of their remaining time before they return.
constexpr int ReturnDivisor = 3;

} // namespace

// Returns false if requests to the service are not limited, or if no place is expected in time.
bool RelayCall::waitForPlace()
{
    if (m_placeWaiter != 0) {
        return true;
    }
    const TimePoint now = Relay::now();
    const EndpointTable &table = m_relay.state().endpoints;
    if (!limitsInFlight(table, m_serviceName, now) || !hasCandidates(table, choiceQuery())) {
        return false;
    }
    const Duration target = std::max(Duration::zero(), m_arrived + m_route->latencyTarget - now);
    PlaceWaiter waiter;
    waiter.id = m_relay.nextWaiterId();
    waiter.urgency = m_urgency;
    waiter.giveUpAt = now + std::min(target / WaitDivisor, timeLeft());
    m_waitsForPlaceSince = now;
    if (!m_relay.waitForPlace(shared_from_this(), m_serviceName, waiter)) {
        recordPlaceWait(PlaceWaitOutcome::Refused);
        return false;
    }
    m_placeWaiter = waiter.id;
    return true;
}

bool RelayCall::tryPlace()
{
    if (m_closed || m_placeWaiter == 0) {
        return true;
    }
    attempt();
    return m_closed || m_placeWaiter == 0;
}

void RelayCall::onNoPlace(PlaceWaitOutcome outcome)
{
    m_placeWaiter = 0;
    if (m_closed) {
        return;
    }
    recordPlaceWait(outcome);
    refuseForLackOfEndpoint();
}

void RelayCall::recordPlaceWait(PlaceWaitOutcome outcome)
{
    if (m_placeWaiter != 0) {
        m_relay.stopWaitingForPlace(m_serviceName, std::exchange(m_placeWaiter, 0));
    }
    ++m_relay.counters().placeWaits[{m_serviceName, outcome}];
    const RelayState &state = m_relay.state();
    const TimePoint now = Relay::now();
    const PlaceQueue &queue = m_relay.state().placeQueues[m_serviceName];
    m_relay.log().write("place_wait",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"service", std::string_view(m_serviceName)},
                         {"outcome", placeWaitOutcomeName(outcome)},
                         {"waited_ms", toMilliseconds(now - m_waitsForPlaceSince)},
                         {"waiting", static_cast<std::int64_t>(queue.waiting.size())},
                         {"places", static_cast<std::int64_t>(countPlaces(state.endpoints, m_serviceName, now))}});
}

void RelayCall::refuseForLackOfEndpoint()
{
    if (m_headForwarded) {
        // A refusal can't be sent once part of a stream has been forwarded.
        abortAnswer("no_endpoint");
    } else if (m_progress == Progress::Sent) {
        refuse(ErrorKind::EndpointFailed, "the endpoint failed and no other endpoint is available", std::nullopt);
    } else if (lacksRoom()) {
        refuse(ErrorKind::Overloaded, "the endpoints of the service have no room", placeRetryAfter());
    } else if (awaitsVersion()) {
        refuse(ErrorKind::NoEndpoint, "streams may not begin at the endpoints' version yet", versionRetryAfter());
    } else {
        refuse(ErrorKind::NoEndpoint, "no endpoint of the service accepts requests", endpointRetryAfter());
    }
}

// Whether the request finds no endpoint only because the service's endpoints have no room.
bool RelayCall::lacksRoom() const
{
    const EndpointTable &table = m_relay.state().endpoints;
    const TimePoint now = Relay::now();
    return isBrittle(table, m_serviceName, now)
        || (limitsInFlight(table, m_serviceName, now) && hasCandidates(table, choiceQuery()));
}

Duration RelayCall::placeRetryAfter()
{
    const TimePoint now = Relay::now();
    const int places = countPlaces(m_relay.state().endpoints, m_serviceName, now);
    if (places == 0) {
        // Another router may hold places.
        return randomizedRetryAfter();
    }
    constexpr std::uint64_t steps = 1024;
    const double random = static_cast<double>(m_relay.random() % steps) / steps;
    return returnDelay(
        m_relay.state().placeQueues[m_serviceName], m_urgency, places, timeLeft() / ReturnDivisor, random, now);
}

} // namespace Godwit
