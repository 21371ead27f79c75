#pragma once

// A traffic thread: its listener for callers, its connections and its pool of connections to endpoints.
//
// Example:
//   CallerServer server(options, post, ready);
//   LastReason reason;
//   if (!server.listen(address, reason)) { ... }
//   server.start();
//   server.deliver(command);  // From the control thread.

#include "godwit/base/error.h"
#include "godwit/caller/call_session.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <functional>
#include <memory>
#include <thread>

namespace Godwit
{

struct CallerServerOptions
{
    CallerOptions caller;
    std::uint64_t thread = 0; // Index of this traffic thread.
    std::uint64_t threads = 1;
};

class CallerServer
{
public:
    using Post = std::function<void(CallEvent)>;
    using TlsContext = std::shared_ptr<boost::asio::ssl::context>;

    CallerServer(CallerServerOptions options, Post post, std::function<bool()> ready);
    ~CallerServer();

    // Opens the listener; port 0 takes a free one. Returns the address that it listens on. Call before start().
    std::optional<boost::asio::ip::tcp::endpoint> listen(const boost::asio::ip::tcp::endpoint &address,
                                                         LastReason &reason);

    // Connections that come from now on speak TLS with `context`; null for plain text. Safe on any thread.
    void setTls(TlsContext context);

    void start();

    // Lets each connection end after its next answer. Safe on any thread.
    void closeAfterAnswers();

    // Calls whose answer is not wholly written yet. Safe on any thread.
    std::size_t activeCalls() const;

    // Stops accepting; open connections go on. Safe on any thread.
    void stopAccepting();

    // Ends the thread and closes what is open.
    void stop();

    // Hands a command to its call. Safe on any thread.
    void deliver(CallCommand command);

    // The thread that a call lives on.
    static std::uint64_t threadOf(CallId call, std::uint64_t threads)
    {
        return call.value % threads;
    }

private:
    void acceptLoop(const boost::asio::yield_context &yield);
    void serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context m_io{1};
    boost::asio::ip::tcp::acceptor m_acceptor;
    CallerShared m_shared;
    TlsContext m_tls;
    std::thread m_thread;
};

} // namespace Godwit
