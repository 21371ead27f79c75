#include "godwit/operators/metrics.h"

#include <sstream>

namespace Godwit
{
namespace
{

constexpr std::string_view OtherCustomers = "other";

CallSeries &seriesOf(Metrics &metrics, const CallFinished &finished)
{
    SeriesKey key{finished.customer.value, finished.route.value};
    if (metrics.calls.size() >= metrics.maxSeries && metrics.calls.count(key) == 0) {
        key.customer = OtherCustomers;
    }
    return metrics.calls[key];
}

std::string labelsOf(const SeriesKey &key)
{
    return "customer=\"" + escapeLabel(key.customer) + "\",route=\"" + escapeLabel(key.route) + "\"";
}

void renderHistograms(std::ostream &out,
                      const Metrics &metrics,
                      std::string_view name,
                      std::string_view help,
                      LatencySeries CallSeries::*member)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << " histogram\n";
    for (const auto &[key, series] : metrics.calls) {
        renderHistogram(out, name, labelsOf(key), series.*member);
    }
}

template<typename Value>
void renderCounters(
    std::ostream &out, const Metrics &metrics, std::string_view name, std::string_view help, Value CallSeries::*member)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << " counter\n";
    for (const auto &[key, series] : metrics.calls) {
        out << name << '{' << labelsOf(key) << "} " << series.*member << '\n';
    }
}

void renderErrors(std::ostream &out, const Metrics &metrics)
{
    out << "# HELP godwit_calls_failed_total Calls that ended in an error, by its type.\n# TYPE "
           "godwit_calls_failed_total counter\n";
    for (const auto &[key, series] : metrics.calls) {
        for (const auto &[kind, count] : series.errors) {
            out << "godwit_calls_failed_total{" << labelsOf(key) << ",type=\"" << errorName(kind) << "\"} " << count
                << '\n';
        }
    }
}

} // namespace

void record(Metrics &metrics, const CallFinished &finished)
{
    CallSeries &series = seriesOf(metrics, finished);
    addSample(series.total, finished.total);
    if (finished.firstToken) {
        addSample(series.firstToken, *finished.firstToken);
    }
    if (finished.untilDispatch) {
        addSample(series.untilDispatch, *finished.untilDispatch);
    }
    if (finished.billWait) {
        addSample(series.billWait, *finished.billWait);
    }
    series.forwarded += finished.forwarded ? 1 : 0;
    series.replayed += finished.replayed ? 1 : 0;
    series.billedTokens += finished.billed;
    if (finished.error) {
        ++series.errors[*finished.error];
    } else if (!finished.forwarded) {
        ++series.answered;
    }
}

std::string renderMetrics(const Metrics &metrics, const std::vector<Gauge> &gauges)
{
    std::ostringstream out;
    for (const auto &gauge : gauges) {
        out << "# HELP " << gauge.name << ' ' << gauge.help << "\n# TYPE " << gauge.name
            << (gauge.counter ? " counter\n" : " gauge\n");
        out << gauge.name << ' ' << gauge.value << '\n';
    }
    renderCounters(
        out, metrics, "godwit_calls_answered_total", "Calls answered whole and billed here.", &CallSeries::answered);
    renderCounters(
        out, metrics, "godwit_calls_replayed_total", "Repeats answered with the first answer.", &CallSeries::replayed);
    renderCounters(out,
                   metrics,
                   "godwit_calls_forwarded_total",
                   "Calls relayed to a router that holds their budget.",
                   &CallSeries::forwarded);
    renderCounters(out, metrics, "godwit_billed_tokens_total", "Tokens billed here.", &CallSeries::billedTokens);
    renderErrors(out, metrics);
    renderHistograms(
        out, metrics, "godwit_call_seconds", "From the whole request to the end of the answer.", &CallSeries::total);
    renderHistograms(out,
                     metrics,
                     "godwit_first_token_seconds",
                     "From the whole request to the first token.",
                     &CallSeries::firstToken);
    renderHistograms(out,
                     metrics,
                     "godwit_dispatch_seconds",
                     "From the whole request to its first dispatch.",
                     &CallSeries::untilDispatch);
    renderHistograms(out,
                     metrics,
                     "godwit_bill_wait_seconds",
                     "How long an answer's end waited for its bill.",
                     &CallSeries::billWait);
    return out.str();
}

} // namespace Godwit
