#include "godwit/relay/decision_log.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <charconv>

namespace Godwit
{
namespace
{

void appendQuoted(std::string &out, std::string_view text)
{
    constexpr char digits[] = "0123456789abcdef";
    out.push_back('"');
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out.push_back('\\');
            out.push_back(c);
        } else if (byte < 0x20 || byte >= 0x7f) {
            out.append("\\u00");
            out.push_back(digits[byte >> 4]);
            out.push_back(digits[byte & 15]);
        } else {
            out.push_back(c);
        }
    }
    out.push_back('"');
}

template<typename Number>
void appendNumber(std::string &out, Number number)
{
    std::array<char, 32> text{};
    const auto result = std::to_chars(text.data(), text.data() + text.size(), number);
    out.append(text.data(), result.ptr);
}

struct ValueWriter
{
    std::string &out;

    void operator()(std::string_view text) const
    {
        appendQuoted(out, text);
    }
    void operator()(std::int64_t number) const
    {
        appendNumber(out, number);
    }
    void operator()(double number) const
    {
        appendNumber(out, number);
    }
    void operator()(bool value) const
    {
        out.append(value ? "true" : "false");
    }
};

void appendField(std::string &out, const DecisionField &field)
{
    out.push_back(',');
    appendQuoted(out, field.key);
    out.push_back(':');
    std::visit(ValueWriter{out}, field.value);
}

std::int64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// The descriptor may be shared with other processes, so it isn't set to non-blocking; it is polled before each write
// instead. A pipe that polls as writable accepts at least this much without blocking.
constexpr std::size_t SafeWriteBytes = 4096;

bool isWritable(int descriptor)
{
    pollfd entry{descriptor, POLLOUT, 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace

DecisionLog::DecisionLog(boost::asio::io_context &io, DecisionLogOptions options)
    : m_options(std::move(options))
    , m_timer(io)
{
}

void DecisionLog::write(std::string_view event, std::initializer_list<DecisionField> fields)
{
    if (m_pending.size() >= m_options.maxPendingBytes) {
        ++m_droppedUnreported;
        ++m_droppedTotal;
        return;
    }
    m_pending.append("{\"t\":");
    appendNumber(m_pending, wallMilliseconds());
    appendField(m_pending, {"host", std::string_view(m_options.host)});
    appendField(m_pending, {"event", event});
    for (const DecisionField &field : fields) {
        appendField(m_pending, field);
    }
    if (m_droppedUnreported > 0) {
        appendField(m_pending, {"lines_dropped_before", static_cast<std::int64_t>(m_droppedUnreported)});
        m_droppedUnreported = 0;
    }
    m_pending.append("}\n");
    scheduleFlush();
}

void DecisionLog::flush()
{
    std::size_t done = 0;
    while (done < m_pending.size() && isWritable(m_options.descriptor)) {
        const std::size_t length = std::min(SafeWriteBytes, m_pending.size() - done);
        const ssize_t written = ::write(m_options.descriptor, m_pending.data() + done, length);
        if (written <= 0) {
            break;
        }
        done += static_cast<std::size_t>(written);
    }
    m_pending.erase(0, done);
}

void DecisionLog::scheduleFlush()
{
    if (m_flushScheduled) {
        return;
    }
    m_flushScheduled = true;
    m_timer.expires_after(m_options.flushInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_flushScheduled = false;
        flush();
        if (!m_pending.empty()) {
            scheduleFlush();
        }
    });
}

} // namespace Godwit
