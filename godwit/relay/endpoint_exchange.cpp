#include "godwit/relay/endpoint_exchange.h"

#include "godwit/base/enum_names.h"
#include "godwit/http/address.h"
#include "godwit/http/http_status.h"
#include "godwit/relay/socket_progress.h"

#include <boost/beast/http.hpp>

#include <algorithm>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr EnumName<ExchangeFailure> ExchangeFailureNames[] = {
    {ExchangeFailure::NotConnected, "not_connected"},
    {ExchangeFailure::EndpointLeft, "endpoint_left"},
    {ExchangeFailure::Unanswered, "unanswered"},
    {ExchangeFailure::Broken, "connection_broken"},
    {ExchangeFailure::Stalled, "endpoint_stalled"},
    {ExchangeFailure::Malformed, "malformed_answer"},
    {ExchangeFailure::TooLong, "answer_too_long"},
};

constexpr EnumName<WithdrawalOutcome> WithdrawalOutcomeNames[] = {
    {WithdrawalOutcome::NotRun, "not_run"},
    {WithdrawalOutcome::Unanswered, "unanswered"},
    {WithdrawalOutcome::Answered, "answered"},
    {WithdrawalOutcome::Unknown, "unknown"},
};

// Response heads of endpoints are a few hundred bytes.
constexpr std::uint32_t MaxAnswerHeadBytes = 32U * 1024;

constexpr std::uint64_t MaxAnswerBytes = 64ULL * 1024 * 1024;

// Bytes that the parser leaves in the buffer: part of a head, of a chunk's size with its extensions, or of trailers.
constexpr std::size_t MaxUnparsedBytes = MaxAnswerHeadBytes + 16UL * 1024;

// Responses to other attempts and interim responses, over the whole exchange.
constexpr std::uint64_t MaxSkippedBytes = 1024ULL * 1024;

ResponseFraming framingOf(const http::response_parser<AnswerBody> &parser)
{
    if (parser.chunked()) {
        return ResponseFraming::Chunked;
    }
    return parser.need_eof() ? ResponseFraming::Connection : ResponseFraming::Length;
}

// The kernel's timeout for a full receive buffer exceeds the stall timeout by this much, so that the latter applies.
constexpr Duration StalledReaderMargin = std::chrono::seconds(2);

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace

std::string_view exchangeFailureName(ExchangeFailure failure)
{
    return enumName(ExchangeFailureNames, failure);
}

bool nothingWasSent(ExchangeFailure failure)
{
    return failure == ExchangeFailure::NotConnected || failure == ExchangeFailure::EndpointLeft;
}

bool connectionWasLost(ExchangeFailure failure)
{
    return failure == ExchangeFailure::Unanswered || failure == ExchangeFailure::Broken;
}

std::string_view withdrawalOutcomeName(WithdrawalOutcome outcome)
{
    return enumName(WithdrawalOutcomeNames, outcome);
}

EndpointExchange::EndpointExchange(asio::io_context &io,
                                   ConnectionPool &pool,
                                   ExchangeOptions options,
                                   ExchangeHandlers handlers,
                                   std::shared_ptr<HeldBytes> held)
    : m_io(io)
    , m_pool(pool)
    , m_options(options)
    , m_handlers(std::move(handlers))
    , m_timer(io)
    , m_progressTimer(io)
    , m_heldBytes(std::move(held), HeldSide::Endpoint)
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
    if (auto kept = m_pool.acquire(endpoint, steadyNow())) {
        m_socket = std::move(kept->socket);
        m_openedAt = kept->openedAt;
        send();
        return;
    }
    m_newConnection = true;
    m_address = address;
    if (!m_handlers.mayConnectDirectly || m_handlers.mayConnectDirectly()) {
        connectDirectly();
    } else {
        borrowNext();
    }
}

void EndpointExchange::cancel()
{
    if (isDone()) {
        return;
    }
    closeConnection();
    clearHandlers();
}

void EndpointExchange::rejectAnswer()
{
    if (isDone()) {
        return;
    }
    const auto handlers = m_handlers; // One of them may be the caller of this function, so that they can't be moved.
    cancel();
    if (m_facts.notExecuted) {
        handlers.onEnd();
    } else {
        handlers.onFailed(ExchangeFailure::TooLong);
    }
}

void EndpointExchange::withdraw(Duration limit, std::function<void(WithdrawalOutcome)> done)
{
    if (m_phase != Phase::Sent || answerHasStarted()) {
        const bool nothingSent = m_phase == Phase::Connecting;
        cancel();
        done(nothingSent ? WithdrawalOutcome::NotRun : WithdrawalOutcome::Answered);
        return;
    }
    m_onWithdrawn = std::move(done);
    clearHandlers();
    beast::error_code ignored;
    m_socket->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](const beast::error_code &error) {
        if (!error) {
            self->completeWithdrawal(WithdrawalOutcome::Unknown);
        }
    });
    resume();
}

// Deferred, since this may be called from within a handler.
void EndpointExchange::clearHandlers()
{
    asio::post(m_io, [self = shared_from_this()] {
        self->m_handlers = {};
    });
}

bool EndpointExchange::answerHasStarted() const
{
    return m_headProcessed && !m_skipping && m_parser->get().result_int() / 100 != 1;
}

void EndpointExchange::completeWithdrawal(WithdrawalOutcome outcome)
{
    if (isDone()) {
        return;
    }
    closeConnection();
    const auto done = std::exchange(m_onWithdrawn, {});
    done(outcome);
}

void EndpointExchange::pause()
{
    m_paused = true;
}

void EndpointExchange::resume()
{
    if (std::exchange(m_paused, false) && !m_reading && !isDone()) {
        read();
    }
}

void EndpointExchange::borrowNext()
{
    m_timer.cancel();
    m_socket.reset();
    if (!m_lenders) {
        m_lenders = m_handlers.lenders ? m_handlers.lenders() : std::vector<Lender>();
    }
    if (m_lenders->empty()) {
        // Deferred, since start() may not call handlers.
        asio::post(m_io, [self = shared_from_this()] {
            self->failBeforeSend(ExchangeFailure::NotConnected);
        });
        return;
    }
    const Lender lender = std::move(m_lenders->front());
    m_lenders->erase(m_lenders->begin());
    borrowFrom(lender);
}

void EndpointExchange::connectDirectly()
{
    LastReason reason;
    const auto target = parseAddress(m_address, reason);
    if (!target) {
        borrowNext();
        return;
    }
    m_socket.emplace(m_io);
    m_openedAt = steadyNow();
    m_timer.expires_after(m_options.connectTimeout);
    m_timer.async_wait([self = shared_from_this()](const beast::error_code &error) {
        if (!error) {
            self->onNotConnected();
        }
    });
    m_socket->async_connect(*target, [self = shared_from_this()](const beast::error_code &error) {
        // Aborted: the timeout or cancel() came first.
        if (error != asio::error::operation_aborted) {
            self->onConnected(error);
        }
    });
}

void EndpointExchange::borrowFrom(const Lender &lender)
{
    LendingRequest request;
    request.endpoint = m_endpoint;
    request.address = m_address;
    m_borrower =
        ConnectionBorrower::start(m_io,
                                  lender,
                                  std::move(request),
                                  m_options.borrowTimeout,
                                  [self = shared_from_this()](LendingReply reply, ConnectionPool::Socket socket) {
                                      self->onBorrowed(reply, std::move(socket));
                                  });
}

void EndpointExchange::onBorrowed(LendingReply reply, ConnectionPool::Socket socket)
{
    m_borrower.reset();
    if (m_phase != Phase::Connecting) {
        return;
    }
    if (reply == LendingReply::Connected) {
        m_borrowed = true;
        m_socket.emplace(std::move(socket));
        onConnected({});
        return;
    }
    m_refusedElsewhere = reply == LendingReply::Refused;
    if (m_refusedElsewhere) {
        m_lenders->clear();
    }
    borrowNext();
}

void EndpointExchange::onConnected(const beast::error_code &error)
{
    if (m_phase != Phase::Connecting) {
        return;
    }
    if (error) {
        onNotConnected();
        return;
    }
    m_timer.cancel();
    if (m_handlers.maySend && !m_handlers.maySend()) {
        failBeforeSend(ExchangeFailure::EndpointLeft);
        return;
    }
    beast::error_code ignored;
    m_socket->set_option(asio::ip::tcp::no_delay(true), ignored);
    setTcpUserTimeout(*m_socket, m_options.tcpUserTimeout);
    limitUnsentBytes(*m_socket);
    send();
}

void EndpointExchange::onNotConnected()
{
    if (m_phase == Phase::Connecting) {
        reportDirect(DirectConnectionEvent::NotConnected);
        borrowNext();
    }
}

// The only function that reports a failure without a byte sent. The connect timer's handler may already be queued when
// the connection is established, and cancelling the timer does not remove it from the queue. It would then report that
// no byte was sent while the endpoint runs the request, and a second endpoint would get the request too. So this does
// nothing once sending has begun.
void EndpointExchange::failBeforeSend(ExchangeFailure failure)
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
    recordQueued(m_progress, m_bytes.size(), steadyNow());
    m_heldBytes.set(m_progress.queuedBytes);
    write();
    watchForSilence();
    read();
}

// Writes in parts, so that the endpoint's progress is seen.
void EndpointExchange::write()
{
    m_socket->async_write_some(asio::buffer(m_bytes) + static_cast<std::size_t>(m_progress.taken),
                               [self = shared_from_this()](const beast::error_code &error, std::size_t count) {
                                   if (!self->isDone()) {
                                       self->onWritten(error, count);
                                   }
                               });
}

void EndpointExchange::onWritten(const beast::error_code &error, std::size_t count)
{
    if (error) {
        // Also surfaces as a read error, after any response bytes that were already received.
        m_writeFailed = true;
        m_progressTimer.cancel();
        if (m_endRead) {
            m_connectionEnd = ConnectionEnd::Broken;
            reportConnectionLoss(error);
            fail(ExchangeFailure::Broken);
        }
        return;
    }
    reportBytes(0, count);
    recordTaken(m_progress, count, steadyNow());
    m_heldBytes.set(m_progress.queuedBytes);
    if (m_progress.queuedBytes == 0) {
        m_written = true;
        m_progressTimer.cancel();
        if (std::exchange(m_timeoutExtended, false)) {
            setTcpUserTimeout(*m_socket, m_options.tcpUserTimeout); // Also for later requests on this connection.
        }
        std::string().swap(m_bytes);
        if (m_endRead) {
            endWithConnection();
        }
        return;
    }
    write();
    if (!m_watchingProgress) {
        m_watchingProgress = true;
        watchProgress();
    }
}

void EndpointExchange::watchProgress()
{
    m_progressTimer.expires_after(nextProgressCheck(m_progress, m_options.stalledReaderTimeout, steadyNow()));
    m_progressTimer.async_wait([self = shared_from_this()](const beast::error_code &error) {
        if (!error && !self->isDone() && !self->m_written) {
            self->checkProgress();
        }
    });
}

void EndpointExchange::checkProgress()
{
    const TimePoint now = steadyNow();
    recordAcknowledged(m_progress, unacknowledgedBytes(*m_socket), now);
    if (isStalled(m_progress, m_options.stalledReaderTimeout, now) && (!answerHasStarted() || m_endRead)) {
        // Frees what the kernel still holds for the endpoint.
        beast::error_code ignored;
        m_socket->set_option(asio::socket_base::linger(true, 0), ignored);
        fail(ExchangeFailure::Stalled);
        return;
    }
    if (!m_timeoutExtended && isReceiverFull(*m_socket)) {
        m_timeoutExtended = true;
        // The host is alive, but the kernel's timeout applies to a full receive buffer as well.
        setTcpUserTimeout(*m_socket,
                          std::max(m_options.tcpUserTimeout, m_options.stalledReaderTimeout + StalledReaderMargin));
    }
    watchProgress();
}

void EndpointExchange::watchForSilence()
{
    m_timer.expires_after(m_options.silenceLimit);
    m_timer.async_wait([self = shared_from_this()](const beast::error_code &error) {
        if (!error && !self->isDone() && !self->m_received) {
            self->reportDirect(DirectConnectionEvent::Silent);
        }
    });
}

void EndpointExchange::reportDirect(DirectConnectionEvent event)
{
    if (m_handlers.onDirectConnection && !m_borrowed) {
        m_handlers.onDirectConnection(event, m_openedAt);
    }
}

void EndpointExchange::reportConnectionLoss(const beast::error_code &error)
{
    const bool reset = m_newConnection && !m_received && error != asio::error::eof;
    reportDirect(reset ? DirectConnectionEvent::Reset : DirectConnectionEvent::Broken);
}

void EndpointExchange::reportBytes(std::size_t received, std::size_t written)
{
    if (m_handlers.onBytes) {
        m_handlers.onBytes(received, written);
    }
}

void EndpointExchange::read()
{
    m_reading = true;
    m_socket->async_read_some(m_buffer.prepare(m_options.readBytes),
                              [self = shared_from_this()](const beast::error_code &error, std::size_t count) {
                                  self->m_reading = false;
                                  if (self->isDone()) {
                                      return;
                                  }
                                  // onRead() may clear the handlers.
                                  const auto afterRead = self->m_handlers.afterRead;
                                  self->onRead(error, count);
                                  if (afterRead) {
                                      afterRead();
                                  }
                              });
}

void EndpointExchange::onRead(beast::error_code error, std::size_t count)
{
    // After withdraw() the state of the connection is that of both directions.
    m_wasReset = error && !m_onWithdrawn && wasReset(*m_socket);
    m_endedAt = error ? steadyNow() - sinceLastSegment(*m_socket) : m_endedAt;
    if (error == asio::error::eof && (m_writeFailed || m_wasReset)) {
        error = asio::error::connection_reset;
    }
    m_buffer.commit(count);
    if (count > 0) {
        m_received = true;
        reportBytes(count, 0);
        reportDirect(DirectConnectionEvent::Answered);
    }
    if (error) {
        m_connectionEnd = error == asio::error::eof ? ConnectionEnd::Closed : ConnectionEnd::Broken;
    }
    const bool ownAnswerOpen = m_headProcessed && !m_skipping && !m_parser->is_done();
    if (error == asio::error::eof && ownAnswerOpen && m_parser->need_eof()) {
        // An endpoint that doesn't read the rest of the request resets the connection after such an end.
        m_endRead = !m_written;
        if (m_written) {
            endWithConnection();
        }
        return;
    }
    if (error) {
        reportConnectionLoss(error);
    }
    if (error && m_onWithdrawn) {
        completeWithdrawal(closedWithoutAnswer(error) ? WithdrawalOutcome::Unanswered : WithdrawalOutcome::Unknown);
        return;
    }
    if (error) {
        fail(closedWithoutAnswer(error) ? ExchangeFailure::Unanswered : ExchangeFailure::Broken);
        return;
    }
    if (!parse() || isDone()) {
        return;
    }
    if (!m_paused) {
        read();
    }
}

// Completes a response without a declared length, which is terminated by an orderly close.
void EndpointExchange::endWithConnection()
{
    beast::error_code ignored;
    m_parser->put_eof(ignored);
    completeAnswer();
}

bool EndpointExchange::requestWasTaken()
{
    return m_written && m_socket && !wasReset(*m_socket) && unacknowledgedBytes(*m_socket) == 0;
}

// Whether the endpoint has sent no byte of a response. Only an orderly close proves that: it is received after all
// data, while a reset may discard data in transit.
bool EndpointExchange::closedWithoutAnswer(const beast::error_code &error) const
{
    return error == asio::error::eof && m_buffer.size() == 0 && !m_parser->got_some();
}

// Returns false when this exchange has ended.
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
        m_skippedBytes += answerHasStarted() ? 0 : used;
        if (m_skippedBytes > MaxSkippedBytes || (used == 0 && m_buffer.size() > MaxUnparsedBytes)) {
            fail(ExchangeFailure::TooLong);
            return false;
        }
        if (m_parser->is_header_done() && !m_headProcessed && !processHead()) {
            return false;
        }
        deliverBody();
        if (isDone()) {
            return false;
        }
        if (m_parser->is_done()) {
            if (m_skipping || m_parser->get().result_int() / 100 == 1) {
                startParser();
                continue;
            }
            completeAnswer();
            return false;
        }
        if (error == http::error::need_more || used == 0) {
            break;
        }
    }
    return true;
}

bool EndpointExchange::processHead()
{
    m_headProcessed = true;
    const auto &head = m_parser->get().base();
    if (!isStatus(head.result_int())) {
        fail(ExchangeFailure::Malformed);
        return false;
    }
    if (head.result_int() / 100 == 1) {
        return true;
    }
    m_facts = parseResponseHead(head);
    m_facts.framing = framingOf(*m_parser);
    // A duplicate response to an earlier request on this connection may arrive first.
    m_skipping = !m_facts.attemptId.empty() && m_facts.attemptId != m_attemptId;
    if (m_skipping) {
        return true;
    }
    if (m_onWithdrawn) {
        completeWithdrawal(m_facts.notExecuted ? WithdrawalOutcome::NotRun : WithdrawalOutcome::Answered);
        return false;
    }
    m_handlers.onHead(head, m_facts);
    return !isDone();
}

void EndpointExchange::deliverBody()
{
    std::string &body = m_parser->get().body();
    if (!body.empty() && !m_skipping && m_headProcessed) {
        m_handlers.onBody(body);
    }
    if (!isDone()) {
        m_parser->get().body().clear();
    }
}

void EndpointExchange::completeAnswer()
{
    const auto &facts = m_facts;
    // An unfinished request write, or extra bytes after the response, would corrupt the next exchange.
    const bool reusable =
        !m_borrowed && m_written && m_buffer.size() == 0 && !facts.closesConnection && m_parser->keep_alive();
    if (reusable) {
        Duration keep = m_options.idleTimeout;
        if (facts.keepAlive) {
            keep = std::min(keep, *facts.keepAlive - m_options.idleTimeoutMargin);
        }
        if (keep > Duration::zero()) {
            m_pool.release(m_endpoint, {std::move(*m_socket), m_openedAt, steadyNow() + keep});
        }
    }
    finish();
}

void EndpointExchange::finish()
{
    m_phase = Phase::Done;
    m_timer.cancel();
    m_progressTimer.cancel();
    if (m_connectionEnd != ConnectionEnd::Closed) {
        m_socket.reset();
    }
    const auto handlers = std::exchange(m_handlers, {});
    handlers.onEnd();
}

void EndpointExchange::fail(ExchangeFailure failure)
{
    if (isDone()) {
        return;
    }
    if (m_onWithdrawn) {
        completeWithdrawal(WithdrawalOutcome::Unknown);
        return;
    }
    closeConnection();
    const auto handlers = std::exchange(m_handlers, {});
    handlers.onFailed(failure);
}

void EndpointExchange::closeConnection()
{
    m_phase = Phase::Done;
    m_timer.cancel();
    m_progressTimer.cancel();
    if (const auto borrower = std::exchange(m_borrower, nullptr)) {
        borrower->cancel();
    }
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
    m_headProcessed = false;
    m_skipping = false;
}

} // namespace Godwit
