#include "godwit/base/error.h"

#include "godwit/base/enum_names.h"

namespace Godwit
{
namespace
{

struct ErrorRow
{
    ErrorKind kind;
    std::string_view name;
    int status;
    std::string_view remedy;
};

constexpr ErrorRow ErrorRows[] = {
    {ErrorKind::MalformedRequest,
     "malformed_request",
     400,
     "Correct the request as the message says and send it again."},
    {ErrorKind::BodyTooLarge, "body_too_large", 413, "Send a shorter body; the limit is in the message."},
    {ErrorKind::HeaderTooLarge, "header_too_large", 431, "Send fewer or shorter headers."},
    {ErrorKind::RequestTimeout, "request_timeout", 408, "Send the whole request without pauses."},
    {ErrorKind::Unauthenticated, "unauthenticated", 401, "Send a valid key as 'Authorization: Bearer <key>'."},
    {ErrorKind::Forbidden, "forbidden", 403, "Use a token whose role covers this object."},
    {ErrorKind::UnknownRoute, "unknown_route", 404, "Use a route or model that 'godwitctl routes' lists."},
    {ErrorKind::UnknownCustomer, "unknown_customer", 404, "Create the customer first, or correct its name."},
    {ErrorKind::UnknownBudget, "unknown_budget", 404, "Create the budget first, or correct its name."},
    {ErrorKind::UnknownObject, "unknown_object", 404, "Correct the path; 'godwitctl --help' lists what exists."},
    {ErrorKind::BudgetExhausted, "budget_exhausted", 402, "Top up the budget, or ask for fewer output tokens."},
    {ErrorKind::BudgetBusy, "budget_busy", 429, "The rest of the budget is reserved; come back after Retry-After."},
    {ErrorKind::Overloaded, "overloaded", 429, "Come back after Retry-After, or at another address."},
    {ErrorKind::DeadlineTooShort,
     "deadline_too_short",
     429,
     "Allow a longer deadline, or come back after Retry-After."},
    {ErrorKind::NoEndpoint, "no_endpoint", 503, "Come back after Retry-After; no endpoint of the route is live."},
    {ErrorKind::EndpointFailed, "endpoint_failed", 502, "Send the request again with the same id."},
    {ErrorKind::AnswerIncomplete,
     "answer_incomplete",
     502,
     "The answer was cut; send the request again with the same id."},
    {ErrorKind::AnswerLate,
     "answer_late",
     504,
     "The time was up before the answer; it may have run, so repeat it only if that does no harm."},
    {ErrorKind::SuspectRequest,
     "suspect_request",
     422,
     "Endpoints failed on this request; change it, or come back after Retry-After."},
    {ErrorKind::StreamNotResumable, "stream_not_resumable", 409, "Start the stream again, without Last-Event-Id."},
    {ErrorKind::InProgress, "in_progress", 409, "The first call with this id still runs; come back after Retry-After."},
    {ErrorKind::OutcomeUnknown,
     "outcome_unknown",
     409,
     "It may have run; look at the service's own records before sending a new id."},
    {ErrorKind::IdTooOld,
     "id_too_old",
     409,
     "The id is older than the claims kept; look at the service's own records."},
    {ErrorKind::PlatformAway,
     "platform_away",
     503,
     "Come back after Retry-After; the platform's service does not answer."},
    {ErrorKind::NotConfigured,
     "not_configured",
     503,
     "Come back after Retry-After; this router has no configuration yet."},
    {ErrorKind::Draining, "draining", 503, "Ask for addresses again and use another one; this router is stopping."},
    {ErrorKind::RevisionConflict,
     "revision_conflict",
     409,
     "Read the path named in the message and repeat the change on its new revision."},
    {ErrorKind::InvalidConfiguration, "invalid_configuration", 422, "Correct the line that the message names."},
    {ErrorKind::InvalidSettings,
     "invalid_settings",
     422,
     "Correct the key that the message names in the settings file."},
    {ErrorKind::PayloadDiffers, "payload_differs", 422, "Use a new id for a different body."},
    {ErrorKind::Internal, "internal", 500, "Report this with the request id and the router's log."},
};

constexpr EnumName<Execution> ExecutionNames[] = {
    {Execution::NotRun, "not_run"},
    {Execution::Run, "run"},
    {Execution::Unknown, "unknown"},
};

const ErrorRow &errorRow(ErrorKind kind)
{
    for (const auto &row : ErrorRows) {
        if (row.kind == kind) {
            return row;
        }
    }
    return ErrorRows[std::size(ErrorRows) - 1];
}

} // namespace

std::string_view errorName(ErrorKind kind)
{
    return errorRow(kind).name;
}

std::string_view errorRemedy(ErrorKind kind)
{
    return errorRow(kind).remedy;
}

int errorStatus(ErrorKind kind)
{
    return errorRow(kind).status;
}

std::string_view executionName(Execution execution)
{
    return enumName(ExecutionNames, execution);
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    for (const auto &row : ErrorRows) {
        if (row.name == name) {
            return row.kind;
        }
    }
    return std::nullopt;
}

} // namespace Godwit
