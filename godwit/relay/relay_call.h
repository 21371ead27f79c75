#pragma once

// One request of a caller, from its arrival to its final response.
//
// Steps: look up route and customer, reserve the worst-case token cost, choose an endpoint, send the request, forward
// the response. Failed attempts are retried at another endpoint if the route permits it, within the fleet-wide retry
// allowance. Once a byte of a request that must run at most once has been sent, it is only retried if the endpoint
// reports that it did not run it. Not thread-safe.

#include "godwit/base/error.h"
#include "godwit/gateway/endpoint_table.h"
#include "godwit/gateway/held_bytes_claim.h"
#include "godwit/gateway/request_metadata.h"
#include "godwit/gateway/route_table.h"
#include "godwit/http/event_stream.h"
#include "godwit/relay/endpoint_exchange.h"
#include "godwit/relay/hedged_attempt.h"
#include "godwit/relay/relay.h"
#include "godwit/suspects/suspect_admission.h"
#include "platform/http_codec.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{

// Receives the response to one request. Ended by exactly one call of finish() or abort().
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    virtual void send(std::string bytes) = 0;
    // Bytes not yet written to the caller.
    virtual std::size_t queuedBytes() const = 0;
    // The response is complete.
    virtual void finish() = 0;
    // The response can't be completed; the caller must be able to see that it is truncated.
    virtual void abort() = 0;
    // Called before the head of a response with this framing. Returns whether the connection is closed after it.
    virtual bool beginAnswer(ResponseFraming framing) = 0;
};

class RelayCall : public std::enable_shared_from_this<RelayCall>
{
public:
    RelayCall(Relay &relay, AnswerSink &sink, RequestHead head, std::string body);

    // May send the response before returning.
    void start();

    // As start(), for a request whose body has not been received: sends a refusal in any case.
    void startWithoutBody();

    // The caller's connection has ended; the sink is not called any more.
    void onCallerDisconnected();

    // Queued bytes have been written to the caller; resumes reading from the endpoint.
    void sinkDrained();

    // Retries the reservation. Returns false while the request still has to wait for tokens.
    bool tryReserve();

    // Chooses an endpoint for a request that waits for a place. Returns false while it still has to wait.
    bool tryPlace();

    // Refuses a request that waits if it is not expected to end before the process does.
    void refuseIfEndingLate();

    // The request has been removed from the queue for places.
    void onNoPlace(PlaceWaitOutcome outcome);

    const std::string &id() const
    {
        return m_facts.attemptId;
    }
    const CustomerId &customer() const
    {
        return m_customer;
    }
    // The most that the request can cost, in tokens; this is what gets reserved.
    Tokens worstCase() const
    {
        return m_worstCase;
    }

private:
    // What is known about the request's execution, over all attempts.
    enum class Progress {
        NotRun, // No byte was sent, or each endpoint that received it reported that it did not run it.
        Sent, // It may be running or have run.
    };

    // The sending of a request to an endpoint.
    struct Sending
    {
        EndpointId endpoint;
        EndpointIncarnation start = 0;
        TimePoint chosenAt;
        bool cold = false; // One of the rate-limited requests to a cold endpoint.
        Duration timeLeft{}; // Remaining time that the endpoint is given.
    };

    // Returns false if the request has been refused for its head.
    bool identify();
    bool findRoute();
    void refuseUnknown(ErrorKind kind, const std::string &message);
    bool findCustomer();
    bool continuesStream() const;
    void findStreamOrigin();
    void onStreamSearched();
    std::optional<std::string> versionOfUnrecordedStream() const;
    void continueFrom(const StreamOrigin &origin);
    void continueAt(const std::string &version, ResumptionOutcome outcome);
    bool useServiceOf(const StreamOrigin &origin);
    void refuseResumption(ResumptionOutcome outcome);
    void recordResumption(ResumptionOutcome outcome);
    void recordStreamBegan();
    void reserveTokens();
    void logReservation() const;
    void refuseForBudget(const std::string &message);
    Duration tokenRetryAfter() const;
    Duration tokenWaitLimit() const;
    Duration randomizedRetryAfter() const;
    // Whether the process is expected to end before the request. False once the head of a response has been forwarded:
    // such a response can't be refused any more.
    bool endsLate() const;
    void refuseEndingLate();
    void attempt();
    void startAttempt(const Choice &choice);
    ChoiceQuery choiceQuery() const;
    void sendTo(const Choice &choice);
    void logContinuation(const std::string &version) const;
    ForwardMetadata forwardMetadata(const Sending &sending) const;
    ExchangeHandlers exchangeHandlers(const ListedEndpoint &listed, const Sending &sending);
    void resetAnswer();
    void recordSending(const Sending &sending);
    bool maySend(const Sending &sending);
    void armHedge(Tokens uncachedTokens);
    void waitForHedge(TimePoint due);
    HedgeFacts hedgeFacts(const ChoiceQuery &query);
    bool canReserveAgain() const;
    HedgeEndpointFacts hedgeEndpointFacts(const Choice &choice);
    void tryHedge();
    void sendHedge(const Choice &choice);
    EndpointRun currentRun() const;
    void continueWithHedge(std::string_view cause);
    void dropHedge(std::string_view cause);
    void cancelLost(const EndpointRun &run);
    void onHedgeFailed(const HedgeFailure &failure);
    AttemptFeedback hedgeVerdict(const EndpointRun &run, const HedgeFailure &failure);
    void releaseHead();
    void noteFirstAnswer();
    void recordFirstAnswerTime();
    void noteLackOfRoom(const EndpointId &endpoint, const ResponseMetadata &response);
    void recordHedgeOutcome(HedgeOutcome outcome, std::string_view cause, const EndpointId &endpoint);
    bool waitForPlace();
    void refuseForLackOfEndpoint();
    void recordPlaceWait(PlaceWaitOutcome outcome);
    bool lacksRoom() const;
    Duration placeRetryAfter();
    std::optional<std::set<std::string>> allowedVersions() const;
    // Whether endpoints are excluded only because their version is not usable yet.
    bool awaitsVersion() const;
    Duration versionRetryAfter() const;
    Duration endpointRetryAfter() const;
    void onHead(const ResponseHead &head, const ResponseMetadata &facts);
    void onBody(std::string_view bytes);
    void onEnd();
    void onFailed(ExchangeFailure failure);
    void forwardEvents(std::string_view bytes);
    void forwardWholeEvents(std::string_view events, bool isFirst);
    void forwardHead(ResponseFraming framing, std::string_view body = {});
    void forwardPiece(std::string_view bytes);
    void pauseIfQueueIsLong();
    void recordAnswerEnding();
    InterruptedRequest interruptedRequest(const EndpointRun &run, std::optional<std::uint64_t> trial);
    void retryAfterCrashCheck(const std::string &cause);
    void reportCompleteAnswer();
    Admission admissionNow();
    void refuseSuspect();
    bool canAffordTrial();
    void refuseSuspectForNow();
    void requestTrial(const Choice &choice);
    void endTrial();
    // Fingerprints of what may make the request crash endpoints: the request itself first, then the shared parts of its
    // prompt. Evidence is kept for each separately, and the request is admitted as the one with most evidence against
    // it.
    const std::vector<std::uint64_t> &suspectKeys();
    // Describes the suspect at this index of suspectKeys().
    SuspectLabel labelOf(std::size_t key) const;
    std::uint64_t decidingFingerprint();
    std::uint64_t fingerprint();
    void logUndeclaredEnd() const;
    void beginLivenessCheck();
    void endLivenessCheck();
    void confirmEnd(const std::shared_ptr<EndpointExchange> &ended);
    void onEndChecked(const LivenessReport &report, bool requestTaken);
    void endAttempt(AttemptFeedback verdict);
    void recordLateFeedback(AttemptFeedback verdict);
    AttemptFeedback silenceVerdict() const;
    void abandonAttempt();
    void onWithdrawn(WithdrawalOutcome outcome);
    void retryOrFail(const std::string &cause, bool reachedEndpoint);
    bool mayRetry() const;
    bool takeRetry(std::string_view cause);
    void recordRetry(std::string_view cause, RetryOutcome outcome, const RetryDecision &draw);
    bool runsAtMostOnce() const;
    void onDeadline();
    void refuse(ErrorKind kind, std::string message, std::optional<Duration> retryAfter);
    void abortAnswer(std::string_view cause);
    void forwardRest();
    void complete();
    void close(CallEnd end);
    void settleTokens();
    void recordEnd(CallEnd end);
    Tokens spendableElsewhere() const;
    Tokens usedTokens() const;
    Duration timeLeft() const;
    EndpointState *currentEndpoint();
    PrefillId recordPrefillStart(EndpointState &endpoint, Tokens unread, TimePoint sentAt);
    void onFirstEvent();
    void dropPrefill();

    Relay &m_relay;
    AnswerSink *m_sink;
    RequestHead m_head;
    std::string m_body;
    HeldBytesClaim m_heldBody;
    RequestMetadata m_facts;
    std::shared_ptr<const RouteTable> m_table; // Keeps m_route and m_service alive when the document changes.
    const GatewayRoute *m_route = nullptr;
    const GatewayService *m_service = nullptr;
    CustomerId m_customer;
    std::string m_serviceName;
    AllowedRegions m_regions; // Allowed by both route and customer.
    std::vector<std::uint64_t> m_suspectKeys; // Computed on first use.
    std::size_t m_decidingKey = 0; // Index of the key that the latest admission was based on.
    int m_urgency = 5;

    TimePoint m_arrived;
    TimePoint m_deadline;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_budgetTimer;

    Tokens m_worstCase = 0;
    bool m_hasReservation = false;
    bool m_waitingForTokens = false;
    std::uint64_t m_placeWaiter = 0; // Id in the queue for places; 0: it doesn't wait there.
    TimePoint m_waitsForPlaceSince;

    Progress m_progress = Progress::NotRun;
    std::vector<EndpointId> m_triedEndpoints;
    int m_possibleExecutions = 0; // Endpoints that may have run the request.
    bool m_mayHaveProducedOutput = false; // An endpoint may have run the request, so the prompt is charged.
    std::shared_ptr<bool> m_promptCharged; // Set if the request ended with two open runs, see LostRun.
    bool m_withdrawing = false; // A withdrawal is pending; until it completes, m_mayHaveProducedOutput is not final.
    int m_sends = 0;
    std::shared_ptr<EndpointExchange> m_exchange;
    EndpointId m_endpoint;
    EndpointIncarnation m_endpointStart = 0;
    // The only version at which the stream may go on; set once its first event has been forwarded, by this request or
    // by an earlier one of its caller.
    std::optional<std::string> m_requiredVersion;
    std::string m_endpointVersion; // Of the endpoint's software when the request was sent.
    TimePoint m_sentAt;
    std::optional<TimePoint> m_retryGrantedAt; // When the latest retry was granted.
    bool m_attemptOpen = false;
    bool m_newConnection = false; // The latest attempt used a new connection.
    // Set while the latest attempt is the fleet's only current run of this suspect.
    std::optional<std::uint64_t> m_trial;
    bool m_coldChoice = false; // The latest attempt is one of the rate-limited requests to a cold endpoint.
    PrefillId m_prefill = 0; // The endpoint's pending prefill of the prompt; 0: none.

    std::shared_ptr<HedgedAttempt> m_hedge; // Open beside the first attempt; unset otherwise.
    boost::asio::steady_timer m_hedgeTimer;
    TimePoint m_hedgeBase; // When the first attempt was sent; valid with m_hedgeKey or m_answerTimeKey.
    HedgeKey m_hedgeKey;
    std::optional<HedgeKey> m_answerTimeKey; // Set while the first attempt's time is still to be recorded.
    bool m_holdsHead = false; // The head of a stream is not forwarded before its first event.

    std::optional<ResponseHead> m_answerHead;
    ResponseMetadata m_answer;
    std::optional<ResponseEnding> m_answerEnding; // How the latest attempt's response ended; unset before.
    // Of the endpoint whose latest response is delimited by the close of its connection.
    std::shared_ptr<LivenessCheck> m_livenessCheck;
    TimePoint m_answerEndedAt; // When its connection was closed; valid with m_answerEnding.
    bool m_forwardsEvents = false; // The response is forwarded event by event.
    bool m_headForwarded = false;
    ResponseFraming m_forwardedFraming =
        ResponseFraming::Length; // Framing used towards the caller; valid with m_headForwarded.
    bool m_discardsBody = false; // The response can't be forwarded; its body is not kept.
    std::size_t m_discardedBytes = 0;
    std::string m_bufferedBody; // Body that is buffered before it is forwarded.
    EventSplitter m_events;
    HeldBytesClaim m_heldAnswer; // m_bufferedBody and m_events.
    std::uint64_t m_lastEvent = 0;
    std::uint64_t m_eventsForwarded = 0;
    std::optional<TimePoint> m_firstAnswerAt; // Time of the first event, or of a complete non-stream response.
    std::optional<TimePoint> m_lastEventAt;
    bool m_closed = false;
    CallEnd m_end = CallEnd::Answered; // Valid once m_closed is set.
};

} // namespace Godwit
