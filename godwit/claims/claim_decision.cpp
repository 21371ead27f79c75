#include "godwit/claims/claim_decision.h"

#include <algorithm>
#include <utility>

namespace Godwit::internal
{
namespace
{

// Whether the wait for the entry's holder has an end that this router can see.
enum class HolderState {
    Running,
    Gone,
    LostTrack,
};

HolderState holderState(const RecordView &view, const ClaimEntry &entry)
{
    const auto &agent = view.agent;
    const auto age = wallAt(agent, view.now) - entry.claimedAt;
    if (agent.gone.count(entry.holder) != 0) {
        return HolderState::Gone;
    }
    if (age > agent.options.longestRun) {
        return HolderState::LostTrack;
    }
    if (entry.holder == agent.self || agent.live.count(entry.holder) != 0) {
        return HolderState::Running;
    }
    return age > agent.options.unknownHolderGrace ? HolderState::Gone : HolderState::Running;
}

ClaimAnswer refused(ErrorKind kind, Execution execution, std::string message)
{
    ClaimAnswer answer;
    answer.kind = ClaimAnswerKind::Refused;
    answer.error = Error{kind, std::move(message), execution, std::nullopt};
    return answer;
}

ClaimAnswer answerFromRan(const ClaimEntry &entry)
{
    if (!entry.answer) {
        return refused(ErrorKind::OutcomeUnknown,
                       Execution::Run,
                       "it ran; its answer is not kept, look at the service's own records");
    }
    ClaimAnswer answer;
    answer.kind = ClaimAnswerKind::Replay;
    answer.replay = *entry.answer;
    return answer;
}

ClaimAnswer answerFromClaimed(const RecordView &view, const ClaimEntry &entry)
{
    switch (holderState(view, entry)) {
    case HolderState::Running: {
        auto answer = refused(ErrorKind::InProgress, Execution::Unknown, "a call with this id is running");
        answer.error.retryAfter = view.agent.options.inProgressRetryAfter;
        return answer;
    }
    case HolderState::Gone:
        // The holder may be paused, not dead, and may still send what it was granted. So the claim stands for ever:
        // a caller that is told "unknown" looks it up, while a second run would issue a second voucher.
        return refused(ErrorKind::OutcomeUnknown,
                       Execution::Unknown,
                       "the router that ran it is gone; look at the service's own records");
    case HolderState::LostTrack:
        break;
    }
    return refused(
        ErrorKind::OutcomeUnknown, Execution::Unknown, "its end was not recorded; look at the service's own records");
}

ClaimAnswer answerFromEntry(const RecordView &view, const WaitingClaim &waiting, const ClaimEntry &entry)
{
    if (entry.holder == view.agent.self && entry.sequence == waiting.sequence) {
        ClaimAnswer granted;
        granted.kind = ClaimAnswerKind::Granted;
        return granted;
    }
    if (view.agent.options.faults.takeOverGoneClaims && view.agent.gone.count(entry.holder) != 0
        && entry.state == ClaimState::Claimed) {
        return ClaimAnswer{};
    }
    // A claim may have been taken back since the record was read. An old record would answer "in progress" for as long
    // as nothing else is written to the shard.
    const bool final = entry.state != ClaimState::Claimed;
    if (!final && view.seenAt < waiting.arrivedAt && !view.agent.options.faults.trustStaleRecord) {
        ClaimAnswer again;
        again.kind = ClaimAnswerKind::LookAgain;
        return again;
    }
    if (entry.bodyDigest != waiting.request.bodyDigest) {
        return refused(ErrorKind::PayloadDiffers,
                       entry.state == ClaimState::Ran ? Execution::Run : Execution::Unknown,
                       "this id was used with another body");
    }
    switch (entry.state) {
    case ClaimState::Claimed:
        return answerFromClaimed(view, entry);
    case ClaimState::Ran:
        return answerFromRan(entry);
    case ClaimState::Unknown:
        break;
    }
    return refused(ErrorKind::OutcomeUnknown,
                   Execution::Unknown,
                   "it was sent and no answer came; look at the service's own records");
}

// Ids stand in headers, records and logs: printable ASCII without spaces.
bool isPlainId(const std::string &id)
{
    return !id.empty() && std::all_of(id.begin(), id.end(), [](char c) {
        return c > ' ' && c <= '~';
    });
}

// For ids that no router ever accepts.
Error malformed(std::string message)
{
    return Error{ErrorKind::MalformedRequest, std::move(message), Execution::NotRun, std::nullopt};
}

} // namespace

ClaimAnswer answerFromRecord(const RecordView &view, const WaitingClaim &waiting)
{
    const auto found = view.record.entries.find(waiting.request.key);
    if (found != view.record.entries.end()) {
        return answerFromEntry(view, waiting, found->second);
    }
    // Its claim may have stood here and have been dropped by age. Without this rule a router whose clock is slow would
    // let a request run again that a router with a faster clock has forgotten.
    if (waiting.createdAt <= view.record.horizon) {
        return refused(ErrorKind::IdTooOld, Execution::Unknown, "claims as old as this id are no longer kept");
    }
    return ClaimAnswer{};
}

std::optional<Error> checkRequest(const ClaimAgent &agent, const ClaimRequest &request, WallTime &createdAt)
{
    const auto &options = agent.options;
    if (!isPlainId(request.key.id)) {
        return malformed("the idempotency id must be printable ASCII without spaces");
    }
    if (request.key.id.size() + request.key.customer.value.size() > options.maxKeyBytes) {
        return malformed("the idempotency id is too long");
    }
    const auto embedded = uuidV7Time(request.key.id);
    const auto created = embedded ? embedded : request.createdAt;
    if (!created) {
        return undecidedError(agent,
                              request,
                              ErrorKind::MalformedRequest,
                              "the idempotency id must be a UUIDv7 or come with its creation time");
    }
    createdAt = *created;
    if (createdAt > request.wallNow + options.clockSkew) {
        // Another router's clock may have let it pass: not a proof that it did not run.
        return undecidedError(agent,
                              request,
                              ErrorKind::MalformedRequest,
                              "the id's creation time lies in the future; correct the caller's clock");
    }
    if (createdAt + options.retention < request.wallNow && !options.faults.ignoreAge) {
        return Error{
            ErrorKind::IdTooOld, "claims as old as this id are no longer kept", Execution::Unknown, std::nullopt};
    }
    return std::nullopt;
}

Error undecidedError(const ClaimAgent &agent, const ClaimRequest &request, ErrorKind kind, std::string message)
{
    // A repeat of a request that ran at another router would be told "not run" here, and its caller would issue a
    // second voucher under a new id. A look at the record is no proof: the earlier call may have been claimed since.
    const bool notRun = request.firstSend || agent.options.faults.notRunWithoutProof;
    return Error{kind, std::move(message), notRun ? Execution::NotRun : Execution::Unknown, std::nullopt};
}

WallTime wallAt(const ClaimAgent &agent, TimePoint now)
{
    return agent.wallBase + std::chrono::duration_cast<std::chrono::milliseconds>(now - agent.wallBaseAt);
}

} // namespace Godwit::internal
