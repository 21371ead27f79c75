#include "godwit/relay/connection_lender.h"

#include "godwit/http/address.h"
#include "godwit/relay/connection_pool.h"
#include "godwit/relay/endpoint_probe.h"
#include "godwit/relay/socket_progress.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// How often it is checked whether an endpoint that has closed its side has taken the rest of a request.
constexpr Duration EndCheckInterval = std::chrono::milliseconds(10);

// Makes the kernel reset the connection when the socket is closed, also at the end of the process: an orderly close
// would declare the response complete.
void resetOnClose(tcp::socket &socket, bool reset)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(reset, 0), ignored);
}

} // namespace

// One borrower's connection, and the connection to the endpoint that it is joined with.
class ConnectionLender::Loan : public std::enable_shared_from_this<Loan>
{
public:
    Loan(ConnectionLender &lender, tcp::socket socket)
        : m_lender(lender)
        , m_openConnections(lender.m_openConnections)
        , m_borrower(std::move(socket))
        , m_endpoint(m_borrower.get_executor())
        , m_timer(m_borrower.get_executor())
        , m_endTimer(m_borrower.get_executor())
    {
        ++*m_openConnections;
    }

    ~Loan()
    {
        // The destructor of a socket would close it in order.
        close();
        --*m_openConnections;
    }
    Loan(const Loan &) = delete;
    Loan &operator=(const Loan &) = delete;

    bool awaitsRequest() const
    {
        return m_awaitsRequest && !m_closed;
    }

    void close()
    {
        m_closed = true;
        m_timer.cancel();
        m_endTimer.cancel();
        error_code ignored;
        m_borrower.close(ignored);
        m_endpoint.close(ignored);
    }

    void start()
    {
        prepare(m_borrower);
        startTimer(m_lender.m_options.requestTimeout);
        asio::async_read_until(m_borrower,
                               asio::dynamic_buffer(m_line, MaxLendingRequestBytes),
                               '\n',
                               [self = shared_from_this()](const error_code &error, std::size_t count) {
                                   self->onRequest(error, count);
                               });
    }

private:
    struct Direction
    {
        std::vector<char> buffer;
        bool writing = false;
        bool ended = false; // The sender has closed its side in order, and so has this router that to the receiver.
    };

    void onRequest(const error_code &error, std::size_t count)
    {
        m_awaitsRequest = false;
        if (error) {
            close();
            return;
        }
        // Nothing may follow the request before the reply.
        const auto request = count == m_line.size() ? decodeLendingRequest(m_line) : std::nullopt;
        const LendingReply reply = request ? m_lender.check(*request) : LendingReply::Denied;
        m_request = request.value_or(LendingRequest{});
        if (reply != LendingReply::Connected) {
            answer(reply);
            return;
        }
        m_listed = m_lender.m_relay.state().endpoints.endpoints.at(m_request.endpoint).listed;
        if (m_lender.hasRecentAnswer(groupOf(m_listed))) {
            connect();
            return;
        }
        m_timer.cancel();
        const TimePoint openedAt = Relay::now();
        probeResponse(m_lender.m_relay.io(),
                      m_listed.address,
                      m_lender.m_relay.reachMonitor().probePath(m_listed.service),
                      m_lender.m_options.probeTimeout,
                      [self = shared_from_this(), openedAt](ProbeOutcome outcome) {
                          self->onProbed(outcome, openedAt);
                      });
    }

    void onProbed(ProbeOutcome outcome, TimePoint openedAt)
    {
        if (outcome == ProbeOutcome::Accepts) {
            report(DirectConnectionEvent::Answered, openedAt);
            connect();
            return;
        }
        // This router may be partitioned itself, so it can't tell whether the endpoint refuses.
        report(outcome == ProbeOutcome::Refuses ? DirectConnectionEvent::Reset : DirectConnectionEvent::Silent,
               openedAt);
        answer(LendingReply::Unreachable);
    }

    void report(DirectConnectionEvent event, TimePoint openedAt)
    {
        m_lender.m_relay.reachMonitor().onConnectionEvent(m_listed, event, openedAt);
    }

    void connect()
    {
        m_openedAt = Relay::now();
        LastReason reason;
        const auto target = parseAddress(m_request.address, reason);
        if (!target) {
            answer(LendingReply::Unreachable);
            return;
        }
        startTimer(m_lender.m_options.connectTimeout);
        m_endpoint.async_connect(*target, [self = shared_from_this()](const error_code &error) {
            if (self->m_closed) {
                return;
            }
            const bool refused = error == asio::error::connection_refused || error == asio::error::connection_reset;
            self->m_connected = !error;
            if (error) {
                self->report(DirectConnectionEvent::NotConnected, self->m_openedAt);
            }
            self->answer(!error        ? LendingReply::Connected
                             : refused ? LendingReply::Refused
                                       : LendingReply::Unreachable);
        });
    }

    void answer(LendingReply reply)
    {
        m_lender.recordReply(reply, m_request);
        startTimer(m_lender.m_options.silenceLimit);
        const bool lends = reply == LendingReply::Connected && m_request.purpose == LendingPurpose::Lend;
        m_reply = static_cast<char>(reply);
        if (lends) {
            prepare(m_endpoint);
        }
        asio::async_write(m_borrower,
                          asio::buffer(&m_reply, 1),
                          [self = shared_from_this(), lends](const error_code &error, std::size_t) {
                              if (self->m_closed) {
                                  return;
                              }
                              if (error || !lends) {
                                  self->closeInOrder();
                                  return;
                              }
                              self->m_toEndpoint.buffer.resize(self->m_lender.m_options.bufferBytes);
                              self->m_toBorrower.buffer.resize(self->m_lender.m_options.bufferBytes);
                              self->read(self->m_borrower, self->m_endpoint, self->m_toEndpoint);
                              self->read(self->m_endpoint, self->m_borrower, self->m_toBorrower);
                          });
    }

    void read(tcp::socket &from, tcp::socket &to, Direction &direction)
    {
        from.async_read_some(
            asio::buffer(direction.buffer),
            [self = shared_from_this(), &from, &to, &direction](const error_code &error, std::size_t count) {
                self->onRead(from, to, direction, error, count);
            });
    }

    void onRead(tcp::socket &from, tcp::socket &to, Direction &direction, const error_code &error, std::size_t count)
    {
        if (m_closed) {
            return;
        }
        noteEndpoint(from, error, count);
        const Direction &opposite = &direction == &m_toBorrower ? m_toEndpoint : m_toBorrower;
        if (error == asio::error::eof && !opposite.ended && wasReset(from)) {
            close();
            return;
        }
        if (error == asio::error::eof) {
            if (&from == &m_endpoint) {
                passOnEndOfEndpoint();
            } else {
                end(from, to, direction, opposite);
            }
            return;
        }
        if (error) {
            close();
            return;
        }
        m_watchedForSilence = m_watchedForSilence || m_answered;
        startTimer(m_watchedForSilence ? m_lender.m_options.idleTimeout : m_lender.m_options.silenceLimit);
        direction.writing = true;
        asio::async_write(to,
                          asio::buffer(direction.buffer.data(), count),
                          [self = shared_from_this(), &from, &to, &direction](const error_code &failed, std::size_t) {
                              direction.writing = false;
                              if (self->m_closed) {
                                  return;
                              }
                              if (failed) {
                                  self->close();
                                  return;
                              }
                              self->read(from, to, direction);
                          });
    }

    // The borrower takes this for the end of a response, so it waits until the endpoint has taken what the borrower
    // sent: an endpoint that never does so resets the connection.
    void passOnEndOfEndpoint()
    {
        error_code ignored;
        const bool taken =
            !m_toEndpoint.writing && m_borrower.available(ignored) == 0 && unacknowledgedBytes(m_endpoint) == 0;
        if (taken || m_toEndpoint.ended) {
            end(m_endpoint, m_borrower, m_toBorrower, m_toEndpoint);
            return;
        }
        m_endTimer.expires_after(EndCheckInterval);
        m_endTimer.async_wait([self = shared_from_this()](const error_code &error) {
            if (error || self->m_closed) {
                return;
            }
            if (!self->m_toEndpoint.ended && wasReset(self->m_endpoint)) {
                self->close();
            } else {
                self->passOnEndOfEndpoint();
            }
        });
    }

    void end(tcp::socket &from, tcp::socket &to, Direction &direction, const Direction &opposite)
    {
        error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
        direction.ended = true;
        if (opposite.ended) {
            closeInOrder();
        } else {
            watchForReset(from, opposite);
        }
    }

    // A host that has closed its side in order may still reset the connection. No read reports that any more.
    void watchForReset(tcp::socket &from, const Direction &opposite)
    {
        from.async_wait(tcp::socket::wait_error,
                        [self = shared_from_this(), &from, &opposite](const error_code &error) {
                            if (!error && !self->m_closed && !opposite.ended && wasReset(from)) {
                                self->close();
                            }
                        });
    }

    // Loans show this router as well as its own requests whether it reaches the endpoint.
    void noteEndpoint(const tcp::socket &from, const error_code &error, std::size_t count)
    {
        if (&from != &m_endpoint) {
            return;
        }
        if (count > 0) {
            m_answered = true;
            report(DirectConnectionEvent::Answered, m_openedAt);
        } else if (error && error != asio::error::eof && !m_answered) {
            report(DirectConnectionEvent::Reset, m_openedAt);
        }
    }

    void prepare(tcp::socket &socket)
    {
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        setTcpUserTimeout(socket, m_lender.m_options.tcpUserTimeout);
        resetOnClose(socket, true);
    }

    void startTimer(Duration limit)
    {
        m_timer.expires_after(limit);
        m_timer.async_wait([self = shared_from_this()](const error_code &error) {
            if (!error) {
                self->onTimeout();
            }
        });
    }

    void onTimeout()
    {
        if (m_closed) {
            return;
        }
        const bool connecting = !m_request.address.empty() && m_reply == 0;
        if (connecting) {
            // The handler of the connection attempt replies to the borrower.
            error_code ignored;
            m_endpoint.close(ignored);
        } else if (m_connected && !std::exchange(m_watchedForSilence, true)) {
            if (!m_answered) {
                report(DirectConnectionEvent::Silent, m_openedAt);
            }
            startTimer(m_lender.m_options.idleTimeout);
        } else {
            close();
        }
    }

    void closeInOrder()
    {
        resetOnClose(m_borrower, false);
        resetOnClose(m_endpoint, false);
        close();
    }

    ConnectionLender &m_lender;
    std::shared_ptr<std::size_t> m_openConnections;
    tcp::socket m_borrower;
    tcp::socket m_endpoint;
    asio::steady_timer m_timer;
    asio::steady_timer m_endTimer; // See passOnEndOfEndpoint().
    std::string m_line;
    LendingRequest m_request;
    ListedEndpoint m_listed;
    TimePoint m_openedAt; // When the connection to the endpoint was opened.
    bool m_awaitsRequest = true;
    bool m_answered = false; // The endpoint has sent bytes.
    bool m_watchedForSilence = false;
    char m_reply = 0;
    bool m_connected = false;
    bool m_closed = false;
    Direction m_toEndpoint;
    Direction m_toBorrower;
};

ConnectionLender::ConnectionLender(Relay &relay, LenderOptions options)
    : m_relay(relay)
    , m_options(std::move(options))
    , m_listener(relay.io())
{
}

ConnectionLender::~ConnectionLender() = default;

bool ConnectionLender::listen(const std::string &address, LastReason &reason)
{
    return m_listener.open(
        address,
        [this](Listener::Socket socket) {
            accept(std::move(socket));
        },
        reason);
}

bool ConnectionLender::closeUnrequested()
{
    while (!m_unrequested.empty()) {
        const auto oldest = m_unrequested.front().lock();
        m_unrequested.pop_front();
        if (oldest && oldest->awaitsRequest()) {
            oldest->close();
            return true;
        }
    }
    return false;
}

void ConnectionLender::accept(Listener::Socket socket)
{
    if (openConnections() >= m_options.maxConnections && !closeUnrequested()) {
        ++m_relay.counters().lendingReplies[LendingReply::Busy];
        const char reply = static_cast<char>(LendingReply::Busy);
        error_code ignored;
        socket.non_blocking(true, ignored);
        socket.write_some(asio::buffer(&reply, 1), ignored);
        return;
    }
    const auto loan = std::make_shared<Loan>(*this, std::move(socket));
    const auto isOver = [](const std::weak_ptr<Loan> &earlier) {
        const auto shared = earlier.lock();
        return !shared || !shared->awaitsRequest();
    };
    while (!m_unrequested.empty() && isOver(m_unrequested.front())) {
        m_unrequested.pop_front();
    }
    m_unrequested.push_back(loan);
    loan->start();
}

LendingReply ConnectionLender::check(const LendingRequest &request) const
{
    const RelayState &state = m_relay.state();
    if (request.secret != m_options.secret) {
        return LendingReply::Denied;
    }
    if (state.stage != RelayStage::Serving) {
        return LendingReply::Leaving;
    }
    const auto found = state.endpoints.endpoints.find(request.endpoint);
    const bool listed = found != state.endpoints.endpoints.end()
        && (acceptsNewRequests(found->second) || request.purpose == LendingPurpose::Probe)
        && found->second.listed.address == request.address;
    if (!listed || m_relay.mayBeStale(Relay::now())) {
        return LendingReply::NotListed;
    }
    return isPartitioned(state.reach, groupOf(found->second.listed)) ? LendingReply::Partitioned
                                                                     : LendingReply::Connected;
}

bool ConnectionLender::hasRecentAnswer(const EndpointGroup &group) const
{
    const auto &groups = m_relay.state().reach.groups;
    const auto found = groups.find(group);
    return found != groups.end() && Relay::now() <= found->second.lastAnswerAt + m_options.maxAnswerAge;
}

void ConnectionLender::recordReply(LendingReply reply, const LendingRequest &request)
{
    ++m_relay.counters().lendingReplies[reply];
    if (reply != LendingReply::Connected) {
        m_relay.log().write(
            "lending_refused",
            {{"endpoint", std::string_view(request.endpoint.value)}, {"cause", lendingReplyName(reply)}});
    }
}

} // namespace Godwit
