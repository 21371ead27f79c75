#include "godwit/daemon/suspect_keeper.h"

#include "godwit/base/enum_names.h"
#include "godwit/gateway/request_identity.h"
#include "godwit/relay/endpoint_probe.h"

#include <algorithm>

namespace Godwit
{
namespace
{

constexpr EnumName<Verdict> VerdictNames[] = {
    {Verdict::Unsuspected, "unsuspected"},
    {Verdict::Suspected, "suspected"},
    {Verdict::Convicted, "convicted"},
};

} // namespace

SuspectKeeper::SuspectKeeper(boost::asio::io_context &io, Relay &relay, SuspectKeeperOptions options)
    : m_io(io)
    , m_relay(relay)
    , m_options(options)
{
    m_relay.onCut = [this](const RequestCut &cut) {
        onCut(cut);
    };
}

void SuspectKeeper::onCut(const RequestCut &cut)
{
    const EndpointState *endpoint = findStart(m_relay.state().endpoints, cut.endpoint, cut.start);
    if (endpoint == nullptr || !takesNewWork(*endpoint)) {
        return;
    }
    if (noteCut(m_watch, endpoint->listed, cut.run)) {
        askPort(m_watch.cuts.at(cut.endpoint));
    }
}

void SuspectKeeper::askPort(const EndpointCuts &cuts)
{
    probeEndpoint(m_io, cuts.address, m_options.probeLimit, [this, id = cuts.id](ProbeOutcome outcome) {
        if (outcome != ProbeOutcome::Refuses) {
            noteNoDeath(m_watch, id);
        } else if (const auto death = takeDeath(m_watch, id)) {
            onDeath(*death, "port_refuses");
        }
    });
}

void SuspectKeeper::onListed()
{
    if (m_watch.cuts.empty()) {
        return;
    }
    std::vector<ListedEndpoint> listed;
    for (const auto &[id, endpoint] : m_relay.state().endpoints.endpoints) {
        if (!endpoint.gone) {
            listed.push_back(endpoint.listed);
        }
    }
    for (const EndpointCuts &death : takeReplaced(m_watch, listed, Relay::now())) {
        onDeath(death, "address_taken");
    }
}

void SuspectKeeper::onDeath(const EndpointCuts &death, std::string_view sign)
{
    SuspectBook &book = m_relay.state().suspects;
    const EndpointDeath noted{death.id, {}, death.dataCentre, death.askedFrom, {}};
    for (const CutRun &run : death.runs) {
        noteSuspect(book, noted, run.fingerprint, {run.sentAt, run.trial});
    }
    forgetOldSuspects(book, Relay::now());
    ++m_relay.counters().endpointDeaths[death.service];
    logDeath(death, sign);
}

// Each request with the deaths that count against it and what is believed of it.
void SuspectKeeper::logDeath(const EndpointCuts &death, std::string_view sign) const
{
    const SuspectBook &book = m_relay.state().suspects;
    std::string requests;
    for (std::size_t i = 0; i < std::min(death.runs.size(), m_options.maxShown); ++i) {
        const std::uint64_t fingerprint = death.runs[i].fingerprint;
        requests.append(requests.empty() ? "" : " ")
            .append(fingerprintText(fingerprint))
            .append(1, ':')
            .append(std::to_string(soundDeaths(book, fingerprint).size()))
            .append(1, ':')
            .append(enumName(VerdictNames, verdictOn(book, fingerprint, Relay::now())));
    }
    m_relay.log().write("endpoint_died",
                        {{"endpoint", std::string_view(death.id.value)},
                         {"service", std::string_view(death.service)},
                         {"sign", sign},
                         {"known_after_ms", toSeconds(Relay::now() - death.askedFrom) * 1000},
                         {"under_way", static_cast<std::int64_t>(death.runs.size())},
                         {"requests", std::string_view(requests)}});
}

} // namespace Godwit
