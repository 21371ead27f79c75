#include "godwit/daemon/fleet_links.h"

#include "godwit/base/json_text.h"
#include "godwit/base/milliseconds.h"
#include "godwit/daemon/fleet_messages.h"
#include "godwit/suspects/suspect_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <set>

namespace Godwit
{
namespace
{

using nlohmann::json;
using namespace internal;

// An unlisted peer without a link is dropped this long after its last message.
constexpr Duration PeerExpiry = std::chrono::seconds(20);

// Bound of the groups that are accepted in one heartbeat.
constexpr std::size_t MaxGroups = 256;

std::vector<EndpointGroup> decodeGroups(const json &rows)
{
    std::vector<EndpointGroup> groups;
    for (const json &row : rows) {
        const bool wellFormed = row.is_array() && row.size() == 2 && row[0].is_string() && row[1].is_string();
        if (wellFormed && groups.size() < MaxGroups) {
            groups.push_back({row[0].get<std::string>(), DataCentreId{row[1].get<std::string>()}});
        }
    }
    return groups;
}

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
    const json value = tryParseJson(text);
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
    , m_responseTimer(io)
{
    RouterMeshOptions mesh;
    mesh.listenAddress = m_options.listenAddress;
    mesh.allowPlainText = true;
    mesh.unprovenBound = m_options.maxUnprovenPeers;
    // Network outages are short and frequent: a silent link is replaced soon.
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
    m_startedAt = Relay::now();
    scheduleHeartbeat();
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
        // Skips the entry of an earlier process on this host as well.
        if (member.callerAddress == m_options.own.callerAddress) {
            continue;
        }
        Peer &peer = m_peers[member.incarnation];
        if (!peer.listed && peer.lastMessageAt == TimePoint{}) {
            // Until the link is open the platform's list suffices to count the peer as alive, but not to send callers
            // there.
            peer.lastMessageAt = Relay::now();
            peer.ready = true;
        }
        peer.member = member;
        peer.listed = true;
    }
    chooseAdvertised(Relay::now());
    dialPeers();
    chooseHomes();
}

// Sent as soon as it changes. Until the others know, each of the routers that start together acts as the home of all
// customers, requests still go to a home that is leaving, and each router that reaches the store again acts as a
// reader.
void FleetLinks::sendReadinessChange()
{
    if (m_sentReady != m_relay.isReady() || m_sentStoreReachable != m_relay.state().platformInReach
        || m_sentPartitioned != partitionedGroups(m_relay.state().reach) || m_sentBrittle != brittleServices()) {
        sendHeartbeat();
    }
}

void FleetLinks::sendHeartbeat()
{
    m_sentReady = m_relay.isReady();
    m_sentStoreReachable = m_relay.state().platformInReach;
    m_sentPartitioned = partitionedGroups(m_relay.state().reach);
    m_sentBrittle = brittleServices();
    auto speeds = takeSpeedReports(m_relay.state().endpoints, MaxSpeedReports);
    if (!isAdvertised()) {
        // Such a router has too few samples to be worth the messages.
        speeds.clear();
    }
    const std::string heartbeat = encodeHeartbeat({});
    if (speeds.empty()) {
        m_mesh->broadcast({HeartbeatTopic, heartbeat});
        return;
    }
    const std::string withSpeeds = encodeHeartbeat(speeds);
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.linked) {
            m_mesh->send(incarnation, {HeartbeatTopic, isAdvertised(peer) ? withSpeeds : heartbeat});
        }
    }
}

void FleetLinks::logSpeedChanges()
{
    for (const SpeedChange &change : takeSpeedChanges(m_relay.state().endpoints, Relay::now())) {
        m_relay.log().write("endpoint_speed",
                            {{"endpoint", std::string_view(change.endpoint.value)},
                             {"outside_band", change.outsideBand},
                             {"ratio", change.speed.ratio},
                             {"samples", static_cast<std::int64_t>(change.speed.samples)},
                             {"age_ms", toMilliseconds(change.speed.age)}});
    }
}

void FleetLinks::broadcastStoreReachable()
{
    m_mesh->broadcast({StoreReachableTopic, {}});
}

void FleetLinks::announceSuspects(const std::vector<SuspectNotice> &notices)
{
    sendToAdvertised({SuspectsTopic, encodeSuspectNotices(notices)});
}

void FleetLinks::announceRejection(const EndpointRejection &rejection)
{
    m_mesh->broadcast(
        {EndpointRejectionTopic,
         encodeFleetMessage(json::array({rejection.service, rejection.endpoint.value, rejection.maxRejections}))});
}

void FleetLinks::onEndpointRejection(const std::string &body)
{
    const json message = decodeFleetMessage(body);
    const bool wellFormed =
        message.is_array() && message.size() == 3 && message[0].is_string() && message[1].is_string();
    const auto reports = wellFormed ? decodeBrittleReports(json::array({json::array({message[0], message[2], 0})}))
                                    : std::vector<BrittleReport>();
    if (reports.empty()) {
        return;
    }
    EndpointTable &table = m_relay.state().endpoints;
    const EndpointId endpoint{message[1].get<std::string>()};
    if (table.endpoints.count(endpoint) > 0) {
        m_relay.applyBrittleReport(reports.front());
        recordRejection(table.brittle, table.brittleOptions, endpoint, Relay::now());
    }
}

std::vector<std::string> FleetLinks::brittleServices() const
{
    const EndpointTable &table = m_relay.state().endpoints;
    std::vector<std::string> names;
    for (const BrittleReport &report : brittleReports(table.brittle, table.brittleOptions, Relay::now())) {
        names.push_back(report.service);
    }
    return names;
}

bool FleetLinks::isAdvertised(const Peer &peer) const
{
    return peer.member.capacity >= m_minAdvertisedCapacity;
}

// Routers without a link to this one are judged by the platform's list.
bool FleetLinks::isAlive(const Peer &peer, TimePoint now) const
{
    return isResponsive(peer, now) || (peer.listed && !peer.dialled);
}

void FleetLinks::measureLoad(TimePoint now)
{
    const std::uint64_t requests = m_relay.counters().requests;
    const double seconds = toSeconds(now - std::exchange(m_measuredAt, now));
    const double rate = static_cast<double>(requests - std::exchange(m_measuredRequests, requests)) / seconds;
    constexpr double weight = 0.3;
    m_load += weight * (rate - m_load);
}

void FleetLinks::chooseAdvertised(TimePoint now)
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
    const double decay = 1 - toSeconds(heartbeatInterval()) / toSeconds(m_options.loadDecayTime);
    m_fleetLoad = std::max(load, m_fleetLoad * decay);
    // The remaining decayed load is attributed to this host.
    hosts.front().load += m_fleetLoad - load;
    const double minCapacity = minAdvertisedCapacity(std::move(hosts), m_options.advertisedHosts);
    if (minCapacity != std::exchange(m_minAdvertisedCapacity, minCapacity)) {
        m_relay.log().write(
            "entry_hosts",
            {{"least_capacity", minCapacity}, {"load", m_fleetLoad}, {"own_capacity", m_options.ownCapacity}});
    }
    m_relay.state().senders = advertisedRouters(now);
    m_relay.state().endpoints.position = routerPosition(now);
}

RouterPosition FleetLinks::routerPosition(TimePoint now) const
{
    std::set<std::string> advertised;
    std::set<std::string> all{m_options.own.callerAddress};
    if (isAdvertised()) {
        advertised.insert(m_options.own.callerAddress);
    }
    for (const auto &[incarnation, peer] : m_peers) {
        // Two entries with the same address are successive processes of one host.
        const bool leaving = peer.heartbeatReceived && !peer.ready && isResponsive(peer, now);
        if (leaving || (!peer.listed && !isResponsive(peer, now))) {
            continue;
        }
        all.insert(peer.member.callerAddress);
        if (isAdvertised(peer)) {
            advertised.insert(peer.member.callerAddress);
        }
    }
    RouterPosition position;
    position.routers = std::max<std::size_t>(1, advertised.size());
    position.allRouters = all.size();
    position.rank.reset();
    if (const auto own = advertised.find(m_options.own.callerAddress); own != advertised.end()) {
        position.rank = static_cast<std::size_t>(std::distance(advertised.begin(), own));
    }
    return position;
}

// Advertised routers get nearly all requests, so they hold the shares of the fleet's limits.
AdvertisedRouters FleetLinks::advertisedRouters(TimePoint now) const
{
    AdvertisedRouters group;
    group.self = m_options.own.callerAddress;
    if (isAdvertised()) {
        group.routers.push_back(group.self);
    }
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.ready && isAdvertised(peer) && isAlive(peer, now)) {
            group.routers.push_back(peer.member.callerAddress);
        }
    }
    return group;
}

// Two routers that are both not advertised need no link: in a fleet of 60 with six large hosts 340 of 1,770 links
// remain.
void FleetLinks::dialPeers()
{
    for (auto &[incarnation, peer] : m_peers) {
        if (!peer.dialled && peer.listed && (isAdvertised() || isAdvertised(peer))) {
            peer.dialled = true;
            if (peer.lastMessageAt == TimePoint{}) {
                // Until the link is open the platform's list suffices to count the peer as alive.
                peer.lastMessageAt = Relay::now();
            }
            m_mesh->connectTo(peer.member.host, peer.member.peerAddress);
        }
    }
}

void FleetLinks::sendToAdvertised(const Envelope &envelope)
{
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.linked && isAdvertised(peer)) {
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
        if (peer.ready && peer.heartbeatReceived && isResponsive(peer, now)) {
            addresses.push_back({peer.member.callerAddress,
                                 regionOf(regions, peer.member.dataCentre),
                                 isAdvertised(peer),
                                 peer.member.capacity,
                                 dependsOnOthers(peer.partitioned)});
        }
    }
    return addresses;
}

std::vector<EntryAddress> FleetLinks::entryAddresses() const
{
    std::vector<EntryAddress> addresses = callerAddresses();
    if (m_relay.isReady()) {
        addresses.push_back({m_options.own.callerAddress,
                             regionOf(m_relay.options().regions, m_options.own.dataCentre),
                             isAdvertised(),
                             m_options.ownCapacity,
                             dependsOnOthers(partitionedGroups(m_relay.state().reach))});
    }
    avoidPartitioned(addresses, m_fleetLoad, m_options.advertisedHosts);
    return addresses;
}

// A group that no router reaches tells nothing about one of them: its endpoints may have died.
bool FleetLinks::dependsOnOthers(const std::vector<EndpointGroup> &partitioned) const
{
    const TimePoint now = Relay::now();
    return std::any_of(partitioned.begin(), partitioned.end(), [this, now](const EndpointGroup &group) {
        return !isPartitioned(m_relay.state().reach, group)
            || std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
                   return lends(entry.second, group, now);
               });
    });
}

bool FleetLinks::lends(const Peer &peer, const EndpointGroup &group, TimePoint now) const
{
    return peer.linked && peer.ready && isResponsive(peer, now) && !peer.lender.address.empty()
        && std::find(peer.partitioned.begin(), peer.partitioned.end(), group) == peer.partitioned.end();
}

void FleetLinks::offerLending(std::string address, std::string secret)
{
    m_ownLender = {m_options.own.incarnation, std::move(address), std::move(secret)};
}

std::vector<Lender> FleetLinks::lendersFor(const EndpointGroup &group) const
{
    const TimePoint now = Relay::now();
    const auto &regions = m_relay.options().regions;
    std::vector<Lender> near;
    std::vector<Lender> far;
    for (const auto &[incarnation, peer] : m_peers) {
        const DataCentreId &dataCentre = peer.member.dataCentre;
        const RegionId region = regionOf(regions, dataCentre);
        // A request may be bound to a region; it is in this router's already, and goes to the endpoint's.
        const bool allowedRegion =
            region == regionOf(regions, m_options.own.dataCentre) || region == regionOf(regions, group.dataCentre);
        if (allowedRegion && lends(peer, group, now)) {
            const bool isNear = dataCentre == m_options.own.dataCentre || dataCentre == group.dataCentre;
            (isNear ? near : far).push_back(peer.lender);
        }
    }
    std::mt19937_64 random(m_relay.random());
    std::shuffle(near.begin(), near.end(), random);
    std::shuffle(far.begin(), far.end(), random);
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

void FleetLinks::onLendingOffer(Peer &peer, const std::string &body)
{
    const json offer = decodeFleetMessage(body);
    if (offer.is_array() && offer.size() == 2 && offer[0].is_string() && offer[1].is_string()) {
        peer.lender = {peer.member.incarnation, offer[0].get<std::string>(), offer[1].get<std::string>()};
    }
}

int FleetLinks::liveCount() const
{
    const TimePoint now = Relay::now();
    return 1 + static_cast<int>(std::count_if(m_peers.begin(), m_peers.end(), [this, now](const auto &entry) {
               return isAlive(entry.second, now);
           }));
}

void FleetLinks::scheduleHeartbeat()
{
    m_nextHeartbeatAt =
        m_peers.empty() ? Relay::now() + m_options.soloCheckInterval : Relay::now() + heartbeatInterval();
    scheduleCheck();
}

// Checks readiness often, and sends a heartbeat when it is due.
void FleetLinks::scheduleCheck()
{
    m_timer.expires_at(std::min(m_nextHeartbeatAt, Relay::now() + m_options.readinessCheckInterval));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        sendReadinessChange();
        prefetchTokens();
        if (checkSettled(Relay::now())) {
            chooseHomes();
            m_relay.requestNeededTokens();
        }
        if (Relay::now() < m_nextHeartbeatAt) {
            scheduleCheck();
            return;
        }
        measureLoad(Relay::now());
        m_relay.state().liveRouters = liveCount();
        dropUnresponsive(Relay::now());
        chooseAdvertised(Relay::now());
        dialPeers();
        chooseHomes();
        returnUnusedTokens();
        logSpeedChanges();
        sendHeartbeat();
        scheduleHeartbeat();
    });
}

std::string FleetLinks::encodeHeartbeat(const std::vector<SpeedReport> &speeds) const
{
    const auto &share = m_relay.state().prepaid;
    json held = json::object();
    for (const auto &[customer, account] : share.accounts) {
        // Includes a former home that has used all of its grant: the others would otherwise count the grant as unused.
        const bool included = account.isHome || account.granted > 0;
        if (account.bounded && included && held.size() < m_options.maxCustomersPerHeartbeat) {
            held[customer.value] = encodeHolding(customer);
        }
    }
    json heartbeat{{"ready", m_relay.isReady()},
                   {"store", m_relay.state().platformInReach},
                   {"copies", encodeCopyStates()},
                   {"load", m_load},
                   {"capacity", m_options.ownCapacity},
                   {"held", std::move(held)}};
    for (const EndpointGroup &group : partitionedGroups(m_relay.state().reach)) {
        heartbeat["partitioned"].push_back(json::array({group.service, group.dataCentre.value}));
    }
    const EndpointTable &table = m_relay.state().endpoints;
    if (auto reports = brittleReports(table.brittle, table.brittleOptions, Relay::now()); !reports.empty()) {
        heartbeat["brittle"] = encodeBrittleReports(reports);
    }
    const auto earlier =
        earlierVersions(m_relay.state().streamVersions, m_relay.options().streamVersions, Relay::now());
    if (!earlier.empty()) {
        heartbeat["earlier_versions"] = encodeEarlierVersions(earlier);
    }
    if (!speeds.empty()) {
        heartbeat["speeds"] = encodeSpeedReports(speeds);
    }
    return encodeFleetMessage(heartbeat);
}

void FleetLinks::onLinkUp(const Hello &hello)
{
    Peer &peer = m_peers[hello.incarnation];
    peer.linked = true;
    peer.linkedAt = Relay::now();
    peer.lastMessageAt = peer.linkedAt;
    if (!peer.listed) {
        peer.member =
            FleetMember{hello.host, hello.incarnation, hello.dataCentre, hello.callerAddress, hello.peerAddress};
    }
    m_relay.log().write("peer_linked", {{"peer", std::string_view(hello.incarnation.value)}});
    m_mesh->send(hello.incarnation, {HeartbeatTopic, encodeHeartbeat({})});
    askForSoughtStreams(hello.incarnation);
    if (!m_ownLender.address.empty()) {
        m_mesh->send(hello.incarnation,
                     {LendingTopic, encodeFleetMessage(json::array({m_ownLender.address, m_ownLender.secret}))});
    }
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
    found->second.lastMessageAt = Relay::now();
    if (envelope.topic == HeartbeatTopic) {
        onHeartbeat(found->second, envelope.body);
    } else if (envelope.topic == LendingTopic) {
        onLendingOffer(found->second, envelope.body);
    } else if (envelope.topic == TokenReclaimTopic) {
        onTokenReclaim(found->second, envelope.body);
    } else if (envelope.topic == TokenRequestTopic) {
        onTokenRequest(found->second, envelope.body);
    } else if (envelope.topic == TokenTransferTopic) {
        onTokenTransfer(found->second, envelope.body);
    } else if (envelope.topic == LedgerTopic) {
        onLedger(envelope.body);
    } else if (envelope.topic == StoreReachableTopic && onStoreReachable) {
        onStoreReachable();
    } else if (envelope.topic == SuspectsTopic && onSuspects) {
        onSuspects(decodeSuspectNotices(envelope.body));
    } else if (envelope.topic == EndpointRejectionTopic) {
        onEndpointRejection(envelope.body);
    } else if (envelope.topic == StreamRecordsTopic) {
        onStreamRecords(envelope.body);
    } else if (envelope.topic == StreamQueryTopic) {
        onStreamQuery(from, envelope.body);
    } else if (envelope.topic == StreamReplyTopic) {
        onStreamReply(from, envelope.body);
    } else if (envelope.topic == AnnouncedVersionsTopic) {
        onAnnouncedVersions(envelope.body);
    } else if (envelope.topic == PromptTopic) {
        onPromptAnnounced(envelope.body);
    } else if (envelope.topic == UpdateTopic) {
        onUpdateReceived(from, envelope.body);
    } else if (envelope.topic == RelayedUpdateTopic) {
        onRelayedUpdate(envelope.body);
    } else if (envelope.topic == SnapshotRequestTopic) {
        onSnapshotRequest(from, envelope.body);
    } else if (envelope.topic == SnapshotTopic) {
        onSnapshotReceived(from, envelope.body);
    }
}

void FleetLinks::onHeartbeat(Peer &peer, const std::string &body)
{
    const json heartbeat = decodeFleetMessage(body);
    if (!heartbeat.is_object()) {
        return;
    }
    const auto ready = heartbeat.find("ready");
    const bool wasHeard = std::exchange(peer.heartbeatReceived, true);
    const bool wasReady = wasHeard && peer.ready;
    peer.ready = ready != heartbeat.end() && ready->is_boolean() && ready->get<bool>();
    const auto store = heartbeat.find("store");
    peer.storeReachable = store != heartbeat.end() && store->is_boolean() && store->get<bool>();
    peer.partitioned = decodeGroups(heartbeat.value("partitioned", json::array()));
    const auto load = heartbeat.find("load");
    peer.load = load != heartbeat.end() && load->is_number() ? load->get<double>() : 0;
    const auto capacity = heartbeat.find("capacity");
    if (capacity != heartbeat.end() && capacity->is_number()) {
        peer.member.capacity = capacity->get<double>();
    }
    if (peer.ready != wasReady) {
        chooseHomes();
        m_relay.requestNeededTokens();
    }
    for (const BrittleReport &report : decodeBrittleReports(heartbeat.value("brittle", json::array()))) {
        m_relay.applyBrittleReport(report);
    }
    for (const EarlierVersion &earlier : decodeEarlierVersions(heartbeat.value("earlier_versions", json::array()))) {
        applyEarlierVersion(m_relay.state().streamVersions, earlier, Relay::now());
    }
    applyHoldings(heartbeat, HolderId{peer.member.callerAddress});
    onCopyStates(peer.member.incarnation, heartbeat);
    const auto speeds = heartbeat.find("speeds");
    if (speeds != heartbeat.end() && isAdvertised(peer)) {
        applySpeedReports(m_relay.state().endpoints, decodeSpeedReports(*speeds), Relay::now());
    }
}

void FleetLinks::broadcastLedger(std::uint64_t revision, const std::string &ledger)
{
    if (ledger.size() > m_options.maxSharedLedgerBytes) {
        return;
    }
    const std::string body = encodeFleetMessage(json::array({revision, ledger}));
    sendToAdvertised({LedgerTopic, body});
}

void FleetLinks::onLedger(const std::string &body)
{
    const json message = decodeFleetMessage(body);
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

// Each router may announce one prompt per `interval`. The minimum length of announced prompts grows while there are
// more than that, and shrinks while there are fewer.
void FleetLinks::announcePrompt(const PromptSent &prompt, Duration reading)
{
    const double minSeconds = toSeconds(m_options.minAnnouncedPromptTime);
    m_minAnnouncedSeconds = std::max(m_minAnnouncedSeconds, minSeconds);
    if (m_peers.empty() || toSeconds(reading) < m_minAnnouncedSeconds) {
        return;
    }
    const TimePoint now = Relay::now();
    // The other routers get hardly any requests, so the announcements go to the advertised ones only.
    const auto routers = static_cast<double>(std::count_if(m_peers.begin(),
                                                           m_peers.end(),
                                                           [this](const auto &entry) {
                                                               return entry.second.linked && isAdvertised(entry.second);
                                                           })
                                             + 1);
    const double interval = routers * std::max(1.0, routers - 1) / m_options.maxPromptsReceivedPerSecond;
    const double elapsedIntervals = toSeconds(now - m_promptAnnouncedAt) / interval;
    constexpr double step = 1.1;
    m_minAnnouncedSeconds = elapsedIntervals < 1
        ? m_minAnnouncedSeconds * step
        : std::max(minSeconds, m_minAnnouncedSeconds / std::min(elapsedIntervals, step));
    m_promptAnnouncedAt = now;
    sendToAdvertised(
        {PromptTopic, encodeFleetMessage(json::array({prompt.endpoint.value, prompt.uncachedTokens, prompt.prefix}))});
}

void FleetLinks::onPromptAnnounced(const std::string &body)
{
    const json message = decodeFleetMessage(body);
    const bool wellFormed = message.is_array() && message.size() == 3 && message[0].is_string()
        && message[1].is_number_integer() && message[2].is_string();
    if (!wellFormed) {
        return;
    }
    PromptSent prompt{EndpointId{message[0].get<std::string>()}, message[1].get<Tokens>(), message[2]};
    prompt.uncachedTokens = std::max<Tokens>(0, prompt.uncachedTokens);
    recordRemotePrompt(m_relay.state().endpoints, prompt, m_relay.options().choice, Relay::now());
}

// Grows with the fleet, so that the number of messages per second at a router does not.
Duration FleetLinks::heartbeatInterval() const
{
    return heartbeatIntervalOf(isAdvertised());
}

Duration FleetLinks::heartbeatIntervalOf(bool advertised) const
{
    const auto peers = static_cast<Duration::rep>(m_peers.size());
    const Duration full =
        std::max(m_options.heartbeatInterval, m_options.heartbeatInterval * peers / m_options.maxPeersAtBaseInterval);
    return advertised ? full : full * m_options.unadvertisedHeartbeatFactor;
}

bool FleetLinks::isResponsive(const Peer &peer, TimePoint now) const
{
    return now < peer.lastMessageAt + heartbeatIntervalOf(isAdvertised(peer)) * m_options.responsiveHeartbeats;
}

void FleetLinks::dropUnresponsive(TimePoint now)
{
    std::set<HolderId> responsive;
    for (const auto &[incarnation, peer] : m_peers) {
        if (isResponsive(peer, now)) {
            responsive.insert(HolderId{peer.member.callerAddress});
        }
    }
    for (auto &[customer, holders] : m_relay.state().prepaid.peerHoldings) {
        for (auto it = holders.begin(); it != holders.end();) {
            it = responsive.count(it->first) == 0 ? holders.erase(it) : std::next(it);
        }
    }
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const Peer &peer = it->second;
        const bool expired = !peer.listed && !peer.linked && now > peer.lastMessageAt + PeerExpiry;
        if (expired) {
            m_mesh->dropPeer(peer.member.host);
        }
        it = expired ? m_peers.erase(it) : std::next(it);
    }
}

} // namespace Godwit
