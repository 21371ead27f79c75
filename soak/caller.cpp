#include "soak/caller.h"

#include "godwit/http/address.h"
#include "platform/header_names.h"
#include "soak/fleet.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <functional>
#include <random>

namespace Godwit::Soak
{
namespace
{

namespace http = boost::beast::http;
using boost::asio::yield_context;
using boost::system::error_code;

constexpr auto ConnectLimit = std::chrono::seconds(1);
// Longer than any route's limit, so that what a router says at that limit is heard.
constexpr auto Patience = std::chrono::milliseconds(4500);
constexpr auto TimeLeft = std::chrono::milliseconds(3000);
constexpr auto DocumentStep = std::chrono::milliseconds(150);
constexpr int Permille = 1000;
constexpr int NewConnectionPermille = 120;
constexpr int PrepaidPermille = 700; // Of streams.
constexpr int LongestCalm = 6000; // Milliseconds before a request that crashes endpoints comes.
constexpr int LongestThought = 100; // Milliseconds between two requests of a caller.

void waitFor(boost::asio::io_context &io, std::chrono::milliseconds time, const yield_context &yield)
{
    boost::asio::steady_timer timer(io, time);
    timer.async_wait(yield);
}

int draw(std::mt19937_64 &random, int below)
{
    return std::uniform_int_distribution<int>(0, below - 1)(random);
}

RequestKind drawKind(std::mt19937_64 &random)
{
    constexpr std::array kinds = {
        RequestKind::Read, RequestKind::Book, RequestKind::Book, RequestKind::Chat, RequestKind::Write};
    return kinds.at(static_cast<std::size_t>(draw(random, static_cast<int>(kinds.size()))));
}

const char *pathOf(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Read:
        return "/read/1";
    case RequestKind::Book:
        return "/book/1";
    case RequestKind::Chat:
        return "/chat/1";
    case RequestKind::Write:
        return "/write/1";
    }
    return "/";
}

CallerRequest makeRequest(http::verb verb, const std::string &target, const std::string &attempt, const char *key)
{
    CallerRequest request(verb, target, 11);
    request.set(http::field::host, SoakHost);
    request.set(AttemptIdField, attempt);
    request.set(ApiKeyField, key);
    return request;
}

CallerRequest makeRequest(const SentRequest &sent, const std::string &target, const std::string &attempt)
{
    const bool stream = sent.kind == RequestKind::Chat || sent.kind == RequestKind::Write;
    const auto verb = sent.kind == RequestKind::Read ? http::verb::get : http::verb::post;
    CallerRequest request = makeRequest(verb, target, attempt, sent.prepaid ? PrepaidKey : OtherKey);
    const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(sent.timeLeft);
    request.set(TimeRemainingField, std::to_string(timeLeft.count()));
    if (stream) {
        constexpr int mostTokens = EventsOfStream * TokensPerEvent;
        request.set(TokenCountsField, std::to_string(sent.promptTokens) + ',' + std::to_string(mostTokens));
        request.body() = "the prompt";
    }
    if (verb == http::verb::post) {
        request.prepare_payload();
    }
    return request;
}

// Beside endpoints that are processes, a part of the requests has less time than their answers take.
std::chrono::milliseconds drawTimeLeft(const Fleet &fleet, std::mt19937_64 &random)
{
    constexpr int shortPermille = 250;
    const bool isShort = !fleet.processEndpoints.empty() && draw(random, Permille) < shortPermille;
    return isShort ? std::chrono::milliseconds(100 + draw(random, 800)) : TimeLeft;
}

OutcomeKind kindOf(const error_code &error)
{
    if (error == boost::beast::error::timeout) {
        return OutcomeKind::Unfinished;
    }
    const error_code ended = http::error::end_of_stream;
    const bool isEnd = error == ended || error == http::error::partial_message;
    return error.category() == ended.category() && !isEnd ? OutcomeKind::Damaged : OutcomeKind::Cut;
}

// The caller of a stream that broke off after some events comes back at any router, up to twice.
void takeUpStream(Fleet &fleet,
                  std::mt19937_64 &random,
                  const std::string &firstTry,
                  const std::string &target,
                  const yield_context &yield)
{
    constexpr int mostTries = 2;
    constexpr int longestPause = 400; // Milliseconds.
    Promises &promises = fleet.promises;
    int lastEvent = promises.requests[firstTry].events;
    for (int i = 0; i < mostTries && lastEvent < EventsOfStream && !fleet.ending; ++i) {
        waitFor(fleet.io, std::chrono::milliseconds(draw(random, longestPause)), yield);
        SentRequest sent = promises.requests[firstTry];
        sent.runs.clear();
        sent.firstArrival.reset();
        sent.events = 0;
        sent.status = 0;
        sent.endsUndeclared = false;
        sent.wholeUndeclared = false;
        sent.version.clear();
        sent.resumes = firstTry;
        sent.resumedAfter = lastEvent;
        sent.router = static_cast<std::size_t>(draw(random, static_cast<int>(fleet.routers.size())));
        sent.sentAt = steadyNow();
        const std::string attempt = firstTry + 'r' + std::to_string(i);
        noteSent(promises, attempt, sent);
        noteRequest(promises, serviceOf(sent.kind), sent.sentAt);
        CallerRequest request = makeRequest(sent, target, attempt);
        request.set(LastEventIdField, std::to_string(lastEvent));
        request.set(ResumesField, firstTry);
        Caller caller(fleet.io);
        const auto onBody = [&](const std::string &body) {
            noteEvents(promises, attempt, countEvents(body));
        };
        const Outcome outcome =
            caller.call(fleet.routers[sent.router].process->callerAddress(), request, onBody, yield);
        noteOutcome(promises, attempt, outcome, steadyNow());
        const int events = promises.requests[attempt].events;
        ++promises.resumptions.sent;
        promises.resumptions.wentOn += events > 0 ? 1 : 0;
        lastEvent += events;
    }
}

} // namespace

Caller::Caller(boost::asio::io_context &io)
    : m_io(io)
{
}

void Caller::disconnect()
{
    m_stream.reset();
    m_buffer.clear();
}

bool Caller::connect(const std::string &address, const yield_context &yield)
{
    LastReason reason;
    m_stream = std::make_unique<boost::beast::tcp_stream>(m_io);
    m_stream->expires_after(ConnectLimit);
    error_code error;
    m_stream->async_connect(parseAddress(address, reason).value(), yield[error]);
    if (error) {
        disconnect();
    }
    return !error;
}

Outcome Caller::call(const std::string &address,
                     const CallerRequest &request,
                     const std::function<void(const std::string &body)> &onBody,
                     const yield_context &yield)
{
    Outcome outcome;
    if (!isConnected() && !connect(address, yield)) {
        return outcome;
    }
    m_stream->expires_after(Patience);
    error_code error;
    http::async_write(*m_stream, request, yield[error]);
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    while (!error && !parser.is_done()) {
        http::async_read_some(*m_stream, m_buffer, parser, yield[error]);
        if (parser.is_header_done() && parser.get().body().size() > outcome.body.size()) {
            outcome.body = parser.get().body();
            onBody(outcome.body);
        }
    }
    if (parser.is_header_done()) {
        outcome.status = parser.get().result_int();
        outcome.attempt = std::string(parser.get()[AttemptIdField]);
        outcome.seal = std::string(parser.get()[ResponseSealField]);
        outcome.endDeclared = !parser.need_eof();
    }
    if (error) {
        outcome.kind = kindOf(error);
        disconnect();
        return outcome;
    }
    outcome.kind = OutcomeKind::Answered;
    outcome.bytesAfter = m_buffer.size() > 0;
    if (!parser.keep_alive()) {
        disconnect();
    }
    return outcome;
}

void runCaller(Fleet &fleet, std::uint64_t seed, int number, const yield_context &yield)
{
    std::mt19937_64 random(seed * Permille + static_cast<std::uint64_t>(number));
    Caller caller(fleet.io);
    std::size_t router = 0;
    for (int i = 0; !fleet.ending; ++i) {
        waitFor(fleet.io, std::chrono::milliseconds(draw(random, LongestThought)), yield);
        SentRequest sent;
        sent.kind = drawKind(random);
        const bool stream = sent.kind == RequestKind::Chat || sent.kind == RequestKind::Write;
        sent.prepaid = draw(random, Permille) < PrepaidPermille && stream;
        sent.promptTokens = 20 + draw(random, 200);
        if (draw(random, Permille) < NewConnectionPermille) {
            caller.disconnect();
        }
        const auto other = static_cast<std::size_t>(draw(random, static_cast<int>(fleet.routers.size())));
        router = caller.isConnected() ? router : other;
        sent.router = router;
        sent.timeLeft = drawTimeLeft(fleet, random);
        sent.sentAt = steadyNow();
        const std::string attempt = "c" + std::to_string(number) + '-' + std::to_string(i);
        // Some come once, others are the same one from many callers.
        const std::string target = pathOf(sent.kind) + (i % 3 == 0 ? '?' + attempt : std::string());
        noteSent(fleet.promises, attempt, sent);
        noteRequest(fleet.promises, serviceOf(sent.kind), sent.sentAt);
        const auto onBody = [&](const std::string &body) {
            noteEvents(fleet.promises, attempt, stream ? countEvents(body) : 0);
        };
        CallerRequest request = makeRequest(sent, target, attempt);
        if (stream && fleet.sharesPromptParts) {
            request.set(PromptPrefixField, std::string(FirstPart) + ',' + HarmlessPart + ",own-" + attempt + ":12");
        }
        const Outcome outcome = caller.call(fleet.routers[router].process->callerAddress(), request, onBody, yield);
        noteOutcome(fleet.promises, attempt, outcome, steadyNow());
        const int events = fleet.promises.requests[attempt].events;
        if (fleet.engineVersions && sent.kind == RequestKind::Write && outcome.kind == OutcomeKind::Cut && events > 0) {
            takeUpStream(fleet, random, attempt, target, yield);
        }
    }
}

void runCrasher(Fleet &fleet, std::uint64_t seed, int number, CrasherPace pace, const yield_context &yield)
{
    constexpr std::array kinds = {RequestKind::Read, RequestKind::Write, RequestKind::Book};
    std::mt19937_64 random(seed + static_cast<std::uint64_t>(number));
    const RequestKind kind = kinds.at(static_cast<std::size_t>(draw(random, static_cast<int>(kinds.size()))));
    const std::string target = pathOf(kind) + std::string("/") + CrashTarget + std::to_string(number);
    const int spread = static_cast<int>((pace.mostPause - pace.leastPause).count());
    waitFor(fleet.io, std::chrono::milliseconds(2000 + draw(random, LongestCalm)), yield);
    for (int i = 0; !fleet.ending; ++i) {
        waitFor(fleet.io, pace.leastPause + std::chrono::milliseconds(draw(random, spread)), yield);
        SentRequest sent;
        sent.kind = kind;
        sent.crashes = true;
        sent.promptTokens = 20;
        sent.router = static_cast<std::size_t>(draw(random, static_cast<int>(fleet.routers.size())));
        sent.timeLeft = TimeLeft;
        sent.sentAt = steadyNow();
        const std::string attempt = "x" + std::to_string(number) + '-' + std::to_string(i);
        noteSent(fleet.promises, attempt, sent);
        noteRequest(fleet.promises, serviceOf(sent.kind), sent.sentAt);
        Caller caller(fleet.io);
        const auto onBody = [&](const std::string &body) {
            noteEvents(fleet.promises, attempt, kind == RequestKind::Write ? countEvents(body) : 0);
        };
        const Outcome outcome = caller.call(
            fleet.routers[sent.router].process->callerAddress(), makeRequest(sent, target, attempt), onBody, yield);
        noteOutcome(fleet.promises, attempt, outcome, steadyNow());
    }
}

void runPartCrasher(Fleet &fleet, std::uint64_t seed, const yield_context &yield)
{
    constexpr int leastPause = 150;
    constexpr int spread = 300;
    std::mt19937_64 random(seed);
    waitFor(fleet.io, std::chrono::milliseconds(2000 + draw(random, LongestCalm)), yield);
    for (int i = 0; !fleet.ending; ++i) {
        waitFor(fleet.io, std::chrono::milliseconds(leastPause + draw(random, spread)), yield);
        SentRequest sent;
        sent.kind = draw(random, 2) == 0 ? RequestKind::Write : RequestKind::Chat;
        sent.crashes = true;
        sent.promptTokens = 20;
        sent.router = static_cast<std::size_t>(draw(random, static_cast<int>(fleet.routers.size())));
        sent.timeLeft = TimeLeft;
        sent.sentAt = steadyNow();
        const std::string attempt = "p-" + std::to_string(i);
        noteSent(fleet.promises, attempt, sent);
        noteRequest(fleet.promises, serviceOf(sent.kind), sent.sentAt);
        CallerRequest request = makeRequest(sent, pathOf(sent.kind) + ('?' + attempt), attempt);
        request.set(PromptPrefixField, std::string(FirstPart) + ',' + CrashPart + ",own-" + attempt + ":12");
        Caller caller(fleet.io);
        const auto onBody = [&](const std::string &body) {
            noteEvents(fleet.promises, attempt, countEvents(body));
        };
        const Outcome outcome =
            caller.call(fleet.routers[sent.router].process->callerAddress(), request, onBody, yield);
        noteOutcome(fleet.promises, attempt, outcome, steadyNow());
    }
}

void watchDocuments(Fleet &fleet, std::uint64_t seed, const yield_context &yield)
{
    std::mt19937_64 random(seed);
    for (int i = 0; !fleet.ending; ++i) {
        waitFor(fleet.io, DocumentStep, yield);
        DocumentAnswer answer;
        answer.router = static_cast<std::size_t>(draw(random, static_cast<int>(fleet.routers.size())));
        const Router &router = fleet.routers[answer.router];
        answer.boot = router.boot;
        answer.version = fleet.promises.document - (draw(random, 3) == 0 ? 1 : 0);
        answer.sentAt = steadyNow();
        Caller caller(fleet.io);
        const std::string attempt = "d-" + std::to_string(i);
        noteRequest(fleet.promises, "plain", answer.sentAt);
        auto request = makeRequest(http::verb::get, documentPath(answer.version) + "1", attempt, OtherKey);
        request.set(TimeRemainingField, std::to_string(TimeLeft.count()));
        const Outcome outcome = caller.call(
            router.process->callerAddress(), request, [](const std::string &) {}, yield);
        answer.status = outcome.status;
        if (outcome.kind == OutcomeKind::Answered && router.boot == answer.boot) {
            noteDocument(fleet.promises, answer, steadyNow());
        }
    }
}

} // namespace Godwit::Soak
