#pragma once

// The next record of a shard: the one that stands, without what is too old, with this router's changes and claims.
//
// Example:
//   ClaimWrite write = beginWrite(shard, agent, now);
//   if (addClaim(write, waiting, agent, now)) { command.value = encodeClaimRecord(write.record); }

#include "godwit/claims/claim_agent.h"

#include <cstddef>

namespace Godwit::internal
{

struct ClaimWrite
{
    ClaimRecord record;
    // Bound of the record's stored size.
    std::size_t bytes = 0;
};

// Copies the shard's record, which must be known, drops what is too old and applies the router's own changes.
ClaimWrite beginWrite(const ClaimShard &shard, ClaimAgent &agent, TimePoint now);

// Adds a claim on a key that nobody holds. Returns false when the record is full.
bool addClaim(ClaimWrite &write, const WaitingClaim &waiting, const ClaimAgent &agent, TimePoint now);

// Whether the record holds this very claim.
bool holdsClaim(const ClaimRecord &record, const WaitingClaim &waiting, const Incarnation &self);

// Whether the shard's record, if it is known, shows that the change needs no write any more.
bool changeIsDone(const OwnChange &change, const ClaimShard &shard, const Incarnation &self);

} // namespace Godwit::internal
