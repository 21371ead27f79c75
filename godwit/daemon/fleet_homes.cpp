// The part of FleetLinks that moves tokens: which router is home to a customer, who asks whom, and what the routers
// tell each other of what they hold.

#include "godwit/base/hash.h"
#include "godwit/daemon/fleet_links.h"
#include "godwit/daemon/fleet_messages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace Godwit
{

using nlohmann::json;
using namespace internal;

namespace
{

constexpr const char *HomeHostsKey = "homes";

// More than any size of a request can have.
constexpr std::size_t MostSizeClasses = 128;

// [class, tokens a second, class, ...].
json sizesRow(const std::map<SizeClass, double> &rates)
{
    json row = json::array();
    for (const auto &[sizeClass, rate] : rates) {
        row.push_back(sizeClass);
        row.push_back(static_cast<Tokens>(rate));
    }
    return row;
}

bool areIntegers(const json::const_iterator &begin, const json::const_iterator &end)
{
    return std::all_of(begin, end, [](const json &value) {
        return value.is_number_integer();
    });
}

// Unset unless the row is one of sizesRow().
std::optional<std::map<SizeClass, double>> readSizes(const json &row)
{
    if (!row.is_array() || row.size() % 2 != 0 || row.size() > 2 * MostSizeClasses
        || !areIntegers(row.begin(), row.end())) {
        return std::nullopt;
    }
    std::map<SizeClass, double> rates;
    for (std::size_t i = 0; i < row.size(); i += 2) {
        const auto sizeClass = row[i].get<std::int64_t>();
        const auto rate = row[i + 1].get<Tokens>();
        if (sizeClass < 0 || sizeClass >= static_cast<std::int64_t>(MostSizeClasses) || rate < 0) {
            return std::nullopt;
        }
        rates[static_cast<SizeClass>(sizeClass)] = static_cast<double>(rate);
    }
    return rates;
}

} // namespace

void FleetLinks::askForTokens(const CustomerId &customer, Tokens needed)
{
    const PrepaidShare &share = m_relay.state().prepaid;
    const auto account = share.accounts.find(customer);
    if (account != share.accounts.end() && account->second.isHome) {
        askHolders(customer, needed);
    } else {
        askHome(customer, needed);
    }
}

void FleetLinks::askHome(const CustomerId &customer, Tokens needed)
{
    const TimePoint now = Relay::now();
    Peer *home = homeOf(customer, homeHosts(now));
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
    if (coming.tokens == 0) {
        coming.askedAt = now;
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

// Asks for the tokens of the next moment's requests: a customer whose callers keep to a host with a slow link would
// else be refused while its home holds plenty.
void FleetLinks::keepAhead()
{
    const Duration ahead = prefetchTime(m_exchangeTime, m_options.ahead);
    for (const auto &[customer, tokens] :
         tokensToPrefetch(m_relay.state().prepaid, ahead, m_options.ahead, Relay::now())) {
        askHome(customer, tokens);
    }
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
    auto &known = m_relay.state().prepaid.peerHoldings[customer];
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
        m_relay.requestNeededTokens();
    }
    if (anyWaits) {
        watchAnswers();
    }
}

bool FleetLinks::isServing(const Peer &peer, TimePoint now) const
{
    return peer.linked && peer.beatHeard && peer.ready && isEntry(peer) && isFresh(peer, now)
        && now >= peer.passedOverUntil;
}

double FleetLinks::leastOfLargestKind(TimePoint now) const
{
    double largest = m_options.ownCapacity;
    for (const auto &[incarnation, peer] : m_peers) {
        if (isServing(peer, now)) {
            largest = std::max(largest, peer.member.capacity);
        }
    }
    return largest * m_options.entryHosts.sameClassRatio;
}

// Few routers are homes: each writes one mark for all customers that it is home to, however many these are. Large
// hosts, since the tokens of all requests pass through them.
std::vector<FleetLinks::Peer *> FleetLinks::homeHosts(TimePoint now)
{
    const double least = leastOfLargestKind(now);
    std::vector<std::pair<std::uint64_t, Peer *>> candidates;
    if (m_relay.isReady() && isEntry() && m_options.ownCapacity >= least) {
        candidates.emplace_back(rendezvousWeight(HomeHostsKey, m_options.own.callerAddress), nullptr);
    }
    for (auto &[incarnation, peer] : m_peers) {
        if (isServing(peer, now) && peer.member.capacity >= least) {
            candidates.emplace_back(rendezvousWeight(HomeHostsKey, peer.member.callerAddress), &peer);
        }
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>());
    candidates.resize(std::min(candidates.size(), m_options.homeHosts));
    std::vector<Peer *> hosts;
    hosts.reserve(candidates.size());
    for (const auto &[weight, peer] : candidates) {
        hosts.push_back(peer);
    }
    return hosts;
}

// By rank, so that all agree without a word, and by address, so that a restart changes nothing. Routers that differ on
// it for a while cost some writes and no tokens.
FleetLinks::Peer *FleetLinks::homeOf(const CustomerId &customer, const std::vector<Peer *> &hosts) const
{
    const auto rank = [this, &customer](const Peer *peer) {
        return rendezvousWeight(customer.value,
                                peer == nullptr ? m_options.own.callerAddress : peer->member.callerAddress);
    };
    const auto best = std::max_element(hosts.begin(), hosts.end(), [&rank](const Peer *a, const Peer *b) {
        return rank(a) < rank(b);
    });
    return best == hosts.end() ? nullptr : *best;
}

// Where a fleet starts at once each router would take itself for the home of all customers, and for a reader, until it
// has heard of the others.
void FleetLinks::checkSettled(TimePoint now)
{
    if (m_settled || !m_readyAt || now < *m_readyAt + m_options.aloneFor) {
        return;
    }
    std::set<std::string> listed;
    std::set<std::string> heard;
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.listed && peer.dialled) {
            listed.insert(peer.member.callerAddress);
        }
        if (peer.beatHeard) {
            heard.insert(peer.member.callerAddress);
        }
    }
    const Duration most = m_options.aloneFor + m_options.settlePerRouter * static_cast<Duration::rep>(listed.size());
    constexpr double enough = 0.9;
    m_settled =
        static_cast<double>(heard.size()) >= enough * static_cast<double>(listed.size()) || now >= *m_readyAt + most;
}

void FleetLinks::chooseHomes()
{
    const TimePoint now = Relay::now();
    if (!m_readyAt && m_relay.isReady()) {
        m_readyAt = now;
    }
    checkSettled(now);
    PrepaidShare &share = m_relay.state().prepaid;
    int bounded = 0;
    const auto hosts = homeHosts(now);
    for (auto &[customer, account] : share.accounts) {
        bounded += account.bounded ? 1 : 0;
        const bool isHome = m_relay.isReady() && isEntry() && m_settled && homeOf(customer, hosts) == nullptr;
        if (account.bounded && account.isHome != isHome) {
            account.isHome = isHome;
            m_relay.log().write("home", {{"customer", std::string_view(customer.value)}, {"holds", isHome}});
        }
    }
    share.markWriters = std::max(1, std::min(static_cast<int>(hosts.size()), bounded));
}

// Near the end of a budget what requests have left over would lie idle at each of the routers, and be lost with it.
void FleetLinks::sendLeftovers()
{
    PrepaidShare &share = m_relay.state().prepaid;
    const auto hosts = homeHosts(Relay::now());
    for (const auto &[customer, account] : share.accounts) {
        Peer *home = account.bounded && !account.isHome && account.reserved == 0 ? homeOf(customer, hosts) : nullptr;
        const Tokens left = headroom(share, customer);
        if (home != nullptr && left > 0 && isNearEnd(share, customer)) {
            send(takeUnusedTokens(share, customer, HolderId{home->member.callerAddress}));
        }
    }
}

// What readRow() reads.
json FleetLinks::heldRow(const CustomerId &customer) const
{
    const auto &share = m_relay.state().prepaid;
    const TimePoint now = Relay::now();
    // Sizes matter near the end alone, and there are many customers in a beat.
    const bool tellsSizes = isNearEnd(share, customer);
    return json::array({headroom(share, customer),
                        unusedGrant(share, customer),
                        static_cast<Tokens>(demandPerSecond(share, customer, now)),
                        knownUnallocated(share, customer),
                        maxRemaining(share, customer),
                        share.ledgerRevision,
                        m_relay.state().platformInReach ? 0 : timeUntilLimitGrows(share, customer, now).count(),
                        tellsSizes ? sizesRow(demandBySize(share, customer, now)) : json::array()});
}

void FleetLinks::readRow(const CustomerId &customer, const HolderId &holder, const json &row)
{
    if (!row.is_array() || row.size() != 8 || !areIntegers(row.begin(), row.end() - 1)) {
        return;
    }
    const auto sizes = readSizes(row[7]);
    if (!sizes) {
        return;
    }
    PeerHolding &known = m_relay.state().prepaid.peerHoldings[customer][holder];
    known.spendable = row[0].get<Tokens>();
    known.unused = row[1].get<Tokens>();
    known.demandPerSecond = row[2].get<double>();
    known.unallocated = row[3].get<Tokens>();
    known.remaining = row[4].get<Tokens>();
    known.ledgerRevision = row[5].get<std::uint64_t>();
    known.limitGrowsAt = Relay::now() + Duration(row[6].get<Duration::rep>());
    known.demandBySize = *sizes;
}

void FleetLinks::readHeld(const json &beat, const HolderId &holder)
{
    const auto held = beat.find("held");
    if (held == beat.end() || !held->is_object()) {
        return;
    }
    for (auto &[customer, holders] : m_relay.state().prepaid.peerHoldings) {
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
    TransferRequest ask;
    ask.from = HolderId{peer.member.callerAddress};
    ask.customer = wish->customer;
    ask.needed = wish->tokens[0];
    ask.deadline = now + m_options.wishWaits;
    const auto gift = requestTransfer(share, ask);
    // Without tokens it says that the wish has arrived and has to wait.
    send(gift.value_or(TokenTransfer{ask.from, ask.customer, 0}), wish->tokens[1]);
    if (!gift && m_relay.onTokensNeeded) {
        m_relay.onTokensNeeded(ask.customer, ask.needed);
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
    if (onLag) {
        onLag(lag);
    }
    if (lag >= m_options.behindFrom) {
        if (!m_relay.mayBeStale(now)) {
            m_relay.log().write("behind", {{"lag_ms", toSeconds(lag) * 1000}});
        }
        m_relay.state().congestedAt = now;
    }
}

void FleetLinks::serveAsks()
{
    for (const TokenTransfer &gift : Godwit::serveTransferRequests(m_relay.state().prepaid, Relay::now())) {
        send(gift);
    }
}

// Counted as gone before it is sent: a message that is lost costs tokens, and none is ever there twice.
void FleetLinks::send(const TokenTransfer &gift, Tokens stamp)
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

void FleetLinks::onAsk(const Peer &peer, const std::string &body)
{
    const auto asked = readAmounts(fromBytes(body), 2);
    if (!asked) {
        return;
    }
    const TokenDemand wish{asked->tokens[1], asked->tokens[0]};
    const Tokens amount = sendTokens(m_relay.state().prepaid, asked->customer, wish, Relay::now());
    if (amount > 0) {
        send(TokenTransfer{HolderId{peer.member.callerAddress}, asked->customer, amount});
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
    if (coming.tokens > 0) {
        noteExchange(m_exchangeTime, Relay::now() - coming.askedAt);
    }
    coming.tokens = std::max<Tokens>(0, coming.tokens - given->tokens[0]);
    receiveTokens(m_relay.state().prepaid, given->customer, given->tokens[0]);
    m_relay.log().write("tokens_received",
                        {{"customer", std::string_view(given->customer.value)},
                         {"amount", given->tokens[0]},
                         {"from", std::string_view(peer.member.incarnation.value)}});
    m_relay.retryReservations();
}

} // namespace Godwit
