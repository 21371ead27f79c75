#pragma once

// Structured lines on standard output: one for each decision that touches a request or changes what this process
// believes.
//
// A line is one JSON object. Lines gather in memory and go out in one non-blocking write a few times a second, so
// that a reader that does not read never stops the router; what does not fit the bound is dropped and counted, and
// the next line that fits says how many were. Not thread-safe.
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
    // A burst of a few thousand lines; what a small host can spare.
    std::size_t maxPendingBytes = 512UL * 1024;
    Duration flushInterval = std::chrono::milliseconds(250);
};

class DecisionLog
{
public:
    DecisionLog(boost::asio::io_context &io, DecisionLogOptions options);

    void write(std::string_view event, std::initializer_list<DecisionField> fields);

    // Writes out what is pending, as far as the reader takes it.
    void flush();

    std::uint64_t dropped() const
    {
        return m_droppedTotal;
    }

private:
    void scheduleFlush();

    DecisionLogOptions m_options;
    boost::asio::steady_timer m_timer;
    std::string m_pending;
    std::uint64_t m_droppedUnreported = 0; // Since the last line that says so.
    std::uint64_t m_droppedTotal = 0;
    bool m_flushScheduled = false;
};

} // namespace Godwit
