#include "godwit/config/config_writes.h"

#include "godwit/config/config_codec.h"

namespace Godwit::internal
{

std::uint64_t takeTag(ConfigAgent &agent)
{
    return ConfigTagBase + agent.nextTag++;
}

KvCommand makeCommand(std::uint64_t tag, KvVerb verb, std::string key)
{
    KvCommand command;
    command.tag = tag;
    command.verb = verb;
    command.key = std::move(key);
    return command;
}

void sendHeadWrite(ConfigAgent &agent, ConfigActions &actions)
{
    ConfigCommit &commit = *agent.commit;
    commit.headTag = takeTag(agent);
    KvCommand command = makeCommand(commit.headTag, KvVerb::CompareAndSwap, std::string(ConfigHeadKey));
    command.expectedVersion = commit.expectedVersion;
    command.value = commit.headText;
    ++agent.counters.headWrites;
    actions.emplace_back(std::move(command));
}

// Puts the whole document into immutable keys. The head that names them is written only after all of them stand.
void sendSnapshot(ConfigAgent &agent, ConfigActions &actions)
{
    ConfigCommit &commit = *agent.commit;
    const std::string text = encodeDocument(*commit.document);
    const std::size_t size = agent.options.snapshotChunkBytes;
    commit.head.snapshotRevision = commit.document->revision;
    commit.head.snapshotDigest = documentDigest(*commit.document);
    commit.head.snapshotChunks = (text.size() + size - 1) / size;
    commit.head.patches.clear();
    commit.headText = internal::encodeHead(commit.head);
    ++agent.counters.snapshotWrites;
    for (std::size_t chunk = 0; chunk < commit.head.snapshotChunks; ++chunk) {
        const std::uint64_t tag = takeTag(agent);
        commit.chunkTags.insert(tag);
        KvCommand command =
            makeCommand(tag,
                        KvVerb::CompareAndSwap,
                        internal::snapshotKey(commit.head.snapshotRevision, commit.head.snapshotDigest, chunk));
        command.value = text.substr(chunk * size, size);
        actions.emplace_back(std::move(command));
    }
}

void startCommit(ConfigAgent &agent,
                 std::shared_ptr<const ConfigDocument> document,
                 std::vector<ChangeId> changes,
                 ConfigActions &actions)
{
    ConfigCommit commit;
    commit.changes = std::move(changes);
    commit.expectedVersion = agent.headVersion;
    commit.head = agent.head;
    commit.head.revision = document->revision;
    commit.head.digest = documentDigest(*document);
    const std::uint64_t before = agent.head.revision;
    for (const AppliedPatch &applied : document->recent) {
        if (applied.revision > before) {
            commit.head.patches.push_back(applied);
        }
    }
    commit.headText = internal::encodeHead(commit.head);
    commit.document = std::move(document);
    const bool gap = commit.document->recent.empty() || commit.document->recent.front().revision > before + 1;
    const bool fold = gap || commit.head.patches.size() > agent.options.maxPatchesInHead
        || commit.headText.size() > agent.options.maxHeadBytes;
    agent.commit = std::move(commit);
    if (fold) {
        sendSnapshot(agent, actions);
    } else {
        sendHeadWrite(agent, actions);
    }
}

// Snapshots older than the one that the head names can't be named by any later head: a write that still names
// one expects a version of the head that is gone. The delay lets slow readers finish.
void deleteOldSnapshots(ConfigAgent &agent, const KvReply &reply, ConfigActions &actions)
{
    agent.listTag = 0;
    if (reply.status != KvStatus::Ok || !agent.headKnown) {
        return;
    }
    for (const internal::ListedKey &listed : internal::decodeList(reply.value)) {
        const auto revision = internal::snapshotRevisionOf(listed.key);
        if (!revision || *revision >= agent.head.snapshotRevision) {
            continue;
        }
        const std::uint64_t tag = takeTag(agent);
        agent.deleteTags.insert(tag);
        KvCommand command = makeCommand(tag, KvVerb::Delete, listed.key);
        command.expectedVersion = listed.version;
        actions.emplace_back(std::move(command));
    }
}

} // namespace Godwit::internal
