#pragma once

// Divides a router's descriptors among its ports, and chooses which connection is closed when a port has no descriptor
// left for a new one.
//
// Without such limits, clients that connect and send nothing take all descriptors, and the router can neither accept
// anyone nor reach the store, its peers or endpoints. A connection whose request is being processed is never chosen.
//
// Pure functions. Example:
//   const ConnectionLimits limits = connectionLimits(4096);
//   if (open.size() >= limits.callers) { close(*connectionToClose(activities, now)); }

#include "godwit/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Godwit
{

// What a connection of a caller is doing, in the order in which connections are closed.
enum class ConnectionPhase {
    Closing, // Answered for the last time; the caller is expected to close it.
    Idle, // Waiting for a request.
    Head, // A part of a request's head has arrived.
    Body, // The head and a part of the body have arrived.
    Busy, // A request is being processed, or its response is being written.
};

constexpr std::size_t ConnectionPhaseCount = 5;

std::string_view connectionPhaseName(ConnectionPhase phase);

struct ConnectionActivity
{
    ConnectionPhase phase = ConnectionPhase::Idle;
    // When the phase began. For a body, the latest progress of the sender.
    TimePoint since;
};

// Most connections that are open at a time. The rest of the descriptors is for files and for the connections that the
// router opens itself.
struct ConnectionLimits
{
    std::size_t callers = 0;
    std::size_t entry = 0; // Readiness checks and address queries.
    std::size_t metrics = 0;
    std::size_t lent = 0; // To other routers of the fleet.
    std::size_t unprovenPeers = 0; // To the peers' port, before the hello.
};

ConnectionLimits connectionLimits(std::uint64_t descriptors);

// Returns the index of the connection to close, or nullopt if all are busy. Callers get `MinQuietTime` to send a
// request before their connection is preferred to others for its phase.
std::optional<std::size_t> connectionToClose(const std::vector<ConnectionActivity> &connections, TimePoint now);

} // namespace Godwit
