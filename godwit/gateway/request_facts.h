#pragma once

// What a caller's request and an endpoint's answer say to the gateway, decoded by the platform's adapter.

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/gateway/answer_ending.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

// A part of a prompt that several requests may share.
struct PromptPart
{
    std::string id;
    Tokens tokens = 0;
};

struct RequestFacts
{
    std::string attemptId; // Unique for each attempt of a caller; empty when it sent none.
    std::string host;
    std::string target; // Path and query as sent.
    std::string key; // The customer's secret; never sent on.
    std::optional<Duration> timeLeft; // How long the caller waits from the arrival on.
    bool declaresTokens = false;
    Tokens promptTokens = 0;
    Tokens maxOutputTokens = 0;
    std::vector<PromptPart> promptParts; // In order; the last one belongs to this request or its session alone.
    bool resumes = false; // The caller asks for the rest of a stream.
    std::uint64_t resumeAfter = 0; // The last event that the caller has.
};

struct AnswerFacts
{
    unsigned status = 0;
    std::string attemptId; // Which attempt it answers; empty when the endpoint named none.
    bool notRun = false; // The endpoint says that it did not and will not run the request.
    bool otherEndpoint = false; // Another endpoint has the address now.
    bool sealed = false; // Carries the endpoint's proof that the answer is its own.
    bool leaving = false; // The endpoint closes this connection after the answer.
    std::optional<Duration> keepAlive; // How long the endpoint keeps the connection while it is idle.
    std::optional<Duration> retryAfter;
    AnswerFraming framing = AnswerFraming::Length; // Known to whoever reads the body.
    bool carriesEvents = false; // A series of events, or the endpoint doesn't say what.
};

// What the gateway adds to a request on its way to an endpoint.
struct SendFacts
{
    std::string endpoint; // The only one that may run it.
    std::string customer; // Empty on open routes.
    Duration timeLeft{};
    int urgency = 5; // 0 is the most urgent, 9 the least.
    std::optional<std::uint64_t> resumeAfter; // Set when the gateway itself goes on with a stream.
};

} // namespace Godwit
