#include "godwit/gateway/held_bytes.h"

#include "godwit/base/enum_names.h"

#include <algorithm>
#include <numeric>

namespace Godwit
{
namespace
{

// The rest is for connections, the configuration, buffered answers and the process itself.
constexpr double HeldFractionOfMemory = 0.25;
constexpr double BytesPerMegabyte = 1024.0 * 1024.0;
// Callers are disconnected at the limit if at least this fraction of it is queued for callers.
constexpr double MinCallerFraction = 0.5;
// Checks per timeout, and the longest interval between two of them. An acknowledgement is dated to the check that sees
// it, so that a reader is disconnected up to one interval late.
constexpr int ChecksPerTimeout = 8;
constexpr Duration MaxCheckInterval = std::chrono::milliseconds(500);

constexpr EnumName<HeldSide> HeldSideNames[] = {
    {HeldSide::Caller, "caller"},
    {HeldSide::Body, "body"},
    {HeldSide::Endpoint, "endpoint"},
    {HeldSide::Answer, "answer"},
};

constexpr EnumName<ReaderCutCause> ReaderCutCauseNames[] = {
    {ReaderCutCause::Stalled, "stalled"},
    {ReaderCutCause::Memory, "memory"},
};

bool isUnderPressure(const HeldBytes &held, const HeldBytesOptions &options)
{
    const double pressureFrom = options.pressureFraction * static_cast<double>(options.limitBytes);
    return options.limitBytes > 0 && static_cast<double>(totalHeldBytes(held)) > pressureFrom;
}

// Returns the limit for a request of this size beside the bytes held for others. A large request is refused below the
// limit only if there are others.
std::uint64_t limitFor(std::uint64_t requestBytes, std::uint64_t othersBytes, const HeldBytesOptions &options)
{
    if (requestBytes <= options.maxSmallRequestBytes || othersBytes == 0) {
        return options.limitBytes;
    }
    const double limit = static_cast<double>(options.limitBytes);
    return static_cast<std::uint64_t>(limit * (1 - options.smallRequestFraction));
}

bool isAtLimit(const HeldBytes &held, const HeldBytesOptions &options)
{
    return options.limitBytes > 0 && totalHeldBytes(held) >= options.limitBytes;
}

} // namespace

std::string_view heldSideName(HeldSide side)
{
    return enumName(HeldSideNames, side);
}

std::string_view readerCutCauseName(ReaderCutCause cause)
{
    return enumName(ReaderCutCauseNames, cause);
}

std::uint64_t heldBytesLimit(double memoryMb)
{
    return static_cast<std::uint64_t>(memoryMb * BytesPerMegabyte * HeldFractionOfMemory);
}

std::uint64_t heldBytes(const HeldBytes &held, HeldSide side)
{
    return held.bySide[static_cast<std::size_t>(side)];
}

std::uint64_t totalHeldBytes(const HeldBytes &held)
{
    return std::accumulate(held.bySide.begin(), held.bySide.end(), std::uint64_t{0});
}

void setHeld(HeldBytes &held, HeldSide side, std::uint64_t before, std::uint64_t after)
{
    std::uint64_t &count = held.bySide[static_cast<std::size_t>(side)];
    count = count - before + after;
}

bool shouldPauseReading(const HeldBytes &held, const HeldBytesOptions &options, std::size_t queuedBytes)
{
    return queuedBytes
        > (isUnderPressure(held, options) ? options.maxCallerQueueUnderPressureBytes : options.maxCallerQueueBytes);
}

std::size_t answerBufferLimit(const HeldBytes &held, const HeldBytesOptions &options)
{
    return isUnderPressure(held, options) ? options.maxBufferedAnswerUnderPressureBytes
                                          : options.maxBufferedAnswerBytes;
}

std::size_t openEventLimit(const HeldBytes &held, const HeldBytesOptions &options)
{
    return isAtLimit(held, options) ? options.maxBufferedAnswerUnderPressureBytes : options.maxBufferedAnswerBytes;
}

bool mayHoldBody(const HeldBytes &held, const HeldBytesOptions &options, std::optional<std::uint64_t> bodyBytes)
{
    if (options.limitBytes == 0 || bodyBytes == 0) {
        return true;
    }
    const std::uint64_t others = totalHeldBytes(held);
    const std::uint64_t bytes = bodyBytes.value_or(1);
    return others + bytes <= limitFor(bytes, others, options);
}

bool mayKeepReceiving(const HeldBytes &held, const HeldBytesOptions &options, std::uint64_t requestBytes)
{
    if (options.limitBytes == 0 || requestBytes <= options.maxSmallRequestBytes) {
        return true;
    }
    const std::uint64_t total = totalHeldBytes(held);
    return total <= limitFor(requestBytes, total - std::min(total, requestBytes), options);
}

bool mustDisconnectCaller(const HeldBytes &held, const HeldBytesOptions &options)
{
    const double minQueued = MinCallerFraction * static_cast<double>(options.limitBytes);
    return isAtLimit(held, options) && static_cast<double>(heldBytes(held, HeldSide::Caller)) >= minQueued;
}

void recordQueued(ReaderProgress &reader, std::size_t bytes, TimePoint now)
{
    if (reader.queuedBytes == 0) {
        reader.lastProgressAt = now;
    }
    reader.queuedBytes += bytes;
}

void recordTaken(ReaderProgress &reader, std::size_t bytes, TimePoint now)
{
    reader.queuedBytes -= std::min(reader.queuedBytes, bytes);
    reader.taken += bytes;
    if (bytes > 0) {
        reader.lastProgressAt = now;
    }
}

void recordAcknowledged(ReaderProgress &reader, std::uint64_t unacknowledged, TimePoint now)
{
    const std::uint64_t acknowledged = reader.taken - std::min(reader.taken, unacknowledged);
    if (acknowledged > reader.acknowledged) {
        reader.acknowledged = acknowledged;
        reader.lastProgressAt = now;
    }
}

bool isStalled(const ReaderProgress &reader, Duration timeout, TimePoint now)
{
    return reader.queuedBytes > 0 && now - reader.lastProgressAt >= timeout;
}

std::optional<std::size_t> callerToDisconnect(const std::vector<ReaderProgress> &callers)
{
    std::optional<std::size_t> longest;
    for (std::size_t i = 0; i < callers.size(); ++i) {
        const bool first = !longest || callers[i].lastProgressAt < callers[*longest].lastProgressAt;
        if (callers[i].queuedBytes > 0 && first) {
            longest = i;
        }
    }
    return longest;
}

Duration nextProgressCheck(const ReaderProgress &reader, Duration timeout, TimePoint now)
{
    const Duration interval = std::min(timeout / ChecksPerTimeout, MaxCheckInterval);
    const Duration left = reader.lastProgressAt + timeout - now;
    return left > Duration::zero() ? std::min(left, interval) : interval;
}

} // namespace Godwit
