#pragma once

// How the calls of one router ended, how long they took and what they were charged, by customer and kind of route.
//
// The number of series is bounded: customers beyond the bound share the series "other", so that a fleet with many
// thousand customers does not fill a small host.
//
// Example:
//   CallMetrics metrics;
//   recordCall(metrics, {customer, GatewayRouteKind::Streaming, CallEnd::Answered, total, firstAnswer});
//   std::string text = renderCalls(metrics);
//
// Not thread-safe.

#include "godwit/base/ids.h"
#include "godwit/gateway/site_document.h"
#include "godwit/metrics/latency_series.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Godwit
{

enum class CallEnd {
    Answered, // An endpoint's whole answer was passed on.
    Refused, // This router's own final answer.
    Truncated, // A part of an answer was passed on and no more could be.
    CallerDisconnected,
};

constexpr std::size_t CallEndCount = 4;

struct CallRecord
{
    CustomerId customer; // Empty on open routes.
    GatewayRouteKind kind = GatewayRouteKind::NonIdempotent;
    CallEnd end = CallEnd::Answered;
    Duration total{}; // From the whole request to the end.
    std::optional<Duration> firstAnswer; // To the first event, or to an answer in one piece.
};

// What one call that held a reservation was charged in the end.
struct ChargeRecord
{
    CustomerId customer;
    GatewayRouteKind kind = GatewayRouteKind::NonIdempotent;
    CallEnd end = CallEnd::Answered;
    bool anyEvent = false; // At least one event was passed on.
    Tokens tokens = 0;
};

struct RelayCallSeries
{
    std::array<std::uint64_t, CallEndCount> ended{};
    std::array<Tokens, CallEndCount> charged{}; // Of calls of which at least one event was passed on.
    std::array<Tokens, CallEndCount> chargedWithoutEvent{};
    LatencySeries total;
    LatencySeries firstAnswer;
};

struct CallMetrics
{
    std::size_t maxSeries = 256; // Some 1 KB each.
    std::map<std::pair<std::string, GatewayRouteKind>, RelayCallSeries> series;
};

void recordCall(CallMetrics &metrics, const CallRecord &record);

void recordCharge(CallMetrics &metrics, const ChargeRecord &record);

std::string_view callEndName(CallEnd end);

std::string renderCalls(const CallMetrics &metrics);

} // namespace Godwit
