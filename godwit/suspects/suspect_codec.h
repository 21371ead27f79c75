#pragma once

// SuspectNotice as bytes between routers.
//
// Example:
//   const auto notice = decodeSuspectNotice(encodeSuspectNotice(told));

#include "godwit/suspects/suspect_notice.h"

#include <optional>
#include <string>

namespace Godwit
{

std::string encodeSuspectNotice(const SuspectNotice &notice);

// nullopt for bytes that are no such notice.
std::optional<SuspectNotice> decodeSuspectNotice(const std::string &cbor);

} // namespace Godwit
