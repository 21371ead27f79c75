#pragma once

// Chooses whose unfinished request is refused when a router has no room for the bytes of another one.
//
// Candidates are senders that have made no progress for a while. Of these the one whose customer holds most bytes goes
// first, so that a customer with many unfinished requests does not displace the slow senders of others.
//
// Pure functions. Example:
//   recordBodyBytes(sender.progress, bytes, now);
//   if (const auto index = senderToRefuse(senders, now)) { refuse(*index); }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Godwit
{

// Progress of a sender, as seen by the receiver.
struct SenderProgress
{
    TimePoint lastProgressAt;
    std::uint64_t bytesSince = 0; // Received after lastProgressAt.
};

// Notes bytes of a body. A few bytes are no progress, so that a client can't hold its room by single bytes.
void recordBodyBytes(SenderProgress &sender, std::uint64_t bytes, TimePoint now);

// A connection with a part of a request.
struct BodySender
{
    CustomerId customer; // Empty if it is not known, or the route is open.
    std::uint64_t heldBytes = 0;
    TimePoint lastProgressAt;
};

// Returns the index of the sender to refuse, or nullopt if all have made progress recently.
std::optional<std::size_t> senderToRefuse(const std::vector<BodySender> &senders, TimePoint now);

} // namespace Godwit
