#pragma once

// Operators' changes of budgets: read, apply, compare-and-swap, and again when others were faster.
//
// Every change carries an operation id, so that repeating it after a lost answer counts once.
//
// Example:
//   changeShard(platform, key, [&](ShardRecord &shard, LastReason &reason) { return topUp(shard, ...); }, done);

#include "godwit/base/error.h"
#include "godwit/budget/budget_records.h"
#include "godwit/platform/platform.h"

#include <functional>
#include <optional>
#include <string>

namespace Godwit
{

// Returns false with a reason when the change can't be made.
using ShardChange = std::function<bool(ShardRecord &shard, LastReason &reason)>;

// Gets the record as written, or the reason why it was not.
using ShardChanged = std::function<void(std::optional<ShardRecord> shard, LastReason reason)>;

// Applies `change` to the record under `key`. `change` may run several times, each time on a fresh record, and has
// to be idempotent. Precondition: called on the control thread.
void changeShard(Platform &platform, const std::string &key, ShardChange change, ShardChanged done);

void readShard(Platform &platform, const std::string &key, ShardChanged done);

// Gives up the bills that only a closing router's witnesses had; see resolveDoubt() in budget_records.h.
void resolveDoubtOf(Platform &platform, const Incarnation &incarnation, std::function<void(LastReason)> done);

} // namespace Godwit
