#include "godwit/gateway/connection_limits.h"

#include "godwit/base/enum_names.h"

#include <algorithm>
#include <tuple>

namespace Godwit
{
namespace
{

// A new connection must not be closed before its first request can arrive.
constexpr Duration MinQuietTime = std::chrono::seconds(1);

// Fractions of the descriptors, as divisors.
constexpr std::uint64_t CallersDivisor = 2;
constexpr std::uint64_t EntryDivisor = 8;
constexpr std::uint64_t MetricsDivisor = 64;
constexpr std::uint64_t LentDivisor = 8;
constexpr std::uint64_t UnprovenPeersDivisor = 16;
// Enough for the platform's checks, and for a port to be of use.
constexpr std::uint64_t MinConnections = 8;
// Bounds for hosts with very many descriptors: memory would run out first.
constexpr std::uint64_t MaxCallers = 65'536;
constexpr std::uint64_t MaxOthers = 512;
constexpr std::uint64_t MaxUnprovenPeers = 64;

constexpr EnumName<ConnectionPhase> ConnectionPhaseNames[] = {
    {ConnectionPhase::Closing, "closing"},
    {ConnectionPhase::Idle, "idle"},
    {ConnectionPhase::Head, "head"},
    {ConnectionPhase::Body, "body"},
    {ConnectionPhase::Busy, "busy"},
};

std::size_t part(std::uint64_t descriptors, std::uint64_t divisor, std::uint64_t most)
{
    return static_cast<std::size_t>(std::clamp(descriptors / divisor, MinConnections, most));
}

// Lower is closed earlier.
std::tuple<bool, ConnectionPhase, TimePoint> closingOrder(const ConnectionActivity &connection, TimePoint now)
{
    const bool isRecent = connection.phase != ConnectionPhase::Closing && now - connection.since < MinQuietTime;
    // Among recent ones the phase says little: a proper caller may just have connected.
    return {isRecent, isRecent ? ConnectionPhase::Idle : connection.phase, connection.since};
}

} // namespace

std::string_view connectionPhaseName(ConnectionPhase phase)
{
    return enumName(ConnectionPhaseNames, phase);
}

ConnectionLimits connectionLimits(std::uint64_t descriptors)
{
    ConnectionLimits limits;
    limits.callers = part(descriptors, CallersDivisor, MaxCallers);
    limits.entry = part(descriptors, EntryDivisor, MaxOthers);
    limits.metrics = part(descriptors, MetricsDivisor, MaxOthers);
    limits.lent = part(descriptors, LentDivisor, MaxOthers);
    limits.unprovenPeers = part(descriptors, UnprovenPeersDivisor, MaxUnprovenPeers);
    return limits;
}

std::optional<std::size_t> connectionToClose(const std::vector<ConnectionActivity> &connections, TimePoint now)
{
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        if (connections[i].phase == ConnectionPhase::Busy) {
            continue;
        }
        if (!chosen || closingOrder(connections[i], now) < closingOrder(connections[*chosen], now)) {
            chosen = i;
        }
    }
    return chosen;
}

} // namespace Godwit
