#pragma once

// Topics of the messages between routers, and their encoding as CBOR with bounds on what is accepted from another
// process.
//
// Example:
//   mesh.send(peer, {internal::TokenTransferTopic, internal::encodeFleetMessage(json::array({customer, amount}))});

#include "godwit/base/ids.h"
#include "godwit/gateway/brittle_services.h"
#include "godwit/gateway/speed_exchange.h"
#include "godwit/gateway/stream_versions.h"

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
inline constexpr const char *StreamRecordsTopic = "stream-records";
inline constexpr const char *StreamQueryTopic = "stream-query";
inline constexpr const char *StreamReplyTopic = "stream-reply";
inline constexpr const char *AnnouncedVersionsTopic = "announced-versions";

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

// Streams in one message, and bytes of one of their names.
inline constexpr std::size_t MaxStreamRecords = 512;
inline constexpr std::size_t MaxStreamNameBytes = 512;

// Rows of [attempt, customer, service, version].
nlohmann::json encodeStreamRecords(const std::vector<RecordedStream> &streams);

// Malformed rows, and rows beyond MaxStreamRecords, are dropped.
std::vector<RecordedStream> decodeStreamRecords(const nlohmann::json &rows);

// Rows of [service, version, age in milliseconds].
nlohmann::json encodeEarlierVersions(const std::vector<EarlierVersion> &versions);

// Malformed rows, and rows beyond MaxStreamRecords, are dropped.
std::vector<EarlierVersion> decodeEarlierVersions(const nlohmann::json &rows);

// Rows of [service, tolerated rejections, age in milliseconds].
nlohmann::json encodeBrittleReports(const std::vector<BrittleReport> &reports);

// Malformed rows, and rows beyond MaxBrittleReports, are dropped.
std::vector<BrittleReport> decodeBrittleReports(const nlohmann::json &rows);

// Rows of [endpoint id, start, ratio x 1000, samples].
nlohmann::json encodeSpeedReports(const std::vector<SpeedReport> &reports);

// Malformed rows, and rows beyond MaxSpeedReports, are dropped.
std::vector<SpeedReport> decodeSpeedReports(const nlohmann::json &rows);

} // namespace Godwit::internal
