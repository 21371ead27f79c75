#pragma once

// What the fleet keeps in the platform's store of a request that endpoints died under: one record for each, written
// under the condition of its revision. It outlives the routers, and lets one of them at a time try the request again.
//
// Example:
//   const auto record = decodeSuspectRecord(encodeSuspectRecord(known));

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

// The request as operators see it.
struct SuspectLabel
{
    std::string host;
    std::string target;
    CustomerId customer;
};

// A run by itself, of which nothing is known yet.
struct SuspectTrial
{
    Incarnation router;
    EndpointId endpoint;
};

struct SuspectDeath
{
    EndpointId endpoint;
    Duration ranFor{}; // How long the request had been there; zero where that is not known.
    bool trial = false; // It was tried by itself there.
};

struct SuspectRecord
{
    SuspectLabel label;
    std::vector<SuspectDeath> deaths; // That count against it, the earliest first.
    std::optional<SuspectTrial> trial;
    bool convicted = false;
};

std::string encodeSuspectRecord(const SuspectRecord &record);

// nullopt for text that is no such record.
std::optional<SuspectRecord> decodeSuspectRecord(const std::string &text);

// A fingerprint as keys and lines have it, sixteen hexadecimal digits, and back.
std::string formatFingerprint(std::uint64_t fingerprint);
std::optional<std::uint64_t> parseFingerprint(const std::string &text);

} // namespace Godwit
