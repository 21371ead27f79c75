#pragma once

// The record of a suspected request in the platform's store, shared by the fleet. There is one record per request,
// written conditionally on its revision. It survives restarts of the routers, and lets one router at a time run a trial
// of the request.
//
// Example:
//   const auto decoded = decodeSuspectRecord(encodeSuspectRecord(record));

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

// Describes the request to operators.
struct SuspectLabel
{
    std::string host;
    std::string target;
    CustomerId customer;
};

// A trial whose outcome is not known yet.
struct SuspectTrial
{
    Incarnation router;
    EndpointId endpoint;
};

struct SuspectDeath
{
    EndpointId endpoint;
    Duration ranFor{}; // How long the request had been at the endpoint; zero if unknown.
    bool trial = false; // The request ran there as a trial.
};

struct SuspectRecord
{
    SuspectLabel label;
    std::vector<SuspectDeath> deaths; // Attributable deaths, earliest first.
    std::optional<SuspectTrial> trial;
    bool convicted = false;
};

std::string encodeSuspectRecord(const SuspectRecord &record);

// Returns nullopt for malformed text.
std::optional<SuspectRecord> decodeSuspectRecord(const std::string &text);

// Formats a fingerprint as in store keys and log lines, with sixteen hexadecimal digits, and parses it.
std::string formatFingerprint(std::uint64_t fingerprint);
std::optional<std::uint64_t> parseFingerprint(const std::string &text);

} // namespace Godwit
