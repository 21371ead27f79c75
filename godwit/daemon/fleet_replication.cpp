// The part of FleetLinks that replicates the routers' copies of the store: prefix updates, and snapshots for routers
// whose copy is behind.

#include "godwit/base/hash.h"
#include "godwit/daemon/fleet_links.h"
#include "godwit/daemon/fleet_messages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Godwit
{

using nlohmann::json;
using namespace internal;

namespace
{

// An update that the receiver forwards to the members of its group.
struct RelayedUpdate
{
    std::vector<std::string> members; // Incarnations of the routers to forward to.
    std::string origin; // Incarnation of the router that sent the update first.
    PrefixState state; // As in the update: a receiver that has this state need not decode the update.
    std::string update; // Encoded by encodeUpdate().
};

std::string encodeRelayed(const RelayedUpdate &relayed)
{
    return encodeFleetMessage(
        json::array({relayed.members, relayed.origin, encodeState(relayed.state), relayed.update}));
}

std::optional<RelayedUpdate> decodeRelayed(const std::string &bytes)
{
    const json message = decodeFleetMessage(bytes);
    try {
        RelayedUpdate relayed;
        relayed.members = message.at(0).get<std::vector<std::string>>();
        relayed.origin = message.at(1).get<std::string>();
        relayed.state = decodeState(message.at(2));
        relayed.update = message.at(3).get<std::string>();
        return relayed;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

void FleetLinks::sendUpdate(const PrefixUpdate &update)
{
    const std::string body = encodeUpdate(update);
    if (body.size() * m_peers.size() < m_options.minRelayedUpdateBytes) {
        m_mesh->broadcast({UpdateTopic, body});
        return;
    }
    // The largest hosts forward the update: they have links to all other routers, while on a small host the forwarding
    // would delay its own requests.
    const double minCapacity = minLargestClassCapacity(Relay::now());
    std::vector<const Peer *> peers;
    std::size_t large = 0;
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.linked) {
            peers.push_back(&peer);
            large += isAdvertised(peer) && peer.member.capacity >= minCapacity ? 1 : 0;
        }
    }
    std::stable_sort(peers.begin(), peers.end(), [](const Peer *a, const Peer *b) {
        return a->member.capacity > b->member.capacity;
    });
    const auto squareRoot = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(peers.size()))));
    const std::size_t groups = large == 0 ? peers.size() : std::min(large, squareRoot);
    std::vector<RelayedUpdate> messages(groups, RelayedUpdate{{}, m_options.own.incarnation.value, update.state, body});
    for (std::size_t i = groups; i < peers.size(); ++i) {
        messages[i % groups].members.push_back(peers[i]->member.incarnation.value);
    }
    for (std::size_t i = 0; i < groups; ++i) {
        m_mesh->send(peers[i]->member.incarnation, {RelayedUpdateTopic, encodeRelayed(messages[i])});
    }
    m_relay.log().write("update_sent",
                        {{"prefix", std::string_view(update.state.prefix)},
                         {"complete_to", static_cast<std::int64_t>(update.state.completeTo)},
                         {"from_reading", update.fromFullRead},
                         {"bytes", static_cast<std::int64_t>(body.size())},
                         {"peers", static_cast<std::int64_t>(peers.size())},
                         {"groups", static_cast<std::int64_t>(groups)}});
}

void FleetLinks::onRelayedUpdate(const std::string &body)
{
    const auto relayed = decodeRelayed(body);
    if (!relayed) {
        return;
    }
    const bool isNew = !holdsState(relayed->state);
    m_relay.log().write("update_received",
                        {{"prefix", std::string_view(relayed->state.prefix)},
                         {"complete_to", static_cast<std::int64_t>(relayed->state.completeTo)},
                         {"origin", std::string_view(relayed->origin)},
                         {"passed_on", static_cast<std::int64_t>(relayed->members.size())},
                         {"queued_bytes", static_cast<std::int64_t>(maxQueuedBytes())},
                         {"new", isNew}});
    const std::string passedOn = encodeRelayed({{}, relayed->origin, relayed->state, relayed->update});
    for (const std::string &member : relayed->members) {
        m_mesh->send(Incarnation{member}, {RelayedUpdateTopic, passedOn});
    }
    if (isNew) {
        onUpdateReceived(Incarnation{relayed->origin}, relayed->update);
    }
}

// Returns the largest send queue of all links.
std::size_t FleetLinks::maxQueuedBytes() const
{
    std::size_t maximum = 0;
    for (const LinkStatus &link : m_mesh->links()) {
        maximum = std::max(maximum, link.queuedBytes);
    }
    return maximum;
}

bool FleetLinks::holdsState(const PrefixState &state) const
{
    const auto own = copyStates ? copyStates() : std::vector<PrefixState>{};
    return std::any_of(own.begin(), own.end(), [&state](const PrefixState &copy) {
        return copy.prefix == state.prefix && copy.digest == state.digest;
    });
}

void FleetLinks::onUpdateReceived(const Incarnation &from, const std::string &body)
{
    auto update = decodeUpdate(body);
    if (update && onUpdate) {
        update->sender = from.value;
        if (update->readStartedAt) {
            measureClockOffset(from, update->state.prefix);
            update->readStartedAt = toLocalTime(
                m_clockOffsets, m_options.clockOffsets, from.value, *update->readStartedAt, Relay::bootTimeNow());
        }
        onUpdate(from, *update);
    }
}

void FleetLinks::measureClockOffset(const Incarnation &peer, const std::string &prefix)
{
    if (!startClockExchange(m_clockOffsets, m_options.clockOffsets, peer.value, Relay::bootTimeNow())) {
        return;
    }
    for (const PrefixState &own : copyStates ? copyStates() : std::vector<PrefixState>{}) {
        if (own.prefix == prefix) {
            requestSnapshot(peer, {prefix, 0, own.digest, true, own.newestRevision});
        }
    }
}

bool FleetLinks::requestSnapshot(const Incarnation &peer, SnapshotRequest request)
{
    request.timestamp = Relay::now().time_since_epoch().count();
    return sendSnapshotRequest(peer, std::move(request));
}

bool FleetLinks::sendSnapshotRequest(const Incarnation &peer, SnapshotRequest request)
{
    request.askedAt = Relay::bootTimeNow();
    return m_mesh->send(peer, {SnapshotRequestTopic, encodeSnapshotRequest(request)});
}

// Linked, responsive routers that are advertised to callers, in random order.
std::vector<Incarnation> FleetLinks::shuffledPeers()
{
    std::vector<Incarnation> peers;
    const TimePoint now = Relay::now();
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.linked && peer.ready && isAdvertised(peer) && isResponsive(peer, now)) {
            peers.push_back(incarnation);
        }
    }
    for (std::size_t i = peers.size(); i > 1; --i) {
        std::swap(peers[i - 1], peers[m_relay.random() % i]);
    }
    return peers;
}

bool FleetLinks::requestSnapshotFromAny(const SnapshotRequest &request)
{
    const auto peers = shuffledPeers();
    return !peers.empty() && requestSnapshot(peers.front(), request);
}

// Probes two peers, so that one slow peer isn't mistaken for a saturated link of this host: the first response
// determines the lag.
void FleetLinks::compareCopies(const std::vector<SnapshotRequest> &requests)
{
    constexpr std::size_t probedPeers = 2;
    auto peers = shuffledPeers();
    peers.resize(std::min(peers.size(), probedPeers));
    const std::int64_t timestamp = Relay::now().time_since_epoch().count();
    m_lagProbes.push_back(timestamp);
    if (m_lagProbes.size() > m_options.maxOpenLagProbes) {
        m_lagProbes.pop_front();
    }
    for (const Incarnation &peer : peers) {
        for (SnapshotRequest request : requests) {
            request.timestamp = timestamp;
            // While copies change, each response would otherwise carry all entries.
            request.stateOnly = true;
            sendSnapshotRequest(peer, std::move(request));
        }
    }
}

void FleetLinks::onSnapshotReceived(const Incarnation &from, const std::string &body)
{
    auto snapshot = decodeSnapshot(body);
    if (!snapshot) {
        return;
    }
    snapshot->sender = from.value;
    const TimePoint now = Relay::bootTimeNow();
    if (snapshot->askedAt && snapshot->answeredAt && *snapshot->askedAt <= now) {
        recordClockExchange(
            m_clockOffsets, m_options.clockOffsets, from.value, *snapshot->askedAt, *snapshot->answeredAt, now);
    }
    if (snapshot->confirmedAt) {
        snapshot->confirmedAt =
            toLocalTime(m_clockOffsets, m_options.clockOffsets, from.value, *snapshot->confirmedAt, now);
    }
    const auto probe = std::find(m_lagProbes.begin(), m_lagProbes.end(), snapshot->timestamp);
    if (probe != m_lagProbes.end()) {
        // Responses to earlier probes that arrive after this one were delayed by their sender, not by this host's link.
        m_lagProbes.erase(m_lagProbes.begin(), std::next(probe));
        recordLag(snapshot->timestamp);
    }
    if (onSnapshot) {
        onSnapshot(*snapshot);
    }
}

// A small host sends large snapshots only to the largest hosts; the other routers get them from those.
bool FleetLinks::maySendSnapshot(const Incarnation &to, std::size_t bytes)
{
    const TimePoint now = Relay::now();
    const double minCapacity = minLargestClassCapacity(now);
    const auto peer = m_peers.find(to);
    const bool toLargest = peer != m_peers.end() && peer->second.member.capacity >= minCapacity;
    if (bytes >= m_options.minLargeSnapshotBytes && m_options.ownCapacity < minCapacity && !toLargest) {
        return false;
    }
    return tryTakeBytes(m_snapshotBytes, m_options.snapshotRate, bytes, now);
}

void FleetLinks::onSnapshotRequest(const Incarnation &from, const std::string &body)
{
    const auto request = decodeSnapshotRequest(body);
    auto snapshot = request && snapshotFor ? snapshotFor(*request) : std::nullopt;
    if (!snapshot) {
        return;
    }
    snapshot->timestamp = request->timestamp;
    snapshot->askedAt = request->askedAt;
    snapshot->answeredAt = Relay::bootTimeNow();
    std::string answer = encodeSnapshot(*snapshot);
    const auto bytes = static_cast<std::int64_t>(answer.size());
    const bool hasItems = snapshot->items.has_value();
    const bool deferred = hasItems && !maySendSnapshot(from, answer.size());
    if (deferred) {
        // The requester learns that its copy is behind, and can ask another router.
        snapshot->items.reset();
        snapshot->deferred = true;
        answer = encodeSnapshot(*snapshot);
    }
    m_mesh->send(from, {SnapshotTopic, answer});
    if (hasItems) {
        m_relay.log().write(
            deferred ? "snapshot_deferred" : "snapshot_sent",
            {{"prefix", std::string_view(request->prefix)}, {"peer", std::string_view(from.value)}, {"bytes", bytes}});
    }
}

double FleetLinks::responsivePeerFraction() const
{
    const TimePoint now = Relay::now();
    int listed = 0;
    int responsive = 0;
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.listed && peer.dialled) {
            ++listed;
            responsive += peer.linked && isResponsive(peer, now) ? 1 : 0;
        }
    }
    return listed == 0 ? 1.0 : static_cast<double>(responsive) / listed;
}

double FleetLinks::storeUnreachableFraction() const
{
    const TimePoint now = Relay::now();
    int responsive = 0;
    int unreachable = 0;
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.linked && peer.heartbeatReceived && isResponsive(peer, now)) {
            ++responsive;
            unreachable += peer.storeReachable ? 0 : 1;
        }
    }
    return responsive == 0 ? 1.0 : static_cast<double>(unreachable) / responsive;
}

// By rendezvous hashing, so that all routers agree without coordination.
std::optional<int> FleetLinks::readerRankOf(const std::string &prefix) const
{
    const TimePoint now = Relay::now();
    const double minCapacity = minLargestClassCapacity(now);
    if (!m_relay.isReady() || !isAdvertised() || !m_settled || m_options.ownCapacity < minCapacity) {
        return std::nullopt;
    }
    std::vector<std::uint64_t> weights;
    for (const auto &[incarnation, peer] : m_peers) {
        if (isServing(peer, now) && peer.storeReachable && peer.member.capacity >= minCapacity) {
            weights.push_back(rendezvousWeight(prefix, peer.member.callerAddress));
        }
    }
    return readerRank(rendezvousWeight(prefix, m_options.own.callerAddress), weights, m_options.readers);
}

json FleetLinks::encodeCopyStates() const
{
    json row = json::array();
    if (copyStates) {
        for (const PrefixState &state : copyStates()) {
            row.push_back(encodeState(state));
        }
    }
    return row;
}

// Compares the copies that a heartbeat lists: a router that started while the store was unreachable, or that lost all
// updates, detects here that its copy is behind.
void FleetLinks::onCopyStates(const Incarnation &from, const json &heartbeat)
{
    const auto row = heartbeat.find("copies");
    if (row == heartbeat.end() || !row->is_array() || !onUpdate) {
        return;
    }
    for (const json &copy : *row) {
        PrefixUpdate update;
        try {
            update.state = decodeState(copy);
        } catch (const json::exception &) {
            return;
        }
        onUpdate(from, update);
    }
}

} // namespace Godwit
