#pragma once

// Counts the bytes that a router holds in buffers, and decides whom to slow or disconnect because of them.
//
// Held are the bytes queued for callers, the requests that are being received, the bodies of requests in flight, the
// request bytes queued for endpoints, and what has been received of responses and not forwarded. A quarter of the
// process's memory may be held. Above half of that, reading from endpoints pauses for callers with more than a small
// queue. At the limit, new bodies are refused, requests of unknown length are refused while they arrive, and the caller
// that has read nothing for the longest time is disconnected. A reader that takes no byte for the stall
// timeout is disconnected regardless of the limit.
//
// Pure functions: time is passed in. Example:
//   setHeld(held, HeldSide::Caller, before, after);
//   if (shouldPauseReading(held, options, queued)) { exchange.pause(); }
//   if (mustDisconnectCaller(held, options)) { disconnect(*callerToDisconnect(callers)); }

#include "godwit/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

namespace Godwit
{

// For what bytes are held.
enum class HeldSide {
    Caller, // Queued for callers.
    Body, // Requests that are being received, and bodies of requests in flight.
    Endpoint, // Queued for endpoints.
    Answer, // Received from endpoints and not forwarded yet.
};

constexpr std::array<HeldSide, 4> HeldSides = {HeldSide::Caller, HeldSide::Body, HeldSide::Endpoint, HeldSide::Answer};

std::string_view heldSideName(HeldSide side);

// Why a reader was disconnected.
enum class ReaderCutCause {
    Stalled, // It took no byte for the stall timeout.
    Memory, // The limit was reached.
};

std::string_view readerCutCauseName(ReaderCutCause cause);

struct ReaderCut
{
    HeldSide side = HeldSide::Caller;
    ReaderCutCause cause = ReaderCutCause::Stalled;

    bool operator<(const ReaderCut &other) const
    {
        return std::tie(side, cause) < std::tie(other.side, other.cause);
    }
};

struct HeldBytesOptions
{
    std::uint64_t limitBytes = 0; // 0: no limit.
    // Above this fraction of the limit, the small queue applies.
    double pressureFraction = 0.5;
    // Reading from the endpoint pauses while more than this is queued for a caller.
    std::size_t maxCallerQueueBytes = 256UL * 1024;
    std::size_t maxCallerQueueUnderPressureBytes = 16UL * 1024;
    // Responses up to this size are buffered before any part is forwarded, so that a truncated response can be replaced
    // by a retry. Also the longest event of a stream, and the most that is read of a response that can't be forwarded.
    std::size_t maxBufferedAnswerBytes = 256UL * 1024;
    std::size_t maxBufferedAnswerUnderPressureBytes = 16UL * 1024;
    Duration stalledReaderTimeout = std::chrono::seconds(4);
    // This fraction of the limit is kept for requests up to this size.
    double smallRequestFraction = 1.0 / 16;
    std::uint64_t maxSmallRequestBytes = 16UL * 1024;
};

// Returns the limit for a process with so much memory, in bytes; 0: no limit.
std::uint64_t heldBytesLimit(double memoryMb);

struct HeldBytes
{
    std::array<std::uint64_t, HeldSides.size()> bySide{};
};

std::uint64_t heldBytes(const HeldBytes &held, HeldSide side);
std::uint64_t totalHeldBytes(const HeldBytes &held);

// Replaces a count of `before` bytes by one of `after` bytes.
void setHeld(HeldBytes &held, HeldSide side, std::uint64_t before, std::uint64_t after);

// Whether reading from the endpoint should pause for a caller with so many bytes queued.
bool shouldPauseReading(const HeldBytes &held, const HeldBytesOptions &options, std::size_t queuedBytes);

// Returns how much of a response may be buffered before it is forwarded.
std::size_t answerBufferLimit(const HeldBytes &held, const HeldBytesOptions &options);

// Returns how long an event may be of which only a part has arrived.
std::size_t openEventLimit(const HeldBytes &held, const HeldBytesOptions &options);

// Whether the body of a new request may be held, by its declared length; nullopt: the length is unknown.
bool mayHoldBody(const HeldBytes &held, const HeldBytesOptions &options, std::optional<std::uint64_t> bodyBytes);

// Whether a request that is being received may go on to arrive, by the bytes held for it, which `held` includes. Small
// ones always may: they are bounded by the number of connections.
bool mayKeepReceiving(const HeldBytes &held, const HeldBytesOptions &options, std::uint64_t requestBytes);

// Whether the limit is reached because of callers. While most of the bytes are held for other purposes, disconnecting
// callers would harm those that read and free little.
bool mustDisconnectCaller(const HeldBytes &held, const HeldBytesOptions &options);

// Progress of a reader, as seen by the sender.
struct ReaderProgress
{
    TimePoint lastProgressAt; // The latest progress, or when bytes were first queued after none had been.
    std::uint64_t taken = 0; // Bytes that the kernel has accepted for the reader.
    std::uint64_t acknowledged = 0; // How many of these the reader's host has acknowledged.
    std::size_t queuedBytes = 0; // Bytes that wait for the kernel to accept them.
};

void recordQueued(ReaderProgress &reader, std::size_t bytes, TimePoint now);

// Notes that the kernel accepted so many of the queued bytes.
void recordTaken(ReaderProgress &reader, std::size_t bytes, TimePoint now);

// Notes how many of the accepted bytes are not acknowledged yet. Acknowledgements count as progress because the kernel
// accepts further bytes only once its own queue is half empty, which can take seconds with a slow reader.
void recordAcknowledged(ReaderProgress &reader, std::uint64_t unacknowledged, TimePoint now);

// Whether the reader has taken no byte for the timeout while bytes are queued.
bool isStalled(const ReaderProgress &reader, Duration timeout, TimePoint now);

// Returns the index of the caller with queued bytes that has read nothing for the longest time, if there is one.
std::optional<std::size_t> callerToDisconnect(const std::vector<ReaderProgress> &callers);

// Returns the time until the reader's progress should be checked again: when the timeout would expire, or earlier,
// since acknowledgements are polled.
Duration nextProgressCheck(const ReaderProgress &reader, Duration timeout, TimePoint now);

} // namespace Godwit
