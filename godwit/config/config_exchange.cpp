#include "godwit/config/config_exchange.h"

namespace Godwit::internal
{
namespace
{

constexpr Duration AskTimeout = std::chrono::seconds(2);
constexpr std::size_t MaxDeltaBytes = 64UL * 1024;

// The patches after `revision`, when all of them are still kept and they are short.
std::optional<PeerMessage> patchesAfter(const ConfigDocument &document, std::uint64_t revision)
{
    if (document.recent.empty() || document.recent.front().revision > revision + 1) {
        return std::nullopt;
    }
    PeerMessage message;
    message.kind = PeerMessageKind::Patches;
    message.revision = revision;
    message.digest = documentDigest(document);
    std::size_t bytes = 0;
    for (const AppliedPatch &applied : document.recent) {
        if (applied.revision > revision) {
            bytes += applied.patch.value ? applied.patch.value->size() : 0;
            message.patches.push_back(applied);
        }
    }
    // Long values go only to peers that ask, not to every peer on suspicion.
    if (bytes > MaxDeltaBytes) {
        return std::nullopt;
    }
    return message;
}

} // namespace

// The highest revision this router holds, in force or waiting for the end of the start.
const ConfigDocument *highestHeld(const ConfigAgent &agent)
{
    return agent.candidate ? agent.candidate.get() : agent.document.get();
}

std::uint64_t highestRevision(const ConfigAgent &agent)
{
    const ConfigDocument *held = highestHeld(agent);
    return held == nullptr ? 0 : held->revision;
}

void sendToPeer(ConfigAgent &agent, const Incarnation &to, const PeerMessage &message, ConfigActions &actions)
{
    std::string bytes = internal::encodePeerMessage(message);
    agent.counters.bytesToPeers += bytes.size();
    actions.emplace_back(SendDocument{to, std::move(bytes)});
}

void sendNotice(ConfigAgent &agent, const Incarnation &to, ConfigActions &actions)
{
    PeerMessage message;
    message.kind = PeerMessageKind::Notice;
    message.revision = highestRevision(agent);
    sendToPeer(agent, to, message, actions);
}

void askPeer(ConfigAgent &agent, const Incarnation &to, std::uint64_t wanted, TimePoint now, ConfigActions &actions)
{
    // Many peers tell the same news within moments; one of them is asked, the next after a time without answer.
    if (wanted <= agent.askedRevision && now < agent.askedUntil) {
        return;
    }
    agent.askedRevision = wanted;
    agent.askedUntil = now + AskTimeout;
    PeerMessage message;
    message.kind = PeerMessageKind::Ask;
    message.revision = highestRevision(agent);
    sendToPeer(agent, to, message, actions);
}

// Sends the peer what it lacks: patches when they are kept, else word that there is more.
void bringUp(ConfigAgent &agent, const Incarnation &peer, std::uint64_t &known, ConfigActions &actions)
{
    const std::uint64_t own = configRevision(agent);
    if (known >= own) {
        return;
    }
    if (const auto message = patchesAfter(*agent.document, known)) {
        sendToPeer(agent, peer, *message, actions);
        // Taken as received; heartbeats tell when it wasn't.
        known = own;
    } else {
        sendNotice(agent, peer, actions);
    }
}

void answerAsk(ConfigAgent &agent, const Incarnation &from, std::uint64_t revision, ConfigActions &actions)
{
    if (configRevision(agent) <= revision) {
        return;
    }
    auto message = patchesAfter(*agent.document, revision);
    if (!message || revision == 0) {
        message.emplace();
        message->kind = PeerMessageKind::Full;
        message->revision = agent.document->revision;
        message->document = encodeDocument(*agent.document);
    }
    sendToPeer(agent, from, *message, actions);
    agent.peers[from] = configRevision(agent);
}

} // namespace Godwit::internal
