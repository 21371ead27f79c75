#include "godwit/gateway/repeat_allowance.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// The window is cut into this many slices; the others of the array are spare, so that a window never loses one early.
constexpr std::int64_t SlicesInWindow = 14;

std::int64_t sliceNumber(const RepeatRules &rules, TimePoint now)
{
    const auto length = std::max<std::int64_t>(1, rules.window.count() / SlicesInWindow);
    return now.time_since_epoch().count() / length;
}

RepeatAllowance::Slice &currentSlice(RepeatAllowance &allowance, std::int64_t number)
{
    auto &slice = allowance.slices[static_cast<std::size_t>(number) % RepeatAllowance::Slices];
    if (slice.number != number) {
        slice = RepeatAllowance::Slice{number, 0, 0};
    }
    return slice;
}

} // namespace

void countRequest(RepeatAllowance &allowance, const RepeatRules &rules, TimePoint now)
{
    ++currentSlice(allowance, sliceNumber(rules, now)).requests;
}

RepeatDraw takeRepeat(RepeatAllowance &allowance, const RepeatRules &rules, int liveRouters, TimePoint now)
{
    const std::int64_t number = sliceNumber(rules, now);
    RepeatDraw draw;
    for (const auto &slice : allowance.slices) {
        if (slice.number >= 0 && slice.number <= number && slice.number >= number - SlicesInWindow) {
            draw.requests += slice.requests;
            draw.repeats += slice.repeats;
        }
    }
    draw.allowedByRequests = rules.caution * rules.ratio * draw.requests;
    draw.allowedFixed = rules.caution * rules.slack / std::max(1, liveRouters);
    draw.granted = draw.repeats + 1 <= draw.allowedByRequests + draw.allowedFixed;
    if (draw.granted) {
        ++currentSlice(allowance, number).repeats;
    }
    return draw;
}

} // namespace Godwit
