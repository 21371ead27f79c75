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

// Ranks the routers by address, so that a restart changes nothing.
constexpr std::string_view HolderRank = "holds-ahead";

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
        return member;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

FleetLinks::FleetLinks(boost::asio::io_context &io, Relay &relay, FleetLinksOptions options)
    : m_relay(relay)
    , m_options(std::move(options))
    , m_timer(io)
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
    m_relay.state().prepaid.holdsAhead = false;
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
        m_mesh->connectTo(member.host, member.peerAddress);
    }
    chooseHolders();
}

void FleetLinks::askForTokens(const CustomerId &customer, Tokens lacking, bool again)
{
    const TimePoint now = Relay::now();
    const bool holdsAhead = m_relay.state().prepaid.holdsAhead;
    TokenWish wish;
    wish.lacking = lacking;
    wish.wanted = lacking;
    if (!holdsAhead && !again) {
        if (const Peer *holder = holderFor(customer, lacking, now)) {
            ask(*holder, customer, wish);
            return;
        }
    }
    TimePoint &askedAt = m_askedAt[customer];
    if (now < askedAt + m_options.askInterval) {
        return;
    }
    askedAt = now;
    if (holdsAhead) {
        const double demand = demandPerSecond(m_relay.state().prepaid, customer, now);
        wish.wanted = std::max(lacking, static_cast<Tokens>(demand * toSeconds(m_options.askFor)));
    }
    // Those that hold most are asked first, and as many as it takes for what waits.
    auto &known = m_relay.state().prepaid.heldElsewhere[customer];
    for (int asked = 0; (asked < m_options.askAtMost && wish.wanted > 0) || wish.lacking > 0; ++asked) {
        const Peer *best = nullptr;
        Tokens most = 0;
        for (const auto &[incarnation, peer] : m_peers) {
            const auto entry = known.find(HolderId{peer.member.callerAddress});
            if (peer.linked && isFresh(peer, now) && entry != known.end() && entry->second.spendable > most) {
                best = &peer;
                most = entry->second.spendable;
            }
        }
        if (best == nullptr) {
            return;
        }
        ask(*best, customer, wish);
        // It gives half of what it has, or all for what waits; its next beat puts the figure right.
        const Tokens expected = std::max(std::min(wish.wanted, most / 2), std::min(wish.lacking, most));
        known[HolderId{best->member.callerAddress}].spendable = most - expected - 1;
        wish.wanted = std::max<Tokens>(0, wish.wanted - expected);
        wish.lacking = std::max<Tokens>(0, wish.lacking - expected);
    }
}

// Any of those that hold enough, by lot: what all of them were last heard to hold is old by a beat, and the one with
// the most would get all questions at once.
FleetLinks::Peer *FleetLinks::holderFor(const CustomerId &customer, Tokens lacking, TimePoint now)
{
    auto &known = m_relay.state().prepaid.heldElsewhere[customer];
    Peer *chosen = nullptr;
    std::uint64_t seen = 0;
    for (auto &[incarnation, peer] : m_peers) {
        const auto entry = known.find(HolderId{peer.member.callerAddress});
        const bool suits =
            peer.linked && isFresh(peer, now) && entry != known.end() && entry->second.spendable >= lacking;
        if (suits && m_relay.random() % ++seen == 0) {
            chosen = &peer;
        }
    }
    if (chosen != nullptr) {
        known[HolderId{chosen->member.callerAddress}].spendable -= lacking;
    }
    return chosen;
}

void FleetLinks::ask(const Peer &peer, const CustomerId &customer, const TokenWish &wish)
{
    // Routers that hold ahead draw for the requests of those that don't.
    const int isDemand = m_relay.state().prepaid.holdsAhead ? 0 : 1;
    m_mesh->send(peer.member.incarnation,
                 {AskTopic, toBytes(json::array({customer.value, wish.wanted, wish.lacking, isDemand}))});
}

// Which routers hold tokens ahead. Routers that differ on it for a while cost some writes and no tokens.
void FleetLinks::chooseHolders()
{
    const TimePoint now = Relay::now();
    const auto rankOf = [](const std::string &address) {
        return rendezvousWeight(HolderRank, address);
    };
    const std::uint64_t own = rankOf(m_options.own.callerAddress);
    std::vector<std::uint64_t> ranks{own};
    for (const auto &[incarnation, peer] : m_peers) {
        if (isFresh(peer, now)) {
            ranks.push_back(rankOf(peer.member.callerAddress));
        }
    }
    const std::size_t holders = std::min(ranks.size(), m_options.maxHolders);
    std::nth_element(
        ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(holders - 1), ranks.end(), std::greater<>());
    const std::uint64_t least = ranks[holders - 1];
    for (auto &[incarnation, peer] : m_peers) {
        peer.holdsAhead = rankOf(peer.member.callerAddress) >= least;
    }
    if (!m_readyAt && m_relay.isReady()) {
        m_readyAt = now;
    }
    const bool mayBeAlone = ranks.size() > 1 || (m_readyAt && now >= *m_readyAt + m_options.aloneFor);
    const bool holdsAhead = own >= least && mayBeAlone;
    PrepaidShare &share = m_relay.state().prepaid;
    share.holders = static_cast<int>(holders);
    if (share.holdsAhead != holdsAhead) {
        share.holdsAhead = holdsAhead;
        m_relay.log().write("holds_ahead",
                            {{"holds", share.holdsAhead}, {"holders", static_cast<std::int64_t>(holders)}});
    }
}

void FleetLinks::shareDocument(std::uint64_t version, const std::string &text)
{
    m_documentVersion = version;
    m_documentAt = Relay::now();
    m_document = text;
}

void FleetLinks::beat()
{
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

std::vector<CallerAddress> FleetLinks::callerAddresses() const
{
    const TimePoint now = Relay::now();
    std::vector<CallerAddress> addresses;
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.ready && isFresh(peer, now)) {
            addresses.push_back({peer.member.callerAddress, peer.member.dataCentre});
        }
    }
    return addresses;
}

int FleetLinks::liveCount() const
{
    const TimePoint now = Relay::now();
    return 1 + static_cast<int>(std::count_if(m_peers.begin(), m_peers.end(), [this, now](const auto &entry) {
               return isFresh(entry.second, now);
           }));
}

void FleetLinks::armBeat()
{
    m_timer.expires_after(m_peers.empty() ? m_options.aloneInterval : beatInterval());
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_relay.state().liveRouters = liveCount();
        forgetSilent(Relay::now());
        chooseHolders();
        beat();
        armBeat();
    });
}

std::string FleetLinks::beatBody() const
{
    const auto &share = m_relay.state().prepaid;
    const TimePoint now = Relay::now();
    json held = json::object();
    for (const auto &[customer, account] : share.accounts) {
        if (account.bounded && share.holdsAhead && held.size() < m_options.maxCustomersInBeat) {
            held[customer.value] = json::array({headroom(share, customer),
                                                unusedGrant(share, customer),
                                                static_cast<Tokens>(demandPerSecond(share, customer, now)),
                                                roomKnown(share, customer),
                                                static_cast<Tokens>(smallDemandPerSecond(share, customer, now))});
        }
    }
    return toBytes(json{{"version", m_documentVersion},
                        {"ready", m_relay.isReady()},
                        {"held", std::move(held)},
                        {"ledger", share.ledgerRevision}});
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
    } else if (envelope.topic == GiveTopic) {
        onGive(from, envelope.body);
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
    peer.ready = ready != beat.end() && ready->is_boolean() && ready->get<bool>();
    const auto version = beat.find("version");
    if (version != beat.end() && version->is_number_unsigned()) {
        peer.documentVersion = version->get<std::uint64_t>();
    }
    readHeld(beat, HolderId{peer.member.callerAddress});
    if (mayOfferDocument(peer)) {
        offerDocument(peer);
    }
}

bool FleetLinks::mayOfferDocument(const Peer &peer)
{
    const TimePoint now = Relay::now();
    if (peer.documentVersion >= m_documentVersion || now < m_documentAt + m_options.offerDocumentAfter) {
        return false;
    }
    const auto others = std::count_if(m_peers.begin(), m_peers.end(), [this, now](const auto &entry) {
        return isFresh(entry.second, now) && entry.second.documentVersion >= m_documentVersion;
    });
    // By lot, so that those who have it need no word with each other.
    constexpr std::uint64_t draws = 1024;
    const double part = m_options.documentOffers / static_cast<double>(1 + others);
    return static_cast<double>(m_relay.random() % draws) < part * static_cast<double>(draws);
}

void FleetLinks::readHeld(const json &beat, const HolderId &holder)
{
    const auto held = beat.find("held");
    const auto ledger = beat.find("ledger");
    if (held == beat.end() || !held->is_object() || ledger == beat.end() || !ledger->is_number_unsigned()) {
        return;
    }
    for (const auto &[customer, row] : held->items()) {
        const bool wellFormed =
            row.is_array() && row.size() == 5 && std::all_of(row.begin(), row.end(), [](const json &value) {
                return value.is_number_integer();
            });
        if (wellFormed) {
            HeldElsewhere &known = m_relay.state().prepaid.heldElsewhere[CustomerId{customer}][holder];
            known.spendable = row[0].get<Tokens>();
            known.unused = row[1].get<Tokens>();
            known.demandPerSecond = row[2].get<double>();
            known.room = row[3].get<Tokens>();
            known.smallDemandPerSecond = row[4].get<double>();
            known.ledgerRevision = ledger->get<std::uint64_t>();
        }
    }
}

void FleetLinks::onAsk(const Incarnation &from, const std::string &body)
{
    const auto asked = readAmounts(fromBytes(body), 3);
    if (!asked) {
        return;
    }
    const TokenWish wish{asked->tokens[1], asked->tokens[0]};
    if (asked->tokens[2] != 0) {
        noteRequest(m_relay.state().prepaid, asked->customer, wish.lacking, Relay::now());
    }
    const Tokens amount = sendTokens(m_relay.state().prepaid, asked->customer, wish, Relay::now());
    // Counted as gone before it is sent: a message that is lost costs tokens, and none is ever there twice.
    if (amount > 0) {
        m_mesh->send(from, {GiveTopic, toBytes(json::array({asked->customer.value, amount}))});
    }
}

void FleetLinks::onGive(const Incarnation &from, const std::string &body)
{
    const auto given = readAmounts(fromBytes(body), 1);
    if (!given || given->tokens[0] <= 0) {
        return;
    }
    receiveTokens(m_relay.state().prepaid, given->customer, given->tokens[0]);
    m_relay.log().write("tokens_received",
                        {{"customer", std::string_view(given->customer.value)},
                         {"amount", given->tokens[0]},
                         {"from", std::string_view(from.value)}});
    m_relay.tokensCame();
}

void FleetLinks::tellLedger(std::uint64_t revision, const std::string &ledger)
{
    if (ledger.size() > m_options.maxSharedLedgerBytes) {
        return;
    }
    const std::string body = toBytes(json::array({revision, ledger}));
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.linked && peer.holdsAhead) {
            m_mesh->send(incarnation, {LedgerTopic, body});
        }
    }
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
    const auto routers = static_cast<double>(m_relay.state().liveRouters);
    const double pause = routers * std::max(1.0, routers - 1) / m_options.promptsHeardPerSecond;
    const double pauses = toSeconds(now - m_promptToldAt) / pause;
    constexpr double step = 1.1;
    m_toldFrom = pauses < 1 ? m_toldFrom * step : std::max(least, m_toldFrom / std::min(pauses, step));
    m_promptToldAt = now;
    m_mesh->broadcast({PromptTopic, toBytes(json::array({prompt.endpoint.value, prompt.unread, prompt.part}))});
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

void FleetLinks::offerDocument(const Peer &peer)
{
    if (peer.linked && !m_document.empty()) {
        m_mesh->send(peer.member.incarnation, {DocumentTopic, m_document});
    }
}

// Grows with the fleet, so that a router's messages a second do not.
Duration FleetLinks::beatInterval() const
{
    const auto peers = static_cast<Duration::rep>(m_peers.size());
    return std::max(m_options.beatInterval, m_options.beatInterval * peers / m_options.peersAtFullRate);
}

bool FleetLinks::isFresh(const Peer &peer, TimePoint now) const
{
    return now < peer.heardAt + beatInterval() * m_options.freshBeats;
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
