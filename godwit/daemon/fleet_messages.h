#pragma once

// The messages between routers: their topics, and CBOR with bounds on what another process may send.
//
// Example:
//   mesh.send(peer, {internal::GiveTopic, internal::toBytes(json::array({customer, amount}))});

#include "godwit/base/ids.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>
#include <optional>
#include <string>

namespace Godwit::internal
{

inline constexpr const char *HeartbeatTopic = "beat";
inline constexpr const char *TokenReclaimTopic = "ask";
inline constexpr const char *TokenRequestTopic = "wish";
inline constexpr const char *TokenTransferTopic = "give";
inline constexpr const char *LedgerTopic = "ledger";
inline constexpr const char *StoreReachableTopic = "store-found";
inline constexpr const char *UpdateTopic = "update";
inline constexpr const char *RelayedUpdateTopic = "relayed-update";
inline constexpr const char *SnapshotRequestTopic = "snapshot-request";
inline constexpr const char *SnapshotTopic = "snapshot";
inline constexpr const char *PromptTopic = "prompt";
inline constexpr const char *SuspectsTopic = "suspects";

// An array of tokens has room for this many.
inline constexpr std::size_t MaxAmounts = 3;

std::string encodeCbor(const nlohmann::json &value);

// A malformed message of another version or a broken process is worth nothing: it reads as null.
nlohmann::json decodeCbor(const std::string &bytes);

struct Amounts
{
    CustomerId customer;
    std::array<Tokens, MaxAmounts> tokens{};
};

// A customer with `count` amounts of tokens, at most MostAmounts.
std::optional<Amounts> decodeAmounts(const nlohmann::json &message, std::size_t count);

} // namespace Godwit::internal
