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
    {CallEnd::BrokenOff, "broken_off"},
    {CallEnd::CallerLeft, "caller_left"},
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
    auto key = std::make_pair(record.customer.value, record.kind);
    if (metrics.series.size() >= metrics.maxSeries && metrics.series.count(key) == 0) {
        key.first = OtherCustomers;
    }
    RelayCallSeries &series = metrics.series[key];
    ++series.ended[static_cast<std::size_t>(record.end)];
    addSample(series.total, record.total);
    if (record.firstAnswer) {
        addSample(series.firstAnswer, *record.firstAnswer);
    }
}

std::string renderCalls(const CallMetrics &metrics)
{
    std::ostringstream out;
    out << "# HELP godwit_calls_ended_total Calls by how they ended.\n# TYPE godwit_calls_ended_total counter\n";
    for (const auto &[key, series] : metrics.series) {
        for (const auto &entry : CallEndNames) {
            out << "godwit_calls_ended_total{" << labelsOf(key) << ",end=\"" << entry.name << "\"} "
                << series.ended[static_cast<std::size_t>(entry.value)] << '\n';
        }
    }
    renderHistograms(
        out, metrics, "godwit_call_seconds", "From the whole request to the end of the call.", &RelayCallSeries::total);
    renderHistograms(out,
                     metrics,
                     "godwit_first_answer_seconds",
                     "From the whole request to the first event or the whole answer.",
                     &RelayCallSeries::firstAnswer);
    return out.str();
}

} // namespace Godwit
