#pragma once

// What the kernel reports about a connection.

#include "godwit/base/time.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace Godwit
{

// Limits how much the kernel accepts beyond what it can send at once, so that a stalled reader shows after a
// few kilobytes instead of megabytes. The amount in transit, and with it the throughput, is not limited.
void limitUnsentBytes(boost::asio::ip::tcp::socket &socket);

// Returns the number of bytes accepted by the kernel that the other host has not acknowledged.
std::uint64_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket);

// Whether bytes wait although none is in transit: the other host is alive, but its receive buffer is full.
bool isReceiverFull(boost::asio::ip::tcp::socket &socket);

// Whether a connection whose end was read has ended by a reset or a timeout. The kernel reports such an error to one
// call only; after a write that failed, reading looks like an orderly close. Valid only while the sending direction has
// not been shut down. False if the kernel doesn't tell.
bool wasReset(boost::asio::ip::tcp::socket &socket);

// Returns for how long no segment has arrived that acknowledges data or the end of it, as all do but resets. After the
// other host has closed the connection in order, this is the time since then. Zero if the kernel doesn't tell.
Duration sinceLastSegment(boost::asio::ip::tcp::socket &socket);

} // namespace Godwit
