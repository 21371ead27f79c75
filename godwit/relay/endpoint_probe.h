#pragma once

// Checks whether anything listens at an endpoint's address, by opening a connection and closing it again, or whether it
// responds to a request. Also asks other routers for such a check.
//
// Example:
//   probeEndpoint(io, "10.1.64.13:8482", std::chrono::seconds(1), [](ProbeOutcome outcome) { ... });

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <vector>

namespace Godwit
{

struct Lender;

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

// Asks the lenders in turn whether the endpoint accepts connections, until one of them can tell. `limit`: for each of
// them. Unreachable means that none could tell. Calls `done` exactly once, never before this function returns.
void probeThroughLenders(boost::asio::io_context &io,
                         std::vector<Lender> lenders,
                         const EndpointId &endpoint,
                         const std::string &address,
                         Duration limit,
                         std::function<void(ProbeOutcome)> done);

} // namespace Godwit
