#include "godwit/relay/liveness_check.h"

#include "godwit/base/enum_names.h"
#include "godwit/http/address.h"
#include "godwit/relay/endpoint_probe.h"
#include "godwit/relay/relay.h"
#include "godwit/relay/socket_progress.h"
#include "platform/http_codec.h"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr EnumName<EndpointLiveness> EndpointLivenessNames[] = {
    {EndpointLiveness::Alive, "alive"},
    {EndpointLiveness::Dead, "dead"},
    {EndpointLiveness::Unknown, "unknown"},
};

constexpr EnumName<LivenessEvidence> LivenessEvidenceNames[] = {
    {LivenessEvidence::KeptConnection, "kept_connection"},
    {LivenessEvidence::NewConnection, "new_connection"},
    {LivenessEvidence::RefusedConnection, "refused_connection"},
    {LivenessEvidence::HealthCheck, "health_check"},
    {LivenessEvidence::OtherRouter, "other_router"},
    {LivenessEvidence::None, "none"},
};

constexpr std::uint32_t MaxHealthHeadBytes = 8U * 1024;

// Whether the other host has closed the connection. Unread bytes don't show that: an endpoint may answer a request
// twice.
bool isClosed(ConnectionPool::Socket &socket)
{
    char byte = 0;
    const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

std::string_view endpointLivenessName(EndpointLiveness liveness)
{
    return enumName(EndpointLivenessNames, liveness);
}

std::string_view livenessEvidenceName(LivenessEvidence evidence)
{
    return enumName(LivenessEvidenceNames, evidence);
}

LivenessCheck::LivenessCheck(Relay &relay, ListedEndpoint endpoint, LivenessPath path)
    : m_relay(relay)
    , m_endpoint(std::move(endpoint))
    , m_path(path)
    , m_timer(relay.io())
{
}

void LivenessCheck::prepare()
{
    if (m_path == LivenessPath::Direct && !takeKept()) {
        connect();
    }
}

void LivenessCheck::conclude(TimePoint endedAt, Done done)
{
    m_endedAt = endedAt;
    m_settledAt = Relay::now() + m_relay.options().liveness.settleTime;
    m_done = std::move(done);
    if (m_path == LivenessPath::OtherRouters) {
        askOtherRouters();
    } else if (m_connecting) {
        limitTime();
    } else {
        judgeWitness();
    }
}

void LivenessCheck::cancel()
{
    m_done = {};
    m_timer.cancel();
    m_connecting.reset();
    returnKept();
    m_witness.reset();
}

bool LivenessCheck::takeKept()
{
    auto kept = m_relay.pool().acquire(m_endpoint.id, Relay::now());
    if (kept) {
        const TimePoint establishedAt = kept->openedAt;
        m_witness.emplace(Witness{std::move(*kept), establishedAt, LivenessEvidence::KeptConnection});
    }
    return m_witness.has_value();
}

void LivenessCheck::connect()
{
    LastReason reason;
    const auto address = parseAddress(m_endpoint.address, reason);
    if (!address) {
        finishLater(EndpointLiveness::Unknown, LivenessEvidence::None);
        return;
    }
    m_connecting.emplace(m_relay.io());
    m_connecting->async_connect(*address, [self = shared_from_this()](const error_code &error) {
        if (self->m_connecting) {
            self->onConnected(error);
        }
    });
    if (m_done) {
        limitTime();
    }
}

void LivenessCheck::onConnected(const error_code &error)
{
    auto socket = std::move(*m_connecting);
    m_connecting.reset();
    if (!error) {
        const TimePoint now = Relay::now();
        m_witness.emplace(Witness{{std::move(socket), now, now}, now, LivenessEvidence::NewConnection});
        if (m_done) {
            judgeWitness();
        }
        return;
    }
    if (error == asio::error::connection_refused) {
        finish(EndpointLiveness::Dead, LivenessEvidence::RefusedConnection);
    } else if (error == asio::error::connection_reset && m_done) {
        connectAfterSettling();
    } else {
        finish(EndpointLiveness::Unknown, LivenessEvidence::None);
    }
}

void LivenessCheck::judgeWitness()
{
    if (m_witness && isClosed(m_witness->connection.socket)) {
        auto &socket = m_witness->connection.socket;
        // The kernel doesn't tell when a reset arrived.
        if (!wasReset(socket) && endedTogether(Relay::now() - sinceLastSegment(socket))) {
            finishLater(EndpointLiveness::Dead, m_witness->evidence);
            return;
        }
        m_witness.reset();
    }
    if (!m_witness && !takeKept()) {
        connect();
    } else if (m_witness->establishedAt <= m_endedAt) {
        watch();
    } else {
        askForId();
    }
}

// Whether the second connection predates the end of the response and was closed at the same moment.
bool LivenessCheck::endedTogether(TimePoint closedAt) const
{
    const Duration limit = m_relay.options().liveness.simultaneousTime;
    return m_witness->establishedAt <= m_endedAt && closedAt <= m_endedAt + limit && m_endedAt <= closedAt + limit;
}

void LivenessCheck::onWitnessEnded(TimePoint closedAt)
{
    if (endedTogether(closedAt)) {
        finish(EndpointLiveness::Dead, m_witness->evidence);
    } else {
        m_witness.reset();
        connectAfterSettling();
    }
}

void LivenessCheck::connectAfterSettling()
{
    if (std::exchange(m_reconnected, true)) {
        finishLater(EndpointLiveness::Unknown, LivenessEvidence::None);
        return;
    }
    m_timer.expires_after(m_relay.options().liveness.settleTime);
    m_timer.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error && self->m_done) {
            self->connect();
        }
    });
}

// The endpoint is alive if the second connection stays open for the settle time.
void LivenessCheck::watch()
{
    m_timer.expires_after(m_relay.options().liveness.settleTime);
    m_timer.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error && self->m_done && self->m_witness) {
            self->onSettled();
        }
    });
    m_witness->connection.socket.async_wait(
        ConnectionPool::Socket::wait_read, [self = shared_from_this()](const error_code &error) {
            // Bytes that arrive unasked are judged when the time is over.
            if (!error && self->m_done && self->m_witness && isClosed(self->m_witness->connection.socket)) {
                self->m_timer.cancel();
                auto &socket = self->m_witness->connection.socket;
                self->onWitnessEnded(Relay::now() - (wasReset(socket) ? Duration::zero() : sinceLastSegment(socket)));
            }
        });
}

void LivenessCheck::onSettled()
{
    if (isClosed(m_witness->connection.socket)) {
        onWitnessEnded(Relay::now());
    } else {
        finish(EndpointLiveness::Alive, m_witness->evidence);
    }
}

bool LivenessCheck::isPrompt() const
{
    return m_witness->establishedAt <= m_endedAt + m_relay.options().liveness.minRestartTime;
}

void LivenessCheck::askForId()
{
    auto &socket = m_witness->connection.socket;
    m_buffer.clear();
    m_parser.emplace();
    m_parser->header_limit(MaxHealthHeadBytes);
    m_request = formatHealthRequest(m_relay.reachMonitor().probePath(m_endpoint.service), m_endpoint.address);
    m_timer.expires_after(isPrompt() ? m_relay.options().liveness.settleTime
                                     : m_relay.options().liveness.responseTimeout);
    m_timer.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error && self->m_done && self->m_witness) {
            self->onUnidentified();
        }
    });
    asio::async_write(socket, asio::buffer(m_request), [self = shared_from_this()](const error_code &, std::size_t) {});
    http::async_read_header(
        socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code &error, std::size_t) {
            if (self->m_done && self->m_witness) {
                self->onHealthChecked(error);
            }
        });
}

void LivenessCheck::onHealthChecked(const error_code &error)
{
    if (error) {
        m_witness.reset();
        connectAfterSettling();
        return;
    }
    const std::string id = parseEndpointId(m_parser->get().base());
    if (id.empty()) {
        return;
    }
    if (id != m_endpoint.id.value) {
        finish(EndpointLiveness::Dead, LivenessEvidence::HealthCheck);
        return;
    }
    m_timer.expires_at(m_settledAt);
    m_timer.async_wait([self = shared_from_this()](const error_code &cancelled) {
        if (!cancelled) {
            self->finish(EndpointLiveness::Alive, LivenessEvidence::HealthCheck);
        }
    });
}

void LivenessCheck::onUnidentified()
{
    if (isPrompt() && !isClosed(m_witness->connection.socket)) {
        finish(EndpointLiveness::Alive, LivenessEvidence::NewConnection);
    } else {
        finish(EndpointLiveness::Unknown, LivenessEvidence::None);
    }
}

// Other routers only tell whether the endpoint's address accepts connections, so they have to be asked promptly.
void LivenessCheck::askOtherRouters()
{
    const LivenessOptions &options = m_relay.options().liveness;
    if (Relay::now() > m_endedAt + options.minRestartTime) {
        finishLater(EndpointLiveness::Unknown, LivenessEvidence::OtherRouter);
        return;
    }
    m_timer.expires_after(options.settleTime);
    m_timer.async_wait([self = shared_from_this()](const error_code &error) {
        if (error || !self->m_done) {
            return;
        }
        probeThroughLenders(self->m_relay.io(),
                            self->m_relay.lendersToAsk(groupOf(self->m_endpoint)),
                            self->m_endpoint.id,
                            self->m_endpoint.address,
                            self->m_relay.options().exchange.borrowTimeout,
                            [self](ProbeOutcome outcome) {
                                const bool refused = outcome == ProbeOutcome::Refuses;
                                const auto liveness = outcome == ProbeOutcome::Accepts ? EndpointLiveness::Alive
                                    : refused                                          ? EndpointLiveness::Dead
                                                                                       : EndpointLiveness::Unknown;
                                self->finish(liveness, LivenessEvidence::OtherRouter);
                            });
    });
}

void LivenessCheck::limitTime()
{
    m_timer.expires_after(m_relay.options().liveness.responseTimeout);
    m_timer.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error && self->m_timer.expiry() <= std::chrono::steady_clock::now()) {
            self->finish(EndpointLiveness::Unknown, LivenessEvidence::None);
        }
    });
}

void LivenessCheck::finish(EndpointLiveness liveness, LivenessEvidence evidence)
{
    if (const auto done = std::exchange(m_done, {})) {
        if (liveness != EndpointLiveness::Alive) {
            m_witness.reset();
        }
        cancel();
        done({liveness, evidence});
    }
}

void LivenessCheck::finishLater(EndpointLiveness liveness, LivenessEvidence evidence)
{
    asio::post(m_relay.io(), [self = shared_from_this(), liveness, evidence] {
        self->finish(liveness, evidence);
    });
}

void LivenessCheck::returnKept()
{
    if (!m_witness || m_witness->evidence != LivenessEvidence::KeptConnection) {
        return;
    }
    error_code ignored;
    m_witness->connection.socket.cancel(ignored);
    m_relay.pool().release(m_endpoint.id, std::move(m_witness->connection));
}

} // namespace Godwit
