#pragma once

// What a caller's request and an endpoint's answer say to the gateway, decoded by the platform's adapter.

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/gateway/response_ending.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

// A part of a prompt that several requests may share.
struct PromptSegment
{
    std::string id;
    Tokens tokens = 0;
};

struct RequestMetadata
{
    std::string attemptId; // Unique for each attempt of a caller; empty when it sent none.
    std::string host;
    std::string target; // Path and query as sent.
    std::string key; // The customer's secret; never sent on.
    std::optional<Duration> timeLeft; // How long the caller waits from the arrival on.
    bool declaresTokenCounts = false;
    Tokens promptTokens = 0;
    Tokens maxOutputTokens = 0;
    std::vector<PromptSegment> promptSegments; // In order; the last one belongs to this request or its session alone.
    bool resumes = false; // The caller asks for the rest of a stream.
    std::uint64_t resumeAfter = 0; // The last event that the caller has.
};

struct ResponseMetadata
{
    unsigned status = 0;
    std::string attemptId; // Which attempt it answers; empty when the endpoint named none.
    bool notExecuted = false; // The endpoint says that it did not and will not run the request.
    bool wrongEndpoint = false; // Another endpoint has the address now.
    bool sealed = false; // Carries the endpoint's proof that the answer is its own.
    bool closesConnection = false; // The endpoint closes this connection after the answer.
    std::optional<Duration> keepAlive; // How long the endpoint keeps the connection while it is idle.
    std::optional<Duration> retryAfter;
    ResponseFraming framing = ResponseFraming::Length; // Known to whoever reads the body.
    bool isEventStream = false; // A series of events, or the endpoint doesn't say what.
};

// What the gateway adds to a request on its way to an endpoint.
struct ForwardMetadata
{
    std::string endpoint; // The only one that may run it.
    std::string customer; // Empty on open routes.
    Duration timeLeft{};
    int priority = 5; // 0 is the most urgent, 9 the least.
    std::optional<std::uint64_t> resumeAfter; // Set when the gateway itself goes on with a stream.
};

} // namespace Godwit
