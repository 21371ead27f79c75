#include "godwit/relay/endpoint_exchange.h"

#include "godwit/base/enum_names.h"
#include "godwit/http/address.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr EnumName<ExchangeFailure> ExchangeFailureNames[] = {
    {ExchangeFailure::NotConnected, "not_connected"},
    {ExchangeFailure::Withdrawn, "endpoint_left"},
    {ExchangeFailure::Unanswered, "unanswered"},
    {ExchangeFailure::Broken, "connection_broken"},
    {ExchangeFailure::Malformed, "malformed_answer"},
};

constexpr EnumName<WithdrawalOutcome> WithdrawalOutcomeNames[] = {
    {WithdrawalOutcome::NotRun, "not_run"},
    {WithdrawalOutcome::Unanswered, "unanswered"},
    {WithdrawalOutcome::Answered, "answered"},
    {WithdrawalOutcome::Unknown, "unknown"},
};

// An endpoint's head is a few hundred bytes.
constexpr std::uint32_t MaxAnswerHeadBytes = 32U * 1024;

// Bodies are passed on as they come and never gathered here; the library reserves a declared length, though.
constexpr std::uint64_t MaxAnswerBytes = 64ULL * 1024 * 1024;

AnswerFraming framingOf(const http::response_parser<http::string_body> &parser)
{
    if (parser.chunked()) {
        return AnswerFraming::Chunked;
    }
    return parser.need_eof() ? AnswerFraming::Connection : AnswerFraming::Length;
}

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace

std::string_view exchangeFailureName(ExchangeFailure failure)
{
    return enumName(ExchangeFailureNames, failure);
}

std::string_view withdrawalOutcomeName(WithdrawalOutcome outcome)
{
    return enumName(WithdrawalOutcomeNames, outcome);
}

EndpointExchange::EndpointExchange(asio::io_context &io,
                                   ConnectionPool &pool,
                                   ExchangeOptions options,
                                   ExchangeHandlers handlers)
    : m_io(io)
    , m_pool(pool)
    , m_options(options)
    , m_handlers(std::move(handlers))
    , m_timer(io)
{
}

void EndpointExchange::start(const EndpointId &endpoint,
                             const std::string &address,
                             std::string bytes,
                             std::string attemptId)
{
    m_endpoint = endpoint;
    m_bytes = std::move(bytes);
    m_attemptId = std::move(attemptId);
    startParser();
    m_socket = m_pool.take(endpoint, steadyNow());
    if (m_socket) {
        send();
        return;
    }
    m_newConnection = true;
    connect(address);
}

void EndpointExchange::cancel()
{
    if (isOver()) {
        return;
    }
    closeConnection();
    clearHandlers();
}

void EndpointExchange::withdraw(Duration limit, std::function<void(WithdrawalOutcome)> done)
{
    if (m_phase != Phase::Sent || answerHasBegun()) {
        const bool nothingSent = m_phase == Phase::Connecting;
        cancel();
        done(nothingSent ? WithdrawalOutcome::NotRun : WithdrawalOutcome::Answered);
        return;
    }
    m_withdrawn = std::move(done);
    clearHandlers();
    beast::error_code ignored;
    m_socket->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](const beast::error_code &error) {
        if (!error) {
            self->endWithdrawal(WithdrawalOutcome::Unknown);
        }
    });
    resume();
}

// Not at once: a handler may be what calls this.
void EndpointExchange::clearHandlers()
{
    asio::post(m_io, [self = shared_from_this()] {
        self->m_handlers = {};
    });
}

bool EndpointExchange::answerHasBegun() const
{
    return m_headTaken && !m_skipping && m_parser->get().result_int() / 100 != 1;
}

void EndpointExchange::endWithdrawal(WithdrawalOutcome outcome)
{
    if (isOver()) {
        return;
    }
    closeConnection();
    const auto done = std::exchange(m_withdrawn, {});
    done(outcome);
}

void EndpointExchange::pause()
{
    m_paused = true;
}

void EndpointExchange::resume()
{
    if (std::exchange(m_paused, false) && !m_reading && !isOver()) {
        read();
    }
}

void EndpointExchange::connect(const std::string &address)
{
    LastReason reason;
    const auto target = parseAddress(address, reason);
    if (!target) {
        asio::post(m_io, [self = shared_from_this()] {
            self->giveUpConnecting(ExchangeFailure::NotConnected);
        });
        return;
    }
    m_socket.emplace(m_io);
    m_timer.expires_after(m_options.connectTimeout);
    m_timer.async_wait([self = shared_from_this()](const beast::error_code &error) {
        if (!error) {
            self->giveUpConnecting(ExchangeFailure::NotConnected);
        }
    });
    m_socket->async_connect(*target, [self = shared_from_this()](const beast::error_code &error) {
        self->onConnected(error);
    });
}

void EndpointExchange::onConnected(const beast::error_code &error)
{
    if (m_phase != Phase::Connecting) {
        return;
    }
    m_timer.cancel();
    if (error) {
        giveUpConnecting(ExchangeFailure::NotConnected);
        return;
    }
    if (m_handlers.maySend && !m_handlers.maySend()) {
        giveUpConnecting(ExchangeFailure::Withdrawn);
        return;
    }
    beast::error_code ignored;
    m_socket->set_option(asio::ip::tcp::no_delay(true), ignored);
    setAcknowledgementLimit(*m_socket, m_options.acknowledgementLimit);
    send();
}

// The only way to a failure without a byte sent. The timer's handler may already wait in the loop's queue when the
// connection comes about, and cancelling the timer doesn't take it back: it would then report that no byte went out
// while the endpoint runs the request, and a second endpoint would get it. Once the request is being sent this does
// nothing.
void EndpointExchange::giveUpConnecting(ExchangeFailure failure)
{
    if (m_phase == Phase::Connecting) {
        fail(failure);
    }
}

void EndpointExchange::send()
{
    m_phase = Phase::Sent;
    if (m_handlers.onSending) {
        m_handlers.onSending();
    }
    asio::async_write(
        *m_socket, asio::buffer(m_bytes), [self = shared_from_this()](const beast::error_code &error, std::size_t) {
            // A failed write shows in the read as well, after what the endpoint still said.
            self->m_written = !error;
        });
    read();
}

void EndpointExchange::read()
{
    m_reading = true;
    m_socket->async_read_some(m_buffer.prepare(m_options.readBytes),
                              [self = shared_from_this()](const beast::error_code &error, std::size_t count) {
                                  self->m_reading = false;
                                  if (!self->isOver()) {
                                      self->onRead(error, count);
                                  }
                              });
}

void EndpointExchange::onRead(const beast::error_code &error, std::size_t count)
{
    m_buffer.commit(count);
    if (error) {
        m_connectionEnd = error == asio::error::eof ? ConnectionEnd::InOrder : ConnectionEnd::Broken;
    }
    const bool ownAnswerOpen = m_headTaken && !m_skipping && !m_parser->is_done();
    if (error == asio::error::eof && ownAnswerOpen && m_parser->need_eof()) {
        // An answer without a length ends with its connection, if that ends in order.
        beast::error_code ignored;
        m_parser->put_eof(ignored);
        answerEnds();
        return;
    }
    if (error && m_withdrawn) {
        endWithdrawal(endsUnanswered(error) ? WithdrawalOutcome::Unanswered : WithdrawalOutcome::Unknown);
        return;
    }
    if (error) {
        fail(endsUnanswered(error) ? ExchangeFailure::Unanswered : ExchangeFailure::Broken);
        return;
    }
    if (!parse() || isOver()) {
        return;
    }
    if (!m_paused) {
        read();
    }
}

// Whether the endpoint has sent no byte of an answer: an end in order comes after all that it had sent, while a reset
// may have overtaken it.
bool EndpointExchange::endsUnanswered(const beast::error_code &error) const
{
    return error == asio::error::eof && m_buffer.size() == 0 && !m_parser->got_some();
}

// False when this exchange has ended.
bool EndpointExchange::parse()
{
    while (m_buffer.size() > 0) {
        beast::error_code error;
        const std::size_t used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        if (error && error != http::error::need_more) {
            fail(ExchangeFailure::Malformed);
            return false;
        }
        if (m_parser->is_header_done() && !m_headTaken && !takeHead()) {
            return false;
        }
        passBody();
        if (isOver()) {
            return false;
        }
        if (m_parser->is_done()) {
            if (m_skipping || m_parser->get().result_int() / 100 == 1) {
                startParser();
                continue;
            }
            answerEnds();
            return false;
        }
        if (error == http::error::need_more || used == 0) {
            break;
        }
    }
    return true;
}

bool EndpointExchange::takeHead()
{
    m_headTaken = true;
    const auto &head = m_parser->get().base();
    if (head.result_int() / 100 == 1) {
        return true;
    }
    m_facts = parseResponseHead(head);
    m_facts.framing = framingOf(*m_parser);
    // A second answer to an earlier request on this connection may come in the place of ours.
    m_skipping = !m_facts.attemptId.empty() && m_facts.attemptId != m_attemptId;
    if (m_skipping) {
        return true;
    }
    if (m_withdrawn) {
        endWithdrawal(m_facts.notRun ? WithdrawalOutcome::NotRun : WithdrawalOutcome::Answered);
        return false;
    }
    m_handlers.onHead(head, m_facts);
    return !isOver();
}

void EndpointExchange::passBody()
{
    std::string &body = m_parser->get().body();
    if (!body.empty() && !m_skipping && m_headTaken) {
        m_handlers.onBody(body);
    }
    if (!isOver()) {
        m_parser->get().body().clear();
    }
}

void EndpointExchange::answerEnds()
{
    const auto &facts = m_facts;
    // The rest of a request that is still being sent, or bytes after the answer, would spoil the next exchange.
    const bool reusable = m_written && m_buffer.size() == 0 && !facts.leaving && m_parser->keep_alive();
    if (reusable) {
        Duration keep = m_options.keepIdle;
        if (facts.keepAlive) {
            keep = std::min(keep, *facts.keepAlive - m_options.keepMargin);
        }
        if (keep > Duration::zero()) {
            m_pool.giveBack(m_endpoint, std::move(*m_socket), steadyNow() + keep);
        }
    }
    finish();
}

void EndpointExchange::finish()
{
    m_phase = Phase::Over;
    m_timer.cancel();
    m_socket.reset();
    const auto handlers = std::exchange(m_handlers, {});
    handlers.onEnd();
}

void EndpointExchange::fail(ExchangeFailure failure)
{
    if (isOver()) {
        return;
    }
    if (m_withdrawn) {
        endWithdrawal(WithdrawalOutcome::Unknown);
        return;
    }
    closeConnection();
    const auto handlers = std::exchange(m_handlers, {});
    handlers.onFailed(failure);
}

void EndpointExchange::closeConnection()
{
    m_phase = Phase::Over;
    m_timer.cancel();
    if (m_socket) {
        beast::error_code ignored;
        m_socket->close(ignored);
    }
}

void EndpointExchange::startParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(MaxAnswerHeadBytes);
    m_parser->body_limit(MaxAnswerBytes);
    m_headTaken = false;
    m_skipping = false;
}

} // namespace Godwit
