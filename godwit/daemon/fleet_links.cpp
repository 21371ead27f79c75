#include "godwit/daemon/fleet_links.h"

#include "godwit/daemon/fleet_messages.h"
#include "godwit/suspects/suspect_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace Godwit
{
namespace
{

using nlohmann::json;
using namespace internal;

// A peer that nobody lists and nobody hears is forgotten after this long.
constexpr Duration ForgetAfter = std::chrono::seconds(20);

} // namespace

std::string encodeMember(const FleetMember &member)
{
    return json{{"host", member.host.value},
                {"incarnation", member.incarnation.value},
                {"data_centre", member.dataCentre.value},
                {"callers", member.callerAddress},
                {"capacity", member.capacity},
                {"peers", member.peerAddress}}
        .dump();
}

std::optional<FleetMember> decodeMember(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        FleetMember member;
        member.host = HostId{value.at("host").get<std::string>()};
        member.incarnation = Incarnation{value.at("incarnation").get<std::string>()};
        member.dataCentre = DataCentreId{value.at("data_centre").get<std::string>()};
        member.callerAddress = value.at("callers").get<std::string>();
        member.peerAddress = value.at("peers").get<std::string>();
        member.capacity = value.value("capacity", 0.0);
        return member;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

FleetLinks::FleetLinks(boost::asio::io_context &io, Relay &relay, FleetLinksOptions options)
    : m_relay(relay)
    , m_options(std::move(options))
    , m_timer(io)
    , m_answerTimer(io)
{
    RouterMeshOptions mesh;
    mesh.listenAddress = m_options.listenAddress;
    mesh.allowPlainText = true;
    // Cuts are short and frequent: a link that carries nothing is replaced soon.
    mesh.silenceLimit = std::chrono::seconds(3);
    mesh.reconnectLimit = std::chrono::seconds(1);
    RouterMeshCallbacks callbacks;
    callbacks.onLinkUp = [this](const Hello &hello) {
        onLinkUp(hello);
    };
    callbacks.onLinkDown = [this](const Incarnation &incarnation) {
        onLinkDown(incarnation);
    };
    callbacks.onMessage = [this](const Incarnation &from, const Envelope &envelope) {
        onMessage(from, envelope);
    };
    callbacks.onRefusal = [this](const std::string &address, const Refusal &refusal) {
        m_relay.log().write("link_refused",
                            {{"peer", std::string_view(address)}, {"cause", std::string_view(refusal.message)}});
    };
    m_mesh = std::make_unique<RouterMesh>(io, mesh, m_options.own, std::move(callbacks));
}

FleetLinks::~FleetLinks() = default;

bool FleetLinks::start(LastReason &reason)
{
    if (!m_mesh->start(reason)) {
        return false;
    }
    armBeat();
    return true;
}

void FleetLinks::stop()
{
    m_timer.cancel();
    m_mesh->stop();
}

void FleetLinks::setListed(const std::vector<FleetMember> &members)
{
    for (auto &[incarnation, peer] : m_peers) {
        peer.listed = false;
    }
    for (const FleetMember &member : members) {
        // Also the entry of an earlier process on this host.
        if (member.callerAddress == m_options.own.callerAddress) {
            continue;
        }
        Peer &peer = m_peers[member.incarnation];
        if (!peer.listed && peer.heardAt == TimePoint{}) {
            // Until its link stands the platform's word is enough, but for sending anyone there.
            peer.heardAt = Relay::now();
            peer.ready = true;
        }
        peer.member = member;
        peer.listed = true;
    }
    chooseEntries(Relay::now());
    dialPeers();
    chooseHomes();
}

// At once when it changes: until the others know, each of the routers that start together takes itself for the home of
// all customers, and requests go on to a home that is leaving; and each that reaches the store again for a reader.
void FleetLinks::tellReadiness()
{
    if (m_readyTold != m_relay.isReady() || m_inReachTold != m_relay.state().platformInReach) {
        beat();
    }
}

void FleetLinks::beat()
{
    m_readyTold = m_relay.isReady();
    m_inReachTold = m_relay.state().platformInReach;
    m_mesh->broadcast({BeatTopic, beatBody()});
}

void FleetLinks::tellStoreFound()
{
    m_mesh->broadcast({FoundTopic, {}});
}

void FleetLinks::tellSuspects(const std::vector<SuspectNotice> &notices)
{
    tellEntries({SuspectsTopic, encodeSuspectNotices(notices)});
}

bool FleetLinks::isEntry(const Peer &peer) const
{
    return peer.member.capacity >= m_leastEntry;
}

// Routers that have no link with each other go by the platform's list.
bool FleetLinks::isAlive(const Peer &peer, TimePoint now) const
{
    return isFresh(peer, now) || (peer.listed && !peer.dialled);
}

void FleetLinks::measureLoad(TimePoint now)
{
    const std::uint64_t requests = m_relay.counters().requests;
    const double seconds = toSeconds(now - std::exchange(m_measuredAt, now));
    const double rate = static_cast<double>(requests - std::exchange(m_requestsBefore, requests)) / seconds;
    constexpr double newest = 0.3;
    m_load += newest * (rate - m_load);
}

void FleetLinks::chooseEntries(TimePoint now)
{
    std::vector<EntryHost> hosts{{m_options.ownCapacity, m_load}};
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.ready && isAlive(peer, now)) {
            hosts.push_back({peer.member.capacity, peer.load});
        }
    }
    double load = 0;
    for (const EntryHost &host : hosts) {
        load += host.load;
    }
    const double kept = 1 - toSeconds(beatInterval()) / toSeconds(m_options.loadMemory);
    m_fleetLoad = std::max(load, m_fleetLoad * kept);
    // What has passed counts as if it came to this host.
    hosts.front().load += m_fleetLoad - load;
    const double least = minAdvertisedCapacity(std::move(hosts), m_options.entryHosts);
    if (least != std::exchange(m_leastEntry, least)) {
        m_relay.log().write(
            "entry_hosts", {{"least_capacity", least}, {"load", m_fleetLoad}, {"own_capacity", m_options.ownCapacity}});
    }
    m_relay.state().senders = senderGroup(now);
}

// The routers that callers are told of get nearly all requests, so that they hold the shares of the fleet's limits.
AdvertisedRouters FleetLinks::senderGroup(TimePoint now) const
{
    AdvertisedRouters group;
    group.self = m_options.own.callerAddress;
    if (isEntry()) {
        group.routers.push_back(group.self);
    }
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.ready && isEntry(peer) && isAlive(peer, now)) {
            group.routers.push_back(peer.member.callerAddress);
        }
    }
    return group;
}

// Between two routers that callers are not told of no link is needed: in a fleet of 60 with six large hosts that leaves
// 340 of 1,770 links.
void FleetLinks::dialPeers()
{
    for (auto &[incarnation, peer] : m_peers) {
        if (!peer.dialled && peer.listed && (isEntry() || isEntry(peer))) {
            peer.dialled = true;
            if (peer.heardAt == TimePoint{}) {
                // Until its link stands the platform's word is enough.
                peer.heardAt = Relay::now();
            }
            m_mesh->connectTo(peer.member.host, peer.member.peerAddress);
        }
    }
}

void FleetLinks::tellEntries(const Envelope &envelope)
{
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.linked && isEntry(peer)) {
            m_mesh->send(incarnation, envelope);
        }
    }
}

std::vector<EntryAddress> FleetLinks::callerAddresses() const
{
    const TimePoint now = Relay::now();
    const auto &regions = m_relay.options().regions;
    std::vector<EntryAddress> addresses;
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.ready && peer.beatHeard && isFresh(peer, now)) {
            addresses.push_back({peer.member.callerAddress, regionOf(regions, peer.member.dataCentre), isEntry(peer)});
        }
    }
    return addresses;
}

int FleetLinks::liveCount() const
{
    const TimePoint now = Relay::now();
    return 1 + static_cast<int>(std::count_if(m_peers.begin(), m_peers.end(), [this, now](const auto &entry) {
               return isAlive(entry.second, now);
           }));
}

void FleetLinks::armBeat()
{
    m_beatAt = m_peers.empty() ? Relay::now() + m_options.aloneInterval : Relay::now() + beatInterval();
    armLook();
}

// Looks often whether the readiness has changed; beats when it is time.
void FleetLinks::armLook()
{
    m_timer.expires_at(std::min(m_beatAt, Relay::now() + m_options.lookInterval));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        tellReadiness();
        keepAhead();
        if (Relay::now() < m_beatAt) {
            armLook();
            return;
        }
        measureLoad(Relay::now());
        m_relay.state().liveRouters = liveCount();
        forgetSilent(Relay::now());
        chooseEntries(Relay::now());
        dialPeers();
        chooseHomes();
        sendLeftovers();
        beat();
        armBeat();
    });
}

std::string FleetLinks::beatBody() const
{
    const auto &share = m_relay.state().prepaid;
    json held = json::object();
    for (const auto &[customer, account] : share.accounts) {
        // Also a former home that has used all of its grant: others would take it for unused.
        const bool tells = account.isHome || account.granted > 0;
        if (account.bounded && tells && held.size() < m_options.maxCustomersInBeat) {
            held[customer.value] = heldRow(customer);
        }
    }
    return toBytes(json{{"ready", m_relay.isReady()},
                        {"store", m_relay.state().platformInReach},
                        {"copies", copyStatesRow()},
                        {"load", m_load},
                        {"capacity", m_options.ownCapacity},
                        {"held", std::move(held)}});
}

void FleetLinks::onLinkUp(const Hello &hello)
{
    Peer &peer = m_peers[hello.incarnation];
    peer.linked = true;
    peer.linkedAt = Relay::now();
    peer.heardAt = peer.linkedAt;
    if (!peer.listed) {
        peer.member =
            FleetMember{hello.host, hello.incarnation, hello.dataCentre, hello.callerAddress, hello.peerAddress};
    }
    m_relay.log().write("peer_linked", {{"peer", std::string_view(hello.incarnation.value)}});
    m_mesh->send(hello.incarnation, {BeatTopic, beatBody()});
}

void FleetLinks::onLinkDown(const Incarnation &incarnation)
{
    const auto found = m_peers.find(incarnation);
    if (found != m_peers.end()) {
        found->second.linked = false;
        found->second.unansweredSince.reset();
        m_relay.log().write("peer_unlinked", {{"peer", std::string_view(incarnation.value)}});
    }
}

void FleetLinks::onMessage(const Incarnation &from, const Envelope &envelope)
{
    const auto found = m_peers.find(from);
    if (found == m_peers.end()) {
        return;
    }
    found->second.heardAt = Relay::now();
    if (envelope.topic == BeatTopic) {
        onBeat(found->second, envelope.body);
    } else if (envelope.topic == AskTopic) {
        onAsk(found->second, envelope.body);
    } else if (envelope.topic == WishTopic) {
        onWish(found->second, envelope.body);
    } else if (envelope.topic == GiveTopic) {
        onGive(found->second, envelope.body);
    } else if (envelope.topic == LedgerTopic) {
        onLedger(envelope.body);
    } else if (envelope.topic == FoundTopic && onStoreFound) {
        onStoreFound();
    } else if (envelope.topic == SuspectsTopic && onSuspects) {
        onSuspects(decodeSuspectNotices(envelope.body));
    } else if (envelope.topic == PromptTopic) {
        onPromptTold(envelope.body);
    } else if (envelope.topic == UpdateTopic) {
        onUpdateReceived(from, envelope.body);
    } else if (envelope.topic == RelayedUpdateTopic) {
        onRelayedUpdate(envelope.body);
    } else if (envelope.topic == SnapshotRequestTopic) {
        onSnapshotRequest(from, envelope.body);
    } else if (envelope.topic == SnapshotTopic) {
        onSnapshotReceived(envelope.body);
    }
}

void FleetLinks::onBeat(Peer &peer, const std::string &body)
{
    const json beat = fromBytes(body);
    if (!beat.is_object()) {
        return;
    }
    const auto ready = beat.find("ready");
    const bool wasReady = peer.ready && std::exchange(peer.beatHeard, true);
    peer.ready = ready != beat.end() && ready->is_boolean() && ready->get<bool>();
    const auto store = beat.find("store");
    peer.storeInReach = store != beat.end() && store->is_boolean() && store->get<bool>();
    const auto load = beat.find("load");
    peer.load = load != beat.end() && load->is_number() ? load->get<double>() : 0;
    const auto capacity = beat.find("capacity");
    if (capacity != beat.end() && capacity->is_number()) {
        peer.member.capacity = capacity->get<double>();
    }
    if (peer.ready != wasReady) {
        chooseHomes();
        m_relay.requestNeededTokens();
    }
    readHeld(beat, HolderId{peer.member.callerAddress});
    readCopyStates(peer.member.incarnation, beat);
}

void FleetLinks::tellLedger(std::uint64_t revision, const std::string &ledger)
{
    if (ledger.size() > m_options.maxSharedLedgerBytes) {
        return;
    }
    const std::string body = toBytes(json::array({revision, ledger}));
    tellEntries({LedgerTopic, body});
}

void FleetLinks::onLedger(const std::string &body)
{
    const json message = fromBytes(body);
    if (!message.is_array() || message.size() != 2 || !message[0].is_number_unsigned() || !message[1].is_string()) {
        return;
    }
    LastReason reason;
    if (auto ledger = decodePrepaidLedger(message[1].get<std::string>(), reason)) {
        onLedgerUpdate(m_relay.state().prepaid, std::move(*ledger), message[0].get<std::uint64_t>());
    } else {
        m_relay.log().write("ledger_unreadable", {{"cause", std::string_view(reason->message)}});
    }
}

// A router may tell one prompt each `pause`. While it has more than that to tell, the shortest told grows; while it has
// less, it shrinks.
void FleetLinks::tellPrompt(const PromptSent &prompt, Duration reading)
{
    const double least = toSeconds(m_options.toldPromptFrom);
    m_toldFrom = std::max(m_toldFrom, least);
    if (m_peers.empty() || toSeconds(reading) < m_toldFrom) {
        return;
    }
    const TimePoint now = Relay::now();
    // Hardly a request comes to the others.
    const auto routers = static_cast<double>(std::count_if(m_peers.begin(),
                                                           m_peers.end(),
                                                           [this](const auto &entry) {
                                                               return entry.second.linked && isEntry(entry.second);
                                                           })
                                             + 1);
    const double pause = routers * std::max(1.0, routers - 1) / m_options.promptsHeardPerSecond;
    const double pauses = toSeconds(now - m_promptToldAt) / pause;
    constexpr double step = 1.1;
    m_toldFrom = pauses < 1 ? m_toldFrom * step : std::max(least, m_toldFrom / std::min(pauses, step));
    m_promptToldAt = now;
    tellEntries({PromptTopic, toBytes(json::array({prompt.endpoint.value, prompt.uncachedTokens, prompt.prefix}))});
}

void FleetLinks::onPromptTold(const std::string &body)
{
    const json message = fromBytes(body);
    const bool wellFormed = message.is_array() && message.size() == 3 && message[0].is_string()
        && message[1].is_number_integer() && message[2].is_string();
    if (!wellFormed) {
        return;
    }
    PromptSent prompt{EndpointId{message[0].get<std::string>()}, message[1].get<Tokens>(), message[2]};
    prompt.uncachedTokens = std::max<Tokens>(0, prompt.uncachedTokens);
    recordRemotePrompt(m_relay.state().endpoints, prompt, m_relay.options().choice, Relay::now());
}

// Grows with the fleet, so that a router's messages a second do not.
Duration FleetLinks::beatInterval() const
{
    return beatIntervalOf(isEntry());
}

Duration FleetLinks::beatIntervalOf(bool entry) const
{
    const auto peers = static_cast<Duration::rep>(m_peers.size());
    const Duration full = std::max(m_options.beatInterval, m_options.beatInterval * peers / m_options.peersAtFullRate);
    return entry ? full : full * m_options.quietBeats;
}

bool FleetLinks::isFresh(const Peer &peer, TimePoint now) const
{
    return now < peer.heardAt + beatIntervalOf(isEntry(peer)) * m_options.freshBeats;
}

void FleetLinks::forgetSilent(TimePoint now)
{
    std::set<HolderId> heard;
    for (const auto &[incarnation, peer] : m_peers) {
        if (isFresh(peer, now)) {
            heard.insert(HolderId{peer.member.callerAddress});
        }
    }
    for (auto &[customer, holders] : m_relay.state().prepaid.peerHoldings) {
        for (auto it = holders.begin(); it != holders.end();) {
            it = heard.count(it->first) == 0 ? holders.erase(it) : std::next(it);
        }
    }
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const Peer &peer = it->second;
        const bool forget = !peer.listed && !peer.linked && now > peer.heardAt + ForgetAfter;
        if (forget) {
            m_mesh->dropPeer(peer.member.host);
        }
        it = forget ? m_peers.erase(it) : std::next(it);
    }
}

} // namespace Godwit
