#pragma once

// The platform commands of configuration agents: heads, snapshots and their removal. Internal to this package.
//
// Example:
//   startCommit(agent, document, changes, actions);

#include "godwit/config/config_agent.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Godwit::internal
{

std::uint64_t takeTag(ConfigAgent &agent);
KvCommand makeCommand(std::uint64_t tag, KvVerb verb, std::string key);

// Starts to write `document`, which holds `changes`, over the known head. Precondition: no other write is open.
void startCommit(ConfigAgent &agent,
                 std::shared_ptr<const ConfigDocument> document,
                 std::vector<ChangeId> changes,
                 ConfigActions &actions);

// Writes the head of the open commit.
void sendHeadWrite(ConfigAgent &agent, ConfigActions &actions);

// Takes the list of snapshots and deletes those that no head can name any more.
void deleteOldSnapshots(ConfigAgent &agent, const KvReply &reply, ConfigActions &actions);

} // namespace Godwit::internal
