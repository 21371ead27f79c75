#pragma once

// What a shard's record says about one claim: a pure look-up, without the traffic of the agent.
//
// Example:
//   const ClaimAnswer answer = answerFromRecord(view, waiting);
//   if (answer.kind == ClaimAnswerKind::Free) { ...add the claim to the next write... }

#include "godwit/base/error.h"
#include "godwit/claims/claim_agent.h"

#include <optional>
#include <string>

namespace Godwit::internal
{

enum class ClaimAnswerKind {
    Free, // Nobody holds the key: it may be claimed.
    Granted, // The record holds this very claim.
    Replay,
    Refused,
    LookAgain, // Only a newer record can tell.
};

struct ClaimAnswer
{
    ClaimAnswerKind kind = ClaimAnswerKind::Free;
    std::string replay;
    Error error;
};

// A record and how it is to be read.
struct RecordView
{
    const ClaimAgent &agent;
    const ClaimRecord &record;
    // When the operation that showed the record was sent.
    TimePoint seenAt;
    TimePoint now;
};

// Answers a claim from the record, in which this router's own changes are applied already.
ClaimAnswer answerFromRecord(const RecordView &view, const WaitingClaim &waiting);

// Checks what the request itself shows: the form and the age of its id. Fills `createdAt`.
std::optional<Error> checkRequest(const ClaimAgent &agent, const ClaimRequest &request, WallTime &createdAt);

// A refusal of a claim that no record has decided. It says NotRun only when that is known of the request.
Error undecidedError(const ClaimAgent &agent, const ClaimRequest &request, ErrorKind kind, std::string message);

// The wall clock at `now`, from the last time that the caller told it.
WallTime wallAt(const ClaimAgent &agent, TimePoint now);

} // namespace Godwit::internal
