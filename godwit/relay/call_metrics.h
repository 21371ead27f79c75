#pragma once

// Per-router call metrics: outcome, latency and charged tokens, by customer and kind of route.
//
// The number of series is bounded: customers beyond the bound share the series "other", so that a fleet with many
// thousands of customers does not exhaust the memory of a small host.
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
    Answered, // An endpoint's complete response was forwarded.
    Refused, // This router itself generated the final response.
    Truncated, // Only part of a response could be forwarded.
    CallerDisconnected,
};

constexpr std::size_t CallEndCount = 4;

struct CallRecord
{
    CustomerId customer; // Empty on open routes.
    GatewayRouteKind kind = GatewayRouteKind::NonIdempotent;
    CallEnd end = CallEnd::Answered;
    Duration total{}; // From receipt of the complete request to the end of the call.
    std::optional<Duration> firstAnswer; // To the first event, or to the complete response if it is not a stream.
};

// The final charge of one call that had a token reservation.
struct ChargeRecord
{
    CustomerId customer;
    GatewayRouteKind kind = GatewayRouteKind::NonIdempotent;
    CallEnd end = CallEnd::Answered;
    bool anyEvent = false; // At least one event was forwarded.
    Tokens tokens = 0;
};

struct RelayCallSeries
{
    std::array<std::uint64_t, CallEndCount> ended{};
    std::array<Tokens, CallEndCount> charged{}; // Calls with at least one forwarded event.
    std::array<Tokens, CallEndCount> chargedWithoutEvent{};
    LatencySeries total;
    LatencySeries firstAnswer;
};

struct CallMetrics
{
    std::size_t maxSeries = 256; // About 1 KB each.
    std::map<std::pair<std::string, GatewayRouteKind>, RelayCallSeries> series;
};

void recordCall(CallMetrics &metrics, const CallRecord &record);

void recordCharge(CallMetrics &metrics, const ChargeRecord &record);

std::string_view callEndName(CallEnd end);

// Renders all series in the Prometheus text format.
std::string renderCalls(const CallMetrics &metrics);

} // namespace Godwit
