#pragma once

// The stages of one call as a state machine: which step may follow which.
//
// A step that the stage does not know is refused; the kernel then drops the event that brought it. Late and
// repeated events (an attempt's end after the caller left, a second reply) so can't bill or answer a call twice.
//
//   Reserving -> Queued -> Claiming -> Running -> Settling -> (ended)
//            \-> Forwarding            \-> Queued (another attempt)
//
// Example:
//   CallLifecycle lifecycle = makeCallLifecycle();
//   if (advance(lifecycle, CallStep::Reserved)) { ... }

#include <cstdint>
#include <string_view>

namespace Godwit
{

enum class CallStage : std::uint8_t {
    Reserving, // Waits for its worst case to be set aside.
    Queued, // Waits for an endpoint.
    Claiming, // Not repeatable: waits for the right to run once.
    Running, // At an endpoint.
    Settling, // Its answer is whole; waits for its bill.
    Forwarding, // Relayed to another router.
};

enum class CallStep : std::uint8_t {
    Reserved,
    Forwarded,
    ForwardFailed,
    Dispatched, // Repeatable, or its claim still holds.
    ClaimAsked,
    ClaimGranted,
    ClaimReplayed, // It ran before and its answer is kept.
    AttemptFailed, // Another attempt may follow.
    Answered,
};

struct CallLifecycle
{
    CallStage stage = CallStage::Reserving;
};

// Moves on by `step`; returns false and changes nothing when the stage does not allow it.
bool advance(CallLifecycle &lifecycle, CallStep step);

std::string_view callStageName(CallStage stage);

} // namespace Godwit
