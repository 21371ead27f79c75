#pragma once

// What a router decides about its links from settings and hellos alone: which addresses it uses, whom it refuses, which
// of two links to one router stays, and when it dials again.

#include "godwit/router/router_mesh.h"

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace Godwit::internal
{

// "ip:port", with an IPv6 address in brackets. Nothing when `address` is no such text.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &address);

// Whether the options let links use this address: plain text stays on the host unless it is allowed by name.
bool mayUse(const RouterMeshOptions &options, const boost::asio::ip::tcp::endpoint &endpoint);

// What is wrong with the options or this router's own hello, and how to put it right; nothing when both can be used.
std::optional<std::string> faultOf(const RouterMeshOptions &options, const Hello &own);

// Why `hello` is refused, by what it says: it comes from this router itself, or from another host than `dialled`, the
// one that this side dialled.
std::optional<Refusal> objectionTo(const Hello &own, const std::optional<HostId> &dialled, const Hello &hello);

// Whether the second of two links to one router takes the place of the first.
//
// Two routers that dial each other at the same time get two connections. If each closed the one that it saw
// second, both would go, and again after the next dial. So both keep the one that the smaller host name dialled;
// of two from the same side the newer, since that side opened it only after it had lost the older.
bool secondLinkWins(bool secondDialledHere, bool firstDialledHere, const HostId &ownHost, const HostId &remoteHost);

// How long to wait before `host` is dialled again, after `attempts` dials without a link.
Duration reconnectDelay(const RouterMeshOptions &options,
                        const Incarnation &own,
                        const HostId &host,
                        std::uint64_t attempts);

} // namespace Godwit::internal
