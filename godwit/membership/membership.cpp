#include "godwit/membership/membership.h"

#include "godwit/base/hash.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// A gap between two ticks that only a paused process explains.
constexpr int PausePeriods = 2;
// A router without links yet counts as having these.
constexpr std::size_t LeastLinks = 3;
// The end that is not expected to connect waits so much longer.
constexpr int PassiveDialFactor = 2;

bool contains(const std::vector<HostId> &sorted, const HostId &host)
{
    return std::binary_search(sorted.begin(), sorted.end(), host);
}

bool isLeaving(const MembershipState &state, const HostId &host)
{
    return contains(state.leavingHosts, host);
}

// Often enough that news passes over each link more than once.
unsigned sendsFor(const MembershipState &state)
{
    return static_cast<unsigned>(std::max(state.links.size(), LeastLinks)) * state.options.sendsPerLink;
}

MemberUpdate shown(const MembershipState &state, const Member &member)
{
    MemberUpdate update = member.update;
    update.draining = update.draining || isLeaving(state, update.host);
    return update;
}

void setStatus(MembershipState &state, Member &member, MemberStatus status, TimePoint now)
{
    member.update.status = status;
    member.since = now;
    member.sendsLeft = sendsFor(state);
}

void suspect(MembershipState &state, Member &member, TimePoint now, MembershipActions &actions)
{
    if (member.update.status != MemberStatus::Alive) {
        return;
    }
    ++state.counters.suspicions;
    setStatus(state, member, MemberStatus::Suspect, now);
    actions.emplace_back(RouterSuspected{member.update.incarnation});
}

// A host runs one router: when a new incarnation shows up, the older ones have ended. They are suspected, not
// declared gone, in case the news were wrong.
void suspectPredecessors(MembershipState &state, const MemberUpdate &update, TimePoint now, MembershipActions &actions)
{
    for (auto &[incarnation, member] : state.members) {
        if (member.update.host == update.host && incarnation != update.incarnation) {
            suspect(state, member, now, actions);
        }
    }
}

void addMember(MembershipState &state, const MemberUpdate &update, TimePoint now, MembershipActions &actions)
{
    // Only living routers are new: a router that is told as gone but was never known needs no entry.
    if (update.status != MemberStatus::Alive || state.members.size() >= state.options.maxMembers) {
        return;
    }
    suspectPredecessors(state, update, now, actions);
    Member &member = state.members[update.incarnation];
    member.update = update;
    setStatus(state, member, MemberStatus::Alive, now);
    actions.emplace_back(RouterLive{shown(state, member)});
}

// Someone suspects this router. Nobody else may deny it: a higher number from the router itself overrides the
// suspicion wherever it went, over whichever path still works.
void denySuspicion(MembershipState &state, const MemberUpdate &update)
{
    if (update.status == MemberStatus::Alive || update.number < state.number || state.options.faultNoDenial) {
        return;
    }
    state.number = update.number + 1;
    ++state.counters.denials;
}

void takeAlive(
    MembershipState &state, Member &member, const MemberUpdate &update, TimePoint now, MembershipActions &actions)
{
    if (update.number <= member.update.number) {
        return;
    }
    const bool returned = member.update.status != MemberStatus::Alive;
    member.update = update;
    setStatus(state, member, MemberStatus::Alive, now);
    state.watchedSince.erase(update.incarnation);
    if (returned) {
        ++state.counters.returned;
        actions.emplace_back(RouterReturned{shown(state, member)});
    } else {
        actions.emplace_back(RouterLive{shown(state, member)});
    }
}

void takeSuspicion(
    MembershipState &state, Member &member, const MemberUpdate &update, TimePoint now, MembershipActions &actions)
{
    if (update.number < member.update.number) {
        return;
    }
    member.update.number = update.number;
    // "Gone" from another is taken as a suspicion only: its clock may have been the one that stood still.
    suspect(state, member, now, actions);
}

void merge(MembershipState &state, const MemberUpdate &update, TimePoint now, MembershipActions &actions)
{
    if (update.incarnation == state.options.self) {
        denySuspicion(state, update);
        return;
    }
    const auto known = state.members.find(update.incarnation);
    if (known == state.members.end()) {
        addMember(state, update, now, actions);
    } else if (update.status == MemberStatus::Alive) {
        takeAlive(state, known->second, update, now, actions);
    } else {
        takeSuspicion(state, known->second, update, now, actions);
    }
}

// The next member in turn, whatever its status: entries that missed their news are repaired by it.
void addRotating(MembershipState &state, HeartbeatBody &body)
{
    for (std::size_t i = 0; i < state.options.rotatingUpdates && !state.members.empty(); ++i) {
        auto next = state.members.upper_bound(state.rotation);
        if (next == state.members.end()) {
            next = state.members.begin();
        }
        state.rotation = next->first;
        body.updates.push_back(next->second.update);
    }
}

// Suspicions and their denials race against a timer and go before all else; then what went out least often.
bool isMoreUrgent(const Member *a, const Member *b)
{
    const bool urgentA = a->update.status != MemberStatus::Alive || a->update.number > 1;
    const bool urgentB = b->update.status != MemberStatus::Alive || b->update.number > 1;
    return urgentA != urgentB ? urgentA : a->sendsLeft > b->sendsLeft;
}

void addNews(MembershipState &state, const Incarnation &to, HeartbeatBody &body)
{
    std::vector<Member *> news;
    for (auto &[incarnation, member] : state.members) {
        if (member.sendsLeft > 0 && incarnation != to) {
            news.push_back(&member);
        }
    }
    const std::size_t room = state.options.maxUpdates - std::min(state.options.maxUpdates, body.updates.size());
    const std::size_t count = std::min(room, news.size());
    const auto end = news.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(news.begin(), end, news.end(), isMoreUrgent);
    for (auto member = news.begin(); member != end; ++member) {
        --(*member)->sendsLeft;
        body.updates.push_back((*member)->update);
    }
}

HeartbeatBody makeBody(const MembershipState &state)
{
    HeartbeatBody body;
    body.sender = selfUpdate(state);
    body.configRevision = state.configRevision;
    return body;
}

void sendBody(MembershipState &state, const Incarnation &to, HeartbeatBody body, MembershipActions &actions)
{
    ++state.counters.heartbeatsSent;
    state.counters.updatesSent += body.updates.size();
    actions.emplace_back(SendHeartbeat{to, std::move(body)});
}

void sendHeartbeat(MembershipState &state, const Incarnation &to, PeerLink &link, MembershipActions &actions)
{
    HeartbeatBody body = makeBody(state);
    const auto member = state.members.find(to);
    // A peer that is suspected has to learn it, or it could not deny it.
    if (member != state.members.end() && member->second.update.status != MemberStatus::Alive) {
        body.updates.push_back(member->second.update);
    }
    addNews(state, to, body);
    if (!state.options.faultNoRotation) {
        addRotating(state, body);
    }
    body.wantsAll = !link.saidHello && state.members.size() <= state.links.size();
    link.saidHello = true;
    sendBody(state, to, std::move(body), actions);
}

void sendAll(MembershipState &state, const Incarnation &to, MembershipActions &actions)
{
    HeartbeatBody body = makeBody(state);
    for (const auto &[incarnation, member] : state.members) {
        if (member.update.status != MemberStatus::Alive || incarnation == to) {
            continue;
        }
        body.updates.push_back(member.update);
        if (body.updates.size() == MaxUpdatesInHeartbeat) {
            sendBody(state, to, std::move(body), actions);
            body = makeBody(state);
        }
    }
    if (!body.updates.empty()) {
        sendBody(state, to, std::move(body), actions);
    }
}

// All hosts worth a link: the list's and those of live members, which the lagging list may not show yet.
std::vector<HostId> knownHosts(const MembershipState &state)
{
    std::vector<HostId> hosts;
    for (const HostEntry &entry : state.hosts) {
        hosts.push_back(entry.host);
    }
    for (const auto &[incarnation, member] : state.members) {
        if (member.update.status != MemberStatus::Gone && member.update.host != state.options.host) {
            hosts.push_back(member.update.host);
        }
    }
    std::sort(hosts.begin(), hosts.end());
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
    return hosts;
}

// In a small fleet all. Otherwise the successor on a ring of hashes, so that each host is watched by someone and
// the links connect everyone, and the highest rendezvous weights, so that news needs few hops.
std::vector<HostId> chooseHosts(const MembershipState &state)
{
    std::vector<HostId> hosts = knownHosts(state);
    const std::size_t wanted = state.options.chosenPeers;
    if (hosts.size() + 1 <= state.options.fullMeshHosts || hosts.size() <= wanted) {
        return hosts;
    }
    const HostId self = state.options.host;
    const std::uint64_t own = stableHash(self.value);
    const auto successor = std::min_element(hosts.begin(), hosts.end(), [&](const HostId &a, const HostId &b) {
        return stableHash(a.value) - own < stableHash(b.value) - own;
    });
    std::iter_swap(hosts.begin(), successor);
    const auto byWeight = [&](const HostId &a, const HostId &b) {
        return rendezvousWeight(self.value, a.value) > rendezvousWeight(self.value, b.value);
    };
    const auto end = hosts.begin() + static_cast<std::ptrdiff_t>(wanted);
    std::partial_sort(hosts.begin() + 1, end, hosts.end(), byWeight);
    hosts.erase(end, hosts.end());
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

std::string addressOf(const MembershipState &state, const HostId &host)
{
    for (const auto &[incarnation, member] : state.members) {
        if (member.update.host == host && member.update.status == MemberStatus::Alive) {
            return member.update.address;
        }
    }
    const auto listed =
        std::lower_bound(state.hosts.begin(), state.hosts.end(), host, [](const HostEntry &a, const HostId &b) {
            return a.host < b;
        });
    return listed != state.hosts.end() && listed->host == host ? listed->address : std::string();
}

std::vector<HostId> linkedHosts(const MembershipState &state)
{
    std::vector<HostId> hosts;
    for (const auto &[incarnation, link] : state.links) {
        const auto member = state.members.find(incarnation);
        if (member != state.members.end()) {
            hosts.push_back(member->second.update.host);
        }
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

bool isGoneHost(const MembershipState &state, const HostId &host)
{
    return std::any_of(state.members.begin(), state.members.end(), [&](const auto &entry) {
        return entry.second.update.host == host && entry.second.update.status == MemberStatus::Gone;
    });
}

// Hosts without a link are tried for as long as they are listed or live: after a partition both sides hold each
// other for gone, and only connecting again heals that.
void dial(MembershipState &state, TimePoint now, MembershipActions &actions)
{
    const std::vector<HostId> linked = linkedHosts(state);
    std::size_t dials = 0;
    for (const HostId &host : state.chosen) {
        if (contains(linked, host) || dials >= state.options.maxDialsPerPeriod) {
            continue;
        }
        if (state.options.faultNoReconnect && isGoneHost(state, host)) {
            continue;
        }
        const bool passive = host < state.options.host;
        const Duration firstWait = passive ? state.options.period * PassiveDialFactor : Duration::zero();
        const auto [next, fresh] = state.nextDial.emplace(host, now + firstWait);
        if (next->second > now) {
            continue;
        }
        const std::string address = addressOf(state, host);
        if (!address.empty()) {
            ++dials;
            next->second = now + state.options.reconnectEvery;
            actions.emplace_back(ConnectPeer{host, address});
        }
    }
}

void dropUnchosen(MembershipState &state, TimePoint now, MembershipActions &actions)
{
    for (auto &[incarnation, link] : state.links) {
        const auto member = state.members.find(incarnation);
        const bool chosen = member == state.members.end() || contains(state.chosen, member->second.update.host);
        if (chosen || !link.dialled || now - link.upSince < state.options.keepUnchosen) {
            continue;
        }
        HeartbeatBody body = makeBody(state);
        body.closing = true;
        link.closing = true;
        sendBody(state, incarnation, std::move(body), actions);
        actions.emplace_back(DropPeer{incarnation});
    }
}

void suspectById(MembershipState &state, const Incarnation &incarnation, TimePoint now, MembershipActions &actions)
{
    const auto member = state.members.find(incarnation);
    if (member != state.members.end()) {
        suspect(state, member->second, now, actions);
    }
}

void suspectSilentLinks(MembershipState &state, TimePoint now, MembershipActions &actions)
{
    for (const auto &[incarnation, link] : state.links) {
        if (now - link.lastHeard > state.options.silentAfter) {
            suspectById(state, incarnation, now, actions);
        }
    }
    for (auto probe = state.probes.begin(); probe != state.probes.end();) {
        if (probe->second > now) {
            ++probe;
            continue;
        }
        suspectById(state, probe->first, now, actions);
        probe = state.probes.erase(probe);
    }
}

// An entry for a router that ended long ago may come back from a peer that was cut off, and nobody has a link
// that could fall silent. Whoever should have a link to its host and gets none suspects it.
void suspectUnreached(MembershipState &state, TimePoint now, MembershipActions &actions)
{
    for (auto &[incarnation, member] : state.members) {
        const bool watched = member.update.status == MemberStatus::Alive && contains(state.chosen, member.update.host)
            && state.links.count(incarnation) == 0;
        if (!watched) {
            state.watchedSince.erase(incarnation);
            continue;
        }
        const auto since = state.watchedSince.emplace(incarnation, now).first;
        if (now - since->second > state.options.silentAfter + state.options.reconnectEvery * 2) {
            state.watchedSince.erase(since);
            suspect(state, member, now, actions);
        }
    }
}

void expire(MembershipState &state, TimePoint now, MembershipActions &actions)
{
    for (auto it = state.members.begin(); it != state.members.end();) {
        Member &member = it->second;
        const Duration age = now - member.since;
        const bool denied = member.update.status != MemberStatus::Suspect;
        if (!denied && (age >= state.options.goneAfter || state.options.faultGoneAtOnce)) {
            ++state.counters.gone;
            member.update.status = MemberStatus::Gone;
            member.since = now;
            actions.emplace_back(RouterGone{it->first});
            // A connection that carries nothing may look up for many minutes and would stand in the way of a new one.
            if (state.links.count(it->first) > 0) {
                actions.emplace_back(DropPeer{it->first});
            }
        }
        if (member.update.status == MemberStatus::Gone && age >= state.options.forgetAfter) {
            state.watchedSince.erase(it->first);
            it = state.members.erase(it);
        } else {
            ++it;
        }
    }
}

// After a pause of this process all peers seem to have been silent and every suspicion seems overdue, though their
// heartbeats and denials lie unread in the sockets. Time in which this router did not listen doesn't count.
void discountPause(MembershipState &state, TimePoint now)
{
    const Duration gap = now - state.lastTick;
    if (gap <= state.options.period * PausePeriods || state.options.faultTrustOwnClockGaps) {
        return;
    }
    for (auto &[incarnation, link] : state.links) {
        link.lastHeard += gap;
    }
    for (auto &[incarnation, member] : state.members) {
        member.since += gap;
    }
    for (auto &[incarnation, until] : state.probes) {
        until += gap;
    }
    for (auto &[incarnation, since] : state.watchedSince) {
        since += gap;
    }
}

} // namespace

MembershipState makeMembership(MembershipOptions options, TimePoint now)
{
    MembershipState state;
    state.options = std::move(options);
    state.nextBeat = now;
    state.lastTick = now;
    return state;
}

MembershipActions onHostList(MembershipState &state, const std::vector<HostEntry> &hosts, TimePoint now)
{
    MembershipActions actions;
    state.hosts.clear();
    std::vector<HostId> leaving;
    for (const HostEntry &entry : hosts) {
        if (entry.host == state.options.host) {
            continue;
        }
        if (entry.leaving) {
            leaving.push_back(entry.host);
        } else {
            state.hosts.push_back(entry);
        }
    }
    std::sort(state.hosts.begin(), state.hosts.end(), [](const HostEntry &a, const HostEntry &b) {
        return a.host < b.host;
    });
    std::sort(leaving.begin(), leaving.end());
    const std::vector<HostId> before = std::exchange(state.leavingHosts, std::move(leaving));
    for (const auto &[incarnation, member] : state.members) {
        const HostId &host = member.update.host;
        if (member.update.status == MemberStatus::Alive && contains(before, host) != isLeaving(state, host)) {
            actions.emplace_back(RouterLive{shown(state, member)});
        }
    }
    state.chosen = chooseHosts(state);
    dial(state, now, actions);
    return actions;
}

MembershipActions onPeerLinkUp(MembershipState &state, const Incarnation &peer, bool dialled, TimePoint now)
{
    MembershipActions actions;
    PeerLink link;
    link.lastHeard = now;
    link.upSince = now;
    link.dialled = dialled;
    state.links[peer] = link;
    sendHeartbeat(state, peer, state.links[peer], actions);
    return actions;
}

MembershipActions onPeerLinkDown(MembershipState &state, const Incarnation &peer, TimePoint now)
{
    MembershipActions actions;
    const auto link = state.links.find(peer);
    if (link == state.links.end()) {
        return actions;
    }
    const bool expected = link->second.closing;
    state.links.erase(link);
    const auto member = state.members.find(peer);
    if (expected || member == state.members.end() || member->second.update.status != MemberStatus::Alive) {
        return actions;
    }
    // A broken connection alone says nothing of the router. It is tried once more at once and given time.
    state.probes[peer] = now + state.options.silentAfter;
    state.nextDial[member->second.update.host] = now + state.options.reconnectEvery;
    actions.emplace_back(ConnectPeer{member->second.update.host, member->second.update.address});
    return actions;
}

MembershipActions onHeartbeat(MembershipState &state, const Incarnation &from, const HeartbeatBody &body, TimePoint now)
{
    MembershipActions actions;
    const auto link = state.links.find(from);
    if (link == state.links.end() || body.sender.incarnation != from || from == state.options.self) {
        return actions;
    }
    ++state.counters.heartbeatsReceived;
    link->second.lastHeard = now;
    link->second.closing = body.closing;
    state.probes.erase(from);
    MemberUpdate sender = body.sender;
    sender.status = MemberStatus::Alive;
    merge(state, sender, now, actions);
    for (const MemberUpdate &update : body.updates) {
        merge(state, update, now, actions);
    }
    if (const auto member = state.members.find(from); member != state.members.end()) {
        member->second.configRevision = body.configRevision;
    }
    if (body.wantsAll) {
        sendAll(state, from, actions);
    }
    return actions;
}

void setConfigRevision(MembershipState &state, std::uint64_t revision)
{
    state.configRevision = revision;
}

MembershipActions setDraining(MembershipState &state, TimePoint now)
{
    if (!state.draining) {
        state.draining = true;
        ++state.number;
        state.nextBeat = now;
    }
    return onTick(state, now);
}

MembershipActions onTick(MembershipState &state, TimePoint now)
{
    MembershipActions actions;
    if (now < state.nextBeat) {
        return actions;
    }
    discountPause(state, now);
    state.lastTick = now;
    state.nextBeat = now + state.options.period;
    suspectSilentLinks(state, now, actions);
    suspectUnreached(state, now, actions);
    expire(state, now, actions);
    state.chosen = chooseHosts(state);
    dial(state, now, actions);
    dropUnchosen(state, now, actions);
    for (auto &[incarnation, link] : state.links) {
        if (!link.closing || !link.dialled) {
            sendHeartbeat(state, incarnation, link, actions);
        }
    }
    return actions;
}

TimePoint nextWake(const MembershipState &state)
{
    return state.nextBeat;
}

std::vector<MemberUpdate> liveRouters(const MembershipState &state, bool withSuspects)
{
    std::vector<MemberUpdate> live;
    for (const auto &[incarnation, member] : state.members) {
        const MemberStatus status = member.update.status;
        if (status == MemberStatus::Alive || (withSuspects && status == MemberStatus::Suspect)) {
            live.push_back(shown(state, member));
        }
    }
    return live;
}

MemberUpdate selfUpdate(const MembershipState &state)
{
    MemberUpdate update;
    update.incarnation = state.options.self;
    update.host = state.options.host;
    update.dataCentre = state.options.dataCentre;
    update.address = state.options.address;
    update.number = state.number;
    update.draining = state.draining;
    return update;
}

} // namespace Godwit
