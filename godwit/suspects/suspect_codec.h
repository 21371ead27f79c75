#pragma once

// CBOR encoding of SuspectNotice for messages between routers.
//
// Example:
//   const auto decoded = decodeSuspectNotice(encodeSuspectNotice(notice));

#include "godwit/suspects/suspect_notice.h"

#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

std::string encodeSuspectNotice(const SuspectNotice &notice);

// Returns nullopt for malformed input.
std::optional<SuspectNotice> decodeSuspectNotice(const std::string &cbor);

// Encodes several notices in one message.
std::string encodeSuspectNotices(const std::vector<SuspectNotice> &notices);

// Skips malformed notices. Returns an empty list if the message itself is malformed.
std::vector<SuspectNotice> decodeSuspectNotices(const std::string &cbor);

} // namespace Godwit
