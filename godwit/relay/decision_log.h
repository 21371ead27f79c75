#pragma once

// Structured log on standard output: one line for each decision about a request or change of this router's state.
//
// A line is one JSON object. Lines are buffered in memory and written without blocking a few times a second, so that
// a stalled reader never blocks the router. Lines that exceed the buffer's bound are dropped and counted; the next
// line written carries the count. Not thread-safe.
//
// Example:
//   DecisionLog log(io, {});
//   log.write("refused", {{"id", attempt}, {"cause", "budget"}, {"lacking", 120}});
//   {"t":1764705600123,"event":"refused","id":"9c41","cause":"budget","lacking":120}

#include "godwit/base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace Godwit
{

struct DecisionField
{
    std::string_view key;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

struct DecisionLogOptions
{
    int descriptor = 1;
    std::string host;
    // Holds a burst of a few thousand lines and fits the memory of a small host.
    std::size_t maxPendingBytes = 512UL * 1024;
    Duration flushInterval = std::chrono::milliseconds(250);
};

class DecisionLog
{
public:
    DecisionLog(boost::asio::io_context &io, DecisionLogOptions options);

    void write(std::string_view event, std::initializer_list<DecisionField> fields);

    // Writes buffered lines until the descriptor would block.
    void flush();

    // Lines dropped since the start.
    std::uint64_t dropped() const
    {
        return m_droppedTotal;
    }

private:
    void scheduleFlush();

    DecisionLogOptions m_options;
    boost::asio::steady_timer m_timer;
    std::string m_pending;
    std::uint64_t m_droppedUnreported = 0; // Since the last line that carried a count.
    std::uint64_t m_droppedTotal = 0;
    bool m_flushScheduled = false;
};

} // namespace Godwit
