#pragma once

// Requests that are refused on their head, before their body is read: caller admission at a router with a busy link,
// and bodies for which the router has no room. Also requests that outgrow the room while they arrive.
//
// A refused request has been sent nowhere. Not thread-safe.
//
// Example:
//   if (const auto refusal = refuseOnHead(relay, parser.get().base(), bodyBytes)) {
//       send(formatErrorResponse(refusal->error, refusal->attemptId, true));
//   }

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/relay/relay.h"
#include "platform/http_codec.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Godwit
{

struct HeadRefusal
{
    Error error;
    std::string attemptId;
};

// Returns the refusal of a request, which is counted and logged, or nullopt to read the body. `bodyBytes` is unset if
// the length is unknown. Requests that RelayCall refuses for their head, such as those without a route, are left to it;
// see RelayCall::startWithoutBody().
std::optional<HeadRefusal> refuseOnHead(Relay &relay, const RequestHead &head, std::optional<std::uint64_t> bodyBytes);

// Returns the customer of a request, empty on open routes and while there is no configuration, or nullopt if RelayCall
// refuses the request for its head.
std::optional<CustomerId> customerOnHead(Relay &relay, const RequestHead &head);

// Returns the refusal of a request that can't be received completely for lack of room, which is counted and logged.
// `head` is what is known of its head.
HeadRefusal refuseUnfinished(Relay &relay, const RequestHead &head);

} // namespace Godwit
