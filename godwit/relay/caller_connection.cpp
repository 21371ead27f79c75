#include "godwit/relay/caller_connection.h"

#include "godwit/http/quiet_socket.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// How long an orderly close waits for the caller to have read its answer.
constexpr auto CloseLimit = std::chrono::seconds(1);
// A caller's host that vanished is noticed after this long at the latest.
constexpr Duration AcknowledgementLimit = std::chrono::seconds(5);
// How often a connection with bytes that wait behind an open request is looked at again.
constexpr auto WatchAgain = std::chrono::milliseconds(250);

ErrorKind kindOf(const error_code &error)
{
    if (error == http::error::header_limit) {
        return ErrorKind::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return ErrorKind::BodyTooLarge;
    }
    return ErrorKind::MalformedRequest;
}

CallerLimits limitsInForce(Relay &relay)
{
    const auto &routes = relay.state().routes;
    return routes ? routes->document.limits : CallerLimits{};
}

} // namespace

CallerConnection::CallerConnection(Relay &relay, CallerConnections &all, asio::ip::tcp::socket socket)
    : m_relay(relay)
    , m_all(all)
    , m_socket(std::move(socket))
    , m_timer(relay.io())
{
    m_all.open.insert(this);
}

CallerConnection::~CallerConnection()
{
    m_all.open.erase(this);
}

void CallerConnection::start()
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    setAcknowledgementLimit(m_socket, AcknowledgementLimit);
    readRequest();
}

void CallerConnection::closeIfIdle()
{
    // A request may have arrived that the loop has not come to. And a second close would cancel the read that waits for
    // the caller's end, which then looks as if the caller had left.
    const bool idle = !m_call && !m_beganReading && m_buffer.size() == 0 && !m_writeOpen;
    if (idle && !m_closing && !m_closed && isQuiet(m_socket)) {
        closeInOrder();
    }
}

void CallerConnection::readRequest()
{
    const CallerLimits limits = limitsInForce(m_relay);
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    m_parser->body_limit(limits.maxBodyBytes);
    m_readOpen = true;
    m_beganReading = false;
    m_answerDone = false;
    if (m_buffer.size() > 0) {
        readHead();
        return;
    }
    m_timer.expires_after(limits.idleTimeout);
    armReadLimit();
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const error_code &error) {
        if (!error && !self->m_closed) {
            self->readHead();
        }
    });
}

// Whatever runs out here is a caller that sends nothing or too slowly.
void CallerConnection::armReadLimit()
{
    m_timer.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error && self->m_readOpen && self->limitHasPassed()) {
            self->close();
        }
    });
}

// A wait that ended just before the timer was set anew still calls its handler, without an error. Taken for the new
// limit it would close a connection on which a request has begun to arrive.
bool CallerConnection::limitHasPassed() const
{
    return m_timer.expiry() <= std::chrono::steady_clock::now();
}

void CallerConnection::readHead()
{
    m_beganReading = true;
    m_timer.expires_after(limitsInForce(m_relay).headerTimeout);
    armReadLimit();
    http::async_read_header(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code &error, std::size_t) {
            if (self->m_closed) {
                return;
            }
            if (error) {
                self->onUnreadable(error);
                return;
            }
            if (self->m_parser->is_done()) {
                self->startCall();
                return;
            }
            self->readBody();
        });
}

void CallerConnection::readBody()
{
    // A body may take as long as the caller has patience; an idle connection is bounded like any other.
    m_timer.expires_after(limitsInForce(m_relay).idleTimeout);
    armReadLimit();
    if (beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        m_queued += "HTTP/1.1 100 Continue\r\n\r\n";
        write();
    }
    http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code &error, std::size_t) {
        if (self->m_closed) {
            return;
        }
        if (error) {
            self->onUnreadable(error);
            return;
        }
        self->startCall();
    });
}

void CallerConnection::onUnreadable(const error_code &error)
{
    m_readOpen = false;
    m_timer.cancel();
    // Only what the parser refuses is answered; a connection that ends or breaks has nobody to answer.
    if (error.category() != beast::error_code(http::error::bad_method).category() || error == http::error::end_of_stream
        || error == http::error::partial_message) {
        close();
        return;
    }
    Error refusal;
    refusal.kind = kindOf(error);
    refusal.message = "the request can't be read: " + error.message();
    m_saidClose = true; // What follows on this connection can't be read either.
    m_relay.log().write("unreadable_request", {{"cause", std::string_view(refusal.message)}});
    ++m_relay.counters().refusals[refusal.kind];
    send(formatErrorResponse(refusal, "", true));
    finish();
}

void CallerConnection::startCall()
{
    m_readOpen = false;
    m_beganReading = false;
    m_timer.cancel();
    auto request = m_parser->release();
    m_keepAlive = request.keep_alive();
    std::string body = std::move(request.body());
    m_call = std::make_shared<RelayCall>(m_relay, *this, RequestHead(std::move(request.base())), std::move(body));
    const auto call = m_call;
    call->start();
    if (m_call == call) {
        watchCaller();
    }
}

// A caller that has left shows as the end of the stream, or as an error.
void CallerConnection::watchCaller()
{
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const error_code &error) {
        if (self->m_closed || !self->m_call || error == asio::error::operation_aborted) {
            return;
        }
        std::array<char, 1> byte{};
        const ssize_t got = ::recv(self->m_socket.native_handle(), byte.data(), 1, MSG_PEEK | MSG_DONTWAIT);
        if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            self->close();
            return;
        }
        // The next request is there already; the socket stays readable, so look again later.
        self->m_timer.expires_after(WatchAgain);
        self->m_timer.async_wait([self](const error_code &cancelled) {
            if (!cancelled && self->m_call && !self->m_closed && self->limitHasPassed()) {
                self->watchCaller();
            }
        });
    });
}

void CallerConnection::send(std::string bytes)
{
    if (m_closed) {
        return;
    }
    m_queued += bytes;
    write();
}

std::size_t CallerConnection::queuedBytes() const
{
    return m_queued.size() + m_writing.size();
}

void CallerConnection::finish()
{
    m_call.reset();
    m_answerDone = true;
    if (!m_writeOpen && !m_closed) {
        onWritten({});
    }
}

void CallerConnection::breakOff()
{
    m_call.reset();
    close();
}

bool CallerConnection::beginAnswer(AnswerFraming framing)
{
    const RelayState &state = m_relay.state();
    const bool stops = state.stage == RelayStage::Leaving || state.stage == RelayStage::Stopping;
    const bool endsWithConnection = framing == AnswerFraming::Connection;
    m_saidClose = !m_keepAlive || stops || state.endsConnections || endsWithConnection;
    if (endsWithConnection) {
        resetOnClose(true);
    }
    return m_saidClose;
}

// Where an end in order says that the answer is whole, any other close has to be a reset, also that of a process that
// is killed.
void CallerConnection::resetOnClose(bool wanted)
{
    error_code ignored;
    m_socket.set_option(asio::socket_base::linger(wanted, 0), ignored);
}

void CallerConnection::write()
{
    if (m_writeOpen || m_queued.empty()) {
        return;
    }
    m_writeOpen = true;
    m_writing = std::exchange(m_queued, {});
    asio::async_write(
        m_socket, asio::buffer(m_writing), [self = shared_from_this()](const error_code &error, std::size_t) {
            self->m_writeOpen = false;
            self->m_writing.clear();
            if (!self->m_closed) {
                self->onWritten(error);
            }
        });
}

void CallerConnection::onWritten(const error_code &error)
{
    if (error) {
        close();
        return;
    }
    if (!m_queued.empty()) {
        write();
        return;
    }
    if (m_call) {
        m_call->sinkDrained();
        return;
    }
    if (!m_answerDone) {
        return;
    }
    // The wait that watched the caller would take the next request's arrival for its own.
    error_code ignored;
    m_socket.cancel(ignored);
    m_timer.cancel();
    if (m_saidClose) {
        closeInOrder();
        return;
    }
    readRequest();
}

// Closing a socket with unread bytes resets it, and a reset can destroy the answer on its way: say that no more
// comes, and wait for the caller to close.
void CallerConnection::closeInOrder()
{
    m_closing = true;
    error_code ignored;
    m_socket.cancel(ignored);
    m_readOpen = false;
    resetOnClose(false);
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_timer.expires_after(CloseLimit);
    m_timer.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error) {
            self->close();
        }
    });
    drainUntilClosed();
}

void CallerConnection::drainUntilClosed()
{
    m_buffer.clear();
    m_socket.async_read_some(m_buffer.prepare(4096), [self = shared_from_this()](const error_code &error, std::size_t) {
        if (self->m_closed) {
            return;
        }
        if (error) {
            self->close();
            return;
        }
        self->drainUntilClosed();
    });
}

void CallerConnection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_readOpen = false;
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
    if (const auto call = std::exchange(m_call, nullptr)) {
        call->callerLeft();
    }
}

} // namespace Godwit
