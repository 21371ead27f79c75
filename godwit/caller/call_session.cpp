#include "godwit/caller/call_session.h"

#include "godwit/caller/call_request.h"
#include "godwit/endpoint/endpoint_attempt.h"
#include "godwit/http/error_body.h"
#include "godwit/http/key_digest.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <nlohmann/json.hpp>

#include <sys/socket.h>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using HttpRequest = http::request<http::string_body>;

constexpr Duration BrokenForwardRetry = std::chrono::seconds(1);
constexpr std::string_view JsonType = "application/json";
constexpr std::string_view EventStreamType = "text/event-stream";

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

beast::string_view beastView(std::string_view text)
{
    return {text.data(), text.size()};
}

CallHttpRequest describe(const HttpRequest &request)
{
    CallHttpRequest call;
    call.method = view(request.method_string());
    call.target = view(request.target());
    call.authorization = view(request[http::field::authorization]);
    call.idempotencyKey = view(request["Idempotency-Key"]);
    call.priority = view(request["Godwit-Priority"]);
    call.deadlineMs = view(request["Godwit-Deadline-Ms"]);
    call.repeatable = view(request["Godwit-Repeatable"]);
    call.createdAt = view(request["Godwit-Created-At"]);
    call.firstSend = view(request["Godwit-First-Send"]);
    call.forwarded = view(request["Godwit-Forwarded"]);
    call.contentType = view(request[http::field::content_type]);
    call.body = request.body();
    return call;
}

// The answer of a not-repeatable call, as it is kept for a repeat with the same id.
std::string packAnswer(const AttemptOutcome &outcome)
{
    const auto bytes = nlohmann::json::to_cbor(
        nlohmann::json{{"status", outcome.status}, {"type", outcome.contentType}, {"body", outcome.body}});
    return {bytes.begin(), bytes.end()};
}

std::optional<AttemptOutcome> unpackAnswer(const std::string &bytes)
{
    const auto kept = nlohmann::json::from_cbor(bytes, true, false);
    if (!kept.is_object()) {
        return std::nullopt;
    }
    AttemptOutcome outcome;
    outcome.status = kept.value("status", 200U);
    outcome.contentType = kept.value("type", std::string(JsonType));
    outcome.body = kept.value("body", std::string());
    return outcome;
}

// Tells a mailbox when the caller closes its connection while nothing is read from it.
struct LeaveWatch
{
    CallMailbox *mailbox = nullptr; // Null once the call has ended.
};

void watchForLeave(asio::ip::tcp::socket &socket, const std::shared_ptr<LeaveWatch> &watch)
{
    socket.async_wait(asio::ip::tcp::socket::wait_read, [&socket, watch](const beast::error_code &error) {
        if (watch->mailbox == nullptr) {
            return;
        }
        char byte = 0;
        const auto peeked = error ? -1 : ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        // Bytes are the caller's next request, sent ahead; its leaving then shows at the next write.
        if (peeked <= 0) {
            watch->mailbox->closeByCaller();
        }
    });
}

// The parser leaves heads, trailers and the lines of chunk sizes with their extensions in the buffer until their end
// has arrived. Each of these may be as long as the headers, and this much longer.
constexpr std::size_t UnparsedMarginBytes = 16UL * 1024;

template<typename Stream>
class Session
{
public:
    Session(Stream stream, CallerShared &shared)
        : m_stream(std::move(stream))
        , m_shared(shared)
        , m_buffer(shared.options.maxHeaderBytes + UnparsedMarginBytes)
    {
    }

    void run(const asio::yield_context &yield)
    {
        while (serveOne(yield)) { }
    }

private:
    beast::tcp_stream &transport()
    {
        return beast::get_lowest_layer(m_stream);
    }

    // Reads one request and answers it. Returns whether the connection may carry another.
    bool serveOne(const asio::yield_context &yield)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(m_shared.options.maxBodyBytes);
        parser.header_limit(static_cast<std::uint32_t>(m_shared.options.maxHeaderBytes));
        beast::error_code error;
        transport().expires_after(m_shared.options.headerTimeout);
        http::async_read(m_stream, m_buffer, parser, yield[error]);
        if (error) {
            answerReadError(error, parser.got_some(), yield);
            return false;
        }
        const HttpRequest request = parser.release();
        m_keepAlive = request.keep_alive();
        m_version = request.version();
        switch (callPathOf(view(request.target()))) {
        case CallPath::ChatCompletions:
        case CallPath::Service:
            serveCall(request, yield);
            break;
        case CallPath::Addresses:
            serveAddresses(request, yield);
            break;
        case CallPath::Health:
            sendBody(m_shared.ready() ? 200 : 503,
                     JsonType,
                     m_shared.ready() ? "{\"ready\":true}" : "{\"ready\":false}",
                     std::nullopt,
                     yield);
            break;
        case CallPath::Unknown:
            sendError(Error{ErrorKind::UnknownObject, "there is no " + std::string(view(request.target()))}, yield);
            break;
        }
        return m_keepAlive;
    }

    void answerReadError(const beast::error_code &error, bool gotSome, const asio::yield_context &yield)
    {
        m_keepAlive = false;
        if (error == http::error::body_limit) {
            sendError(Error{ErrorKind::BodyTooLarge,
                            "the body may have " + std::to_string(m_shared.options.maxBodyBytes) + " bytes"},
                      yield);
        } else if (error == http::error::header_limit || error == http::error::buffer_overflow) {
            sendError(Error{ErrorKind::BodyTooLarge,
                            "the headers may have " + std::to_string(m_shared.options.maxHeaderBytes) + " bytes"},
                      yield);
        } else if (gotSome && error.category() == http::make_error_code(http::error::bad_method).category()
                   && error != http::error::end_of_stream && error != http::error::partial_message) {
            sendError(Error{ErrorKind::MalformedRequest, "not a valid HTTP request: " + error.message()}, yield);
        }
    }

    void serveAddresses(const HttpRequest &request, const asio::yield_context &yield)
    {
        AddressesAsked asked;
        asked.keyDigest = keyDigestOf(view(request[http::field::authorization]));
        runCall(
            [&](CallId call) {
                asked.call = call;
                m_shared.post(asked);
            },
            yield);
    }

    void serveCall(const HttpRequest &request, const asio::yield_context &yield)
    {
        LastReason reason;
        auto parsed = parseCall(describe(request), reason);
        if (!parsed) {
            sendError(*reason, yield);
            return;
        }
        m_call = std::move(*parsed);
        keepHeaders(request);
        m_contentType = std::string(view(request[http::field::content_type]));
        m_originalTarget = std::string(view(request.target()));
        runCall(
            [&](CallId call) {
                m_call.arrived.call = call;
                m_shared.post(m_call.arrived);
            },
            yield);
    }

    // Keeps what another router has to read again if the call is forwarded.
    void keepHeaders(const HttpRequest &request)
    {
        m_passedOn.clear();
        for (const char *name :
             {"Authorization", "Godwit-Deadline-Ms", "Godwit-Repeatable", "Godwit-Created-At", "Godwit-First-Send"}) {
            const auto value = request[name];
            if (!value.empty()) {
                m_passedOn.push_back(RequestHeader{name, std::string(view(value))});
            }
        }
    }

    // Announces a call by `announce` and carries out its commands until it has ended.
    template<typename Announce>
    void runCall(Announce announce, const asio::yield_context &yield)
    {
        if (m_shared.closing) {
            m_keepAlive = false; // The caller's next request goes to another router.
        }
        m_shared.nextCall += m_shared.callStride;
        ++m_shared.activeCalls;
        m_callId = CallId{m_shared.nextCall};
        m_answerBegun = false;
        m_outcome = AttemptOutcome{};
        CallMailbox mailbox(m_shared.io);
        m_shared.registry.add(m_callId, &mailbox);
        auto watch = std::make_shared<LeaveWatch>();
        watch->mailbox = &mailbox;
        transport().expires_never();
        watchForLeave(transport().socket(), watch);
        announce(m_callId);
        bool running = true;
        while (running) {
            auto command = mailbox.wait(yield);
            if (!command) {
                m_shared.post(CallerGone{m_callId});
                m_keepAlive = false;
                break;
            }
            running = std::visit(
                [&](auto &c) {
                    return carryOut(c, mailbox, yield);
                },
                *command);
        }
        watch->mailbox = nullptr;
        beast::error_code ignored;
        transport().socket().cancel(ignored);
        m_shared.registry.remove(m_callId);
        --m_shared.activeCalls;
    }

    // Each carryOut returns whether the call goes on.

    bool carryOut(const DispatchCall &command, CallMailbox &mailbox, const asio::yield_context &yield)
    {
        EndpointRequest request;
        request.address = command.address;
        request.target = m_call.target;
        const bool chat = m_call.arrived.kind == CallKind::Chat;
        request.body = chat ? withOutputLimit(m_call.body, command.maxOutput, m_call.streamed) : m_call.body;
        request.contentType = m_contentType.empty() ? std::string(JsonType) : m_contentType;
        request.requestId = command.requestId;
        request.priority = command.priority;
        request.repeatable = command.repeatable;
        request.chat = chat;
        request.resumable = chat && command.repeatable;
        request.timeLimit = command.timeLimit;
        if (!runAttempt(request, mailbox, yield)) {
            return true;
        }
        AttemptEnded ended;
        ended.call = m_callId;
        ended.attempt = command.attempt;
        ended.result = m_outcome.result;
        ended.answerBegun = m_answerBegun;
        if (m_outcome.usage) {
            ended.used = m_outcome.usage->prompt + m_outcome.usage->completion;
        } else if (m_outcome.streamed) {
            // An engine that states no usage is billed by what was relayed and the prompt's bound.
            ended.used = static_cast<Tokens>(m_outcome.tokens) + m_call.arrived.promptBound;
        } else if (chat && m_outcome.status >= 300) {
            ended.used = 0; // The engine refused the request; it generated nothing.
        } else if (chat) {
            ended.used = command.maxOutput + m_call.arrived.promptBound;
        }
        if (!command.repeatable && m_outcome.result == AttemptResult::Completed) {
            ended.answer = packAnswer(m_outcome);
        }
        m_shared.post(std::move(ended));
        return true;
    }

    bool carryOut(const ForwardCall &command, CallMailbox &mailbox, const asio::yield_context &yield)
    {
        EndpointRequest request;
        request.address = command.address;
        request.target = m_originalTarget;
        request.body = m_call.body;
        request.contentType = m_contentType.empty() ? std::string(JsonType) : m_contentType;
        request.requestId = m_call.arrived.idempotencyKey;
        request.passedOn = m_passedOn;
        request.priority = m_call.arrived.priority;
        request.repeatable = m_call.arrived.repeatable.value_or(m_call.arrived.kind == CallKind::Chat);
        request.chat = m_call.arrived.kind == CallKind::Chat;
        request.forwarded = true;
        if (!runAttempt(request, mailbox, yield)) {
            return true;
        }
        const bool delivered = m_outcome.result != AttemptResult::ConnectFailed;
        m_shared.post(ForwardEnded{m_callId, delivered});
        if (!delivered) {
            return true; // The control thread names another router or refuses.
        }
        if (m_outcome.result != AttemptResult::Completed) {
            Error error{ErrorKind::AnswerIncomplete, "the router that held the budget broke off"};
            error.execution = Execution::Unknown;
            error.retryAfter = BrokenForwardRetry;
            finishWithError(error, yield);
        } else if (m_outcome.streamed) {
            endStream({}, yield);
        } else {
            sendBody(m_outcome.status, m_outcome.contentType, m_outcome.body, m_outcome.retryAfter, yield);
        }
        return false;
    }

    bool carryOut(const RefuseCall &command, CallMailbox &, const asio::yield_context &yield)
    {
        finishWithError(command.error, yield);
        return false;
    }

    bool carryOut(const AbortCall &command, CallMailbox &, const asio::yield_context &yield)
    {
        finishWithError(command.error, yield);
        return false;
    }

    bool carryOut(const ReleaseCall &, CallMailbox &, const asio::yield_context &yield)
    {
        if (m_outcome.streamed) {
            endStream(m_outcome.tail, yield);
        } else {
            sendBody(m_outcome.status, m_outcome.contentType, m_outcome.body, m_outcome.retryAfter, yield);
        }
        return false;
    }

    bool carryOut(const ReplayCall &command, CallMailbox &, const asio::yield_context &yield)
    {
        const auto kept = unpackAnswer(command.answer);
        if (kept) {
            sendBody(kept->status, kept->contentType, kept->body, std::nullopt, yield);
        } else {
            Error error{ErrorKind::OutcomeUnknown, "the request ran; its answer was not kept"};
            error.execution = Execution::Run;
            sendError(error, yield);
        }
        return false;
    }

    bool carryOut(const AnswerCall &command, CallMailbox &, const asio::yield_context &yield)
    {
        sendBody(200, JsonType, command.json, std::nullopt, yield);
        return false;
    }

    // Runs one attempt into m_outcome. Returns false when it was broken off: by the caller's leaving or by a command
    // that waits in the mailbox, so that its end is not news.
    bool runAttempt(const EndpointRequest &request, CallMailbox &mailbox, const asio::yield_context &yield)
    {
        EndpointAttempt attempt(m_shared.io, m_shared.pool);
        mailbox.interrupt = [&attempt, &mailbox, &request] {
            // A not-repeatable request that was sent runs on without its caller, so that its outcome is known when
            // the caller asks again with the same id.
            if (request.repeatable || mailbox.hasCommand()) {
                attempt.cancel();
            }
        };
        m_outcome = attempt.run(
            request,
            [&](std::string_view event) {
                return relayEvent(event, yield);
            },
            yield);
        mailbox.interrupt = nullptr;
        if (m_outcome.callerGone) {
            mailbox.closeByCaller();
        }
        return (!request.repeatable || !mailbox.callerGone()) && !mailbox.hasCommand();
    }

    bool relayEvent(std::string_view event, const asio::yield_context &yield)
    {
        if (!m_answerBegun) {
            m_answerBegun = true;
            m_shared.post(FirstToken{m_callId});
            if (!beginStream(yield)) {
                return false;
            }
        }
        return writeChunk(event, yield);
    }

    bool beginStream(const asio::yield_context &yield)
    {
        http::response<http::empty_body> response{http::status::ok, m_version};
        response.set(http::field::content_type, beastView(EventStreamType));
        response.set(http::field::cache_control, "no-store");
        response.set("Godwit-Request-Id", m_call.arrived.idempotencyKey);
        response.chunked(true);
        response.keep_alive(m_keepAlive);
        http::response_serializer<http::empty_body> serializer(response);
        beast::error_code error;
        transport().expires_after(m_shared.options.writeTimeout);
        http::async_write_header(m_stream, serializer, yield[error]);
        return checkWrite(error);
    }

    bool writeChunk(std::string_view bytes, const asio::yield_context &yield)
    {
        beast::error_code error;
        transport().expires_after(m_shared.options.writeTimeout);
        asio::async_write(m_stream, http::make_chunk(asio::buffer(bytes.data(), bytes.size())), yield[error]);
        transport().expires_never();
        return checkWrite(error);
    }

    void endStream(const std::string &tail, const asio::yield_context &yield)
    {
        if (!m_answerBegun) {
            m_answerBegun = true;
            if (!beginStream(yield)) {
                return;
            }
        }
        if (!tail.empty() && !writeChunk(tail, yield)) {
            return;
        }
        beast::error_code error;
        transport().expires_after(m_shared.options.writeTimeout);
        asio::async_write(m_stream, http::make_chunk_last(), yield[error]);
        checkWrite(error);
    }

    void finishWithError(const Error &error, const asio::yield_context &yield)
    {
        if (!m_answerBegun) {
            sendError(error, yield);
            return;
        }
        // The stream ends without its last chunk: a caller that overlooks the event still sees a cut answer.
        writeChunk("data: " + errorToJson(error) + "\n\n", yield);
        m_keepAlive = false;
    }

    void sendError(const Error &error, const asio::yield_context &yield)
    {
        sendBody(static_cast<unsigned>(errorStatus(error.kind)), JsonType, errorToJson(error), error.retryAfter, yield);
    }

    void sendBody(unsigned status,
                  std::string_view type,
                  const std::string &body,
                  const std::optional<Duration> &retryAfter,
                  const asio::yield_context &yield)
    {
        http::response<http::string_body> response{static_cast<http::status>(status), m_version};
        response.set(http::field::content_type, beastView(type));
        if (retryAfter) {
            response.set(http::field::retry_after, retryAfterSeconds(*retryAfter));
        }
        if (!m_call.arrived.idempotencyKey.empty()) {
            response.set("Godwit-Request-Id", m_call.arrived.idempotencyKey);
        }
        response.keep_alive(m_keepAlive);
        response.body() = body;
        response.prepare_payload();
        beast::error_code error;
        transport().expires_after(m_shared.options.writeTimeout);
        http::async_write(m_stream, response, yield[error]);
        checkWrite(error);
    }

    bool checkWrite(const beast::error_code &error)
    {
        if (error) {
            m_keepAlive = false;
        }
        return !error;
    }

    Stream m_stream;
    CallerShared &m_shared;
    beast::flat_buffer m_buffer;
    ParsedCall m_call;
    AttemptOutcome m_outcome;
    CallId m_callId;
    std::vector<RequestHeader> m_passedOn;
    std::string m_contentType;
    std::string m_originalTarget;
    unsigned m_version = 11;
    bool m_keepAlive = true;
    bool m_answerBegun = false;
};

} // namespace

void serveConnection(beast::tcp_stream stream, CallerShared &shared, const asio::yield_context &yield)
{
    Session<beast::tcp_stream> session(std::move(stream), shared);
    session.run(yield);
}

void serveConnection(beast::ssl_stream<beast::tcp_stream> stream,
                     CallerShared &shared,
                     const asio::yield_context &yield)
{
    beast::error_code error;
    beast::get_lowest_layer(stream).expires_after(shared.options.headerTimeout);
    stream.async_handshake(asio::ssl::stream_base::server, yield[error]);
    if (error) {
        return;
    }
    Session<beast::ssl_stream<beast::tcp_stream>> session(std::move(stream), shared);
    session.run(yield);
}

} // namespace Godwit
