#include "godwit/relay/call_metrics.h"

#include "godwit/base/enum_names.h"

#include <sstream>
#include <string_view>

namespace Godwit
{
namespace
{

constexpr std::string_view OtherCustomers = "other";

constexpr EnumName<CallEnd> CallEndNames[] = {
    {CallEnd::Answered, "answered"},
    {CallEnd::Refused, "refused"},
    {CallEnd::Truncated, "broken_off"},
    {CallEnd::CallerDisconnected, "caller_left"},
};

constexpr EnumName<GatewayRouteKind> RouteKindNames[] = {
    {GatewayRouteKind::Idempotent, "idempotent"},
    {GatewayRouteKind::NonIdempotent, "non_idempotent"},
    {GatewayRouteKind::Streaming, "streaming"},
};

std::string labelsOf(const std::pair<std::string, GatewayRouteKind> &key)
{
    return "customer=\"" + escapeLabel(key.first) + "\",kind=\"" + std::string(enumName(RouteKindNames, key.second))
        + '"';
}

// Falls back to the shared series when a new one would exceed the bound.
RelayCallSeries &seriesOf(CallMetrics &metrics, const CustomerId &customer, GatewayRouteKind kind)
{
    auto key = std::make_pair(customer.value, kind);
    if (metrics.series.size() >= metrics.maxSeries && metrics.series.count(key) == 0) {
        key.first = OtherCustomers;
    }
    return metrics.series[key];
}

void renderCharges(std::ostream &out, const CallMetrics &metrics)
{
    out << "# HELP godwit_tokens_charged_total Tokens charged, by call outcome and whether any event was "
           "forwarded.\n"
           "# TYPE godwit_tokens_charged_total counter\n";
    for (const auto &[key, series] : metrics.series) {
        for (const auto &entry : CallEndNames) {
            const auto end = static_cast<std::size_t>(entry.value);
            const std::string labels = labelsOf(key) + ",end=\"" + std::string(entry.name) + "\",events=";
            out << "godwit_tokens_charged_total{" << labels << "\"some\"} " << series.charged[end] << '\n'
                << "godwit_tokens_charged_total{" << labels << "\"none\"} " << series.chargedWithoutEvent[end] << '\n';
        }
    }
}

void renderHistograms(std::ostream &out,
                      const CallMetrics &metrics,
                      std::string_view name,
                      std::string_view help,
                      LatencySeries RelayCallSeries::*member)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << " histogram\n";
    for (const auto &[key, series] : metrics.series) {
        renderHistogram(out, name, labelsOf(key), series.*member);
    }
}

} // namespace

void recordCall(CallMetrics &metrics, const CallRecord &record)
{
    RelayCallSeries &series = seriesOf(metrics, record.customer, record.kind);
    ++series.ended[static_cast<std::size_t>(record.end)];
    addSample(series.total, record.total);
    if (record.firstAnswer) {
        addSample(series.firstAnswer, *record.firstAnswer);
    }
}

void recordCharge(CallMetrics &metrics, const ChargeRecord &record)
{
    RelayCallSeries &series = seriesOf(metrics, record.customer, record.kind);
    auto &charged = record.anyEvent ? series.charged : series.chargedWithoutEvent;
    charged[static_cast<std::size_t>(record.end)] += record.tokens;
}

std::string_view callEndName(CallEnd end)
{
    return enumName(CallEndNames, end);
}

std::string renderCalls(const CallMetrics &metrics)
{
    std::ostringstream out;
    out << "# HELP godwit_calls_ended_total Calls by outcome.\n# TYPE godwit_calls_ended_total counter\n";
    for (const auto &[key, series] : metrics.series) {
        for (const auto &entry : CallEndNames) {
            out << "godwit_calls_ended_total{" << labelsOf(key) << ",end=\"" << entry.name << "\"} "
                << series.ended[static_cast<std::size_t>(entry.value)] << '\n';
        }
    }
    renderCharges(out, metrics);
    renderHistograms(out,
                     metrics,
                     "godwit_call_seconds",
                     "Time from receipt of the complete request to the end of the call.",
                     &RelayCallSeries::total);
    renderHistograms(out,
                     metrics,
                     "godwit_first_answer_seconds",
                     "Time from receipt of the complete request to the first event or the complete response.",
                     &RelayCallSeries::firstAnswer);
    return out.str();
}

} // namespace Godwit
