#pragma once

// Finds out whether the process of an endpoint outlived a response that ended with its connection.
//
// The kernel closes the connections of a process that ends, in order if it has read what arrived on them. So the close
// of one connection doesn't show whether a response was complete. A second connection to the same process does: it
// ends at the same moment. An idle connection of the pool is used if there is one, otherwise a new one.
//
// Example:
//   checkLiveness(relay, endpoint, LivenessPath::Direct, options, [](const LivenessReport &report) {
//       if (report.liveness == EndpointLiveness::Alive) { ...the endpoint closed the connection itself... }
//   });

#include "godwit/base/time.h"
#include "godwit/gateway/endpoint_table.h"

#include <functional>
#include <string_view>

namespace Godwit
{

class Relay;

enum class EndpointLiveness {
    Alive,
    Dead,
    Unknown,
};

std::string_view endpointLivenessName(EndpointLiveness liveness);

// What showed it.
enum class LivenessEvidence {
    KeptConnection, // An idle connection of the pool, open or closed.
    NewConnection,
    RefusedConnection,
    OtherRouter, // A router that lends connections to the endpoint.
    None, // No connection was established in time.
};

std::string_view livenessEvidenceName(LivenessEvidence evidence);

struct LivenessReport
{
    EndpointLiveness liveness = EndpointLiveness::Unknown;
    LivenessEvidence evidence = LivenessEvidence::None;
};

// How this router reaches the endpoint.
enum class LivenessPath {
    Direct,
    OtherRouters, // Over their connections, because this router is partitioned from the endpoint.
};

struct LivenessOptions
{
    // How long the second connection has to stay open. The kernel closes all connections of a process within
    // milliseconds, but not at the same instant.
    Duration settleTime = std::chrono::milliseconds(100);
    // For a new connection. Longer than one second, after which TCP retransmits a lost SYN.
    Duration connectTimeout = std::chrono::milliseconds(1300);
};

// Calls `done` exactly once, never before this function returns.
void checkLiveness(Relay &relay,
                   const ListedEndpoint &endpoint,
                   LivenessPath path,
                   const LivenessOptions &options,
                   std::function<void(const LivenessReport &)> done);

} // namespace Godwit
