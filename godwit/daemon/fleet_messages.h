#pragma once

// Topics of the messages between routers, and their encoding as CBOR with bounds on what is accepted from another
// process.
//
// Example:
//   mesh.send(peer, {internal::TokenTransferTopic, internal::encodeFleetMessage(json::array({customer, amount}))});

#include "godwit/base/ids.h"
#include "godwit/gateway/brittle_services.h"
#include "godwit/gateway/speed_exchange.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

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
inline constexpr const char *LendingTopic = "lending";
inline constexpr const char *EndpointRejectionTopic = "endpoint-rejection";

// Brittle services in one heartbeat.
inline constexpr std::size_t MaxBrittleReports = 64;

// Capacity of Amounts::tokens.
inline constexpr std::size_t MaxAmounts = 3;

std::string encodeFleetMessage(const nlohmann::json &value);

// Returns null for malformed input, such as a message of another version or of a faulty process.
nlohmann::json decodeFleetMessage(const std::string &bytes);

struct Amounts
{
    CustomerId customer;
    std::array<Tokens, MaxAmounts> tokens{};
};

// Decodes a customer and `count` token amounts, at most MaxAmounts; nullopt if the message has another form.
std::optional<Amounts> decodeAmounts(const nlohmann::json &message, std::size_t count);

// Rows of [service, tolerated rejections, age in milliseconds].
nlohmann::json encodeBrittleReports(const std::vector<BrittleReport> &reports);

// Malformed rows, and rows beyond MaxBrittleReports, are dropped.
std::vector<BrittleReport> decodeBrittleReports(const nlohmann::json &rows);

// Rows of [endpoint id, start, ratio x 1000, samples].
nlohmann::json encodeSpeedReports(const std::vector<SpeedReport> &reports);

// Malformed rows, and rows beyond MaxSpeedReports, are dropped.
std::vector<SpeedReport> decodeSpeedReports(const nlohmann::json &rows);

} // namespace Godwit::internal
