#pragma once

// The second attempt of a request, sent while the first is still open (a hedge).
//
// It keeps what its endpoint sends until that is a useful answer, or until the first attempt has failed. Its owner then
// takes over the exchange and has everything received so far passed on, so that bytes of the two runs never mix.
//
// Example:
//   auto hedge = std::make_shared<HedgedAttempt>(relay, run, rules, handlers);
//   hedge->start(exchangeHandlers, address, bytes, attemptId);
//   // In handlers.onUseful:
//   hedge->passOn();

#include "godwit/gateway/endpoint_table.h"
#include "godwit/gateway/held_bytes_claim.h"
#include "godwit/gateway/site_document.h"
#include "godwit/http/event_stream.h"
#include "godwit/prepaid/call_charge.h"
#include "godwit/relay/call_metrics.h"
#include "godwit/relay/endpoint_exchange.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

class Relay;

// A request at an endpoint.
struct EndpointRun
{
    EndpointId endpoint;
    EndpointIncarnation start = 0;
    TimePoint sentAt;
    bool cold = false; // One of the rate-limited requests to a cold endpoint.
    PrefillId prefill = 0; // The endpoint's pending prefill of the prompt; 0: none.
    std::shared_ptr<EndpointExchange> exchange;
    std::string version; // Of the endpoint's software.
};

// What counts as a useful answer.
struct UsefulAnswerRules
{
    bool streams = false; // The first event of a stream is useful; other responses only when complete.
    std::size_t maxBufferedBytes = 0; // A longer response is passed on before it is complete.
};

struct HedgeFailure
{
    std::string cause;
    AttemptFeedback feedback = AttemptFeedback::Neutral;
    bool mayHaveRun = false;
    bool lackedRoom = false;
    bool connectionLost = false; // The endpoint may have crashed.
    ResponseMetadata response; // Valid if `lackedRoom` is set.
};

struct HedgeHandlers
{
    // The response has become useful. The handler calls passOn().
    std::function<void()> onUseful;
    // The response has failed, or is complete but of no use.
    std::function<void(const HedgeFailure &)> onFailed;
};

class HedgedAttempt : public std::enable_shared_from_this<HedgedAttempt>
{
public:
    HedgedAttempt(Relay &relay, EndpointRun run, UsefulAnswerRules rules, HedgeHandlers handlers);

    // Sends `bytes`, a whole request. `handlers` are those of an attempt; its response is passed to them after
    // passOn().
    void start(ExchangeHandlers handlers, const std::string &address, std::string bytes, std::string attemptId);

    // Passes what was received, and from then on whatever the endpoint sends, to the handlers given to start().
    void passOn();

    EndpointRun &run()
    {
        return m_run;
    }

private:
    void onHead(const ResponseHead &head, const ResponseMetadata &facts);
    void onBody(std::string_view bytes);
    void onEnd();
    void onFailed(ExchangeFailure failure);
    bool isSuccess() const;
    bool isCompleteAnswer() const;
    void becomeUseful();
    void fail(const HedgeFailure &failure);

    Relay &m_relay;
    EndpointRun m_run;
    UsefulAnswerRules m_rules;
    HedgeHandlers m_handlers;
    ExchangeHandlers m_attempt; // Of the request's attempt, for passOn().
    std::optional<ResponseHead> m_head;
    ResponseMetadata m_facts;
    bool m_isEventStream = false;
    std::string m_body;
    EventSplitter m_events; // Finds the first event.
    HeldBytesClaim m_held; // m_body and m_events.
    bool m_ended = false; // The exchange has ended with a useful response.
    bool m_passesOn = false;
};

// A run whose response is no longer wanted because the other one is used, or because the request has ended.
struct LostRun
{
    EndpointRun run;
    std::string attemptId;
    CustomerId customer;
    Tokens reserved = 0; // 0: no reservation.
    CallUsage usage; // Without the outcome of the withdrawal.
    // Whether the prompt was charged, shared by both runs of a request that ended without an answer: it is charged
    // once. Null if the other run answered, since the request itself is then charged.
    std::shared_ptr<bool> promptCharged;
    GatewayRouteKind kind = GatewayRouteKind::Idempotent;
    CallEnd end = CallEnd::Answered; // Of the request, if that has ended.
};

// Cancels the run, ends its attempt at the endpoint, and settles its reservation. A stream without an event is
// withdrawn, to find out whether its prompt is to be charged.
void cancelLostRun(Relay &relay, LostRun lost);

// Ends an attempt in the books of its endpoint, if that has not restarted since.
void endRun(Relay &relay, const EndpointRun &run, AttemptFeedback feedback);

} // namespace Godwit
