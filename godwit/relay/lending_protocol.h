#pragma once

// The protocol by which a router lends connections to endpoints to another router of its fleet.
//
// The borrower opens a connection and sends one line. The lender connects to the endpoint and replies with one byte; if
// that is LendingReply::Connected, all further bytes pass unchanged in both directions.
//
// Example:
//   const std::string line = encodeLendingRequest({LendingPurpose::Lend, secret, endpoint, address});
//   const auto request = decodeLendingRequest(line);

#include "godwit/base/ids.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

// Upper bound of an encoded request, including the line feed.
inline constexpr std::size_t MaxLendingRequestBytes = 1024;

enum class LendingPurpose {
    Lend,
    Probe, // Only find out whether the endpoint accepts connections.
};

struct LendingRequest
{
    LendingPurpose purpose = LendingPurpose::Lend;
    std::string secret; // Known only to the lender and the routers that it has links to.
    EndpointId endpoint;
    std::string address; // The endpoint's "ip:port".
};

enum class LendingReply : char {
    Connected = '+',
    Refused = 'R', // The endpoint refused the connection.
    Unreachable = 'U', // The endpoint did not accept the connection in time.
    Partitioned = 'P', // The lender can't reach the endpoint's group itself.
    NotListed = 'N', // The lender does not list such an endpoint, or it takes no new requests.
    Busy = 'B', // The lender has no capacity left.
    Leaving = 'L', // The lender is stopping.
    Denied = 'D', // Unknown secret, or a malformed request.
    NoReply = '-', // Never sent: the lender could not be reached or did not reply.
};

std::string_view lendingReplyName(LendingReply reply);

std::string encodeLendingRequest(const LendingRequest &request);

// `line` may end with a line feed. Returns nullopt for malformed input.
std::optional<LendingRequest> decodeLendingRequest(std::string_view line);

// Returns NoReply for an unknown byte.
LendingReply decodeLendingReply(char byte);

} // namespace Godwit
