#pragma once

// Typed errors, each with the remedy that its reader needs.
//
// Functions that can fail return std::optional and fill a LastReason. Nothing in the decisions throws.
//
// Example:
//   LastReason reason;
//   if (const auto record = parseRecord(text, reason); !record) {
//       reply(toJson(*reason));
//   }

#include "godwit/base/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

enum class ErrorKind {
    MalformedRequest,
    BodyTooLarge,
    HeaderTooLarge,
    RequestTimeout,
    Unauthenticated,
    Forbidden,
    UnknownRoute,
    UnknownCustomer,
    UnknownBudget,
    UnknownObject,
    BudgetExhausted,
    BudgetBusy,
    Overloaded,
    DeadlineTooShort,
    NoEndpoint,
    EndpointFailed,
    AnswerIncomplete,
    AnswerLate,
    SuspectRequest,
    StreamNotResumable,
    InProgress,
    OutcomeUnknown,
    IdTooOld,
    PlatformAway,
    NotConfigured,
    Draining,
    RevisionConflict,
    InvalidConfiguration,
    InvalidSettings,
    PayloadDiffers,
    Internal,
};

// What is known of a request's execution when it ends in an error.
enum class Execution {
    NotRun, // No byte of it reached an endpoint, or the endpoint said that it did not run it.
    Run, // An endpoint ran it.
    Unknown, // It may have run.
};

struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    Execution execution = Execution::NotRun;
    // When the caller should come back; absent when coming back can't help.
    std::optional<Duration> retryAfter;
};

// The reason for the last failure of the function that took it.
using LastReason = std::optional<Error>;

// The stable public name, such as "budget_exhausted".
std::string_view errorName(ErrorKind kind);

// What the caller or operator can do about it: one sentence.
std::string_view errorRemedy(ErrorKind kind);

// The HTTP status that carries it.
int errorStatus(ErrorKind kind);

std::string_view executionName(Execution execution);

// Returns the kind called `name`, for errors that come back from another process.
std::optional<ErrorKind> errorKindFromName(std::string_view name);

} // namespace Godwit
