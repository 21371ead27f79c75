#pragma once

// One caller: it asks over one kept connection until that ends, and never sends a request a second time.
//
// Example:
//   Caller caller(fleet.io, fleet.promises);
//   caller.call(address, request, yield);

#include "soak/promises.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Godwit::Soak
{

struct Fleet;

using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;

class Caller
{
public:
    explicit Caller(boost::asio::io_context &io);

    // Sends over the kept connection, or over a new one to `address` when none is kept. `onBody` hears of the body so
    // far whenever more of it came.
    Outcome call(const std::string &address,
                 const CallerRequest &request,
                 const std::function<void(const std::string &body)> &onBody,
                 const boost::asio::yield_context &yield);

    bool isConnected() const
    {
        return m_stream != nullptr;
    }
    void disconnect();

private:
    bool connect(const std::string &address, const boost::asio::yield_context &yield);

    boost::asio::io_context &m_io;
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
};

// Asks with requests of all kinds until the fleet is ending. `number` tells the callers of a play apart.
void runCaller(Fleet &fleet, std::uint64_t seed, int number, const boost::asio::yield_context &yield);

struct CrasherPace
{
    // Between two of its sends.
    std::chrono::milliseconds leastPause{150};
    std::chrono::milliseconds mostPause{650};
};

// Sends one request under which endpoints die, again and again at any router, until the fleet is ending.
// Sends streams with the part of a prompt that crashes engines, no two alike.
void runPartCrasher(Fleet &fleet, std::uint64_t seed, const boost::asio::yield_context &yield);

void runCrasher(
    Fleet &fleet, std::uint64_t seed, int number, CrasherPace pace, const boost::asio::yield_context &yield);

// Asks each router for the routes of the newest documents until the fleet is ending.
void watchDocuments(Fleet &fleet, std::uint64_t seed, const boost::asio::yield_context &yield);

} // namespace Godwit::Soak
