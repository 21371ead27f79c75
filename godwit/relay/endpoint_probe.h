#pragma once

// Checks whether anything listens at an endpoint's address, by opening a connection and closing it again, or whether it
// responds to a request.
//
// Example:
//   probeEndpoint(io, "10.1.64.13:8482", std::chrono::seconds(1), [](ProbeOutcome outcome) { ... });

#include "godwit/base/time.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace Godwit
{

enum class ProbeOutcome {
    Accepts,
    Refuses, // Nothing listens there.
    Unreachable, // No reply within the limit, or another error: the network path may be down.
};

// Calls `done` exactly once, never before this function returns.
void probeEndpoint(boost::asio::io_context &io,
                   const std::string &address,
                   Duration limit,
                   std::function<void(ProbeOutcome)> done);

// As probeEndpoint(), but sends `GET path`. Accepts means that a byte of a response arrived, whatever the status;
// Refuses also covers a connection that was reset before.
void probeResponse(boost::asio::io_context &io,
                   const std::string &address,
                   const std::string &path,
                   Duration limit,
                   std::function<void(ProbeOutcome)> done);

} // namespace Godwit
