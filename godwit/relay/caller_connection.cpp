#include "godwit/relay/caller_connection.h"

#include "godwit/http/quiet_socket.h"
#include "godwit/relay/head_refusal.h"
#include "godwit/relay/socket_progress.h"

#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
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

// How long a graceful close waits for the caller to close after it has received its response.
constexpr auto CloseTimeout = std::chrono::seconds(1);
// After a deferral, at most `DrainBytes` are read per interval: bodies that are not wanted should not use the link at
// full speed, but a caller may read the response only after it has written the body.
constexpr auto SlowDrainInterval = std::chrono::milliseconds(50);
// Bounds how long a vanished caller host goes undetected.
constexpr Duration TcpUserTimeout = std::chrono::seconds(5);
// The kernel's timeout applies to a full receive buffer as well, so it exceeds the stall timeout by at least this much.
constexpr Duration StalledReaderMargin = std::chrono::seconds(1);
// Poll interval for disconnects while pipelined bytes keep the socket readable.
constexpr auto WatchInterval = std::chrono::milliseconds(250);
// Largest read of a request.
constexpr std::size_t MaxReadBytes = 64UL * 1024;
// The parser leaves heads, trailers and the lines of chunk sizes with their extensions in the buffer until their end
// has arrived. Each of these may be as long as a head, and this much longer.
constexpr std::size_t UnparsedMarginBytes = 16UL * 1024;
constexpr std::size_t MaxIdleBufferBytes = 4UL * 1024;

ErrorKind kindOf(const error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return ErrorKind::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return ErrorKind::BodyTooLarge;
    }
    return ErrorKind::MalformedRequest;
}

// Keeps an idle connection, or one with a request in flight, from holding the memory of an earlier request.
void releaseIfEmpty(beast::flat_buffer &buffer)
{
    if (buffer.size() == 0 && buffer.capacity() > MaxIdleBufferBytes) {
        buffer.shrink_to_fit();
    }
}

// Limits while there is no configuration, which may allow more than the defaults.
constexpr std::size_t MaxHeaderBytesUnconfigured = 256UL * 1024;
constexpr std::size_t MaxBodyBytesUnconfigured = 64UL * 1024 * 1024;

CallerLimits currentLimits(Relay &relay)
{
    if (const auto &routes = relay.state().routes) {
        return routes->document.limits;
    }
    CallerLimits limits;
    limits.maxHeaderBytes = MaxHeaderBytesUnconfigured;
    limits.maxBodyBytes = MaxBodyBytesUnconfigured;
    return limits;
}

// Returns false if no connection can be closed.
bool closeConnectionForAnother(Relay &relay, const CallerConnections &connections)
{
    const std::vector<CallerConnection *> candidates(connections.open.begin(), connections.open.end());
    std::vector<ConnectionActivity> activities;
    activities.reserve(candidates.size());
    for (const CallerConnection *connection : candidates) {
        activities.push_back(connection->activity());
    }
    while (const auto chosen = connectionToClose(activities, Relay::now())) {
        if (candidates[*chosen]->closeForDescriptor()) {
            ++relay.counters().connectionsClosed[static_cast<std::size_t>(activities[*chosen].phase)];
            return true;
        }
        activities[*chosen].phase = ConnectionPhase::Busy;
    }
    return false;
}

} // namespace

void disconnectCallersAtLimit(Relay &relay, const CallerConnections &connections)
{
    std::vector<std::shared_ptr<CallerConnection>> callers;
    std::vector<ReaderProgress> progress;
    for (CallerConnection *connection : connections.open) {
        if (connection->queuedBytes() > 0) {
            callers.push_back(connection->shared_from_this());
            progress.push_back(connection->progress());
        }
    }
    while (mustDisconnectCaller(*relay.state().held, relay.options().held)) {
        const auto longest = callerToDisconnect(progress);
        if (!longest) {
            return;
        }
        callers[*longest]->disconnectReader(ReaderCutCause::Memory);
        progress[*longest].queuedBytes = 0;
    }
}

void refuseStoppedSenders(const CallerConnections &connections, const std::function<bool()> &hasRoom)
{
    std::vector<std::shared_ptr<CallerConnection>> candidates;
    std::vector<BodySender> senders;
    for (CallerConnection *connection : connections.open) {
        BodySender sender = connection->bodySender();
        if (sender.heldBytes > 0) {
            candidates.push_back(connection->shared_from_this());
            senders.push_back(std::move(sender));
        }
    }
    while (!hasRoom()) {
        const auto chosen = senderToRefuse(senders, Relay::now());
        if (!chosen) {
            return;
        }
        candidates[*chosen]->refuseUnfinishedRequest();
        senders[*chosen].heldBytes = 0;
    }
}

void acceptCaller(Relay &relay, CallerConnections &connections, asio::ip::tcp::socket socket)
{
    if (connections.limit > 0 && connections.open.size() >= connections.limit
        && !closeConnectionForAnother(relay, connections)) {
        ++relay.counters().connectionsClosed[static_cast<std::size_t>(ConnectionPhase::Busy)];
        return;
    }
    std::make_shared<CallerConnection>(relay, connections, std::move(socket))->start();
}

CallerConnection::CallerConnection(Relay &relay, CallerConnections &connections, asio::ip::tcp::socket socket)
    : m_relay(relay)
    , m_connections(connections)
    , m_socket(std::move(socket))
    , m_timer(relay.io())
    , m_drainTimer(relay.io())
    , m_progressTimer(relay.io())
    , m_heldQueue(relay.state().held, HeldSide::Caller)
    , m_heldBody(relay.state().held, HeldSide::Body)
{
    m_connections.open.insert(this);
}

CallerConnection::~CallerConnection()
{
    m_connections.open.erase(this);
    // The destructor of the socket would close it in order, whatever setResetOnClose() has set.
    error_code ignored;
    m_socket.close(ignored);
}

void CallerConnection::start()
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const Duration stalledReaderTimeout = m_relay.options().held.stalledReaderTimeout;
    setTcpUserTimeout(m_socket, std::max(TcpUserTimeout, stalledReaderTimeout + StalledReaderMargin));
    limitUnsentBytes(m_socket);
    readRequest();
}

void CallerConnection::closeIfIdle()
{
    // A request may have arrived that the event loop has not processed yet. A second close would cancel the read that
    // waits for the caller to close, and the cancelled read would look like a disconnect.
    const bool idle = !m_call && !m_receivingRequest && m_buffer.size() == 0 && !m_writePending;
    if (idle && !m_closing && !m_closed && isQuiet(m_socket)) {
        closeGracefully();
    }
}

ConnectionActivity CallerConnection::activity() const
{
    ConnectionPhase phase = ConnectionPhase::Busy;
    if (m_closing) {
        phase = ConnectionPhase::Closing;
    } else if (m_awaitingRequest) {
        phase = !m_receivingRequest ? ConnectionPhase::Idle
            : m_receivingBody       ? ConnectionPhase::Body
                                    : ConnectionPhase::Head;
    }
    return {phase, phase == ConnectionPhase::Body ? m_senderProgress.lastProgressAt : m_phaseSince};
}

bool CallerConnection::closeForDescriptor()
{
    const bool awaitsFirstByte = m_awaitingRequest && !m_receivingRequest;
    if (awaitsFirstByte && !isQuiet(m_socket)) {
        return false;
    }
    if (m_awaitingRequest && m_receivingRequest) {
        const HeadRefusal refusal = refuseUnfinished(m_relay, m_parser->get().base());
        const std::string response = formatErrorResponse(refusal.error, refusal.attemptId, true);
        error_code ignored;
        // There is no descriptor to wait for the caller with; whoever has stopped sending receives this.
        m_socket.non_blocking(true, ignored);
        m_socket.write_some(asio::buffer(response), ignored);
    }
    close();
    return true;
}

bool CallerConnection::owesAnswer()
{
    // The end of the process resets a connection with unread bytes, which discards what is not acknowledged yet.
    return !m_closed
        && (m_call || m_receivingRequest || m_progress.queuedBytes > 0 || unacknowledgedBytes(m_socket) > 0);
}

void CallerConnection::logOwedAnswer()
{
    m_relay.log().write("answer_cut",
                        {{"id", std::string_view(m_requestId)},
                         {"call_open", m_call != nullptr},
                         {"ends_with_connection", m_answerEndsWithConnection},
                         {"queued_bytes", static_cast<std::int64_t>(m_progress.queuedBytes)},
                         {"unacknowledged_bytes", static_cast<std::int64_t>(unacknowledgedBytes(m_socket))}});
}

void CallerConnection::readRequest()
{
    m_parser.emplace();
    m_awaitingRequest = true;
    m_phaseSince = Relay::now();
    m_receivingRequest = false;
    m_answerDone = false;
    m_answerEndsWithConnection = false;
    m_requestId.clear();
    if (m_buffer.size() > 0) {
        beginReceiving();
        return;
    }
    m_timer.expires_after(currentLimits(m_relay).idleTimeout);
    armReadTimeout();
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const error_code &error) {
        if (!error && !self->m_closed) {
            self->beginReceiving();
        }
    });
}

// Closes the connection when the caller sends nothing, or sends too slowly.
void CallerConnection::armReadTimeout()
{
    m_timer.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error && self->m_awaitingRequest && self->timerHasExpired()) {
            self->close();
        }
    });
}

// A wait that expired just before the timer was re-armed still runs its handler without an error. Taken for the new
// timeout, it would close a connection on which a request has begun to arrive.
bool CallerConnection::timerHasExpired() const
{
    return m_timer.expiry() <= std::chrono::steady_clock::now();
}

void CallerConnection::beginReceiving()
{
    m_receivingRequest = true;
    m_receivingBody = false;
    m_phaseSince = Relay::now();
    m_customer.reset();
    m_headBeforeTrailers.reset();
    m_senderProgress = {Relay::now(), 0};
    const CallerLimits limits = currentLimits(m_relay);
    m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    m_parser->body_limit(limits.maxBodyBytes);
    m_maxUnparsedBytes = limits.maxHeaderBytes + UnparsedMarginBytes;
    m_timer.expires_after(limits.headerTimeout);
    armReadTimeout();
    parseReceived();
}

void CallerConnection::parseReceived()
{
    bool needsMore = m_buffer.size() == 0;
    while (!needsMore) {
        error_code error;
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        needsMore = error == http::error::need_more || m_buffer.size() == 0;
        if (error && error != http::error::need_more) {
            onMalformedRequest(error);
            return;
        }
        if (!onParsed()) {
            return;
        }
    }
    if (m_buffer.size() >= m_maxUnparsedBytes) {
        onMalformedRequest(http::error::buffer_overflow);
        return;
    }
    if (holdReceived()) {
        readMore();
    }
}

bool CallerConnection::onParsed()
{
    if (m_parser->is_done()) {
        startCall();
        return false;
    }
    if (m_parser->is_header_done() && !m_receivingBody) {
        if (!decideOnHead()) {
            return false;
        }
        beginBody();
    }
    return true;
}

bool CallerConnection::holdReceived()
{
    // The parser allocates a declared length at once. It is not to be asked for it before the end of the head.
    const auto length = m_receivingBody ? m_parser->content_length() : boost::none;
    const std::uint64_t body = std::max<std::uint64_t>(length.value_or(0), m_parser->get().body().capacity());
    m_heldBody.set(body + m_buffer.capacity());
    const bool isLarge = m_heldBody.bytes() > m_relay.options().held.maxSmallRequestBytes;
    if (isLarge && m_receivingBody && !m_customer && !identifyCustomer()) {
        return false;
    }
    const auto hasRoom = [this] {
        return mayKeepReceiving(*m_relay.state().held, m_relay.options().held, m_heldBody.bytes());
    };
    // The room of a declared length was decided on the head.
    if (length || hasRoom()) {
        return true;
    }
    refuseStoppedSenders(m_connections, hasRoom);
    if (!m_awaitingRequest) {
        return false; // The sender that had stopped is this one.
    }
    if (hasRoom()) {
        return true;
    }
    refuseUnfinishedRequest();
    return false;
}

BodySender CallerConnection::bodySender() const
{
    const bool isReceiving = !m_closed && m_awaitingRequest && m_receivingRequest;
    return {m_customer.value_or(CustomerId{}), isReceiving ? m_heldBody.bytes() : 0, m_senderProgress.lastProgressAt};
}

void CallerConnection::refuseUnfinishedRequest()
{
    sendRefusal(refuseUnfinished(m_relay, m_parser->get().base()));
}

void CallerConnection::readMore()
{
    const std::size_t room = m_maxUnparsedBytes - m_buffer.size();
    m_socket.async_read_some(m_buffer.prepare(std::min(beast::read_size(m_buffer, MaxReadBytes), room)),
                             [self = shared_from_this()](const error_code &error, std::size_t bytes) {
                                 if (self->m_closed || !self->m_awaitingRequest) {
                                     return;
                                 }
                                 self->countRead(bytes);
                                 if (error) {
                                     self->onMalformedRequest(error);
                                     return;
                                 }
                                 self->m_buffer.commit(bytes);
                                 recordBodyBytes(self->m_senderProgress, bytes, Relay::now());
                                 self->parseReceived();
                             });
}

bool CallerConnection::decideOnHead()
{
    const auto length = m_parser->content_length();
    const auto bodyBytes = length ? std::optional<std::uint64_t>(*length) : std::nullopt;
    if (bodyBytes.value_or(0) > m_relay.options().held.maxSmallRequestBytes && !identifyCustomer()) {
        return false;
    }
    const RequestHead &head = m_parser->get().base();
    const auto hasRoom = [this, bodyBytes] {
        return mayHoldBody(*m_relay.state().held, m_relay.options().held, bodyBytes);
    };
    if (!hasRoom() && customerOnHead(m_relay, head)) {
        refuseStoppedSenders(m_connections, hasRoom);
        if (!m_awaitingRequest) {
            return false; // The sender that had stopped is this one.
        }
    }
    const auto refusal = refuseOnHead(m_relay, head, bodyBytes);
    if (!refusal) {
        return true;
    }
    sendRefusal(*refusal);
    return false;
}

bool CallerConnection::identifyCustomer()
{
    m_customer = customerOnHead(m_relay, m_parser->get().base());
    if (m_customer) {
        return true;
    }
    m_awaitingRequest = false;
    m_receivingRequest = false;
    m_timer.cancel();
    m_drainSlowly = true;
    m_parser->get().body() = {};
    m_call = makeCall();
    m_keepAlive = false; // The rest is not read.
    const auto call = m_call;
    call->startWithoutBody();
    return false;
}

void CallerConnection::sendRefusal(const HeadRefusal &refusal)
{
    error_code ignored;
    m_socket.cancel(ignored); // The read of the rest, if it waits.
    m_awaitingRequest = false;
    m_receivingRequest = false;
    m_timer.cancel();
    m_parser.emplace(); // Frees the body.
    m_heldBody.set(0);
    m_closeAfterAnswer = true; // The rest is not read, so the start of the next request can't be determined.
    m_drainSlowly = true;
    send(formatErrorResponse(refusal.error, refusal.attemptId, true));
    finish();
}

void CallerConnection::beginBody()
{
    m_receivingBody = true;
    if (m_parser->chunked()) {
        m_headBeforeTrailers = m_parser->get().base();
    }
    // There is no separate body timeout; the idle timeout bounds a caller that stops sending.
    m_timer.expires_after(currentLimits(m_relay).idleTimeout);
    armReadTimeout();
    if (beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    m_parser->eager(true);
}

void CallerConnection::countRead(std::size_t bytes)
{
    m_relay.state().callerAdmission.bytes.in += bytes;
}

void CallerConnection::onMalformedRequest(const error_code &error)
{
    m_awaitingRequest = false;
    m_receivingRequest = false;
    m_timer.cancel();
    // Only parser errors get a response; on a closed or broken connection there is nobody to receive it.
    if (error.category() != beast::error_code(http::error::bad_method).category() || error == http::error::end_of_stream
        || error == http::error::partial_message) {
        close();
        return;
    }
    Error refusal;
    refusal.kind = kindOf(error);
    refusal.message = "malformed request: " + error.message();
    const bool exceedsLimit = refusal.kind == ErrorKind::HeaderTooLarge || refusal.kind == ErrorKind::BodyTooLarge;
    // Callers take these as final, but a newer configuration may allow more.
    if (exceedsLimit && !m_relay.hasConfirmedDocument()) {
        refusal.kind = ErrorKind::NotConfigured;
        refusal.message = "configuration not confirmed as current: " + error.message();
        refusal.retryAfter = m_relay.options().defaultRetryAfter;
    }
    m_parser.emplace(); // Frees the body.
    m_heldBody.set(0);
    m_closeAfterAnswer = true; // The start of the next request can't be determined.
    m_drainSlowly = error == http::error::buffer_overflow; // The caller is likely to send on without an end.
    m_relay.log().write("unreadable_request", {{"cause", std::string_view(refusal.message)}});
    ++m_relay.counters().refusals[refusal.kind];
    send(formatErrorResponse(refusal, "", true));
    finish();
}

void CallerConnection::startCall()
{
    m_awaitingRequest = false;
    m_receivingRequest = false;
    m_timer.cancel();
    // On an overloaded host a request waits in the socket, and its caller may have left meanwhile.
    if (hasDisconnected()) {
        LastReason ignored;
        const auto facts = parseRequestHead(m_parser->get().base(), ignored);
        const std::string id = facts ? facts->attemptId : std::string();
        ++m_relay.counters().callerDisconnects;
        m_relay.log().write("caller_left", {{"id", std::string_view(id)}, {"may_have_run", false}});
        close();
        return;
    }
    m_call = makeCall();
    const auto call = m_call;
    call->start();
    m_requestId = call->id();
    if (m_call == call) {
        watchForDisconnect();
    }
}

std::shared_ptr<RelayCall> CallerConnection::makeCall()
{
    auto request = m_parser->release();
    releaseIfEmpty(m_buffer);
    m_keepAlive = request.keep_alive();
    std::string body = std::move(request.body());
    RequestHead head = m_headBeforeTrailers ? std::move(*m_headBeforeTrailers) : std::move(request.base());
    m_headBeforeTrailers.reset();
    auto call = std::make_shared<RelayCall>(m_relay, *this, std::move(head), std::move(body));
    m_heldBody.set(0); // Counted by the call from now on.
    return call;
}

// A disconnect shows as end of stream or as a socket error, unless unread bytes precede it.
bool CallerConnection::hasDisconnected()
{
    std::array<char, 1> byte{};
    const ssize_t got = ::recv(m_socket.native_handle(), byte.data(), 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void CallerConnection::watchForDisconnect()
{
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const error_code &error) {
        if (self->m_closed || !self->m_call || error == asio::error::operation_aborted) {
            return;
        }
        if (self->hasDisconnected()) {
            self->close();
            return;
        }
        // A pipelined request keeps the socket readable, so poll instead of waiting.
        self->m_timer.expires_after(WatchInterval);
        self->m_timer.async_wait([self](const error_code &cancelled) {
            if (!cancelled && self->m_call && !self->m_closed && self->timerHasExpired()) {
                self->watchForDisconnect();
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
    recordQueued(m_progress, bytes.size(), Relay::now());
    m_heldQueue.set(m_progress.queuedBytes);
    write();
}

std::size_t CallerConnection::queuedBytes() const
{
    return m_progress.queuedBytes;
}

void CallerConnection::finish()
{
    m_call.reset();
    m_answerDone = true;
    if (!m_writePending && !m_closed) {
        onWritten({});
    }
}

void CallerConnection::abort()
{
    m_call.reset();
    close();
}

bool CallerConnection::beginAnswer(ResponseFraming framing)
{
    const RelayState &state = m_relay.state();
    const bool stops = state.stage == RelayStage::Leaving || state.stage == RelayStage::Stopping;
    m_answerEndsWithConnection = framing == ResponseFraming::Connection;
    m_closeAfterAnswer = !m_keepAlive || stops || state.closeAfterAnswer || m_answerEndsWithConnection;
    if (m_answerEndsWithConnection) {
        setResetOnClose(true);
    }
    return m_closeAfterAnswer;
}

// For a response delimited by connection close, an orderly close means that it is complete. Every other close must
// therefore be a reset, including the one the kernel does when the process is killed.
void CallerConnection::setResetOnClose(bool wanted)
{
    error_code ignored;
    m_socket.set_option(asio::socket_base::linger(wanted, 0), ignored);
}

void CallerConnection::write()
{
    if (m_writePending || m_queued.empty()) {
        return;
    }
    m_writePending = true;
    m_writing = std::exchange(m_queued, {});
    m_writtenPart = 0;
    writePart();
    if (!m_watchingProgress) {
        m_watchingProgress = true;
        watchProgress();
    }
}

// Writes in parts, so that the caller's progress is seen.
void CallerConnection::writePart()
{
    m_socket.async_write_some(asio::buffer(m_writing) + m_writtenPart,
                              [self = shared_from_this()](const error_code &error, std::size_t count) {
                                  if (self->m_closed) {
                                      return;
                                  }
                                  self->m_relay.state().callerAdmission.bytes.out += count;
                                  self->m_writtenPart += count;
                                  recordTaken(self->m_progress, count, Relay::now());
                                  self->m_heldQueue.set(self->m_progress.queuedBytes);
                                  if (!error && self->m_writtenPart < self->m_writing.size()) {
                                      self->writePart();
                                      return;
                                  }
                                  self->m_writePending = false;
                                  std::string().swap(
                                      self->m_writing); // A long response's memory is not kept for the next one.
                                  self->onWritten(error);
                              });
}

// One timer for any number of writes: arming it for each event of a stream would cost more than the write.
void CallerConnection::watchProgress()
{
    const Duration timeout = m_relay.options().held.stalledReaderTimeout;
    m_progressTimer.expires_after(nextProgressCheck(m_progress, timeout, Relay::now()));
    m_progressTimer.async_wait([self = shared_from_this()](const error_code &error) {
        self->m_watchingProgress = !error && !self->m_closed && self->m_writePending;
        if (!self->m_watchingProgress) {
            return;
        }
        const TimePoint now = Relay::now();
        recordAcknowledged(self->m_progress, unacknowledgedBytes(self->m_socket), now);
        if (isStalled(self->m_progress, self->m_relay.options().held.stalledReaderTimeout, now)) {
            self->disconnectReader(ReaderCutCause::Stalled);
            return;
        }
        self->watchProgress();
    });
}

void CallerConnection::disconnectReader(ReaderCutCause cause)
{
    m_relay.recordReaderCut({HeldSide::Caller, cause}, m_requestId, m_progress);
    setResetOnClose(true);
    close();
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
    // The pending wait of watchForDisconnect() would otherwise consume the arrival of the next request.
    error_code ignored;
    m_socket.cancel(ignored);
    m_timer.cancel();
    if (m_closeAfterAnswer) {
        closeGracefully();
        return;
    }
    readRequest();
}

// Closing a socket with unread bytes sends a reset, which can destroy a response in transit. So only the sending
// direction is shut down, and the caller is expected to close.
void CallerConnection::closeGracefully()
{
    m_closing = true;
    m_phaseSince = Relay::now();
    error_code ignored;
    m_socket.cancel(ignored);
    m_awaitingRequest = false;
    setResetOnClose(false);
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    closeAfterTimeout();
    m_buffer.clear();
    releaseIfEmpty(m_buffer);
    if (m_drainSlowly) {
        drainAfterInterval(); // Callers that read while they write have the response by then.
    } else {
        drainUntilClosed();
    }
}

// A slow reader gets its response for as long as it makes progress.
void CallerConnection::closeAfterTimeout()
{
    m_timer.expires_after(CloseTimeout);
    m_timer.async_wait([self = shared_from_this()](const error_code &error) {
        if (error || self->m_closed) {
            return;
        }
        const TimePoint now = Relay::now();
        const std::uint64_t unacknowledged = unacknowledgedBytes(self->m_socket);
        recordAcknowledged(self->m_progress, unacknowledged, now);
        const Duration silence = now - self->m_progress.lastProgressAt;
        if (unacknowledged > 0 && silence < self->m_relay.options().held.stalledReaderTimeout) {
            self->closeAfterTimeout();
        } else {
            self->close();
        }
    });
}

void CallerConnection::drainUntilClosed()
{
    m_buffer.clear();
    m_socket.async_read_some(m_buffer.prepare(m_drainAllowance),
                             [self = shared_from_this()](const error_code &error, std::size_t bytes) {
                                 if (self->m_closed) {
                                     return;
                                 }
                                 self->countRead(bytes);
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 self->continueDraining(bytes);
                             });
}

void CallerConnection::continueDraining(std::size_t bytesRead)
{
    if (!m_drainSlowly) {
        drainUntilClosed();
        return;
    }
    m_drainAllowance -= std::min(bytesRead, m_drainAllowance);
    if (m_drainAllowance > 0) {
        drainUntilClosed();
    } else {
        drainAfterInterval();
    }
}

void CallerConnection::drainAfterInterval()
{
    m_drainAllowance = DrainBytes;
    m_drainTimer.expires_after(SlowDrainInterval);
    m_drainTimer.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error && !self->m_closed) {
            self->drainUntilClosed();
        }
    });
}

void CallerConnection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_connections.open.erase(this);
    m_awaitingRequest = false;
    m_timer.cancel();
    m_drainTimer.cancel();
    m_progressTimer.cancel();
    m_progress.queuedBytes = 0;
    m_heldQueue.set(0);
    m_heldBody.set(0);
    error_code ignored;
    m_socket.close(ignored);
    if (const auto call = std::exchange(m_call, nullptr)) {
        call->onCallerDisconnected();
    }
}

} // namespace Godwit
