#pragma once

// A listening socket that hands each accepted connection to a callback. Not thread-safe.
//
// Example:
//   Listener listener(io);
//   LastReason reason;
//   if (!listener.open("10.0.0.4:8740", onConnection, reason)) { ... }

#include "godwit/base/error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace Godwit
{

class Listener
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    explicit Listener(boost::asio::io_context &io);

    bool open(const std::string &address, std::function<void(Socket)> onConnection, LastReason &reason);
    void close();

    // What was opened: port 0 takes a free one.
    std::string address() const;

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_pause;
    std::function<void(Socket)> m_onConnection;
};

} // namespace Godwit
