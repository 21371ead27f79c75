#include "godwit/relay/liveness_check.h"

#include "godwit/base/enum_names.h"
#include "godwit/http/address.h"
#include "godwit/relay/endpoint_probe.h"
#include "godwit/relay/relay.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <memory>
#include <optional>
#include <utility>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
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
    {LivenessEvidence::OtherRouter, "other_router"},
    {LivenessEvidence::None, "none"},
};

struct Check
{
    Relay &relay;
    ListedEndpoint endpoint;
    LivenessOptions options;
    std::function<void(const LivenessReport &)> done; // Empty once it has been called.
    asio::steady_timer timer;
    std::optional<ConnectionPool::Connection> kept; // From the pool.
    std::optional<tcp::socket> opened;
};

using CheckPtr = std::shared_ptr<Check>;

void finish(Check &check, EndpointLiveness liveness, LivenessEvidence evidence)
{
    if (const auto done = std::exchange(check.done, {})) {
        check.timer.cancel();
        error_code ignored;
        if (check.opened) {
            check.opened->close(ignored);
        }
        if (check.kept) {
            check.kept->socket.cancel(ignored);
        }
        done({liveness, evidence});
    }
}

// Whether the other host has closed the connection. Unread bytes don't show that: an endpoint may answer a request
// twice.
bool isClosed(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// The endpoint is alive if this connection stays open for the settle time.
void watch(const CheckPtr &check, tcp::socket &socket, LivenessEvidence evidence)
{
    check->timer.expires_after(check->options.settleTime);
    check->timer.async_wait([check, evidence](const error_code &error) {
        if (error || !check->done) {
            return;
        }
        if (check->kept) {
            error_code ignored;
            check->kept->socket.cancel(ignored);
            check->relay.pool().release(check->endpoint.id, std::move(*check->kept));
            check->kept.reset();
        }
        finish(*check, EndpointLiveness::Alive, evidence);
    });
    socket.async_wait(tcp::socket::wait_read, [check, &socket, evidence](const error_code &error) {
        if (!error && check->done) {
            finish(*check, isClosed(socket) ? EndpointLiveness::Dead : EndpointLiveness::Alive, evidence);
        }
    });
}

void onConnected(const CheckPtr &check, const error_code &error)
{
    if (!check->done) {
        return;
    }
    if (!error) {
        watch(check, *check->opened, LivenessEvidence::NewConnection);
        return;
    }
    const bool refused = error == asio::error::connection_refused || error == asio::error::connection_reset;
    finish(*check,
           refused ? EndpointLiveness::Dead : EndpointLiveness::Unknown,
           refused ? LivenessEvidence::RefusedConnection : LivenessEvidence::None);
}

void connect(const CheckPtr &check)
{
    LastReason reason;
    const auto address = parseAddress(check->endpoint.address, reason);
    if (!address) {
        asio::post(check->relay.io(), [check] {
            finish(*check, EndpointLiveness::Unknown, LivenessEvidence::None);
        });
        return;
    }
    check->timer.expires_after(check->options.connectTimeout);
    check->timer.async_wait([check](const error_code &error) {
        if (!error && check->timer.expiry() <= std::chrono::steady_clock::now()) {
            finish(*check, EndpointLiveness::Unknown, LivenessEvidence::None);
        }
    });
    check->opened.emplace(check->relay.io());
    check->opened->async_connect(*address, [check](const error_code &error) {
        onConnected(check, error);
    });
}

void askOtherRouters(const CheckPtr &check)
{
    check->timer.expires_after(check->options.settleTime);
    check->timer.async_wait([check](const error_code &error) {
        if (error) {
            return;
        }
        const EndpointGroup group = groupOf(check->endpoint);
        probeThroughLenders(check->relay.io(),
                            check->relay.lendersToAsk(group),
                            check->endpoint.id,
                            check->endpoint.address,
                            check->relay.options().exchange.borrowTimeout,
                            [check](ProbeOutcome outcome) {
                                const bool refused = outcome == ProbeOutcome::Refuses;
                                const auto liveness = outcome == ProbeOutcome::Accepts ? EndpointLiveness::Alive
                                    : refused                                          ? EndpointLiveness::Dead
                                                                                       : EndpointLiveness::Unknown;
                                finish(*check, liveness, LivenessEvidence::OtherRouter);
                            });
    });
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

void checkLiveness(Relay &relay,
                   const ListedEndpoint &endpoint,
                   LivenessPath path,
                   const LivenessOptions &options,
                   std::function<void(const LivenessReport &)> done)
{
    auto check = std::make_shared<Check>(
        Check{relay, endpoint, options, std::move(done), asio::steady_timer(relay.io()), std::nullopt, std::nullopt});
    if (path == LivenessPath::OtherRouters) {
        askOtherRouters(check);
        return;
    }
    check->kept = relay.pool().acquire(endpoint.id, Relay::now());
    if (check->kept) {
        watch(check, check->kept->socket, LivenessEvidence::KeptConnection);
    } else {
        connect(check);
    }
}

} // namespace Godwit
