#include "godwit/daemon/gateway_metrics.h"

#include <sstream>

namespace Godwit
{
namespace
{

void appendMetric(std::ostringstream &out, std::string_view name, double value)
{
    out << name << ' ' << value << '\n';
}

} // namespace

std::string renderGatewayMetrics(Relay &relay, const StoreCounters &store)
{
    std::ostringstream out;
    const RelayCounters &counters = relay.counters();
    appendMetric(out, "godwit_requests_total", static_cast<double>(counters.requests));
    appendMetric(out, "godwit_answered_total", static_cast<double>(counters.answered));
    appendMetric(out, "godwit_callers_left_total", static_cast<double>(counters.callerDisconnects));
    appendMetric(out, "godwit_connection_pauses_total", static_cast<double>(counters.connectionPauses));
    appendMetric(out, "godwit_attempts_total", static_cast<double>(counters.attempts));
    appendMetric(out, "godwit_repeats_total", static_cast<double>(counters.retries));
    const RelayState &state = relay.state();
    appendMetric(out, "godwit_limit_shares_held", static_cast<double>(state.limitShares.held.size()));
    appendMetric(
        out, "godwit_limit_part_usable", fractionOf(usableShares(state.limitShares, Relay::now(), Relay::uptime())));
    appendMetric(out, "godwit_resumed_streams_total", static_cast<double>(counters.resumedStreams));
    for (const auto &[kind, count] : counters.entriesRefused) {
        out << "godwit_store_entries_refused_total{kind=\"" << escapeLabel(kind) << "\"} " << count << '\n';
    }
    for (const auto &[outcome, count] : counters.resumptions) {
        out << "godwit_stream_resumptions_total{outcome=\"" << resumptionOutcomeName(outcome) << "\"} " << count
            << '\n';
    }
    appendMetric(out, "godwit_recorded_streams", static_cast<double>(state.streamVersions.records.size()));
    appendMetric(out, "godwit_broken_off_total", static_cast<double>(counters.truncatedAnswers));
    appendMetric(out, "godwit_connections_opened_total", static_cast<double>(counters.connectionsOpened));
    for (const auto &[kind, count] : counters.refusals) {
        out << "godwit_refusals_total{cause=\"" << errorName(kind) << "\"} " << count << '\n';
    }
    for (const auto &[route, count] : counters.deferred) {
        out << "godwit_deferred_total{route=\"" << escapeLabel(route) << "\"} " << count << '\n';
    }
    if (relay.options().callerAdmission.enabled) {
        const LinkShare share = linkShare(state.callerAdmission, relay.options().callerAdmission);
        appendMetric(out, "godwit_link_share{direction=\"in\"}", share.in);
        appendMetric(out, "godwit_link_share{direction=\"out\"}", share.out);
    }
    for (const auto &[cause, count] : counters.attemptsFailed) {
        out << "godwit_attempts_failed_total{cause=\"" << cause << "\"} " << count << '\n';
    }
    for (const auto &[ending, count] : counters.answersEnded) {
        out << "godwit_answers_ended_total{framing=\"" << responseFramingName(ending.framing) << "\",connection=\""
            << connectionEndName(ending.connection) << "\",position=\"" << positionName(ending) << "\"} " << count
            << '\n';
    }
    for (const auto &[result, count] : counters.livenessChecks) {
        out << "godwit_liveness_checks_total{liveness=\"" << endpointLivenessName(result.first) << "\",evidence=\""
            << livenessEvidenceName(result.second) << "\"} " << count << '\n';
    }
    for (const auto &[service, count] : counters.endpointDeaths) {
        out << "godwit_endpoint_deaths_total{service=\"" << escapeLabel(service) << "\"} " << count << '\n';
    }
    for (const auto &[service, count] : counters.rejections) {
        out << "godwit_endpoint_rejections_total{service=\"" << escapeLabel(service) << "\"} " << count << '\n';
    }
    for (const auto &[key, count] : counters.placeWaits) {
        out << "godwit_place_waits_total{service=\"" << escapeLabel(key.first) << "\",outcome=\""
            << placeWaitOutcomeName(key.second) << "\"} " << count << '\n';
    }
    for (const auto &[service, state] : state.endpoints.brittle.services) {
        out << "godwit_service_brittle{service=\"" << escapeLabel(service) << "\"} "
            << (isBrittle(relay.state().endpoints, service, Relay::now()) ? 1 : 0) << '\n';
    }
    appendMetric(out, "godwit_endpoint_partitions_total", static_cast<double>(counters.partitions));
    appendMetric(out, "godwit_reach_probes_total", static_cast<double>(counters.reachProbes));
    for (const auto &[group, reach] : state.reach.groups) {
        const std::string labels = "{service=\"" + escapeLabel(group.service) + "\",data_centre=\""
            + escapeLabel(group.dataCentre.value) + "\"} ";
        out << "godwit_endpoints_partitioned" << labels << (reach.partitionedSince ? 1 : 0) << '\n';
        out << "godwit_seconds_since_endpoint_answered" << labels << toSeconds(Relay::now() - reach.lastAnswerAt)
            << '\n';
    }
    for (const auto &[id, endpoint] : state.endpoints.endpoints) {
        const SpeedOptions &options = state.endpoints.speedOptions;
        const CurrentSpeed speed = currentSpeed(endpoint.speed, options, Relay::now());
        if (isOutsideBand(speed.ratio, speed.samples, options)) {
            out << "godwit_endpoint_speed_ratio{endpoint=\"" << escapeLabel(id.value) << "\"} " << speed.ratio << '\n';
        }
    }
    appendMetric(out, "godwit_borrowed_connections_total", static_cast<double>(counters.borrowedConnections));
    for (const auto &[reply, count] : counters.lendingReplies) {
        out << "godwit_lending_replies_total{reply=\"" << lendingReplyName(reply) << "\"} " << count << '\n';
    }
    appendMetric(out, "godwit_suspects_convicted_total", static_cast<double>(counters.convictions));
    appendMetric(out, "godwit_suspects_cleared_total", static_cast<double>(counters.suspectsCleared));
    appendMetric(out, "godwit_suspects_unrecorded_total", static_cast<double>(counters.suspectsUnrecorded));
    appendMetric(out, "godwit_suspect_trials_total", static_cast<double>(counters.trials));
    appendMetric(out, "godwit_suspect_trials_denied_total", static_cast<double>(counters.trialsDenied));
    appendMetric(out, "godwit_suspect_requests", static_cast<double>(state.suspects.deathCount.size()));
    appendMetric(
        out, "godwit_answers_without_declared_end_total", static_cast<double>(counters.answersWithoutDeclaredEnd));
    for (std::size_t phase = 0; phase < ConnectionPhaseCount; ++phase) {
        out << "godwit_connections_closed_total{phase=\"" << connectionPhaseName(static_cast<ConnectionPhase>(phase))
            << "\"} " << counters.connectionsClosed[phase] << '\n';
    }
    for (const HeldSide side : HeldSides) {
        out << "godwit_held_bytes{side=\"" << heldSideName(side) << "\"} " << heldBytes(*state.held, side) << '\n';
    }
    for (const auto &[cut, count] : counters.readersCut) {
        out << "godwit_readers_cut_total{side=\"" << heldSideName(cut.side) << "\",cause=\""
            << readerCutCauseName(cut.cause) << "\"} " << count << '\n';
    }
    for (const auto &[kind, count] : counters.retryDecisions) {
        out << "godwit_repeat_draws_total{service=\"" << escapeLabel(kind.service) << "\",cause=\"" << kind.cause
            << "\",outcome=\"" << retryOutcomeName(kind.outcome) << "\"} " << count << '\n';
    }
    for (const auto &[key, count] : counters.hedges) {
        out << "godwit_hedges_total{service=\"" << escapeLabel(key.first) << "\",outcome=\""
            << hedgeOutcomeName(key.second) << "\"} " << count << '\n';
    }
    appendMetric(out, "godwit_repeats_sent_late_total", static_cast<double>(counters.sends.lateRetries));
    appendMetric(out, "godwit_sends_with_stale_time_left_total", static_cast<double>(counters.sends.staleTimeLeft));
    appendMetric(out, "godwit_sends_beyond_attempts_total", static_cast<double>(counters.sends.beyondMaxEndpoints));
    appendMetric(out, "godwit_sends_under_suspicion_total", static_cast<double>(counters.sends.ofSuspects));
    appendMetric(out, "godwit_calls_open", relay.callsOpen);
    appendMetric(out, "godwit_platform_calls_total", static_cast<double>(store.calls));
    for (std::size_t kind = 0; kind < StoreCallKindCount; ++kind) {
        out << "godwit_platform_calls_by_kind_total{kind=\"" << storeCallKindName(static_cast<StoreCallKind>(kind))
            << "\"} " << store.byKind[kind] << '\n';
    }
    appendMetric(out, "godwit_platform_calls_refused_total", static_cast<double>(store.refused));
    appendMetric(out, "godwit_platform_calls_unknown_total", static_cast<double>(store.unknown));
    appendMetric(out, "godwit_platform_in_reach", relay.state().platformInReach ? 1 : 0);
    appendMetric(out, "godwit_live_routers", relay.state().liveRouters);
    appendMetric(out, "godwit_log_lines_dropped_total", static_cast<double>(relay.log().dropped()));
    appendMetric(out, "godwit_token_exchange_seconds", toSeconds(state.tokenExchange.recent));
    for (const auto &[customer, account] : relay.state().prepaid.accounts) {
        out << "godwit_budget_granted{customer=\"" << escapeLabel(customer.value) << "\"} " << account.granted << '\n';
        out << "godwit_budget_used{customer=\"" << escapeLabel(customer.value) << "\"} " << account.netUsed << '\n';
        out << "godwit_budget_reserved{customer=\"" << escapeLabel(customer.value) << "\"} " << account.reserved
            << '\n';
    }
    out << renderCalls(counters.calls);
    return out.str();
}

} // namespace Godwit
