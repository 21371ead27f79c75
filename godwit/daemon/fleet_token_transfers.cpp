// The part of FleetLinks that moves tokens between routers: which router is the home of a customer, requests for
// tokens, transfers, and the exchange of what each router holds.

#include "godwit/base/hash.h"
#include "godwit/base/milliseconds.h"
#include "godwit/daemon/fleet_links.h"
#include "godwit/daemon/fleet_messages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace Godwit
{

using nlohmann::json;
using namespace internal;

namespace
{

constexpr const char *HomeHostsKey = "homes";

// Upper bound on decoded size classes; no request size reaches it.
constexpr std::size_t MaxSizeClasses = 128;

// Longer exchanges are recorded as this. The exchange with a home that was frozen for seconds would otherwise prolong
// waits and prefetches for dozens of exchanges.
constexpr Duration MaxExchangeTime = std::chrono::milliseconds(500);

// Encoded as [class, tokens per second, class, ...].
json encodeSizes(const std::map<SizeClass, double> &rates)
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

// Decodes the result of encodeSizes(); nullopt if malformed.
std::optional<std::map<SizeClass, double>> decodeSizes(const json &row)
{
    if (!row.is_array() || row.size() % 2 != 0 || row.size() > 2 * MaxSizeClasses
        || !areIntegers(row.begin(), row.end())) {
        return std::nullopt;
    }
    std::map<SizeClass, double> rates;
    for (std::size_t i = 0; i < row.size(); i += 2) {
        const auto sizeClass = row[i].get<std::int64_t>();
        const auto rate = row[i + 1].get<Tokens>();
        if (sizeClass < 0 || sizeClass >= static_cast<std::int64_t>(MaxSizeClasses) || rate < 0) {
            return std::nullopt;
        }
        rates[static_cast<SizeClass>(sizeClass)] = static_cast<double>(rate);
    }
    return rates;
}

} // namespace

void FleetLinks::requestTokens(const CustomerId &customer, Tokens needed)
{
    const PrepaidShare &share = m_relay.state().prepaid;
    const auto account = share.accounts.find(customer);
    if (account != share.accounts.end() && account->second.isHome) {
        reclaimFromHolders(customer, needed);
    } else {
        requestFromHome(customer, needed);
    }
}

void FleetLinks::requestFromHome(const CustomerId &customer, Tokens needed)
{
    const TimePoint now = Relay::now();
    Peer *home = homeOf(customer, homeRouters(now));
    if (home == nullptr) {
        return;
    }
    PendingTokens &pending = m_pendingTokens[customer];
    if (pending.expiresAt <= now) {
        pending.tokens = 0;
    }
    const Tokens lacking = needed - headroom(m_relay.state().prepaid, customer) - pending.tokens;
    if (lacking <= 0) {
        return;
    }
    if (pending.tokens == 0) {
        pending.requestedAt = now;
    }
    pending.tokens += lacking;
    pending.expiresAt = now + m_options.tokenRequestTimeout;
    if (!home->unansweredSince) {
        home->unansweredSince = now;
    }
    const Tokens timestamp = now.time_since_epoch().count();
    m_mesh->send(home->member.incarnation,
                 {TokenRequestTopic, encodeFleetMessage(json::array({customer.value, lacking, timestamp}))});
    armResponseTimer();
}

// Requests the tokens that upcoming requests will need. Without the prefetch a customer whose callers use only a host
// with a slow link would be refused while its home has plenty of tokens.
void FleetLinks::prefetchTokens()
{
    const Duration horizon = prefetchTime(m_relay.state().tokenExchange, m_options.prefetch);
    for (const auto &[customer, tokens] :
         tokensToPrefetch(m_relay.state().prepaid, horizon, m_options.prefetch, Relay::now())) {
        requestFromHome(customer, tokens);
    }
}

// A home reclaims tokens from routers that still hold some: former homes, or routers that another router takes for the
// home.
void FleetLinks::reclaimFromHolders(const CustomerId &customer, Tokens needed)
{
    const TimePoint now = Relay::now();
    TimePoint &reclaimedAt = m_reclaimedAt[customer];
    if (now < reclaimedAt + m_options.reclaimInterval) {
        return;
    }
    reclaimedAt = now;
    Tokens lacking = needed - headroom(m_relay.state().prepaid, customer);
    auto &known = m_relay.state().prepaid.peerHoldings[customer];
    for (auto &[incarnation, peer] : m_peers) {
        const auto entry = known.find(HolderId{peer.member.callerAddress});
        if (lacking > 0 && peer.linked && isResponsive(peer, now) && entry != known.end()
            && entry->second.spendable > 0) {
            const Tokens part = std::min(lacking, entry->second.spendable);
            m_mesh->send(incarnation,
                         {TokenReclaimTopic, encodeFleetMessage(json::array({customer.value, part, part}))});
            lacking -= part;
            // The peer's next heartbeat corrects this estimate.
            entry->second.spendable -= part;
        }
    }
}

std::optional<TimePoint> FleetLinks::responseDeadlineOf(const Peer &peer) const
{
    if (!peer.unansweredSince) {
        return std::nullopt;
    }
    return responseDeadline(*peer.unansweredSince,
                            m_homesKeptUntil,
                            homeResponseTimeout(m_responseTime, m_options.tokenRequestTimeout, m_options.homeResponse));
}

void FleetLinks::armResponseTimer()
{
    std::optional<TimePoint> earliest;
    for (const auto &[incarnation, peer] : m_peers) {
        const auto deadline = responseDeadlineOf(peer);
        earliest = deadline && earliest ? std::min(*deadline, *earliest) : (deadline ? deadline : earliest);
    }
    if (!earliest || std::exchange(m_responseTimerArmed, true)) {
        return;
    }
    m_responseTimer.expires_at(*earliest);
    m_responseTimer.async_wait([this](const boost::system::error_code &error) {
        m_responseTimerArmed = false;
        if (!error) {
            skipUnresponsiveHomes();
        }
    });
}

// Excludes homes that did not respond in time, and repeats the waiting requests at the next home.
void FleetLinks::skipUnresponsiveHomes()
{
    const TimePoint now = Relay::now();
    bool anyUnresponsive = false;
    for (auto &[incarnation, peer] : m_peers) {
        const auto deadline = responseDeadlineOf(peer);
        if (!deadline || now < *deadline) {
            continue;
        }
        anyUnresponsive = true;
        const auto waited = toMilliseconds(now - *std::exchange(peer.unansweredSince, std::nullopt));
        peer.skippedUntil = now + m_options.homeResponse.skipPeriod;
        m_relay.log().write("home_silent", {{"peer", std::string_view(incarnation.value)}, {"waited_ms", waited}});
    }
    if (anyUnresponsive) {
        // Answers of homes that are kept are still expected.
        if (!keepSilentHomes(now)) {
            m_pendingTokens.clear();
        }
        chooseHomes();
        m_relay.requestNeededTokens();
    }
    armResponseTimer();
}

bool FleetLinks::keepSilentHomes(TimePoint now)
{
    std::vector<ChosenHome> homes;
    for (const Peer *peer : homeRouters(now, true)) {
        homes.push_back(peer == nullptr ? ChosenHome{true, {}} : ChosenHome{false, peer->skippedUntil});
    }
    if (!areAllHomesSkipped(homes, now)) {
        return false;
    }
    for (auto &[incarnation, peer] : m_peers) {
        peer.skippedUntil = {};
    }
    m_homesKeptUntil = now + m_options.homeResponse.keepPeriod;
    m_relay.log().write("homes_kept",
                        {{"homes", static_cast<std::int64_t>(homes.size())},
                         {"for_ms", toMilliseconds(m_options.homeResponse.keepPeriod)}});
    return true;
}

bool FleetLinks::isServing(const Peer &peer, TimePoint now) const
{
    return canBeHome(peer, now, false);
}

bool FleetLinks::canBeHome(const Peer &peer, TimePoint now, bool withSkipped) const
{
    return peer.linked && peer.heartbeatReceived && peer.ready && isAdvertised(peer) && isResponsive(peer, now)
        && (withSkipped || now >= peer.skippedUntil);
}

double FleetLinks::minLargestClassCapacity(TimePoint now, bool withSkipped) const
{
    double largest = m_options.ownCapacity;
    for (const auto &[incarnation, peer] : m_peers) {
        if (canBeHome(peer, now, withSkipped)) {
            largest = std::max(largest, peer.member.capacity);
        }
    }
    return largest * m_options.advertisedHosts.sameClassRatio;
}

// Few routers are homes: each writes one mark for all customers whose home it is, however many these are. Homes are on
// large hosts, since the tokens of all requests pass through them.
std::vector<FleetLinks::Peer *> FleetLinks::homeRouters(TimePoint now, bool withSkipped)
{
    const double minCapacity = minLargestClassCapacity(now, withSkipped);
    std::vector<std::pair<std::uint64_t, Peer *>> candidates;
    if (m_relay.isReady() && isAdvertised() && m_options.ownCapacity >= minCapacity) {
        candidates.emplace_back(rendezvousWeight(HomeHostsKey, m_options.own.callerAddress), nullptr);
    }
    for (auto &[incarnation, peer] : m_peers) {
        if (canBeHome(peer, now, withSkipped) && peer.member.capacity >= minCapacity) {
            candidates.emplace_back(rendezvousWeight(HomeHostsKey, peer.member.callerAddress), &peer);
        }
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>());
    candidates.resize(std::min(candidates.size(), m_options.homeCount));
    std::vector<Peer *> hosts;
    hosts.reserve(candidates.size());
    for (const auto &[weight, peer] : candidates) {
        hosts.push_back(peer);
    }
    return hosts;
}

// By rendezvous hashing, so that all routers agree without coordination, and on the address, so that a restart changes
// nothing. Routers that disagree for a while cost some extra writes but no tokens.
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

bool FleetLinks::checkSettled(TimePoint now)
{
    if (!m_readyAt && m_relay.isReady()) {
        m_readyAt = now;
    }
    if (m_settled || !m_readyAt) {
        return false;
    }
    std::vector<SettlingPeer> peers;
    peers.reserve(m_peers.size());
    for (const auto &[incarnation, peer] : m_peers) {
        peers.push_back({peer.member.callerAddress,
                         peer.member.capacity,
                         peer.listed,
                         peer.dialled,
                         peer.heartbeatReceived,
                         peer.ready});
    }
    const SettlingView view = settlingView(m_options.ownCapacity, peers, m_options.advertisedHosts.sameClassRatio);
    const Duration sinceReady = now - *m_readyAt;
    m_settled = isSettled(view, sinceReady, m_options.settling);
    if (m_settled) {
        m_relay.log().write(
            "homes_settled",
            {{"heard", view.heard}, {"listed", view.candidates}, {"after_ms", toMilliseconds(sinceReady)}});
    }
    return m_settled;
}

void FleetLinks::chooseHomes()
{
    const TimePoint now = Relay::now();
    checkSettled(now);
    PrepaidShare &share = m_relay.state().prepaid;
    int bounded = 0;
    const auto hosts = homeRouters(now);
    for (auto &[customer, account] : share.accounts) {
        bounded += account.bounded ? 1 : 0;
        const bool isHome = m_relay.isReady() && isAdvertised() && m_settled && homeOf(customer, hosts) == nullptr;
        if (account.bounded && account.isHome != isHome) {
            account.isHome = isHome;
            m_relay.log().write("home", {{"customer", std::string_view(customer.value)}, {"holds", isHome}});
        }
    }
    share.markWriters = std::max(1, std::min(static_cast<int>(hosts.size()), bounded));
}

// Near the end of a budget, tokens that requests have left over would lie unused at each router, and be lost with it;
// they are returned to the home.
void FleetLinks::returnUnusedTokens()
{
    PrepaidShare &share = m_relay.state().prepaid;
    const auto hosts = homeRouters(Relay::now());
    for (const auto &[customer, account] : share.accounts) {
        Peer *home = account.bounded && !account.isHome && account.reserved == 0 ? homeOf(customer, hosts) : nullptr;
        const Tokens left = headroom(share, customer);
        if (home != nullptr && left > 0 && isNearEnd(share, customer)) {
            sendTransfer(takeUnusedTokens(share, customer, HolderId{home->member.callerAddress}));
        }
    }
}

// Encodes this router's holding for applyHolding().
json FleetLinks::encodeHolding(const CustomerId &customer) const
{
    const auto &share = m_relay.state().prepaid;
    const TimePoint now = Relay::now();
    // Sizes matter only near the end of a budget, and a heartbeat covers many customers.
    const bool includeSizes = isNearEnd(share, customer);
    return json::array({headroom(share, customer),
                        unusedGrant(share, customer),
                        static_cast<Tokens>(demandPerSecond(share, customer, now)),
                        knownUnallocated(share, customer),
                        maxRemaining(share, customer),
                        share.ledgerRevision,
                        m_relay.state().platformInReach ? 0 : timeUntilLimitGrows(share, customer, now).count(),
                        includeSizes ? encodeSizes(demandBySize(share, customer, now)) : json::array()});
}

void FleetLinks::applyHolding(const CustomerId &customer, const HolderId &holder, const json &row)
{
    if (!row.is_array() || row.size() != 8 || !areIntegers(row.begin(), row.end() - 1)) {
        return;
    }
    const auto sizes = decodeSizes(row[7]);
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

void FleetLinks::applyHoldings(const json &heartbeat, const HolderId &holder)
{
    const auto held = heartbeat.find("held");
    if (held == heartbeat.end() || !held->is_object()) {
        return;
    }
    for (auto &[customer, holders] : m_relay.state().prepaid.peerHoldings) {
        if (held->find(customer.value) == held->end()) {
            holders.erase(holder);
        }
    }
    for (const auto &[customer, row] : held->items()) {
        applyHolding(CustomerId{customer}, holder, row);
    }
}

void FleetLinks::onTokenRequest(const Peer &peer, const std::string &body)
{
    const auto amounts = decodeAmounts(decodeFleetMessage(body), 2);
    if (!amounts || amounts->tokens[0] <= 0) {
        return;
    }
    const TimePoint now = Relay::now();
    PrepaidShare &share = m_relay.state().prepaid;
    noteRequest(share, amounts->customer, amounts->tokens[0], now);
    TransferRequest request;
    request.from = HolderId{peer.member.callerAddress};
    request.customer = amounts->customer;
    request.needed = amounts->tokens[0];
    request.deadline = now + m_options.tokenRequestTimeout;
    const auto transfer = requestTransfer(share, request);
    // A transfer of zero tokens confirms that the request has arrived and is waiting.
    sendTransfer(transfer.value_or(TokenTransfer{request.from, request.customer, 0}), amounts->tokens[1]);
    if (!transfer && m_relay.onTokensNeeded) {
        m_relay.onTokensNeeded(request.customer, request.needed);
    }
}

// On a saturated link a host learns seconds late that an endpoint is leaving, and its requests arrive seconds late: it
// would send requests to endpoints that must not get any more. Responses that arrive late mark the copies as possibly
// stale. Missing responses don't: a partitioned host still serves what it can reach.
void FleetLinks::recordLag(Tokens timestamp)
{
    if (timestamp == 0) {
        return;
    }
    const TimePoint now = Relay::now();
    const Duration lag = now.time_since_epoch() - Duration(timestamp);
    if (onLag) {
        onLag(lag);
    }
    if (lag >= m_options.staleLag) {
        if (!m_relay.mayBeStale(now)) {
            m_relay.log().write("behind", {{"lag_ms", toSeconds(lag) * 1000}});
        }
        m_relay.state().congestedAt = now;
    }
}

// Answers that come after the request expired, or after its home was skipped, count too: on a slow link they may be the
// only ones.
void FleetLinks::recordExchange(const CustomerId &customer, Tokens amount, Tokens timestamp)
{
    const TimePoint now = Relay::now();
    Duration took{};
    if (timestamp != 0) {
        took = now.time_since_epoch() - Duration(timestamp);
        // A home that was frozen for seconds must not raise the time for long.
        noteExchange(m_responseTime, std::min(took, m_options.tokenRequestTimeout));
    }
    const auto pending = m_pendingTokens.find(customer);
    if (pending != m_pendingTokens.end() && pending->second.tokens > 0) {
        took = std::max(took, now - pending->second.requestedAt);
    }
    if (amount > 0 && took > Duration::zero()) {
        noteExchange(m_relay.state().tokenExchange, std::min(took, MaxExchangeTime));
    }
}

void FleetLinks::serveTransferRequests()
{
    for (const TokenTransfer &transfer : Godwit::serveTransferRequests(m_relay.state().prepaid, Relay::now())) {
        sendTransfer(transfer);
    }
}

// Tokens are deducted before the transfer is sent: a lost message loses tokens, but none is ever counted twice.
void FleetLinks::sendTransfer(const TokenTransfer &transfer, Tokens timestamp)
{
    const auto peer = std::find_if(m_peers.begin(), m_peers.end(), [&transfer](const auto &entry) {
        return entry.second.linked && entry.second.member.callerAddress == transfer.to.value;
    });
    const std::string body = encodeFleetMessage(
        json::array({transfer.customer.value, transfer.amount, encodeHolding(transfer.customer), timestamp}));
    if (peer == m_peers.end() || !m_mesh->send(peer->first, {TokenTransferTopic, body})) {
        // The message was not sent, so the tokens are restored.
        receiveTokens(m_relay.state().prepaid, transfer.customer, transfer.amount);
    }
}

void FleetLinks::onTokenReclaim(const Peer &peer, const std::string &body)
{
    const auto amounts = decodeAmounts(decodeFleetMessage(body), 2);
    if (!amounts) {
        return;
    }
    const TokenDemand demand{amounts->tokens[1], amounts->tokens[0]};
    const Tokens amount = sendTokens(m_relay.state().prepaid, amounts->customer, demand, Relay::now());
    if (amount > 0) {
        sendTransfer(TokenTransfer{HolderId{peer.member.callerAddress}, amounts->customer, amount});
    }
}

void FleetLinks::onTokenTransfer(Peer &peer, const std::string &body)
{
    const json message = decodeFleetMessage(body);
    if (!message.is_array() || message.size() != 4 || !message[3].is_number_integer()) {
        return;
    }
    recordLag(message[3].get<Tokens>());
    const auto amounts = decodeAmounts(json::array({message[0], message[1]}), 1);
    if (!amounts || amounts->tokens[0] < 0) {
        return;
    }
    peer.unansweredSince.reset();
    applyHolding(amounts->customer, HolderId{peer.member.callerAddress}, message[2]);
    recordExchange(amounts->customer, amounts->tokens[0], message[3].get<Tokens>());
    if (amounts->tokens[0] == 0) {
        return;
    }
    PendingTokens &pending = m_pendingTokens[amounts->customer];
    pending.tokens = std::max<Tokens>(0, pending.tokens - amounts->tokens[0]);
    receiveTokens(m_relay.state().prepaid, amounts->customer, amounts->tokens[0]);
    m_relay.log().write("tokens_received",
                        {{"customer", std::string_view(amounts->customer.value)},
                         {"amount", amounts->tokens[0]},
                         {"from", std::string_view(peer.member.incarnation.value)}});
    m_relay.retryReservations();
}

} // namespace Godwit
