#include "godwit/metrics/latency_series.h"

namespace Godwit
{
namespace
{

constexpr double FirstEdge = 1e-4;
constexpr double LastEdge = 600;
constexpr unsigned Bins = 48;

} // namespace

LatencySeries::LatencySeries()
    : seconds(boost::histogram::make_histogram(SecondsAxis(Bins, FirstEdge, LastEdge)))
{
}

void addSample(LatencySeries &series, Duration duration)
{
    const double seconds = toSeconds(duration);
    series.seconds(seconds);
    series.sum += seconds;
    ++series.count;
}

void renderHistogram(std::ostream &out, std::string_view name, const std::string &labels, const LatencySeries &series)
{
    const auto &axis = series.seconds.axis();
    // Samples below the first edge belong to every bucket above them.
    double cumulative = series.seconds.at(-1);
    for (int i = 0; i < axis.size(); ++i) {
        cumulative += series.seconds.at(i);
        out << name << "_bucket{" << labels << ",le=\"" << axis.bin(i).upper() << "\"} " << cumulative << '\n';
    }
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << series.count << '\n';
    out << name << "_sum{" << labels << "} " << series.sum << '\n';
    out << name << "_count{" << labels << "} " << series.count << '\n';
}

std::string escapeLabel(std::string_view value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            escaped.push_back('\\');
        }
        escaped.push_back(c == '\n' ? ' ' : c);
    }
    return escaped;
}

} // namespace Godwit
