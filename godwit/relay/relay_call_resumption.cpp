// RelayCall: streams that go on only at the version of the endpoint's software that began them.

#include "godwit/relay/relay_call.h"

#include "godwit/base/hash.h"
#include "godwit/base/milliseconds.h"

#include <algorithm>
#include <cstdint>
#include <set>

namespace Godwit
{
namespace
{

// Bound of the versions in one log line, in bytes.
constexpr std::size_t MaxLoggedVersionBytes = 160;

std::string joinVersions(const std::set<std::string> &versions)
{
    std::string text;
    for (const std::string &version : versions) {
        text += (text.empty() ? "" : ",") + version;
        if (text.size() > MaxLoggedVersionBytes) {
            text.resize(MaxLoggedVersionBytes);
            break;
        }
    }
    return text;
}

} // namespace

// Whether the caller takes up a stream of which it has received events.
bool RelayCall::continuesStream() const
{
    return m_route->kind == GatewayRouteKind::Streaming && m_route->resumable && m_facts.resumesAfterEvent;
}

void RelayCall::findStreamOrigin()
{
    const std::string &attempt = m_facts.resumedAttempt;
    if (!attempt.empty()) {
        // The service that the first try was sent to, unless the route has changed since.
        m_serviceName = pickService(*m_route, stableHash(attempt));
        m_service = findService(*m_table, m_serviceName);
    }
    const bool isRecorded = findStream(m_relay.state().streamVersions, attempt, Relay::now()) != nullptr;
    if (!isRecorded && !versionOfUnrecordedStream() && m_relay.onStreamSought) {
        m_relay.onStreamSought(attempt, m_serviceName, [self = shared_from_this()] {
            self->onStreamSearched();
        });
    } else {
        onStreamSearched();
    }
}

void RelayCall::onStreamSearched()
{
    if (m_closed) {
        return;
    }
    const TimePoint now = Relay::now();
    if (const StreamOrigin *origin = findStream(m_relay.state().streamVersions, m_facts.resumedAttempt, now)) {
        continueFrom(*origin);
    } else if (const auto version = versionOfUnrecordedStream()) {
        continueAt(*version, ResumptionOutcome::OneVersion);
    } else {
        refuseResumption(ResumptionOutcome::Unknown);
    }
}

// Nullopt if the stream may have begun at several versions or services.
std::optional<std::string> RelayCall::versionOfUnrecordedStream() const
{
    const bool serviceIsKnown = m_route->services.size() == 1 || !m_facts.resumedAttempt.empty();
    return serviceIsKnown ? m_relay.soleVersion(m_serviceName) : std::nullopt;
}

void RelayCall::continueFrom(const StreamOrigin &origin)
{
    if (origin.customer != m_customer || !useServiceOf(origin)) {
        refuseResumption(ResumptionOutcome::OtherOwner);
        return;
    }
    continueAt(origin.version, ResumptionOutcome::Recorded);
}

void RelayCall::continueAt(const std::string &version, ResumptionOutcome outcome)
{
    m_requiredVersion = version;
    if (!hasCandidates(m_relay.state().endpoints, choiceQuery())) {
        refuseResumption(ResumptionOutcome::NoEndpoint);
        return;
    }
    recordResumption(outcome);
    reserveTokens();
}

// A route may divide its requests among services by their attempt ids, which differ between the tries of a caller.
bool RelayCall::useServiceOf(const StreamOrigin &origin)
{
    const auto &services = m_route->services;
    const bool allowed = std::any_of(services.begin(), services.end(), [&origin](const WeightedService &entry) {
        return entry.service == origin.service;
    });
    if (allowed) {
        m_serviceName = origin.service;
        m_service = findService(*m_table, m_serviceName);
    }
    return allowed;
}

void RelayCall::refuseResumption(ResumptionOutcome outcome)
{
    recordResumption(outcome);
    refuse(ErrorKind::StreamNotResumable,
           outcome == ResumptionOutcome::NoEndpoint
               ? "no endpoint of the version that began the stream accepts requests"
               : "this router does not know at which version of the endpoint's software the stream began",
           std::nullopt);
}

void RelayCall::recordResumption(ResumptionOutcome outcome)
{
    ++m_relay.counters().resumptions[outcome];
    const RelayState &state = m_relay.state();
    const RelayOptions &options = m_relay.options();
    const TimePoint now = Relay::now();
    const auto known = knownVersions(state.streamVersions, options.streamVersions, m_serviceName, now);
    const std::string knownText = joinVersions(known);
    const auto &confirmedAt = state.announcedVersions.confirmedAt;
    const std::int64_t versionsAge = confirmedAt ? toMilliseconds(Relay::bootTimeNow() - *confirmedAt) : -1;
    m_relay.log().write("stream_resumed",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"began_as", std::string_view(m_facts.resumedAttempt)},
                         {"outcome", resumptionOutcomeName(outcome)},
                         {"service", std::string_view(m_serviceName)},
                         {"version", std::string_view(m_requiredVersion.value_or(std::string()))},
                         {"known_versions", std::string_view(knownText)},
                         {"versions_age_ms", versionsAge},
                         {"list_age_ms", toMilliseconds(Relay::bootTimeNow() - state.endpointsFreshness.confirmedAt)},
                         {"store", state.platformInReach},
                         {"live_routers", static_cast<std::int64_t>(state.liveRouters)},
                         {"running_ms", toMilliseconds(Relay::uptime() - options.prepaid.startedAt.uptime)},
                         {"after_event", static_cast<std::int64_t>(m_facts.resumeAfter)},
                         {"after_ms", toMilliseconds(now - m_arrived)}});
}

// To be called before the first event is forwarded: its caller may come back to another router at once.
void RelayCall::recordStreamBegan()
{
    m_requiredVersion = m_endpointVersion;
    if (!m_route->resumable || m_facts.attemptId.empty()) {
        return;
    }
    const StreamOrigin origin{m_customer, m_serviceName, m_endpointVersion};
    RelayState &state = m_relay.state();
    const StreamVersionOptions &options = m_relay.options().streamVersions;
    const TimePoint now = Relay::now();
    const bool isNew = recordStream(state.streamVersions, options, m_facts.attemptId, origin, now);
    if (!isNew || !m_relay.sharesStreamRecords(m_serviceName)) {
        return;
    }
    m_relay.log().write("stream_began",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"endpoint", std::string_view(m_endpoint.value)},
                         {"service", std::string_view(m_serviceName)},
                         {"version", std::string_view(m_endpointVersion)}});
    if (m_relay.onStreamsRecorded) {
        m_relay.onStreamsRecorded({{m_facts.attemptId, origin}});
    }
}

} // namespace Godwit
