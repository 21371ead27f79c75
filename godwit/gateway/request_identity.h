#pragma once

// Identifies equal requests, and equal parts of their prompts, across attempts, routers and connections.
//
// Example:
//   const auto fingerprint = requestFingerprint({"GET", "desk.example", "/read/1", customer, body});

#include "godwit/base/ids.h"

#include <cstdint>
#include <string_view>

namespace Godwit
{

struct RequestIdentity
{
    std::string_view method;
    std::string_view host;
    std::string_view target; // Path and query.
    CustomerId customer; // Requests of different customers are never equal.
    std::string_view body;
};

// Returns a hash that is the same on every router and in every version.
std::uint64_t requestFingerprint(const RequestIdentity &identity);

// Returns the same for a part of a prompt, in all requests to the service that contain it.
std::uint64_t promptPartFingerprint(std::string_view service, std::string_view part);

} // namespace Godwit
