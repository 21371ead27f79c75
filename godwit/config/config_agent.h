#pragma once

// One router's part in keeping the configuration: reading, changing and passing it on.
//
// The platform's key `config/head` holds the revision, the newest patches and the name of a snapshot; snapshots
// lie in immutable keys under `config/snapshot/`. Accepting a change is one compare-and-swap on the head. Few
// routers watch the head; whoever learns a higher revision sends the missing patches to its linked peers, and
// revisions in heartbeats repair what got lost. A router adopts only higher revisions and so never goes back.
//
// Example:
//   ConfigAgent agent = makeConfigAgent(options);
//   for (auto &action : onStart(agent, now)) { perform(action); }
//   for (auto &action : onKvReply(agent, reply, now)) { perform(action); }
//
// Each KvCommand has to get exactly one reply; a command that stays without an answer gets Unknown.
//
// The agent is a plain value without clock or thread; all calls come from the control thread.

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/kv.h"
#include "godwit/base/time.h"
#include "godwit/config/config_document.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Godwit
{

// One change in the memory of one router, from submitPatch() to its answer.
using ChangeId = StrongId<struct ChangeTag, std::uint64_t>;

// The key whose changes the watchers watch.
constexpr std::string_view ConfigHeadKey = "config/head";
constexpr std::string_view ConfigSnapshotPrefix = "config/snapshot/";
// The top byte of every KvCommand tag of this agent.
constexpr std::uint64_t ConfigTagBase = 0x03ULL << 56U;

struct ConfigAgentOptions
{
    Incarnation self;
    DataCentreId dataCentre;
    std::size_t watchersPerDataCentre = 2;
    // Between two reads of the head by a watcher, for watches that come late or not at all.
    Duration watcherPoll = std::chrono::seconds(2);
    Duration retryFirst = std::chrono::milliseconds(100);
    Duration retryLast = std::chrono::seconds(2);
    // A change that has no answer by then is refused as PlatformAway or OutcomeUnknown.
    Duration changeTimeout = std::chrono::seconds(10);
    // After a start without the platform: how long answers of fellows are gathered before the highest is taken.
    Duration startWait = std::chrono::seconds(1);
    Duration snapshotDeleteDelay = std::chrono::seconds(60);
    std::size_t maxPatchesInHead = 64;
    std::size_t maxHeadBytes = 64UL * 1024;
    std::size_t snapshotChunkBytes = 512UL * 1024;
    std::size_t maxPendingChanges = 256;
    std::size_t maxChangesPerWrite = 32;
    // Fault switches for tests: each takes one safeguard out.
    bool faultAdoptAnyRevision = false;
    bool faultForgetOwnIds = false;
    bool faultIgnoreConflicts = false;
    bool faultSkipStartWait = false;
};

// A live router, as membership reports it.
struct ConfigPeer
{
    Incarnation incarnation;
    DataCentreId dataCentre;
};

// A document is in force from now on. Resolve it for the own site.
struct ConfigAdopted
{
    std::shared_ptr<const ConfigDocument> document;
};

// Opaque bytes (CBOR) for the config agent of a linked peer: onPeerDocument() there. Dropped ones are repaired.
struct SendDocument
{
    Incarnation to;
    std::string cbor;
};

// Start or stop the watch on ConfigHeadKey.
struct SetHeadWatch
{
    bool on = false;
};

// The change is durable in the platform as `revision` and in force here.
struct ChangeAccepted
{
    ChangeId id;
    std::uint64_t revision = 0;
};

// The change was not made; with OutcomeUnknown it may yet be. Sending it again with the same patch id is safe.
struct ChangeRefused
{
    ChangeId id;
    Error error;
};

using ConfigAction = std::variant<KvCommand, ConfigAdopted, SendDocument, SetHeadWatch, ChangeAccepted, ChangeRefused>;
using ConfigActions = std::vector<ConfigAction>;

// What the head key holds, and what this router knows of it.
struct ConfigHead
{
    std::uint64_t revision = 0;
    std::uint64_t digest = 0; // documentDigest() at `revision`.
    std::uint64_t snapshotRevision = 0; // 0: the empty document.
    std::uint64_t snapshotDigest = 0;
    std::size_t snapshotChunks = 0;
    std::vector<AppliedPatch> patches; // Those after the snapshot, oldest first.
};

// A change that waits for its answer.
struct PendingChange
{
    ChangeId id;
    ConfigPatch patch;
    TimePoint deadline{};
    bool readCovers = false; // The open read of the head was sent after the submission.
    bool sawHead = false; // The head was read after the submission, so a refusal rests on fresh values.
    bool mayHaveLanded = false; // A write that contained it got no answer.
};

// A write on its way: first its snapshot's chunks, if any, then the head.
struct ConfigCommit
{
    std::uint64_t headTag = 0; // 0 while chunks are open.
    std::set<std::uint64_t> chunkTags;
    std::vector<ChangeId> changes;
    std::uint64_t expectedVersion = 0;
    std::string headText;
    ConfigHead head;
    std::shared_ptr<const ConfigDocument> document;
};

// A snapshot on its way in.
struct SnapshotLoad
{
    ConfigHead head;
    std::uint64_t headVersion = 0;
    std::map<std::uint64_t, std::size_t> openTags; // Tag and chunk number.
    std::vector<std::string> chunks;
};

// Counters for metrics; they only rise.
struct ConfigAgentCounters
{
    std::uint64_t adopted = 0;
    std::uint64_t headReads = 0;
    std::uint64_t headWrites = 0;
    std::uint64_t snapshotWrites = 0;
    std::uint64_t conflicts = 0; // Compare-and-swap lost, then repeated on the new version.
    std::uint64_t lostAnswers = 0;
    std::uint64_t bytesToPeers = 0;
    std::uint64_t olderIgnored = 0; // Documents or heads below the own revision.
    std::uint64_t digestMismatches = 0;
};

struct ConfigAgent
{
    ConfigAgentOptions options;
    std::shared_ptr<const ConfigDocument> document; // Null until the first adoption.
    ConfigHead head;
    std::uint64_t headVersion = 0; // Platform version at which `head` stood.
    bool headKnown = false; // `head` and `headVersion` are from the platform, and `document` stands at them.
    bool platformAnswered = false; // The platform told the head at least once since the start.
    bool watching = false;
    std::uint64_t nextTag = 1;
    std::uint64_t readTag = 0; // Open read of the head; 0: none.
    bool readAgain = false; // A change was reported while a read was open.
    std::optional<TimePoint> retryAt;
    unsigned failures = 0; // In a row; they stretch the retry.
    std::optional<TimePoint> pollAt;
    std::optional<SnapshotLoad> load;
    std::optional<ConfigCommit> commit;
    std::deque<PendingChange> pending;
    ConfigValidator validator; // Kept only by routers that accepted a change.
    std::uint64_t nextChange = 1;
    std::map<Incarnation, std::uint64_t> peers; // Linked peers and the revision each is known to have.
    std::shared_ptr<const ConfigDocument> candidate; // The highest heard before the first adoption.
    std::optional<TimePoint> candidateAt; // When it is taken.
    std::uint64_t askedRevision = 0; // The highest revision that a peer was asked for, and until when it may answer.
    TimePoint askedUntil{};
    std::optional<TimePoint> deleteAt; // Old snapshots go then.
    std::set<std::uint64_t> deleteTags;
    std::uint64_t listTag = 0;
    ConfigAgentCounters counters;
};

ConfigAgent makeConfigAgent(ConfigAgentOptions options);

// The current document, or null: then answer NotConfigured.
inline const std::shared_ptr<const ConfigDocument> &currentDocument(const ConfigAgent &agent)
{
    return agent.document;
}

// 0 until the first adoption. Heartbeats carry it.
inline std::uint64_t configRevision(const ConfigAgent &agent)
{
    return agent.document ? agent.document->revision : 0;
}

// Reads the head. Call it once, before any other event.
ConfigActions onStart(ConfigAgent &agent, TimePoint now);

ConfigActions onKvReply(ConfigAgent &agent, const KvReply &reply, TimePoint now);

// The watch reported that `key` changed; other keys are passed over. Late, repeated or missing reports do no harm.
ConfigActions onKeyChanged(ConfigAgent &agent, std::string_view key, std::uint64_t version, TimePoint now);

// The live routers, this one among them or not: decides who watches.
ConfigActions onLiveRouters(ConfigAgent &agent, const std::vector<ConfigPeer> &live, TimePoint now);

// A link to a peer stands: documents can be sent to it.
ConfigActions onPeerUp(ConfigAgent &agent, const Incarnation &peer, TimePoint now);
void onPeerDown(ConfigAgent &agent, const Incarnation &peer);

// A heartbeat told the peer's revision.
ConfigActions onPeerRevision(ConfigAgent &agent, const Incarnation &from, std::uint64_t revision, TimePoint now);

// Bytes of a SendDocument arrived. Malformed bytes are passed over.
ConfigActions onPeerDocument(ConfigAgent &agent, const Incarnation &from, std::string_view cbor, TimePoint now);

// Asks for a change. Its answer is a ChangeAccepted or ChangeRefused with the returned id, among these actions or
// later ones, at the latest after options.changeTimeout.
ChangeId submitPatch(ConfigAgent &agent, ConfigPatch patch, TimePoint now, ConfigActions &actions);

// To be called at nextWake(); earlier calls do no harm.
ConfigActions onTick(ConfigAgent &agent, TimePoint now);

// When onTick() has something to do.
std::optional<TimePoint> nextWake(const ConfigAgent &agent);

} // namespace Godwit
