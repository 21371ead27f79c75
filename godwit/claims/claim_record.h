#pragma once

// The stored form of a shard of claims: one value of the platform's key-value service.
//
// A claim is never removed by anyone but its holder, who knows that the request was not run, or by age. Age moves
// `horizon` in the same write: an id created at or before it is refused whether or not the record still lists it.
// So a request can't run twice however far clocks are apart; a wrong clock can only refuse too much.
//
// Example:
//   LastReason reason;
//   if (auto record = decodeClaimRecord(reply.value, reason)) {
//       record->entries[key].state = ClaimState::Ran;
//       command.value = encodeClaimRecord(*record);
//   }

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

enum class ClaimState {
    Claimed, // Its holder may run it, now or later.
    Ran, // An endpoint ran it; the answer is kept when it was small enough.
    Unknown, // Its holder sent it and can't tell whether it ran.
};

struct ClaimEntry
{
    ClaimState state = ClaimState::Claimed;
    Incarnation holder;
    // Counts the holder's claims, so that the holder recognises its own write after a lost answer.
    std::uint64_t sequence = 0;
    std::uint64_t bodyDigest = 0;
    // The age that the id shows.
    WallTime createdAt;
    WallTime claimedAt;
    // Set when it ran and its answer is kept.
    std::optional<std::string> answer;
};

struct ClaimRecord
{
    // Entries created at or before this may have been dropped.
    WallTime horizon;
    std::map<RequestKey, ClaimEntry> entries;
};

std::string_view claimStateName(ClaimState state);

// Returns the record in the form that the platform stores: JSON text, valid UTF-8 whatever the answers hold.
std::string encodeClaimRecord(const ClaimRecord &record);

// Reads a stored record; an empty text is an empty record. Fails with Internal when the text is not a record.
std::optional<ClaimRecord> decodeClaimRecord(std::string_view text, LastReason &reason);

// An upper bound of the bytes that the entry takes in the stored form.
std::size_t encodedClaimSize(const RequestKey &key, const ClaimEntry &entry);

// Returns the creation time that a UUIDv7 embeds, or nothing when `id` is not one.
std::optional<WallTime> uuidV7Time(std::string_view id);

} // namespace Godwit
