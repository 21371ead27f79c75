#pragma once

// What all calls of one router share: the document in force, the endpoints, the budgets and the connections.
//
// One thread owns it: on hosts with a fraction of a core a second thread costs a wake-up for each message and gains
// nothing. Whoever changes `state` does so on that thread and calls the matching function here.
//
// Example:
//   Relay relay(io, options, log);
//   relay.state().routes = makeRouteTable(document);
//   relay.tokensCame();

#include "godwit/base/time.h"
#include "godwit/gateway/answer_ending.h"
#include "godwit/gateway/copy_agreement.h"
#include "godwit/gateway/crash_watch.h"
#include "godwit/gateway/endpoint_table.h"
#include "godwit/gateway/limit_shares.h"
#include "godwit/gateway/repeat_allowance.h"
#include "godwit/gateway/route_table.h"
#include "godwit/prepaid/prepaid_share.h"
#include "godwit/relay/call_metrics.h"
#include "godwit/relay/connection_pool.h"
#include "godwit/relay/decision_log.h"
#include "godwit/relay/endpoint_exchange.h"
#include "godwit/relay/send_record.h"
#include "godwit/suspects/recent_answers.h"
#include "godwit/suspects/suspect_record.h"
#include "godwit/suspects/suspects.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace Godwit
{

class RelayCall;

enum class RelayStage {
    Starting, // No document yet, or no endpoints: nothing can be served.
    Serving,
    Leaving, // Out of the address answers; still serves, and closes connections after their answers.
    Stopping, // Takes no new requests; finishes what is under way.
};

struct RelayOptions
{
    HostId host;
    DataCentreId dataCentre;
    std::map<DataCentreId, RegionId> regions; // Of all data centres.
    ColdStartBounds coldStart;
    // A choice of a cold endpoint that has waited so long for its connection is made anew: those that waited would
    // reach it together.
    Duration coldChoiceMaxAge = std::chrono::milliseconds(250);
    PrepaidOptions prepaid;
    ChoiceOptions choice;
    ExchangeOptions exchange;
    RepeatRules retryRules;
    LimitShareOptions limitShares;
    // How long a request waits for its budget at most, and no longer than an eighth of its latency target: a draw
    // takes some 15 ms, an answer from another router less.
    Duration budgetWaitLimit = std::chrono::milliseconds(120);
    // What a refused caller is told when nothing better is known.
    Duration defaultRetryAfter = std::chrono::milliseconds(700);
    // No request is taken for this long after the host was seen to be behind: by that time its queue has emptied. Then
    // it waits for a new list of endpoints and a new document, and no longer than `copyPatience`, since the store may
    // be away.
    Duration congestionHoldOff = std::chrono::milliseconds(1200);
    Duration copyRefreshTimeout = std::chrono::seconds(10);
    AgreementOptions agreement;
    // How long a suspect waits for its service to have endpoints to spare. Those that crash are back within seconds.
    Duration trialWaitLimit = std::chrono::seconds(10);
    // Time kept at the end of a caller's patience, so that the final answer still arrives.
    Duration answerMargin = std::chrono::milliseconds(15);
    // How long an endpoint has to end the connection of a request that nobody waits for any more. Less than the time in
    // which work for callers that have left must stop.
    Duration withdrawalTimeout = std::chrono::milliseconds(200);
    // An endpoint that has said nothing for so long when its request is given up counts as slow. Work of plain
    // services takes up to some 0.5 s, and callers abandon a stream after a gap of 2 s.
    Duration slowEndpointThreshold = std::chrono::seconds(1);
    // An answer up to this size is read whole before any of it is passed on, so that a cut one can be replaced.
    std::size_t maxBufferedAnswerBytes = 256UL * 1024;
    // More than this waiting for a slow caller stops the reading from its endpoint.
    std::size_t maxCallerQueueBytes = 256UL * 1024;
};

struct RelayState
{
    std::shared_ptr<const RouteTable> routes; // Null until the first document.
    EndpointTable endpoints;
    PrepaidShare prepaid;
    std::map<std::string, RepeatAllowance> retryAllowances; // By service.
    LimitShares limitShares;
    SenderGroup senders;
    RelayStage stage = RelayStage::Starting;
    int liveRouters = 1;
    bool platformInReach = false;
    // When this host's link was last seen to be choked: what it knew then was old, and what it sends comes late.
    TimePoint congestedAt;
    TimePoint endpointsAsOf; // The list of endpoints is at least as new as this.
    TimePoint documentAsOf; // So is the document.
    bool closeAfterAnswer = false; // Connections end after their answers, so that their callers connect anew.
    CopyAgreement endpointsAgreement; // Whether the list is as new as those of the other routers.
    CopyAgreement documentAgreement;
    CrashWatch crashWatch;
    RecentAnswers recentAnswers;
    SuspectBook suspects; // Requests under which endpoints died.
    std::set<EndpointId> trialEndpoints; // Where suspects are being tried, by any router.
};

// A request that was under way at an endpoint when its connection ended.
struct InterruptedRequest
{
    EndpointId endpoint;
    EndpointStart start = 0;
    CutRun run;
    SuspectLabel label;
};

// A suspect that is to be sent, as the fleet's one run of it.
struct TrialRequest
{
    std::uint64_t fingerprint = 0;
    EndpointId endpoint;
    SuspectLabel label;
};

// What became of a wish to send a request once more.
enum class RetryOutcome {
    Taken, // Drawn from the allowance.
    Denied, // The allowance was used up.
    Free, // No byte of the attempt before was sent, so nothing is drawn.
};

std::string_view retryOutcomeName(RetryOutcome outcome);

struct RetryKey
{
    std::string service;
    std::string cause;
    RetryOutcome outcome = RetryOutcome::Taken;

    bool operator<(const RetryKey &other) const
    {
        return std::tie(service, cause, outcome) < std::tie(other.service, other.cause, other.outcome);
    }
};

struct RelayCounters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t callerDisconnects = 0;
    std::uint64_t connectionPauses = 0; // The host took no new connections for a moment.
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumedStreams = 0;
    std::uint64_t truncatedAnswers = 0;
    std::uint64_t connectionsOpened = 0;
    std::map<ErrorKind, std::uint64_t> refusals;
    std::map<std::string, std::uint64_t> attemptsFailed; // By cause.
    std::map<RetryKey, std::uint64_t> retryDecisions;
    SendCounters sends;
    std::map<AnswerEnding, std::uint64_t> answersEnded; // Answers of endpoints, or what came of them.
    std::uint64_t convictions = 0; // Of requests, given here.
    std::uint64_t suspectsCleared = 0;
    std::uint64_t suspectsUnrecorded = 0; // For want of room.
    std::uint64_t trials = 0;
    std::uint64_t trialsDenied = 0;
    std::map<std::string, std::uint64_t> endpointDeaths; // While requests were under way; by service.
    std::uint64_t answersWithoutDeclaredEnd = 0; // Begun by this router; each takes its caller's connection with it.
    CallMetrics calls;
};

class Relay
{
public:
    Relay(boost::asio::io_context &io, RelayOptions options, DecisionLog &log);

    boost::asio::io_context &io()
    {
        return m_io;
    }
    const RelayOptions &options() const
    {
        return m_options;
    }
    void setRetryRules(double ratio, double slack, Duration window)
    {
        m_options.retryRules.ratio = ratio;
        m_options.retryRules.slack = slack;
        m_options.retryRules.window = window;
    }
    void setColdStartBounds(const ColdStartBounds &bounds)
    {
        m_options.coldStart = bounds;
    }
    RelayState &state()
    {
        return m_state;
    }
    RelayCounters &counters()
    {
        return m_counters;
    }
    ConnectionPool &pool()
    {
        return m_pool;
    }
    DecisionLog &log()
    {
        return m_log;
    }

    // Whether callers may be sent here.
    bool isReady() const;

    // Whether this host was lately behind, and its document or its list of endpoints may still be from then, or one of
    // them is older than those of other routers.
    bool mayBeStale(TimePoint now) const;

    bool hasOutdatedCopy(TimePoint now) const;

    // Whether what the document lacks can be denied for good.
    bool hasConfirmedDocument(TimePoint now) const;

    // Called when requests wait for tokens of a customer, with what they need in all.
    std::function<void(const CustomerId &, Tokens needed)> onTokensNeeded;

    // Called when tokens may have come, after the requests that wait here have been served.
    std::function<void()> onTokensAdded;

    // Called when a prompt goes to an engine that will take `reading` for what it has to read of it.
    std::function<void(const PromptSent &, Duration prefillTime)> onPromptSent;

    // Called when a request's connection has ended before its answer. `known` is called once, perhaps at once: when it
    // is known whether the endpoint has died, or after a short time.
    std::function<void(const InterruptedRequest &, std::function<void()> known)> onInterrupted;

    // Called for a request that may only be sent as a trial; `done` says whether it may.
    std::function<void(const TrialRequest &, std::function<void(bool)> done)> onTrialRequested;

    // A trial has ended, and its endpoint has not died.
    std::function<void(std::uint64_t fingerprint)> onTrialEnded;

    // A request that is suspected, or was cut lately, has been answered whole.
    std::function<void(std::uint64_t fingerprint)> onCompleteAnswer;

    // The same of an answer whose end its endpoint did not declare.
    std::function<void(std::uint64_t fingerprint, const EndpointId &endpoint)> onAnswerWithoutDeclaredEnd;

    void waitForTokens(const std::shared_ptr<RelayCall> &call);
    void stopWaiting(const std::shared_ptr<RelayCall> &call);

    // Tokens may have come: lets the requests that wait try again, oldest first.
    void retryReservations();

    // Asks again for what waiting requests need.
    void requestNeededTokens();

    // Notes in the budgets what the requests that wait here and elsewhere need.
    void updateTokenDemand();

    std::uint64_t random()
    {
        return m_random();
    }

    // Calls under way; a stop waits for them.
    int callsOpen = 0;

    // Of the host; goes on while it is suspended.
    static Duration uptime();

    static TimePoint now()
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }

private:
    std::map<CustomerId, Tokens> localTokenDemand() const;

    boost::asio::io_context &m_io;
    RelayOptions m_options;
    DecisionLog &m_log;
    RelayState m_state;
    RelayCounters m_counters;
    ConnectionPool m_pool;
    std::vector<std::shared_ptr<RelayCall>> m_waiting;
    std::mt19937_64 m_random;
};

} // namespace Godwit
