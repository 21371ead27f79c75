#include "godwit/router/link_rules.h"

#include "godwit/base/hash.h"

#include <algorithm>

namespace Godwit::internal
{

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon + 1 == address.size() || address.size() - colon > 6) {
        return std::nullopt;
    }
    std::string ip = address.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    unsigned port = 0;
    for (const char c : address.substr(colon + 1)) {
        if (c < '0' || c > '9') {
            return std::nullopt;
        }
        port = port * 10 + static_cast<unsigned>(c - '0');
    }
    boost::system::error_code failure;
    const auto parsed = boost::asio::ip::make_address(ip, failure);
    if (failure || port > 65535) {
        return std::nullopt;
    }
    return tcp::endpoint(parsed, static_cast<std::uint16_t>(port));
}

bool mayUse(const RouterMeshOptions &options, const tcp::endpoint &endpoint)
{
    return options.tls || options.allowPlainText || endpoint.address().is_loopback();
}

std::optional<std::string> faultOf(const RouterMeshOptions &options, const Hello &own)
{
    const auto listen = parseAddress(options.listenAddress);
    if (!listen) {
        return "router links: '" + options.listenAddress
            + "' is no listen address; write it as ip:port, such as 10.0.0.4:7400";
    }
    if (!mayUse(options, *listen)) {
        return "router links: plain text on " + options.listenAddress + "; give TLS files, or allow plain text by name";
    }
    if (!isValid(own) || options.queueBound / 2 <= options.frameBound) {
        return "router links: host, data centre and addresses must be printable and at most "
            + std::to_string(HelloFieldBound) + " characters, and the queue bound over twice the frame bound";
    }
    return std::nullopt;
}

std::optional<Refusal> objectionTo(const Hello &own, const std::optional<HostId> &dialled, const Hello &hello)
{
    if (hello.incarnation == own.incarnation) {
        return Refusal{RefusalKind::Self, "this router reached itself; correct the host list or the address"};
    }
    if (dialled && *dialled != hello.host) {
        return Refusal{RefusalKind::Identity,
                       "dialled host '" + dialled->value + "' and reached '" + hello.host.value
                           + "'; correct the host list or that host's settings"};
    }
    return std::nullopt;
}

bool secondLinkWins(bool secondDialledHere, bool firstDialledHere, const HostId &ownHost, const HostId &remoteHost)
{
    if (secondDialledHere == firstDialledHere) {
        return true;
    }
    const bool ownDialsWin = ownHost < remoteHost;
    return secondDialledHere == ownDialsWin;
}

Duration reconnectDelay(const RouterMeshOptions &options,
                        const Incarnation &own,
                        const HostId &host,
                        std::uint64_t attempts)
{
    constexpr std::uint64_t mostDoublings = 16;
    const auto doublings = std::min(attempts, mostDoublings);
    const auto grown = std::min(options.reconnectLimit, options.reconnectFirst * (std::int64_t{1} << doublings));
    // Up to half as long again, so that the routers that lost the same host don't return in step.
    const auto jitter = rendezvousWeight(own.value, host.value + std::to_string(attempts)) % 512;
    return grown + grown * static_cast<std::int64_t>(jitter) / 1024;
}

} // namespace Godwit::internal
