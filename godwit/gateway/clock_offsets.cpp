#include "godwit/gateway/clock_offsets.h"

#include <algorithm>
#include <iterator>

namespace Godwit
{
namespace
{

bool isValid(const ClockOffset &offset, const ClockOffsetOptions &options, TimePoint now)
{
    return now < offset.measuredAt + options.validity;
}

} // namespace

void recordClockExchange(ClockOffsets &offsets,
                         const ClockOffsetOptions &options,
                         const std::string &peer,
                         TimePoint askedAt,
                         TimePoint answeredAt,
                         TimePoint now)
{
    for (auto it = offsets.peers.begin(); it != offsets.peers.end();) {
        it = isValid(it->second, options, now) ? std::next(it) : offsets.peers.erase(it);
    }
    const ClockOffset measured{answeredAt - askedAt, now - askedAt, now};
    const auto [known, isNew] = offsets.peers.try_emplace(peer, measured);
    if (!isNew && measured.maxAhead <= known->second.maxAhead) {
        known->second = measured;
    }
}

bool startClockExchange(ClockOffsets &offsets,
                        const ClockOffsetOptions &options,
                        const std::string &peer,
                        TimePoint now)
{
    const auto known = offsets.peers.find(peer);
    if (known != offsets.peers.end() && isValid(known->second, options, now)
        && known->second.roundTrip <= options.maxPreciseRoundTrip) {
        return false;
    }
    for (auto it = offsets.askedAt.begin(); it != offsets.askedAt.end();) {
        it = now < it->second + options.retryInterval ? std::next(it) : offsets.askedAt.erase(it);
    }
    return offsets.askedAt.try_emplace(peer, now).second;
}

std::optional<TimePoint> toLocalTime(const ClockOffsets &offsets,
                                     const ClockOffsetOptions &options,
                                     const std::string &peer,
                                     TimePoint peerTime,
                                     TimePoint now)
{
    const auto known = offsets.peers.find(peer);
    if (known == offsets.peers.end() || !isValid(known->second, options, now)) {
        return std::nullopt;
    }
    return std::min(now, peerTime - known->second.maxAhead);
}

} // namespace Godwit
