#pragma once

// Bounded decoding of CBOR that other processes wrote.
//
// Example:
//   LastReason reason;
//   if (const auto value = decodeCbor(bytes, MaxRecordBytes, reason)) {
//       use(value->at("v"));
//   }

#include "godwit/base/error.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{
struct LedgerBill;
}

namespace Godwit::internal
{

std::string encodeCbor(const nlohmann::json &value);

// Returns the value, or nullopt for bytes that are too long, malformed or nested deeper than any record.
std::optional<nlohmann::json> decodeCbor(std::string_view bytes, std::size_t maxBytes, LastReason &reason);

// A list of hashes as a CBOR byte string of eight bytes each.
nlohmann::json packHashes(const std::deque<std::uint64_t> &hashes);
std::optional<std::deque<std::uint64_t>> unpackHashes(const nlohmann::json &value);

// Typed access that never throws.
bool readUnsigned(const nlohmann::json &value, std::uint64_t &result);
bool readAmount(const nlohmann::json &value, std::int64_t &result);
bool readString(const nlohmann::json &value, std::string &result);
// Returns the member, or a null value when `object` has none.
const nlohmann::json &member(const nlohmann::json &object, const char *name);

// Bills as an array of budget names and a flat array of numbers that refer to it.
nlohmann::json encodeBills(const std::deque<LedgerBill> &bills);
// Appends to `bills`; their sequence numbers must rise.
bool decodeBills(const nlohmann::json &value, std::deque<LedgerBill> &bills);

} // namespace Godwit::internal
