#include "godwit/daemon/fleet_links.h"

#include "godwit/base/cbor_shape.h"
#include "godwit/base/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <set>

namespace Godwit
{
namespace
{

using nlohmann::json;

constexpr const char *BeatTopic = "beat";
constexpr const char *AskTopic = "ask";
constexpr const char *WishTopic = "wish";
constexpr const char *GiveTopic = "give";
constexpr const char *LedgerTopic = "ledger";
constexpr const char *DocumentTopic = "document";
constexpr const char *FoundTopic = "store-found";
constexpr const char *ReadingTopic = "reading";
constexpr const char *PromptTopic = "prompt";

// Beats nest two levels deep.
constexpr std::size_t MaxDepth = 4;

// A peer that nobody lists and nobody hears is forgotten after this long.
constexpr Duration ForgetAfter = std::chrono::seconds(20);

std::string toBytes(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

// A malformed message of another version or a broken process is worth nothing: it reads as null.
json fromBytes(const std::string &bytes)
{
    if (!hasBoundedShape(bytes, MaxDepth)) {
        return {};
    }
    json value = json::from_cbor(bytes, true, false);
    return value.is_discarded() ? json() : value;
}

struct Amounts
{
    CustomerId customer;
    std::array<Tokens, 3> tokens{};
};

// A customer with `count` amounts of tokens.
std::optional<Amounts> readAmounts(const json &message, std::size_t count)
{
    if (!message.is_array() || message.size() != 1 + count || !message[0].is_string()) {
        return std::nullopt;
    }
    Amounts amounts;
    amounts.customer = CustomerId{message[0].get<std::string>()};
    for (std::size_t i = 0; i < count; ++i) {
        if (!message[i + 1].is_number_integer()) {
            return std::nullopt;
        }
        amounts.tokens[i] = message[i + 1].get<Tokens>();
    }
    return amounts;
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
        if (member.incarnation == m_options.own.incarnation) {
            continue;
        }
        Peer &peer = m_peers[member.incarnation];
        if (!peer.listed && peer.heardAt == TimePoint{}) {
            // Until its link stands the platform's word is enough.
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

void FleetLinks::askForTokens(const CustomerId &customer, Tokens needed)
{
    const PrepaidShare &share = m_relay.state().prepaid;
    const auto account = share.accounts.find(customer);
    if (account != share.accounts.end() && account->second.holdsAhead) {
        askHolders(customer, needed);
    } else {
        askHome(customer, needed);
    }
}

void FleetLinks::askHome(const CustomerId &customer, Tokens needed)
{
    const TimePoint now = Relay::now();
    Peer *home = homeOf(customer, now);
    if (home == nullptr) {
        return;
    }
    OnItsWay &coming = m_onItsWay[customer];
    if (coming.until <= now) {
        coming.tokens = 0;
    }
    const Tokens lacking = needed - headroom(m_relay.state().prepaid, customer) - coming.tokens;
    if (lacking <= 0) {
        return;
    }
    coming.tokens += lacking;
    coming.until = now + m_options.wishWaits;
    if (!home->unansweredSince) {
        home->unansweredSince = now;
    }
    const Tokens stamp = now.time_since_epoch().count();
    m_mesh->send(home->member.incarnation, {WishTopic, toBytes(json::array({customer.value, lacking, stamp}))});
    watchAnswers();
}

// A home asks those that still hold some of the budget: homes of before, or ones that another router takes for it.
void FleetLinks::askHolders(const CustomerId &customer, Tokens needed)
{
    const TimePoint now = Relay::now();
    TimePoint &askedAt = m_askedAt[customer];
    if (now < askedAt + m_options.askInterval) {
        return;
    }
    askedAt = now;
    Tokens lacking = needed - headroom(m_relay.state().prepaid, customer);
    auto &known = m_relay.state().prepaid.heldElsewhere[customer];
    for (auto &[incarnation, peer] : m_peers) {
        const auto entry = known.find(HolderId{peer.member.callerAddress});
        if (lacking > 0 && peer.linked && isFresh(peer, now) && entry != known.end() && entry->second.spendable > 0) {
            const Tokens part = std::min(lacking, entry->second.spendable);
            m_mesh->send(incarnation, {AskTopic, toBytes(json::array({customer.value, part, part}))});
            lacking -= part;
            // Its next beat puts the figure right.
            entry->second.spendable -= part;
        }
    }
}

void FleetLinks::watchAnswers()
{
    if (std::exchange(m_watchingAnswers, true)) {
        return;
    }
    m_answerTimer.expires_after(m_options.answerLimit);
    m_answerTimer.async_wait([this](const boost::system::error_code &error) {
        m_watchingAnswers = false;
        if (!error) {
            passOverSilent();
        }
    });
}

// The requests that wait for a silent home ask the next one.
void FleetLinks::passOverSilent()
{
    const TimePoint now = Relay::now();
    bool anyWaits = false;
    bool anySilent = false;
    for (auto &[incarnation, peer] : m_peers) {
        if (!peer.unansweredSince) {
            continue;
        }
        if (now < *peer.unansweredSince + m_options.answerLimit) {
            anyWaits = true;
            continue;
        }
        anySilent = true;
        peer.unansweredSince.reset();
        peer.passedOverUntil = now + m_options.passOver;
        m_relay.log().write("home_silent", {{"peer", std::string_view(incarnation.value)}});
    }
    if (anySilent) {
        m_onItsWay.clear();
        chooseHomes();
        m_relay.askAgain();
    }
    if (anyWaits) {
        watchAnswers();
    }
}

bool FleetLinks::mayBeHome(const Peer &peer, TimePoint now) const
{
    return peer.linked && peer.ready && isEntry(peer) && isFresh(peer, now) && now >= peer.passedOverUntil;
}

// By rank, so that all agree without a word, and by address, so that a restart changes nothing. Routers that differ on
// it for a while cost some writes and no tokens.
FleetLinks::Peer *FleetLinks::homeOf(const CustomerId &customer, TimePoint now)
{
    Peer *best = nullptr;
    const bool mayBeHere = m_relay.isReady() && isEntry();
    std::uint64_t bestRank = mayBeHere ? rendezvousWeight(customer.value, m_options.own.callerAddress) : 0;
    for (auto &[incarnation, peer] : m_peers) {
        const std::uint64_t rank = rendezvousWeight(customer.value, peer.member.callerAddress);
        if (rank > bestRank && mayBeHome(peer, now)) {
            best = &peer;
            bestRank = rank;
        }
    }
    return best;
}

void FleetLinks::chooseHomes()
{
    const TimePoint now = Relay::now();
    if (!m_readyAt && m_relay.isReady()) {
        m_readyAt = now;
    }
    const bool knowsOthers = std::any_of(m_peers.begin(), m_peers.end(), [this, now](const auto &entry) {
        return isFresh(entry.second, now);
    });
    const bool mayBeAlone = knowsOthers || (m_readyAt && now >= *m_readyAt + m_options.aloneFor);
    PrepaidShare &share = m_relay.state().prepaid;
    std::size_t bounded = 0;
    for (auto &[customer, account] : share.accounts) {
        bounded += account.bounded ? 1 : 0;
        const bool isHome = m_relay.isReady() && isEntry() && mayBeAlone && homeOf(customer, now) == nullptr;
        if (account.bounded && account.holdsAhead != isHome) {
            account.holdsAhead = isHome;
            m_relay.log().write("home", {{"customer", std::string_view(customer.value)}, {"holds", isHome}});
        }
    }
    share.markWriters = std::max(1, std::min(liveCount(), static_cast<int>(bounded)));
}

void FleetLinks::shareDocument(std::uint64_t version, const std::string &text)
{
    m_documentVersion = version;
    m_documentAt = Relay::now();
    m_document = text;
}

// At once when it changes: until the others know, each of the routers that start together takes itself for the home of
// all customers, and requests go on to a home that is leaving.
void FleetLinks::tellReadiness()
{
    if (m_readyTold != m_relay.isReady()) {
        beat();
    }
}

void FleetLinks::beat()
{
    m_readyTold = m_relay.isReady();
    m_mesh->broadcast({BeatTopic, beatBody()});
}

void FleetLinks::tellStoreFound()
{
    m_mesh->broadcast({FoundTopic, {}});
}

void FleetLinks::tellReading(const std::string &prefix, std::uint64_t digest)
{
    m_mesh->broadcast({ReadingTopic, toBytes(json::array({prefix, digest}))});
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
    const double least = leastListedCapacity(std::move(hosts), m_options.entryHosts);
    if (least != std::exchange(m_leastEntry, least)) {
        m_relay.log().write(
            "entry_hosts", {{"least_capacity", least}, {"load", m_fleetLoad}, {"own_capacity", m_options.ownCapacity}});
    }
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

std::vector<CallerAddress> FleetLinks::callerAddresses() const
{
    const TimePoint now = Relay::now();
    std::vector<CallerAddress> addresses;
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.ready && isEntry(peer) && isFresh(peer, now)) {
            addresses.push_back({peer.member.callerAddress, peer.member.dataCentre});
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

// Near the end of a budget what requests have left over would lie idle at each of the routers, and be lost with it.
void FleetLinks::sendLeftovers()
{
    PrepaidShare &share = m_relay.state().prepaid;
    const TimePoint now = Relay::now();
    for (const auto &[customer, account] : share.accounts) {
        Peer *home = account.bounded && !account.holdsAhead && account.reserved == 0 ? homeOf(customer, now) : nullptr;
        const Tokens left = headroom(share, customer);
        const auto most = static_cast<Tokens>(m_options.leftoversBelow * static_cast<double>(account.total));
        if (home != nullptr && left > 0 && mayRemain(share, customer) < most) {
            send(takeLeftovers(share, customer, HolderId{home->member.callerAddress}));
        }
    }
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
        const bool tells = account.holdsAhead || account.granted > 0;
        if (account.bounded && tells && held.size() < m_options.maxCustomersInBeat) {
            held[customer.value] = heldRow(customer);
        }
    }
    return toBytes(json{{"version", m_documentVersion},
                        {"ready", m_relay.isReady()},
                        {"load", m_load},
                        {"capacity", m_options.ownCapacity},
                        {"held", std::move(held)}});
}

// What readRow() reads.
json FleetLinks::heldRow(const CustomerId &customer) const
{
    const auto &share = m_relay.state().prepaid;
    const TimePoint now = Relay::now();
    return json::array({headroom(share, customer),
                        unusedGrant(share, customer),
                        static_cast<Tokens>(demandPerSecond(share, customer, now)),
                        roomKnown(share, customer),
                        static_cast<Tokens>(smallDemandPerSecond(share, customer, now)),
                        mayRemain(share, customer),
                        share.ledgerRevision,
                        m_relay.state().platformInReach ? 0 : untilTokensGrow(share, customer, now).count()});
}

void FleetLinks::readRow(const CustomerId &customer, const HolderId &holder, const json &row)
{
    const bool wellFormed =
        row.is_array() && row.size() == 8 && std::all_of(row.begin(), row.end(), [](const json &value) {
            return value.is_number_integer();
        });
    if (!wellFormed) {
        return;
    }
    HeldElsewhere &known = m_relay.state().prepaid.heldElsewhere[customer][holder];
    known.spendable = row[0].get<Tokens>();
    known.unused = row[1].get<Tokens>();
    known.demandPerSecond = row[2].get<double>();
    known.room = row[3].get<Tokens>();
    known.smallDemandPerSecond = row[4].get<double>();
    known.remaining = row[5].get<Tokens>();
    known.ledgerRevision = row[6].get<std::uint64_t>();
    known.growsAt = Relay::now() + Duration(row[7].get<Duration::rep>());
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
        onAsk(from, envelope.body);
    } else if (envelope.topic == WishTopic) {
        onWish(found->second, envelope.body);
    } else if (envelope.topic == GiveTopic) {
        onGive(found->second, envelope.body);
    } else if (envelope.topic == LedgerTopic) {
        onLedger(envelope.body);
    } else if (envelope.topic == DocumentTopic && onDocument) {
        onDocument(envelope.body);
    } else if (envelope.topic == FoundTopic && onStoreFound) {
        onStoreFound();
    } else if (envelope.topic == PromptTopic) {
        onPromptTold(envelope.body);
    } else if (envelope.topic == ReadingTopic) {
        onReadingTold(envelope.body);
    }
}

void FleetLinks::onBeat(Peer &peer, const std::string &body)
{
    const json beat = fromBytes(body);
    if (!beat.is_object()) {
        return;
    }
    const auto ready = beat.find("ready");
    const bool wasReady = peer.ready;
    peer.ready = ready != beat.end() && ready->is_boolean() && ready->get<bool>();
    const auto version = beat.find("version");
    if (version != beat.end() && version->is_number_unsigned()) {
        peer.documentVersion = version->get<std::uint64_t>();
    }
    const auto load = beat.find("load");
    peer.load = load != beat.end() && load->is_number() ? load->get<double>() : 0;
    const auto capacity = beat.find("capacity");
    if (capacity != beat.end() && capacity->is_number()) {
        peer.member.capacity = capacity->get<double>();
    }
    if (peer.ready != wasReady) {
        chooseHomes();
        m_relay.askAgain();
    }
    readHeld(beat, HolderId{peer.member.callerAddress});
    if (mayOfferDocument(peer)) {
        offerDocument(peer);
    }
}

bool FleetLinks::mayOfferDocument(const Peer &peer)
{
    const TimePoint now = Relay::now();
    if (peer.documentVersion >= m_documentVersion || now < m_documentAt + m_options.offerDocumentAfter
        || now < peer.offeredAt + m_options.offerAgainAfter) {
        return false;
    }
    const auto others = std::count_if(m_peers.begin(), m_peers.end(), [this, now](const auto &entry) {
        return entry.second.linked && isFresh(entry.second, now) && entry.second.documentVersion >= m_documentVersion;
    });
    // By lot, so that those who have it need no word with each other.
    constexpr std::uint64_t draws = 1024;
    const double part = m_options.documentOffers / static_cast<double>(1 + others);
    return static_cast<double>(m_relay.random() % draws) < part * static_cast<double>(draws);
}

void FleetLinks::readHeld(const json &beat, const HolderId &holder)
{
    const auto held = beat.find("held");
    if (held == beat.end() || !held->is_object()) {
        return;
    }
    for (auto &[customer, holders] : m_relay.state().prepaid.heldElsewhere) {
        if (held->find(customer.value) == held->end()) {
            holders.erase(holder);
        }
    }
    for (const auto &[customer, row] : held->items()) {
        readRow(CustomerId{customer}, holder, row);
    }
}

void FleetLinks::onWish(const Peer &peer, const std::string &body)
{
    const auto wish = readAmounts(fromBytes(body), 2);
    if (!wish || wish->tokens[0] <= 0) {
        return;
    }
    const TimePoint now = Relay::now();
    PrepaidShare &share = m_relay.state().prepaid;
    noteRequest(share, wish->customer, wish->tokens[0], now);
    TokenAsk ask;
    ask.from = HolderId{peer.member.callerAddress};
    ask.customer = wish->customer;
    ask.needed = wish->tokens[0];
    ask.until = now + m_options.wishWaits;
    const auto gift = askTokens(share, ask);
    // Without tokens it says that the wish has arrived and has to wait.
    send(gift.value_or(TokenGift{ask.from, ask.customer, 0}), wish->tokens[1]);
    if (!gift && m_relay.onTokensWanted) {
        m_relay.onTokensWanted(ask.customer, ask.needed);
    }
}

// A host whose link is choked hears of endpoints that leave, and reaches those that it chooses, seconds late: it would
// send them requests that they must not get any more. Answers that are late, rather than missing, tell it from a host
// that is cut off, which still serves what it can reach.
void FleetLinks::noteLag(Tokens stamp)
{
    if (stamp == 0) {
        return;
    }
    const TimePoint now = Relay::now();
    const Duration lag = now.time_since_epoch() - Duration(stamp);
    if (lag >= m_options.behindFrom) {
        if (!m_relay.isBehind(now)) {
            m_relay.log().write("behind", {{"lag_ms", toSeconds(lag) * 1000}});
        }
        m_relay.state().behindAt = now;
    }
}

void FleetLinks::serveAsks()
{
    for (const TokenGift &gift : Godwit::serveAsks(m_relay.state().prepaid, Relay::now())) {
        send(gift);
    }
}

// Counted as gone before it is sent: a message that is lost costs tokens, and none is ever there twice.
void FleetLinks::send(const TokenGift &gift, Tokens stamp)
{
    const auto peer = std::find_if(m_peers.begin(), m_peers.end(), [&gift](const auto &entry) {
        return entry.second.linked && entry.second.member.callerAddress == gift.to.value;
    });
    const std::string body = toBytes(json::array({gift.customer.value, gift.amount, heldRow(gift.customer), stamp}));
    if (peer == m_peers.end() || !m_mesh->send(peer->first, {GiveTopic, body})) {
        // It has not left this process.
        receiveTokens(m_relay.state().prepaid, gift.customer, gift.amount);
    }
}

void FleetLinks::onAsk(const Incarnation &from, const std::string &body)
{
    const auto asked = readAmounts(fromBytes(body), 2);
    const auto peer = m_peers.find(from);
    if (!asked || peer == m_peers.end()) {
        return;
    }
    const TokenWish wish{asked->tokens[1], asked->tokens[0]};
    const Tokens amount = sendTokens(m_relay.state().prepaid, asked->customer, wish, Relay::now());
    if (amount > 0) {
        send(TokenGift{HolderId{peer->second.member.callerAddress}, asked->customer, amount});
    }
}

void FleetLinks::onGive(Peer &peer, const std::string &body)
{
    const json message = fromBytes(body);
    if (!message.is_array() || message.size() != 4 || !message[3].is_number_integer()) {
        return;
    }
    noteLag(message[3].get<Tokens>());
    const auto given = readAmounts(json::array({message[0], message[1]}), 1);
    if (!given || given->tokens[0] < 0) {
        return;
    }
    peer.unansweredSince.reset();
    readRow(given->customer, HolderId{peer.member.callerAddress}, message[2]);
    if (given->tokens[0] == 0) {
        return;
    }
    OnItsWay &coming = m_onItsWay[given->customer];
    coming.tokens = std::max<Tokens>(0, coming.tokens - given->tokens[0]);
    receiveTokens(m_relay.state().prepaid, given->customer, given->tokens[0]);
    m_relay.log().write("tokens_received",
                        {{"customer", std::string_view(given->customer.value)},
                         {"amount", given->tokens[0]},
                         {"from", std::string_view(peer.member.incarnation.value)}});
    m_relay.tokensCame();
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
        onLedgerHeard(m_relay.state().prepaid, std::move(*ledger), message[0].get<std::uint64_t>());
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
    tellEntries({PromptTopic, toBytes(json::array({prompt.endpoint.value, prompt.unread, prompt.part}))});
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
    prompt.unread = std::max<Tokens>(0, prompt.unread);
    notePromptElsewhere(m_relay.state().endpoints, prompt, m_relay.options().choice, Relay::now());
}

void FleetLinks::onReadingTold(const std::string &body)
{
    const json message = fromBytes(body);
    const bool wellFormed =
        message.is_array() && message.size() == 2 && message[0].is_string() && message[1].is_number_unsigned();
    if (wellFormed && onReading) {
        onReading(message[0].get<std::string>(), message[1].get<std::uint64_t>());
    }
}

void FleetLinks::offerDocument(Peer &peer)
{
    if (peer.linked && !m_document.empty()) {
        peer.offeredAt = Relay::now();
        m_mesh->send(peer.member.incarnation, {DocumentTopic, m_document});
    }
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
    for (auto &[customer, holders] : m_relay.state().prepaid.heldElsewhere) {
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
