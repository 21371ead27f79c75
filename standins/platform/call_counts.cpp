#include "standins/platform/call_counts.h"

#include <algorithm>

namespace Godwit::Standins
{

namespace
{

void countSecond(SecondPeak &peak, TimePoint now)
{
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != peak.second) {
        peak.second = second;
        peak.current = 0;
    }
    ++peak.current;
    peak.peak = std::max(peak.peak, peak.current);
}

} // namespace

bool isWrite(CallKind kind)
{
    switch (kind) {
    case CallKind::Put:
    case CallKind::Delete:
    case CallKind::LeaseGrant:
    case CallKind::LeaseRenew:
    case CallKind::LeaseEnd:
        return true;
    case CallKind::Get:
    case CallKind::List:
    case CallKind::Watch:
    case CallKind::Hosts:
        return false;
    }
    return false;
}

void countCall(CallCounts &counts, CallKind kind, const std::string &host, std::size_t bodyBytes, TimePoint now)
{
    ++counts.calls[static_cast<std::size_t>(kind)];
    ++counts.callsOfHost[host];
    ++(isWrite(kind) ? counts.writes : counts.reads);
    countSecond(isWrite(kind) ? counts.writePeak : counts.readPeak, now);
    counts.bytesIn += bodyBytes;
}

nlohmann::json toJson(const CallCounts &counts)
{
    nlohmann::json calls;
    for (const auto &row : CallKindNames) {
        calls[std::string(row.name)] = counts.calls[static_cast<std::size_t>(row.value)];
    }
    return {
        {"calls", calls},
        {"calls_by_host", counts.callsOfHost},
        {"reads", counts.reads},
        {"writes", counts.writes},
        {"peak_reads_per_second", counts.readPeak.peak},
        {"peak_writes_per_second", counts.writePeak.peak},
        {"bytes_in", counts.bytesIn},
        {"bytes_out", counts.bytesOut},
        {"answers_lost", counts.answersLost},
        {"refused", counts.refused},
    };
}

} // namespace Godwit::Standins
