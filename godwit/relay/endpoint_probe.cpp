#include "godwit/relay/endpoint_probe.h"

#include "godwit/http/address.h"
#include "godwit/relay/connection_borrower.h"
#include "platform/http_codec.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <utility>

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
    std::string request; // Empty: a connection suffices.
    char firstByte = 0;
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

ProbeOutcome failureOutcome(const error_code &error)
{
    const bool refused = error == asio::error::connection_refused || error == asio::error::connection_reset;
    return refused ? ProbeOutcome::Refuses : ProbeOutcome::Unreachable;
}

void sendRequest(const std::shared_ptr<Probe> &probe)
{
    asio::async_write(probe->socket, asio::buffer(probe->request), [](const error_code &, std::size_t) {});
    probe->socket.async_read_some(asio::buffer(&probe->firstByte, 1), [probe](const error_code &error, std::size_t) {
        finishProbe(*probe, error ? failureOutcome(error) : ProbeOutcome::Accepts);
    });
}

void start(asio::io_context &io,
           const std::string &address,
           std::string request,
           Duration limit,
           std::function<void(ProbeOutcome)> done)
{
    auto probe = std::make_shared<Probe>(
        Probe{asio::ip::tcp::socket(io), asio::steady_timer(io), std::move(done), std::move(request), 0});
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
        if (error) {
            finishProbe(*probe, failureOutcome(error));
        } else if (probe->request.empty()) {
            finishProbe(*probe, ProbeOutcome::Accepts);
        } else if (probe->done) {
            sendRequest(probe);
        }
    });
}

} // namespace

void probeEndpoint(asio::io_context &io,
                   const std::string &address,
                   Duration limit,
                   std::function<void(ProbeOutcome)> done)
{
    start(io, address, {}, limit, std::move(done));
}

void probeResponse(asio::io_context &io,
                   const std::string &address,
                   const std::string &path,
                   Duration limit,
                   std::function<void(ProbeOutcome)> done)
{
    start(io, address, formatHealthRequest(path, address), limit, std::move(done));
}

void probeThroughLenders(asio::io_context &io,
                         std::vector<Lender> lenders,
                         const EndpointId &endpoint,
                         const std::string &address,
                         Duration limit,
                         std::function<void(ProbeOutcome)> done)
{
    if (lenders.empty()) {
        asio::post(io, [done = std::move(done)] {
            done(ProbeOutcome::Unreachable);
        });
        return;
    }
    const Lender next = std::move(lenders.front());
    lenders.erase(lenders.begin());
    const LendingRequest request{LendingPurpose::Probe, {}, endpoint, address};
    ConnectionBorrower::start(
        io,
        next,
        request,
        limit,
        [&io, lenders = std::move(lenders), endpoint, address, limit, done = std::move(done)](LendingReply reply,
                                                                                              const auto &) {
            if (reply == LendingReply::Connected || reply == LendingReply::Refused) {
                done(reply == LendingReply::Connected ? ProbeOutcome::Accepts : ProbeOutcome::Refuses);
            } else {
                probeThroughLenders(io, lenders, endpoint, address, limit, done);
            }
        });
}

} // namespace Godwit
