#pragma once

// Decides, from the head of a request, whether a router whose link is busy reads the body now or defers the request.
//
// Some callers keep using one host even though its link carries less than they send, and return to it after a 429. Most
// of their bytes are large bodies of requests that can wait. Such a request is answered before its body is read, so
// that the body does not use the link while more urgent requests need it.
//
// The state is local to a router: decaying byte rates of its link and the latest lag of a message between routers.
// Pure functions: time and random numbers are passed in. Example:
//   recordLag(state, lag, now);
//   const auto decision = decideAdmission(state, {route, bodyBytes, timeLeft, identity}, options, random, now);
//   if (decision.outcome == CallerAdmissionOutcome::Deferred) { refuse(decision.retryAfter); }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Godwit
{

struct CallerAdmissionOptions
{
    bool enabled = false;
    double linkBytesPerSecond = 0; // Capacity of the host's link, in each direction.
    // Share of the link's capacity above which the link counts as busy. The rest is left to bursts, to protocol headers
    // and to messages between routers, none of which are counted.
    double busyShare = 0.7;
    // Messages from other routers with this much lag indicate a queue in front of this host.
    Duration lagThreshold = std::chrono::milliseconds(60);
    // The queue may have drained or grown since an older measurement.
    Duration lagValidity = std::chrono::seconds(1);
    // Time constant of the byte rates. Requests that are under way when the link becomes busy still arrive for this
    // long, and a longer average would defer requests after the load has ended.
    Duration rateTimeConstant = std::chrono::milliseconds(500);
    // Requests with a body up to this size are always admitted: an answer 429 and a second attempt cost the link as
    // much.
    std::uint64_t exemptBodyBytes = 2048;
    Duration minRetryAfter = std::chrono::milliseconds(300);
    // Part of the link's capacity for requests of one route that are admitted while the link is busy. Together with
    // `busyShare` it has to leave room for urgent requests.
    double returnShare = 0.1;
    // Size of the allowance for returning requests, as the time in which it is filled.
    Duration returnBurst = std::chrono::seconds(1);
    // Bounds the memory for deferred requests that are expected to return, about 100 bytes each.
    std::size_t maxExpected = 4096;
    int maxLogLinesPerSecond = 20;
};

// Bytes since the process started.
struct LinkBytes
{
    std::uint64_t in = 0;
    std::uint64_t out = 0;
};

// Load of the link as a share of its capacity.
struct LinkShare
{
    double in = 0;
    double out = 0;
};

// Bytes of one route's bodies that may be admitted while the link is busy. Negative after a body that exceeds the
// level.
struct ReturnAllowance
{
    double level = 0;
    TimePoint updatedAt;
    bool linkWasBusy = false; // At the last update.
};

struct CallerAdmissionState
{
    LinkBytes bytes; // Incremented by the connections.
    LinkBytes countedBytes; // The value of `bytes` at `countedAt`.
    TimePoint countedAt;
    double inPerSecond = 0; // Decaying rates, in bytes.
    double outPerSecond = 0;
    Duration lag{}; // Latest measurement, taken at `lagMeasuredAt`.
    TimePoint lagMeasuredAt;
    std::map<RouteId, ReturnAllowance> allowances;
    // Deferred requests that may still return, by identity, with the time at which their callers give up.
    std::unordered_map<std::uint64_t, TimePoint> expected;
    std::deque<std::pair<std::uint64_t, TimePoint>> expectedOrder; // As in `expected`, oldest first.
    TimePoint logSecondStartedAt;
    int linesInLogSecond = 0;
    std::uint64_t linesOmitted = 0; // Since the last line that was written.
};

// A deferrable request (see isDeferrable() in route_table.h).
struct CallerAdmissionQuery
{
    RouteId route;
    std::optional<std::uint64_t> bodyBytes; // Unset if the length is unknown.
    Duration timeLeft{}; // How long the caller still waits.
    std::uint64_t identity = 0; // Equal for both attempts of a request that returns after having been deferred.
};

enum class CallerAdmissionOutcome {
    Admitted,
    Deferred, // To be answered with 429 and Retry-After.
    Refused, // Hopeless: the queue of the link takes longer than the caller waits.
};

struct CallerAdmissionDecision
{
    CallerAdmissionOutcome outcome = CallerAdmissionOutcome::Admitted;
    Duration retryAfter{}; // If deferred.
};

// Records the lag of a message from another router.
void recordLag(CallerAdmissionState &state, Duration lag, TimePoint now);

// Updates the rates from `state.bytes`.
void updateLinkRates(CallerAdmissionState &state, const CallerAdmissionOptions &options, TimePoint now);

LinkShare linkShare(const CallerAdmissionState &state, const CallerAdmissionOptions &options);

// Returns the latest lag, or zero if none was measured recently.
Duration recentLag(const CallerAdmissionState &state, const CallerAdmissionOptions &options, TimePoint now);

// Decides about a deferrable request, and records a deferred request as expected to return. `random` is in [0, 1).
CallerAdmissionDecision decideAdmission(CallerAdmissionState &state,
                                        const CallerAdmissionQuery &query,
                                        const CallerAdmissionOptions &options,
                                        double random,
                                        TimePoint now);

// Returns whether a log line about a deferred request may be written now; if so, with the number of lines that were
// omitted before it.
std::optional<std::uint64_t> takeLogLine(CallerAdmissionState &state,
                                         const CallerAdmissionOptions &options,
                                         TimePoint now);

} // namespace Godwit
