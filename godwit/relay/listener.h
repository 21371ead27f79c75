#pragma once

// A listening socket that hands each accepted connection to a callback. Not thread-safe.
//
// Example:
//   Listener listener(io);
//   LastReason reason;
//   if (!listener.open("10.0.0.4:8740", onConnection, reason)) { ... }

#include "godwit/base/error.h"
#include "godwit/base/time.h"

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
    // Takes no connection for this long: callers that try are told so at once by their system. Those that wait in the
    // queue are taken first.
    void pause(Duration time);
    void close();

    // Why the port could not be opened again after a pause, once; it is tried again all the while.
    LastReason takeFailure();

    // What was opened: port 0 takes a free one.
    std::string address() const;

private:
    bool listen(LastReason &reason);
    void accept();
    void acceptPending();
    void acceptAfter(Duration time);
    void resume();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    boost::asio::steady_timer m_pauseTimer;
    std::function<void(Socket)> m_onConnection;
    LastReason m_failure;
    bool m_closed = false; // For good.
};

} // namespace Godwit
