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

    // Size of the kernel's receive buffer of accepted connections; 0: the system's default. In effect from the next
    // opening of the port: a later change would not limit the window that a connection starts with.
    void setReceiveBuffer(int bytes);

    bool open(const std::string &address, std::function<void(Socket)> onConnection, LastReason &reason);
    // Closes the port for this long, so that new connections are refused at once. Connections already in the accept
    // queue are accepted first.
    void pause(Duration time);
    void close();

    // Returns and clears the last error from reopening the port after a pause. Reopening is retried until it succeeds.
    LastReason takeFailure();

    // The bound address; port 0 is replaced by the port that the system assigned.
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
    int m_receiveBufferBytes = 0;
    bool m_closed = false; // Closed for good, unlike during a pause.
};

} // namespace Godwit
