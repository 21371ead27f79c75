#include "godwit/relay/endpoint_probe.h"

#include "godwit/http/address.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

struct Probe
{
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::function<void(ProbeOutcome)> done;
};

void finishProbe(Probe &probe, ProbeOutcome outcome)
{
    if (const auto done = std::exchange(probe.done, {})) {
        error_code ignored;
        probe.socket.close(ignored);
        probe.timer.cancel();
        done(outcome);
    }
}

} // namespace

void probeEndpoint(asio::io_context &io,
                   const std::string &address,
                   Duration limit,
                   std::function<void(ProbeOutcome)> done)
{
    auto probe = std::make_shared<Probe>(Probe{asio::ip::tcp::socket(io), asio::steady_timer(io), std::move(done)});
    LastReason reason;
    const auto target = parseAddress(address, reason);
    if (!target) {
        asio::post(io, [probe] {
            finishProbe(*probe, ProbeOutcome::Unreachable);
        });
        return;
    }
    probe->timer.expires_after(limit);
    probe->timer.async_wait([probe](const error_code &error) {
        if (!error) {
            finishProbe(*probe, ProbeOutcome::Unreachable);
        }
    });
    probe->socket.async_connect(*target, [probe](const error_code &error) {
        const bool refused = error == asio::error::connection_refused || error == asio::error::connection_reset;
        const ProbeOutcome failure = refused ? ProbeOutcome::Refuses : ProbeOutcome::Unreachable;
        finishProbe(*probe, error ? failure : ProbeOutcome::Accepts);
    });
}

} // namespace Godwit
