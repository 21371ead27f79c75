#pragma once

// Metadata of requests and responses that the gateway uses, decoded from the headers by the platform's adapter.

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/gateway/response_ending.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

// A segment of a prompt that several requests may share as part of a common prefix.
struct PromptSegment
{
    std::string id;
    Tokens tokens = 0;
};

struct RequestMetadata
{
    std::string attemptId; // Unique for each attempt of a caller; empty if the caller sent none.
    std::string host;
    std::string target; // Path and query as sent.
    std::string key; // The customer's secret; never forwarded.
    std::optional<Duration> timeLeft; // How long the caller waits, counted from the arrival of the request.
    bool declaresTokenCounts = false; // Whether `promptTokens` and `maxOutputTokens` are set.
    Tokens promptTokens = 0;
    Tokens maxOutputTokens = 0;
    std::vector<PromptSegment> promptSegments; // In order; the last one is specific to this request or its session.
    bool resumes = false; // The caller requests the rest of a stream.
    std::uint64_t resumeAfter = 0; // Id of the last event that the caller has received.
    bool resumesAfterEvent = false; // The caller has received an event.
    std::string resumedAttempt; // The attempt that brought the stream's first event; empty if the caller names none.
};

struct ResponseMetadata
{
    unsigned status = 0;
    std::string attemptId; // The attempt to which it responds; empty if the endpoint sent none.
    bool notExecuted = false; // The endpoint states that it has not executed the request and will not.
    bool wrongEndpoint = false; // The address now belongs to another endpoint.
    bool sealed = false; // Carries the endpoint's seal, which proves that the endpoint itself produced the response.
    bool closesConnection = false; // The endpoint closes the connection after the response.
    std::optional<Duration> keepAlive; // Idle timeout of the connection at the endpoint.
    std::optional<Duration> retryAfter;
    // Set if the endpoint is brittle: it crashes when it rejects more requests per second for lack of room.
    std::optional<int> maxRejections;
    bool malformedMaxRejections = false; // The endpoint sent no usable number; `maxRejections` is then 0.
    ResponseFraming framing = ResponseFraming::Length; // Set by the reader of the body.
    bool isEventStream = false; // The content type is an event stream or missing.
};

// Metadata that the gateway adds to a request when forwarding it to an endpoint.
struct ForwardMetadata
{
    std::string endpoint; // The only endpoint that may execute it.
    std::string customer; // Empty on open routes.
    Duration timeLeft{};
    int priority = 5; // 0 is the most urgent, 9 the least.
    std::optional<std::uint64_t> resumeAfter; // Set if the gateway itself resumes a stream after this event.
};

} // namespace Godwit
