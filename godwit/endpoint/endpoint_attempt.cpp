#include "godwit/endpoint/endpoint_attempt.h"

#include "godwit/base/json_text.h"
#include "godwit/base/kept_bytes.h"
#include "godwit/http/address.h"
#include "godwit/http/http_status.h"

#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::size_t ReadChunkBytes = 16UL * 1024;

// Bound of the memory of all answers being read, and what each of them may take beyond it.
constexpr std::size_t MaxKeptBytes = 64UL * 1024 * 1024;
constexpr std::size_t MinAnswerBytes = 256UL * 1024;

constexpr int MaxInterimResponses = 32;

// What may follow the closing event of a stream. The answer is whole by then; only its connection's reuse depends on
// it.
constexpr std::size_t MaxDrainedBytes = 64UL * 1024;
constexpr Duration DrainTimeout = std::chrono::milliseconds(200);
constexpr std::string_view EventStreamType = "text/event-stream";
constexpr std::string_view NotRunHeader = "Godwit-Not-Run";

using Parser = http::response_parser<http::buffer_body>;

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

http::request<http::string_body> makeRequest(const EndpointRequest &from)
{
    http::request<http::string_body> request{http::verb::post, from.target, 11};
    request.set(http::field::host, from.address);
    request.set(http::field::content_type, from.contentType);
    request.set("Godwit-Request-Id", from.requestId);
    request.set("Idempotency-Key", from.requestId);
    request.set("Godwit-Priority", std::to_string(from.priority));
    if (from.forwarded) {
        request.set("Godwit-Forwarded", "1");
    }
    for (const auto &header : from.passedOn) {
        request.set(header.name, header.value);
    }
    request.keep_alive(true);
    request.body() = from.body;
    request.prepare_payload();
    return request;
}

// Of an object or array no proper prefix is a document, unlike of a number.
bool isJsonDocument(std::string_view body)
{
    const auto document = tryParseJson(body);
    return document.is_object() || document.is_array();
}

// Engines send events without text too, such as one that only names the role; a resumed stream counts tokens.
bool carriesText(std::string_view event)
{
    constexpr std::string_view key = "\"content\":";
    const std::size_t found = event.find(key);
    if (found == std::string_view::npos) {
        return false;
    }
    const std::size_t value = event.find_first_not_of(' ', found + key.size());
    return value != std::string_view::npos && event[value] == '"' && event.substr(value + 1, 1) != "\"";
}

std::optional<Duration> retryAfterOf(const Parser &parser)
{
    const auto text = parser.get()[http::field::retry_after];
    long seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (text.empty() || parsed.ec != std::errc{} || seconds < 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

class EndpointAttempt::Impl
{
public:
    Impl(asio::io_context &io, EndpointPool &pool)
        : m_io(io)
        , m_pool(pool)
    {
    }

    AttemptOutcome run(const EndpointRequest &request, const Relay &relay, const asio::yield_context &yield)
    {
        AttemptOutcome outcome;
        // A not-repeatable request gets a fresh connection: an endpoint may close an idle one while the request is
        // on its way, and then nobody could say whether it ran.
        bool fresh = !request.repeatable;
        bool sent = false;
        for (;;) {
            if (!open(request, fresh, yield)) {
                outcome.cancelled = m_cancelled;
                // The endpoint may have died with the request that went out on its idle connection: told "not run", the
                // caller of a chat that was begun would hear an untruth.
                outcome.result = sent ? AttemptResult::ConnectionBroken : AttemptResult::ConnectFailed;
                return outcome;
            }
            const bool reused = m_connection->reused;
            exchange(request, relay, outcome, yield);
            const bool staleConnection =
                reused && outcome.result == AttemptResult::ConnectionBroken && !m_answerStarted && !m_cancelled;
            if (!staleConnection) {
                break;
            }
            // The endpoint closed an idle connection; that is no sign of a crash. Only repeatable requests get here.
            fresh = true;
            sent = true;
        }
        if (outcome.result == AttemptResult::ConnectionBroken && outcome.streamed && request.resumable && !m_cancelled
            && !outcome.callerGone) {
            resume(request, relay, outcome, yield);
        }
        outcome.cancelled = m_cancelled;
        return outcome;
    }

    void cancel()
    {
        m_cancelled = true;
        if (m_connection) {
            m_connection->stream.cancel();
            beast::error_code ignored;
            m_connection->stream.socket().close(ignored);
        }
    }

private:
    bool open(const EndpointRequest &request, bool fresh, const asio::yield_context &yield)
    {
        if (!fresh) {
            m_connection = m_pool.take(request.address);
            if (m_connection) {
                return true;
            }
        }
        LastReason reason;
        const auto address = parseAddress(request.address, reason);
        if (!address) {
            return false;
        }
        m_connection = std::make_unique<EndpointConnection>(m_io);
        beast::error_code error;
        m_connection->stream.expires_after(request.connectTimeout);
        m_connection->stream.async_connect(*address, yield[error]);
        if (error || m_cancelled) {
            m_connection.reset();
            return false;
        }
        m_connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
        return true;
    }

    // Sends the request and reads its answer. The connection goes back to the pool after a whole answer.
    void exchange(const EndpointRequest &from,
                  const Relay &relay,
                  AttemptOutcome &outcome,
                  const asio::yield_context &yield)
    {
        m_answerStarted = false;
        outcome.result = AttemptResult::ConnectionBroken;
        auto request = makeRequest(from);
        beast::error_code error;
        m_connection->stream.expires_after(from.timeLimit);
        http::async_write(m_connection->stream, request, yield[error]);
        if (error) {
            finish(error, outcome);
            return;
        }
        std::optional<Parser> finalParser;
        readHead(finalParser, error, yield);
        if (error) {
            finish(error, outcome);
            return;
        }
        Parser &parser = *finalParser;
        m_answerStarted = true;
        if (!isStatus(parser.get().result_int())) {
            m_connection.reset();
            return;
        }
        outcome.status = parser.get().result_int();
        outcome.contentType = std::string(parser.get()[http::field::content_type]);
        outcome.retryAfter = retryAfterOf(parser);
        outcome.streamed = startsWith(outcome.contentType, EventStreamType);
        if (outcome.streamed) {
            readEvents(from, parser, relay, outcome, yield);
        } else {
            readBody(from, parser, outcome, yield);
        }
        if (outcome.result == AttemptResult::Completed && parser.is_done() && parser.keep_alive()) {
            m_pool.give(from.address, std::move(m_connection));
        }
        m_connection.reset();
        judgeStatus(from, parser, outcome);
    }

    // Reads heads up to the first that isn't interim.
    void readHead(std::optional<Parser> &parser, beast::error_code &error, const asio::yield_context &yield)
    {
        for (int heads = 0; heads <= MaxInterimResponses; ++heads) {
            parser.emplace();
            parser->body_limit(boost::none);
            http::async_read_header(m_connection->stream, m_connection->buffer, *parser, yield[error]);
            if (error || parser->get().result_int() / 100 != 1) {
                return;
            }
        }
        error = http::error::bad_status;
    }

    // Whether this answer may take `bytes` of memory; counts them if so.
    bool mayKeep(KeptBytes &kept, std::size_t bytes)
    {
        kept.set(bytes);
        return bytes <= MinAnswerBytes || m_pool.keptBytes() <= MaxKeptBytes;
    }

    // Turns an answer that was read whole into what it says about the request.
    static void judgeStatus(const EndpointRequest &from, const Parser &parser, AttemptOutcome &outcome)
    {
        if (outcome.result != AttemptResult::Completed || from.forwarded) {
            return;
        }
        if (parser.get()[NotRunHeader] == "true") {
            outcome.result = AttemptResult::RejectedNotRun;
            return;
        }
        if (from.chat && outcome.status == 429) {
            outcome.result = AttemptResult::RejectedNotRun;
            return;
        }
        // A service's failure is its own answer to its caller. A model engine's is worth another replica.
        if (from.chat && outcome.status >= 500) {
            outcome.result = AttemptResult::ServerError;
        }
    }

    void finish(const beast::error_code &error, AttemptOutcome &outcome)
    {
        outcome.result = error == beast::error::timeout ? AttemptResult::TimedOut : AttemptResult::ConnectionBroken;
        m_connection.reset();
    }

    // Reads some of the body into m_chunk. Returns false at the end or on an error.
    bool readSome(Parser &parser, std::string_view &bytes, beast::error_code &error, const asio::yield_context &yield)
    {
        if (parser.is_done()) {
            return false;
        }
        if (m_chunk.empty()) {
            m_chunk.resize(ReadChunkBytes);
        }
        parser.get().body().data = m_chunk.data();
        parser.get().body().size = m_chunk.size();
        parser.get().body().more = true;
        http::async_read_some(m_connection->stream, m_connection->buffer, parser, yield[error]);
        if (error == http::error::need_buffer) {
            error = {};
        }
        bytes = std::string_view(m_chunk.data(), m_chunk.size() - parser.get().body().size);
        return !error;
    }

    void readBody(const EndpointRequest &from,
                  Parser &parser,
                  AttemptOutcome &outcome,
                  const asio::yield_context &yield)
    {
        std::string_view bytes;
        beast::error_code error;
        KeptBytes kept(m_pool.keptBytes());
        while (readSome(parser, bytes, error, yield)) {
            outcome.body.append(bytes);
            if (outcome.body.size() > from.maxAnswerBytes || !mayKeep(kept, outcome.body.capacity())) {
                std::string().swap(outcome.body);
                return;
            }
        }
        if (error) {
            outcome.result = error == beast::error::timeout ? AttemptResult::TimedOut : AttemptResult::ConnectionBroken;
            return;
        }
        // The end of a connection does not show that a body is whole; a JSON document shows it itself.
        if (parser.need_eof() && !isJsonDocument(outcome.body)) {
            return;
        }
        outcome.result = AttemptResult::Completed;
        if (from.chat) {
            outcome.usage = usageOfBody(outcome.body);
        }
    }

    void readEvents(const EndpointRequest &from,
                    Parser &parser,
                    const Relay &relay,
                    AttemptOutcome &outcome,
                    const asio::yield_context &yield)
    {
        EventSplitter splitter;
        std::string_view bytes;
        beast::error_code error;
        bool done = false;
        KeptBytes kept(m_pool.keptBytes());
        while (!done && readSome(parser, bytes, error, yield)) {
            appendBytes(splitter, bytes);
            for (auto event = takeEvent(splitter); event && !done; event = takeEvent(splitter)) {
                done = isDoneEvent(*event);
                if (!takeOne(from, *event, relay, outcome)) {
                    outcome.callerGone = true;
                    return;
                }
            }
            const std::size_t memory = splitter.buffer.capacity() + outcome.tail.capacity();
            if (pendingBytes(splitter) + outcome.tail.size() > from.maxAnswerBytes || !mayKeep(kept, memory)) {
                return;
            }
        }
        // The answer is whole only with its closing event: a connection that ends without it was cut, whatever its
        // framing says.
        if (done) {
            drain(parser, yield);
            outcome.result = AttemptResult::Completed;
        } else if (error == beast::error::timeout) {
            outcome.result = AttemptResult::TimedOut;
        }
    }

    // Reads what follows the closing event, so that the connection can be used again.
    void drain(Parser &parser, const asio::yield_context &yield)
    {
        std::string_view bytes;
        beast::error_code error;
        std::size_t drained = 0;
        m_connection->stream.expires_after(DrainTimeout);
        while (drained <= MaxDrainedBytes && readSome(parser, bytes, error, yield)) {
            drained += bytes.size();
        }
    }

    // Relays an event, or holds it back when it ends the answer. Returns false when the caller is gone.
    static bool takeOne(const EndpointRequest &from,
                        const std::string &event,
                        const Relay &relay,
                        AttemptOutcome &outcome)
    {
        if (from.forwarded) {
            ++outcome.tokens;
            return relay(event);
        }
        const auto usage = usageOfEvent(event);
        if (usage || isDoneEvent(event)) {
            outcome.usage = usage ? usage : outcome.usage;
            outcome.tail += event;
            return true;
        }
        outcome.tokens += carriesText(event) ? 1 : 0;
        return relay(event);
    }

    // Continues a stream that broke, at the endpoint that made it: only that one still has the rest.
    void resume(const EndpointRequest &from,
                const Relay &relay,
                AttemptOutcome &outcome,
                const asio::yield_context &yield)
    {
        EndpointRequest again = from;
        again.target = "/v1/resume";
        again.body = nlohmann::json{{"request_id", from.requestId}, {"from_token", outcome.tokens}}.dump();
        AttemptOutcome rest;
        rest.tokens = outcome.tokens;
        if (!open(again, true, yield)) {
            return;
        }
        exchange(again, relay, rest, yield);
        if (rest.result != AttemptResult::Completed || !rest.streamed) {
            return;
        }
        outcome = std::move(rest);
    }

    asio::io_context &m_io;
    EndpointPool &m_pool;
    std::unique_ptr<EndpointConnection> m_connection;
    std::string m_chunk;
    bool m_cancelled = false;
    bool m_answerStarted = false;
};

EndpointAttempt::EndpointAttempt(asio::io_context &io, EndpointPool &pool)
    : m_impl(std::make_unique<Impl>(io, pool))
{
}

EndpointAttempt::~EndpointAttempt() = default;

AttemptOutcome EndpointAttempt::run(const EndpointRequest &request,
                                    const Relay &relay,
                                    const asio::yield_context &yield)
{
    return m_impl->run(request, relay, yield);
}

void EndpointAttempt::cancel()
{
    m_impl->cancel();
}

} // namespace Godwit
