#pragma once

// What routers tell each other of the store's prefixes: deltas, digests and snapshots, as CBOR.
//
// Decoding never throws: a message of another version, or a broken one, reads as nothing.

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

// What a copy of a prefix holds, without its entries.
struct PrefixState
{
    std::string prefix;
    std::uint64_t completeTo = 0; // The store's revision up to which nothing is missing.
    std::uint64_t digest = 0;
    std::uint64_t newestRevision = 0; // Up to which the copy knows of changes.
};

// As a part of a message. Reading throws nlohmann::json::exception when it is malformed.
nlohmann::json encodeState(const PrefixState &state);
PrefixState decodeState(const nlohmann::json &row);

// Whether the store was away lately: entries on leases may lapse meanwhile, and come back after its return.
struct StoreRecovery
{
    bool known = false; // A router that has just come, or was cut off itself, can't say.
    std::optional<Duration> ago; // Unset: it was not away.
};

// A change of a large value, for those that hold the value before.
struct ItemDelta
{
    std::string key;
    std::uint64_t revision = 0;
    ValueDelta value;
};

struct PrefixUpdate
{
    PrefixState state; // Of the sender's copy, these changes applied.
    bool fromFullRead = false; // The sender has just read everything under the prefix.
    bool truncated = false; // Some changes are too large to be told.
    StoreRecovery storeRecovery;
    std::vector<StoreItem> changes;
    std::vector<ItemDelta> deltas;
};

struct PrefixSnapshot
{
    PrefixState state;
    Duration age{}; // Since the sender last heard of a reading.
    // For how long the sender has held changes that the asker's copy lacks.
    Duration aheadFor{};
    std::int64_t timestamp = 0; // Of the request that is answered.
    std::optional<std::vector<StoreItem>> items; // Unset: the asker has them, or wanted none.
    bool deferred = false; // The sender has no room on its link for the items that were asked for.
};

struct SnapshotRequest
{
    std::string prefix;
    std::int64_t timestamp = 0; // The asker's clock, set as it is sent; comes back with the answer.
    std::uint64_t digest = 0; // Of the asker's copy.
    bool stateOnly = false; // No items are wanted, whether the copies differ or not.
    std::uint64_t newestRevision = 0; // Of the asker's copy.
};

std::string encodeUpdate(const PrefixUpdate &update);
std::optional<PrefixUpdate> decodeUpdate(const std::string &bytes);

std::string encodeSnapshot(const PrefixSnapshot &snapshot);
std::optional<PrefixSnapshot> decodeSnapshot(const std::string &bytes);

std::string encodeSnapshotRequest(const SnapshotRequest &request);
std::optional<SnapshotRequest> decodeSnapshotRequest(const std::string &bytes);

} // namespace Godwit
