#pragma once

// One request of a caller, from its arrival to its final answer.
//
// The way: route and customer, reservation of the most it can cost, choice of an endpoint, the attempt, the answer.
// What may be repeated is repeated at another endpoint, within the fleet's allowance. Once a byte of a request that
// must not run twice has gone out, only the endpoint's own word that it did not run allows another attempt.
// Not thread-safe.

#include "godwit/base/error.h"
#include "godwit/gateway/endpoint_table.h"
#include "godwit/gateway/request_facts.h"
#include "godwit/gateway/route_table.h"
#include "godwit/http/event_stream.h"
#include "godwit/relay/endpoint_exchange.h"
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

// Where the answer goes. Exactly one of finish() and breakOff() ends it.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    virtual void send(std::string bytes) = 0;
    virtual std::size_t queuedBytes() const = 0;
    // The answer is complete.
    virtual void finish() = 0;
    // The answer can't be completed: the caller must see that it is cut.
    virtual void breakOff() = 0;
    // Called before the head of an answer that is framed so. Returns whether the connection closes after it.
    virtual bool beginAnswer(AnswerFraming framing) = 0;
};

class RelayCall : public std::enable_shared_from_this<RelayCall>
{
public:
    RelayCall(Relay &relay, AnswerSink &sink, RequestHead head, std::string body);

    // May answer at once.
    void start();

    // The caller's connection has ended. No call to the sink follows.
    void callerLeft();

    // The caller has read some of what was queued.
    void sinkDrained();

    // Tries the reservation again; false when the request still waits.
    bool takeTokens();

    const CustomerId &customer() const
    {
        return m_customer;
    }
    Tokens worstCase() const
    {
        return m_worstCase;
    }

private:
    // What is known of the request's execution, over all attempts.
    enum class Progress {
        NotRun, // No byte went out, or each endpoint that got it said that it did not run it.
        Sent, // It may run or have run.
    };

    bool findRoute();
    void refuseUnknown(ErrorKind kind, const std::string &message);
    bool findCustomer();
    void reserveTokens();
    void logReservation() const;
    void refuseForBudget(const std::string &message);
    Duration tokensBack() const;
    Duration comeBackByLot() const;
    void attempt();
    void begin(const Choice &choice);
    void sendTo(const Choice &choice);
    void noteSending(Duration timeLeft);
    bool maySend();
    Duration endpointsBack() const;
    void onHead(const ResponseHead &head, const AnswerFacts &facts);
    void onBody(std::string_view bytes);
    void onEnd();
    void onFailed(ExchangeFailure failure);
    void passEvents(std::string_view bytes);
    void passHead(AnswerFraming framing, std::string_view body = {});
    void passPiece(std::string_view bytes);
    void noteEnding();
    void tryAgainOnceKnown(const std::string &cause);
    void noteWholeAnswer();
    Admission admissionNow();
    void refuseSuspect();
    bool maySpareTrial();
    void refuseForNow();
    void askForTrial(const Choice &choice);
    void endTrial();
    SuspectLabel label() const;
    std::uint64_t fingerprint();
    void logUndeclaredEnd() const;
    void endAttempt(AttemptVerdict verdict);
    AttemptVerdict silenceVerdict() const;
    void giveUpAttempt();
    void onWithdrawn(WithdrawalOutcome outcome);
    void tryAgain(const std::string &cause, bool reachedEndpoint);
    bool mayRepeat() const;
    bool drawRepeat(std::string_view cause);
    void recordRepeat(std::string_view cause, RepeatOutcome outcome, const RepeatDraw &draw);
    bool runsAtMostOnce() const;
    void onDeadline();
    void refuse(ErrorKind kind, std::string message, std::optional<Duration> retryAfter);
    void breakOff(std::string_view cause);
    void complete();
    void close(CallEnd end);
    void settleTokens();
    void recordEnd(CallEnd end);
    Tokens spendableElsewhere() const;
    Tokens usedTokens() const;
    Duration timeLeft() const;
    EndpointState *currentEndpoint();
    void beginReading(EndpointState &endpoint, Tokens unread);
    void onFirstEvent();
    void stopReading();

    Relay &m_relay;
    AnswerSink *m_sink;
    RequestHead m_head;
    std::string m_body;
    RequestFacts m_facts;
    std::shared_ptr<const RouteTable> m_table; // Keeps m_route and m_service alive over changes.
    const GatewayRoute *m_route = nullptr;
    const GatewayService *m_service = nullptr;
    CustomerId m_customer;
    std::string m_serviceName;
    AllowedRegions m_regions; // By route and customer.
    std::optional<std::uint64_t> m_fingerprint; // Once it has been asked for.
    int m_urgency = 5;

    TimePoint m_arrived;
    TimePoint m_deadline;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_patience;

    Tokens m_worstCase = 0;
    bool m_holdsTokens = false;
    bool m_waitsForTokens = false;

    Progress m_progress = Progress::NotRun;
    std::vector<EndpointId> m_tried;
    int m_ran = 0; // Endpoints on which it may have run.
    bool m_mayHaveBegun = false; // An endpoint may have made a part of an answer.
    bool m_withdrawing = false; // It is not known yet whether the last endpoint had.
    int m_sends = 0;
    std::shared_ptr<EndpointExchange> m_exchange;
    EndpointId m_endpoint;
    EndpointStart m_endpointStart = 0;
    TimePoint m_sentAt;
    std::optional<TimePoint> m_drawnAt; // When another send was granted.
    bool m_attemptOpen = false;
    bool m_newConnection = false; // Of the latest attempt.
    bool m_trial = false; // The latest attempt is the fleet's one run of a suspect.
    bool m_coldChoice = false; // The latest attempt is one of the few that a cold endpoint gets.
    ReadId m_read = 0; // The prompt that the endpoint still has to read; 0: none.

    std::optional<ResponseHead> m_answerHead;
    AnswerFacts m_answer;
    std::optional<AnswerEnding> m_ending; // Of the latest attempt's answer, once it has ended.
    bool m_streams = false; // The answer is passed on event by event.
    bool m_headPassed = false;
    AnswerFraming m_passedFraming = AnswerFraming::Length; // Once the head has been passed on.
    std::string m_whole; // An answer that is gathered before it is passed on.
    EventSplitter m_events;
    std::uint64_t m_lastEvent = 0;
    std::uint64_t m_eventsPassed = 0;
    std::optional<TimePoint> m_firstAnswerAt; // The first event, or an answer in one piece.
    std::optional<TimePoint> m_lastEventAt;
    bool m_closed = false;
    CallEnd m_end = CallEnd::Answered; // Once closed.
};

} // namespace Godwit
