#pragma once

// Asks another router of the fleet for a connection to an endpoint, as in lending_protocol.h. Not thread-safe.
//
// Example:
//   const auto borrower = ConnectionBorrower::start(io, lender, target, limit, [](LendingReply reply, auto socket) {
//       if (reply == LendingReply::Connected) { ...the socket is a connection to the endpoint... }
//   });

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/relay/lending_protocol.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Godwit
{

// A router that offers connections to endpoints.
struct Lender
{
    Incarnation router;
    std::string address; // Where it takes lending requests, as "ip:port".
    std::string secret;
};

class ConnectionBorrower : public std::enable_shared_from_this<ConnectionBorrower>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using Done = std::function<void(LendingReply, Socket)>;

    // Asks the lender for a connection as described by `request`, whose secret is filled in. `done` is called once,
    // within `limit` and never before this returns, unless cancel() is called.
    static std::shared_ptr<ConnectionBorrower> start(
        boost::asio::io_context &io, const Lender &lender, LendingRequest request, Duration limit, Done done);

    void cancel();

    explicit ConnectionBorrower(boost::asio::io_context &io);

private:
    void connect(const std::string &address, Duration limit);
    void sendRequest();
    void readReply();
    void finish(LendingReply reply);

    Socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_line;
    char m_reply = 0;
    Done m_done;
};

} // namespace Godwit
