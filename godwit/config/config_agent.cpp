#include "godwit/config/config_agent.h"

#include "godwit/base/hash.h"
#include "godwit/config/config_codec.h"
#include "godwit/config/config_exchange.h"
#include "godwit/config/config_writes.h"

#include <algorithm>

namespace Godwit
{
namespace
{

using internal::askPeer;
using internal::bringUp;
using internal::deleteOldSnapshots;
using internal::highestHeld;
using internal::highestRevision;
using internal::makeCommand;
using internal::PeerMessage;
using internal::PeerMessageKind;
using internal::sendHeadWrite;
using internal::sendNotice;
using internal::sendToPeer;
using internal::startCommit;
using internal::takeTag;

constexpr Duration ComeBackAfter = std::chrono::seconds(1);

// A router whom no other router reaches must ask the platform itself, or changes would pass it by.
bool polls(const ConfigAgent &agent)
{
    return agent.watching || agent.peers.empty();
}

void startRead(ConfigAgent &agent, ConfigActions &actions)
{
    if (agent.readTag != 0) {
        agent.readAgain = true;
        return;
    }
    agent.readTag = takeTag(agent);
    agent.retryAt.reset();
    ++agent.counters.headReads;
    for (PendingChange &change : agent.pending) {
        change.readCovers = true;
    }
    actions.emplace_back(makeCommand(agent.readTag, KvVerb::Get, std::string(ConfigHeadKey)));
}

// Routers that failed together must not come back together; the hash spreads them over half the wait.
void noteFailure(ConfigAgent &agent, TimePoint now)
{
    const unsigned doublings = std::min(agent.failures, 10U);
    const Duration wait = std::min(agent.options.retryFirst * (1U << doublings), agent.options.retryLast);
    const std::uint64_t spread = rendezvousWeight(agent.options.self.value, std::to_string(agent.nextTag)) % 512;
    ++agent.failures;
    agent.retryAt = now + wait / 2 + wait * spread / 1024;
}

void adopt(ConfigAgent &agent, std::shared_ptr<const ConfigDocument> document, ConfigActions &actions)
{
    // A late watch, an old head or a fellow that was cut off offers an older revision. Taking it would bring back
    // values that operators had replaced. Revisions only rise in the platform, so "higher only" is enough.
    if (document->revision <= configRevision(agent) && !agent.options.faultAdoptAnyRevision) {
        ++agent.counters.olderIgnored;
        return;
    }
    agent.document = std::move(document);
    agent.candidate.reset();
    agent.candidateAt.reset();
    ++agent.counters.adopted;
    if (agent.head.revision != agent.document->revision) {
        agent.headKnown = false;
    }
    actions.emplace_back(ConfigAdopted{agent.document});
    for (auto &[peer, known] : agent.peers) {
        bringUp(agent, peer, known, actions);
    }
}

// Repeats the patches that `base` lacks up to `revision`.
std::shared_ptr<const ConfigDocument> replayAll(const ConfigDocument *base,
                                                const std::vector<AppliedPatch> &patches,
                                                std::uint64_t revision)
{
    auto document = base == nullptr ? std::make_shared<ConfigDocument>() : std::make_shared<ConfigDocument>(*base);
    for (const AppliedPatch &applied : patches) {
        if (applied.revision <= document->revision) {
            continue;
        }
        auto next = replayPatch(*document, applied);
        if (!next) {
            return nullptr;
        }
        *document = std::move(*next);
    }
    return document->revision == revision ? document : nullptr;
}

void headTaken(ConfigAgent &agent,
               const ConfigHead &head,
               std::uint64_t version,
               std::shared_ptr<const ConfigDocument> document,
               ConfigActions &actions)
{
    agent.head = head;
    agent.headVersion = version;
    agent.headKnown = true;
    agent.platformAnswered = true;
    agent.failures = 0;
    if (document) {
        adopt(agent, std::move(document), actions);
    }
    // A peer may have told a higher revision while this head was read: writes need the head that belongs to it.
    agent.headKnown = agent.head.revision == configRevision(agent);
}

void startLoad(ConfigAgent &agent, const ConfigHead &head, std::uint64_t version, ConfigActions &actions)
{
    agent.headKnown = false;
    SnapshotLoad load;
    load.head = head;
    load.headVersion = version;
    load.chunks.resize(head.snapshotChunks);
    for (std::size_t chunk = 0; chunk < head.snapshotChunks; ++chunk) {
        const std::uint64_t tag = takeTag(agent);
        load.openTags.emplace(tag, chunk);
        const std::string key = internal::snapshotKey(head.snapshotRevision, head.snapshotDigest, chunk);
        actions.emplace_back(makeCommand(tag, KvVerb::Get, key));
    }
    agent.load = std::move(load);
}

// Brings the document to `head` from what is held, or starts to load the snapshot.
void takeHead(ConfigAgent &agent, const ConfigHead &head, std::uint64_t version, TimePoint now, ConfigActions &actions)
{
    const std::uint64_t own = configRevision(agent);
    if (head.revision < own && !agent.options.faultAdoptAnyRevision) {
        ++agent.counters.olderIgnored;
        agent.headKnown = false;
        noteFailure(agent, now);
        return;
    }
    if (head.revision == own) {
        headTaken(agent, head, version, nullptr, actions);
        return;
    }
    if (own >= head.snapshotRevision || head.snapshotRevision == 0) {
        const ConfigDocument *base = own >= head.snapshotRevision ? agent.document.get() : nullptr;
        auto document = replayAll(base, head.patches, head.revision);
        if (document && documentDigest(*document) == head.digest) {
            headTaken(agent, head, version, std::move(document), actions);
            return;
        }
        ++agent.counters.digestMismatches;
    }
    startLoad(agent, head, version, actions);
}

void finishLoad(ConfigAgent &agent, TimePoint now, ConfigActions &actions)
{
    const SnapshotLoad load = std::move(*agent.load);
    agent.load.reset();
    std::string text;
    for (const std::string &chunk : load.chunks) {
        text += chunk;
    }
    LastReason ignored;
    std::optional<ConfigDocument> base;
    if (load.head.snapshotRevision != 0) {
        base = decodeDocument(text, ignored);
        if (!base) {
            noteFailure(agent, now);
            return;
        }
    }
    auto document = replayAll(base ? &*base : nullptr, load.head.patches, load.head.revision);
    if (!document) {
        noteFailure(agent, now);
        return;
    }
    if (documentDigest(*document) != load.head.digest) {
        ++agent.counters.digestMismatches;
    }
    headTaken(agent, load.head, load.headVersion, std::move(document), actions);
}

void onHeadValue(ConfigAgent &agent, const KvReply &reply, TimePoint now, ConfigActions &actions)
{
    if (reply.status == KvStatus::NotFound || reply.version == 0) {
        takeHead(agent, ConfigHead{}, 0, now, actions);
        return;
    }
    const auto head = internal::decodeHead(reply.value);
    if (!head) {
        noteFailure(agent, now);
        return;
    }
    takeHead(agent, *head, reply.version, now, actions);
}

void onReadReply(ConfigAgent &agent, const KvReply &reply, TimePoint now, ConfigActions &actions)
{
    agent.readTag = 0;
    const bool answered = reply.status == KvStatus::Ok || reply.status == KvStatus::NotFound;
    for (PendingChange &change : agent.pending) {
        change.sawHead = change.sawHead || (answered && change.readCovers);
        change.readCovers = false;
    }
    if (!answered) {
        agent.headKnown = false;
        noteFailure(agent, now);
        return;
    }
    onHeadValue(agent, reply, now, actions);
    if (agent.readAgain) {
        agent.readAgain = false;
        startRead(agent, actions);
    }
}

void onChunkRead(ConfigAgent &agent, const KvReply &reply, TimePoint now, ConfigActions &actions)
{
    const auto open = agent.load->openTags.find(reply.tag);
    if (reply.status != KvStatus::Ok) {
        // Deleted under us by a newer snapshot, or the platform is away: start again from the head.
        agent.load.reset();
        noteFailure(agent, now);
        return;
    }
    agent.load->chunks[open->second] = reply.value;
    agent.load->openTags.erase(open);
    if (agent.load->openTags.empty()) {
        finishLoad(agent, now, actions);
    }
}

std::deque<PendingChange>::iterator findPending(ConfigAgent &agent, ChangeId id)
{
    return std::find_if(agent.pending.begin(), agent.pending.end(), [&](const PendingChange &change) {
        return change.id == id;
    });
}

// What became of one waiting change when it was tried on the newest document.
enum class Trial {
    Joined, // Part of the next write.
    Settled, // Answered.
    Later, // To be tried again on a newer head.
};

struct Batch
{
    std::shared_ptr<const ConfigDocument> document;
    std::vector<ChangeId> changes;
};

Trial tryChange(ConfigAgent &agent, PendingChange &change, Batch &batch, ConfigActions &actions)
{
    LastReason reason;
    // After a lost answer the change may already stand. Writing it again would make its author lose to itself:
    // it would be refused although it is in force.
    const auto standing =
        agent.options.faultForgetOwnIds ? std::nullopt : appliedRevision(*batch.document, change.patch, reason);
    if (standing) {
        if (*standing > agent.head.revision) {
            return Trial::Later;
        }
        actions.emplace_back(ChangeAccepted{change.id, *standing});
        return Trial::Settled;
    }
    ConfigPatch patch = change.patch;
    if (agent.options.faultIgnoreConflicts) {
        patch.expectedRevision = batch.document->revision;
    }
    if (!reason) {
        if (auto next = applyPatch(*batch.document, patch, reason, &agent.validator)) {
            batch.document = std::make_shared<const ConfigDocument>(std::move(*next));
            batch.changes.push_back(change.id);
            return Trial::Joined;
        }
    }
    // A refusal must not rest on changes that aren't durable yet, nor on a head from before the submission.
    if (!batch.changes.empty() || !change.sawHead) {
        return Trial::Later;
    }
    actions.emplace_back(ChangeRefused{change.id, *reason});
    return Trial::Settled;
}

// Starts whatever the waiting changes need next: a read of the head or a write.
void pump(ConfigAgent &agent, ConfigActions &actions)
{
    if (agent.pending.empty() || agent.readTag != 0 || agent.load || agent.commit || agent.retryAt) {
        return;
    }
    if (!agent.headKnown) {
        startRead(agent, actions);
        return;
    }
    Batch batch;
    batch.document = agent.document ? agent.document : std::make_shared<const ConfigDocument>();
    for (auto change = agent.pending.begin();
         change != agent.pending.end() && batch.changes.size() < agent.options.maxChangesPerWrite;) {
        const Trial trial = tryChange(agent, *change, batch, actions);
        change = trial == Trial::Settled ? agent.pending.erase(change) : std::next(change);
    }
    if (!batch.changes.empty()) {
        startCommit(agent, batch.document, batch.changes, actions);
    } else if (!agent.pending.empty()) {
        startRead(agent, actions);
    }
}

void commitSucceeded(ConfigAgent &agent, std::uint64_t version, TimePoint now, ConfigActions &actions)
{
    ConfigCommit commit = std::move(*agent.commit);
    agent.commit.reset();
    const bool folded = commit.head.snapshotRevision != agent.head.snapshotRevision;
    headTaken(agent, commit.head, version, commit.document, actions);
    LastReason ignored;
    for (const ChangeId id : commit.changes) {
        const auto change = findPending(agent, id);
        if (change == agent.pending.end()) {
            continue;
        }
        const auto revision = appliedRevision(*commit.document, change->patch, ignored);
        actions.emplace_back(ChangeAccepted{id, revision.value_or(commit.document->revision)});
        agent.pending.erase(change);
    }
    if (folded) {
        agent.deleteAt = now + agent.options.snapshotDeleteDelay;
    }
}

void onHeadWritten(ConfigAgent &agent, const KvReply &reply, TimePoint now, ConfigActions &actions)
{
    switch (reply.status) {
    case KvStatus::Ok:
        commitSucceeded(agent, reply.version, now, actions);
        return;
    case KvStatus::Conflict: {
        ++agent.counters.conflicts;
        const ConfigCommit lost = std::move(*agent.commit);
        agent.commit.reset();
        for (const ChangeId id : lost.changes) {
            if (const auto change = findPending(agent, id); change != agent.pending.end()) {
                change->sawHead = true;
            }
        }
        onHeadValue(agent, reply, now, actions);
        return;
    }
    case KvStatus::Unknown:
        // The write may stand. Only the head can tell; until it was read again nothing is written or refused.
        ++agent.counters.lostAnswers;
        for (const ChangeId id : agent.commit->changes) {
            if (const auto change = findPending(agent, id); change != agent.pending.end()) {
                change->mayHaveLanded = true;
            }
        }
        agent.headKnown = false;
        break;
    case KvStatus::NotFound:
    case KvStatus::Rejected:
        break;
    }
    agent.commit.reset();
    noteFailure(agent, now);
}

void onChunkWritten(ConfigAgent &agent, const KvReply &reply, TimePoint now, ConfigActions &actions)
{
    ConfigCommit &commit = *agent.commit;
    // A conflict means that the same bytes stand there already: the key names their digest.
    if (reply.status != KvStatus::Ok && reply.status != KvStatus::Conflict) {
        agent.commit.reset();
        noteFailure(agent, now);
        return;
    }
    commit.chunkTags.erase(reply.tag);
    if (commit.chunkTags.empty()) {
        sendHeadWrite(agent, actions);
    }
}

// A document from a fellow. Before the first word of the platform the first one heard may be an old one: a router
// that served a higher revision before its restart would go back. The highest of a short while is taken.
void takeFromPeer(ConfigAgent &agent,
                  std::shared_ptr<const ConfigDocument> document,
                  TimePoint now,
                  ConfigActions &actions)
{
    if (agent.document || agent.platformAnswered || agent.options.faultSkipStartWait) {
        adopt(agent, std::move(document), actions);
        return;
    }
    if (!agent.candidate || document->revision > agent.candidate->revision) {
        agent.candidate = std::move(document);
    }
    if (!agent.candidateAt) {
        agent.candidateAt = now + agent.options.startWait;
    }
}

void onPeerPatches(
    ConfigAgent &agent, const Incarnation &from, const PeerMessage &message, TimePoint now, ConfigActions &actions)
{
    const std::uint64_t own = highestRevision(agent);
    const std::uint64_t last = message.patches.empty() ? 0 : message.patches.back().revision;
    agent.peers[from] = std::max(agent.peers[from], last);
    if (last <= own && !agent.options.faultAdoptAnyRevision) {
        ++agent.counters.olderIgnored;
        return;
    }
    if (own < message.revision) {
        askPeer(agent, from, last, now, actions);
        return;
    }
    auto document = replayAll(highestHeld(agent), message.patches, last);
    if (!document || documentDigest(*document) != message.digest) {
        ++agent.counters.digestMismatches;
        PeerMessage ask;
        ask.kind = PeerMessageKind::Ask;
        sendToPeer(agent, from, ask, actions);
        return;
    }
    takeFromPeer(agent, std::move(document), now, actions);
}

void onPeerFull(
    ConfigAgent &agent, const Incarnation &from, const PeerMessage &message, TimePoint now, ConfigActions &actions)
{
    LastReason ignored;
    auto document = decodeDocument(message.document, ignored);
    if (!document || document->revision != message.revision) {
        return;
    }
    agent.peers[from] = std::max(agent.peers[from], document->revision);
    takeFromPeer(agent, std::make_shared<const ConfigDocument>(std::move(*document)), now, actions);
}

bool isWatcher(const ConfigAgent &agent, const std::vector<ConfigPeer> &live)
{
    const std::uint64_t own = rendezvousWeight(ConfigHeadKey, agent.options.self.value);
    const auto ahead = std::count_if(live.begin(), live.end(), [&](const ConfigPeer &peer) {
        return peer.dataCentre == agent.options.dataCentre && peer.incarnation != agent.options.self
            && rendezvousWeight(ConfigHeadKey, peer.incarnation.value) > own;
    });
    return static_cast<std::size_t>(ahead) < agent.options.watchersPerDataCentre;
}

Error timeoutError(const PendingChange &change)
{
    if (change.mayHaveLanded) {
        return Error{ErrorKind::OutcomeUnknown,
                     "the platform did not say whether the change \"" + change.patch.id
                         + "\" was made; send it again with the same id",
                     Execution::Unknown,
                     ComeBackAfter};
    }
    return Error{ErrorKind::PlatformAway,
                 "the change \"" + change.patch.id + "\" was not made, the platform did not answer; send it again",
                 Execution::NotRun,
                 ComeBackAfter};
}

void refuseOverdue(ConfigAgent &agent, TimePoint now, ConfigActions &actions)
{
    while (!agent.pending.empty() && agent.pending.front().deadline <= now) {
        PendingChange &change = agent.pending.front();
        if (agent.commit && agent.commit->headTag != 0) {
            const auto &open = agent.commit->changes;
            change.mayHaveLanded = change.mayHaveLanded || std::find(open.begin(), open.end(), change.id) != open.end();
        }
        actions.emplace_back(ChangeRefused{change.id, timeoutError(change)});
        agent.pending.pop_front();
    }
}

} // namespace

ConfigAgent makeConfigAgent(ConfigAgentOptions options)
{
    ConfigAgent agent;
    agent.options = std::move(options);
    return agent;
}

ConfigActions onStart(ConfigAgent &agent, TimePoint now)
{
    ConfigActions actions;
    agent.watching = true;
    agent.pollAt = now + agent.options.watcherPoll;
    actions.emplace_back(SetHeadWatch{true});
    startRead(agent, actions);
    return actions;
}

ConfigActions onKvReply(ConfigAgent &agent, const KvReply &reply, TimePoint now)
{
    ConfigActions actions;
    if (reply.tag == agent.readTag && agent.readTag != 0) {
        onReadReply(agent, reply, now, actions);
    } else if (agent.load && agent.load->openTags.count(reply.tag) > 0) {
        onChunkRead(agent, reply, now, actions);
    } else if (agent.commit && agent.commit->headTag == reply.tag) {
        onHeadWritten(agent, reply, now, actions);
    } else if (agent.commit && agent.commit->chunkTags.count(reply.tag) > 0) {
        onChunkWritten(agent, reply, now, actions);
    } else if (agent.listTag == reply.tag && agent.listTag != 0) {
        deleteOldSnapshots(agent, reply, actions);
    } else {
        agent.deleteTags.erase(reply.tag);
    }
    pump(agent, actions);
    return actions;
}

ConfigActions onKeyChanged(ConfigAgent &agent, std::string_view key, std::uint64_t version, TimePoint now)
{
    ConfigActions actions;
    (void)now;
    const bool known = agent.headKnown && version != 0 && version <= agent.headVersion;
    if (key == ConfigHeadKey && !known) {
        startRead(agent, actions);
    }
    return actions;
}

ConfigActions onLiveRouters(ConfigAgent &agent, const std::vector<ConfigPeer> &live, TimePoint now)
{
    ConfigActions actions;
    const bool watcher = isWatcher(agent, live);
    if (watcher != agent.watching) {
        agent.watching = watcher;
        agent.pollAt = now + agent.options.watcherPoll;
        actions.emplace_back(SetHeadWatch{watcher});
    }
    return actions;
}

ConfigActions onPeerUp(ConfigAgent &agent, const Incarnation &peer, TimePoint now)
{
    ConfigActions actions;
    (void)now;
    agent.peers.emplace(peer, 0);
    sendNotice(agent, peer, actions);
    return actions;
}

void onPeerDown(ConfigAgent &agent, const Incarnation &peer)
{
    agent.peers.erase(peer);
}

ConfigActions onPeerRevision(ConfigAgent &agent, const Incarnation &from, std::uint64_t revision, TimePoint now)
{
    ConfigActions actions;
    const auto peer = agent.peers.find(from);
    if (peer == agent.peers.end()) {
        return actions;
    }
    peer->second = revision;
    if (revision > highestRevision(agent)) {
        askPeer(agent, from, revision, now, actions);
    } else if (agent.document) {
        bringUp(agent, from, peer->second, actions);
    }
    return actions;
}

ConfigActions onPeerDocument(ConfigAgent &agent, const Incarnation &from, std::string_view cbor, TimePoint now)
{
    ConfigActions actions;
    const auto message = internal::decodePeerMessage(cbor);
    if (!message || agent.peers.count(from) == 0) {
        return actions;
    }
    switch (message->kind) {
    case PeerMessageKind::Notice:
        return onPeerRevision(agent, from, message->revision, now);
    case PeerMessageKind::Ask:
        internal::answerAsk(agent, from, message->revision, actions);
        break;
    case PeerMessageKind::Patches:
        onPeerPatches(agent, from, *message, now, actions);
        break;
    case PeerMessageKind::Full:
        onPeerFull(agent, from, *message, now, actions);
        break;
    }
    pump(agent, actions);
    return actions;
}

ChangeId submitPatch(ConfigAgent &agent, ConfigPatch patch, TimePoint now, ConfigActions &actions)
{
    const ChangeId id(agent.nextChange++);
    if (agent.pending.size() >= agent.options.maxPendingChanges) {
        actions.emplace_back(ChangeRefused{id,
                                           Error{ErrorKind::Overloaded,
                                                 "too many configuration changes wait; come back after Retry-After",
                                                 Execution::NotRun,
                                                 ComeBackAfter}});
        return id;
    }
    PendingChange change;
    change.id = id;
    change.patch = std::move(patch);
    change.deadline = now + agent.options.changeTimeout;
    agent.pending.push_back(std::move(change));
    pump(agent, actions);
    return id;
}

ConfigActions onTick(ConfigAgent &agent, TimePoint now)
{
    ConfigActions actions;
    refuseOverdue(agent, now, actions);
    if (agent.candidateAt && *agent.candidateAt <= now) {
        adopt(agent, agent.candidate, actions);
    }
    const bool retry = agent.retryAt && *agent.retryAt <= now;
    const bool poll = polls(agent) && agent.pollAt && *agent.pollAt <= now;
    if (retry) {
        agent.retryAt.reset();
    }
    if (poll) {
        agent.pollAt = now + agent.options.watcherPoll;
    }
    const bool busy = agent.readTag != 0 || agent.load || agent.commit;
    const bool needsHead = poll || (retry && !agent.headKnown);
    if (needsHead && !busy && !agent.retryAt) {
        startRead(agent, actions);
    }
    if (agent.deleteAt && *agent.deleteAt <= now) {
        agent.deleteAt.reset();
        agent.listTag = takeTag(agent);
        actions.emplace_back(makeCommand(agent.listTag, KvVerb::List, std::string(ConfigSnapshotPrefix)));
    }
    pump(agent, actions);
    return actions;
}

std::optional<TimePoint> nextWake(const ConfigAgent &agent)
{
    std::optional<TimePoint> wake;
    const auto consider = [&](const std::optional<TimePoint> &at) {
        if (at && (!wake || *at < *wake)) {
            wake = at;
        }
    };
    consider(agent.retryAt);
    consider(agent.candidateAt);
    consider(agent.deleteAt);
    if (polls(agent)) {
        consider(agent.pollAt);
    }
    if (!agent.pending.empty()) {
        consider(agent.pending.front().deadline);
    }
    return wake;
}

} // namespace Godwit
