#pragma once

// CBOR messages by which routers replicate prefixes of the store: updates, snapshots and snapshot requests.
//
// Decoding never throws: a malformed message, or one of another version, decodes as nullopt.

#include "godwit/base/time.h"
#include "godwit/gateway/store_item.h"
#include "godwit/gateway/value_delta.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

// Summary of a copy of a prefix, without its entries.
struct PrefixState
{
    std::string prefix;
    std::uint64_t completeTo = 0; // Store revision up to which the copy is complete.
    std::uint64_t digest = 0;
    std::uint64_t newestRevision = 0; // Highest store revision known to the copy.
};

// Encoding as part of another message. decodeState() throws nlohmann::json::exception on malformed input.
nlohmann::json encodeState(const PrefixState &state);
PrefixState decodeState(const nlohmann::json &row);

// Whether the store was unavailable recently: leased entries may have expired meanwhile, and are written again after it
// recovers.
struct StoreRecovery
{
    bool known = false; // False if the sender has just started, or was itself partitioned.
    std::optional<Duration> ago; // Time since the recovery; unset if there was no outage.
};

// A change of a large value, relative to the previous value.
struct ItemDelta
{
    std::string key;
    std::uint64_t revision = 0;
    ValueDelta value;
};

struct PrefixUpdate
{
    std::string sender; // Incarnation of the sender. Set by the receiver and not transmitted.
    PrefixState state; // State of the sender's copy after these changes.
    bool fromFullRead = false; // The sender has just completed a full read of the prefix.
    // Boot time at which that read started: the sender's on the wire, converted by the receiver. Not set if there was
    // none, or if its time can't be converted.
    std::optional<TimePoint> readStartedAt;
    bool truncated = false; // Some changes were too large to include.
    StoreRecovery storeRecovery;
    std::vector<StoreItem> changes;
    std::vector<ItemDelta> deltas;
};

struct PrefixSnapshot
{
    std::string sender; // As in PrefixUpdate.
    PrefixState state;
    Duration age{}; // Time since the read of the store that confirms the sender's copy.
    // For how long the sender has had changes that the requester's copy lacks.
    Duration aheadFor{};
    std::int64_t timestamp = 0; // Copied from the request.
    std::optional<std::vector<StoreItem>>
        items; // Unset if the requester has the same entries or asked for the state only.
    bool deferred = false; // Items were requested, but the sender's bandwidth limit was exhausted.
    std::optional<TimePoint> askedAt; // Copied from the request.
    std::optional<TimePoint> answeredAt; // Boot time of the sender.
    // Boot time at which the read of the store started that confirms the sender's copy; as in PrefixUpdate.
    std::optional<TimePoint> confirmedAt;
};

struct SnapshotRequest
{
    std::string prefix;
    std::int64_t timestamp = 0; // Steady clock of the requester when it sends; returned in the response.
    std::uint64_t digest = 0; // Of the requester's copy.
    bool stateOnly = false; // Respond without items even if the copies differ.
    std::uint64_t newestRevision = 0; // Of the requester's copy.
    std::optional<TimePoint> askedAt; // Boot time of the requester; returned in the response.
};

std::string encodeUpdate(const PrefixUpdate &update);
std::optional<PrefixUpdate> decodeUpdate(const std::string &bytes);

std::string encodeSnapshot(const PrefixSnapshot &snapshot);
std::optional<PrefixSnapshot> decodeSnapshot(const std::string &bytes);

std::string encodeSnapshotRequest(const SnapshotRequest &request);
std::optional<SnapshotRequest> decodeSnapshotRequest(const std::string &bytes);

} // namespace Godwit
