#pragma once

// Asks whether anything listens at an endpoint's address, with one connection that carries nothing.
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
    Unreachable, // No answer within the limit: the way there may be cut.
};

// Calls `done` once, after this returns.
void probeEndpoint(boost::asio::io_context &io,
                   const std::string &address,
                   Duration limit,
                   std::function<void(ProbeOutcome)> done);

} // namespace Godwit
