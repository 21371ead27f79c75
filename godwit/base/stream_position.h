#pragma once

// Where in a stream of events its bytes stop.

namespace Godwit
{

enum class StreamPosition {
    BeforeFirst, // No byte of an event has come.
    AtEdge, // After a whole event.
    InsideNumber, // Inside the line that numbers an event.
    InsideEvent, // Elsewhere inside an event.
};

} // namespace Godwit
