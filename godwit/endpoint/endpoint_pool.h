#pragma once

// Idle keep-alive connections to endpoints, one pool for each traffic thread.
//
// A connection returns to the pool only after a whole answer was read from it. One that was cancelled or broke
// is closed: its unread bytes would reach the next caller as that caller's answer.
//
// Not thread-safe.

#include "godwit/base/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Godwit
{

// Bound of the bytes of one answer that wait for the parser: a head, a chunk's size with its extensions, or trailers.
constexpr std::size_t MaxUnparsedBytes = 64UL * 1024;

struct EndpointConnection
{
    explicit EndpointConnection(boost::asio::io_context &io)
        : stream(io)
        , buffer(MaxUnparsedBytes)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool reused = false;
};

class EndpointPool
{
public:
    explicit EndpointPool(std::size_t maxIdlePerEndpoint = 64);

    // Returns an idle connection to `address`, or null.
    std::unique_ptr<EndpointConnection> take(const std::string &address);

    // Keeps `connection` for the next call. Precondition: its last answer was read whole and allows keep-alive.
    void give(const std::string &address, std::unique_ptr<EndpointConnection> connection);

    std::size_t idleCount() const;

    // Bytes that the answers now being read keep in memory.
    std::size_t &keptBytes()
    {
        return m_keptBytes;
    }

private:
    std::size_t m_keptBytes = 0;
    std::size_t m_maxIdle;
    std::unordered_map<std::string, std::vector<std::unique_ptr<EndpointConnection>>> m_idle;
};

} // namespace Godwit
