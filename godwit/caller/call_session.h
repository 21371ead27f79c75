#pragma once

// One caller's connection on a traffic thread: reads requests, carries out the control thread's commands for them,
// and relays answers.
//
// Example, inside the listener:
//   serveConnection(std::move(stream), shared, yield);

#include "godwit/base/time.h"
#include "godwit/caller/call_mailbox.h"
#include "godwit/endpoint/endpoint_pool.h"
#include "godwit/kernel/call_messages.h"

#include <boost/asio/spawn.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace Godwit
{

struct CallerOptions
{
    std::size_t maxBodyBytes = 1024UL * 1024;
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxConnections = 4096; // Of one traffic thread.
    Duration headerTimeout = std::chrono::seconds(10); // From the first byte awaited to the whole request.
    Duration writeTimeout = std::chrono::seconds(20); // For one write: a reader slower than that is let go.
    std::size_t maxKeptAnswerBytes = 4096; // Longest answer of a not-repeatable call that is kept for a repeat.
};

// What the sessions of one traffic thread share.
struct CallerShared
{
    boost::asio::io_context &io;
    CallerOptions options;
    EndpointPool pool;
    CallRegistry registry;
    // Hands an event to the control thread; may be called from the traffic thread only.
    std::function<void(CallEvent)> post;
    std::function<bool()> ready; // Whether this router takes calls; safe on any thread.
    std::uint64_t nextCall = 0;
    std::uint64_t callStride = 1; // Call ids of the threads interleave.
    std::size_t connections = 0;
    // Calls whose answer is not wholly written yet. Read by the control thread.
    std::atomic<std::size_t> activeCalls{0};
    // Set while the router is stopping: each answer then closes its connection.
    std::atomic<bool> closing{false};
};

void serveConnection(boost::beast::tcp_stream stream, CallerShared &shared, const boost::asio::yield_context &yield);
void serveConnection(boost::beast::ssl_stream<boost::beast::tcp_stream> stream,
                     CallerShared &shared,
                     const boost::asio::yield_context &yield);

} // namespace Godwit
