#pragma once

// Commands to the platform's key-value service and its replies, as plain values.
//
// Decisions emit KvCommand values and take KvReply values; the platform package carries them out. A version is
// a positive number that the service raises with each write of a key; version 0 stands for "absent".

#include <cstdint>
#include <string>
#include <string_view>

namespace Godwit
{

enum class KvVerb {
    Get,
    CompareAndSwap, // Writes `value` when the key's version is `expectedVersion`, bound to `lease` when that is set.
    Delete, // Removes the key when its version is `expectedVersion`.
    List, // `key` is a prefix; the reply's value is a JSON array of {"key", "version"}.
    GrantLease, // `value` is the time to live in milliseconds; the reply's value is the lease's id.
    RenewLease, // `key` is the lease's id. NotFound: it has lapsed.
};

struct KvCommand
{
    // Chosen by the decision that emits it; the reply carries it back. Unique among its open commands.
    std::uint64_t tag = 0;
    KvVerb verb = KvVerb::Get;
    std::string key;
    std::uint64_t expectedVersion = 0;
    std::string value;
    std::string lease;
};

enum class KvStatus {
    Ok,
    NotFound, // A Get of an absent key.
    Conflict, // The version differed; `version` and `value` hold what stands there.
    Rejected, // Certainly not applied: the service was not reached or refused the call.
    Unknown, // No answer: a write may have taken effect. Read again before deciding.
};

struct KvReply
{
    std::uint64_t tag = 0;
    KvStatus status = KvStatus::Unknown;
    std::uint64_t version = 0;
    std::string value;
};

std::string_view kvStatusName(KvStatus status);

} // namespace Godwit
