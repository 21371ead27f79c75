#pragma once

// Who is a live router: from the lagged host list and from what routers hear of each other.
//
// Each router keeps links to a bounded number of peers (all of them in a small fleet) and sends each a heartbeat
// every period. What changed (a router came, is suspected, denies it, drains, is gone) rides along in heartbeats,
// a bounded number of items each, and each item a bounded number of times. A peer that falls silent is suspected;
// the suspicion travels, and the peer denies it over whatever path still reaches it. Only a suspicion that nobody
// denied for a time makes a router gone. Nothing here is agreed on: two routers may see different members, and
// whatever needs agreement uses the platform.
//
// Example:
//   MembershipState state = makeMembership(options, now);
//   for (auto &action : onHostList(state, hosts, now)) { perform(action); }
//   for (auto &action : onHeartbeat(state, from, *decodeHeartbeat(bytes), now)) { perform(action); }
//
// A wrong RouterGone may cost calls and locality, never correctness: consumers may stop sending to the router, but
// must not take over what it holds without the platform's word (a lapsed lease and a compare-and-swap).

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Godwit
{

// One router host in the platform's host list.
struct HostEntry
{
    HostId host;
    DataCentreId dataCentre;
    std::string address; // Where its peer listener is: "ip:port".
    bool leaving = false;
};

enum class MemberStatus {
    Alive,
    Suspect,
    Gone,
};

// What is told about one router. The higher `number` wins; at equal numbers a suspicion does.
struct MemberUpdate
{
    Incarnation incarnation;
    HostId host;
    DataCentreId dataCentre;
    std::string address;
    MemberStatus status = MemberStatus::Alive;
    std::uint64_t number = 0; // Raised only by the router itself, to deny a suspicion or tell something new.
    bool draining = false;
};

constexpr std::size_t MaxUpdatesInHeartbeat = 64;

// What one router tells a linked peer each period.
struct HeartbeatBody
{
    MemberUpdate sender;
    std::uint64_t configRevision = 0;
    std::vector<MemberUpdate> updates; // At most MaxUpdatesInHeartbeat.
    bool wantsAll = false; // The sender just came and knows nobody: answer with all that you know.
    bool closing = false; // The sender closes this link because it chose others; it is not gone.
};

// CBOR for the wire. Decoding checks every bound and returns nothing for malformed bytes.
std::string encodeHeartbeat(const HeartbeatBody &body);
std::optional<HeartbeatBody> decodeHeartbeat(std::string_view bytes);

struct MembershipOptions
{
    Incarnation self;
    HostId host;
    DataCentreId dataCentre;
    std::string address;
    Duration period = std::chrono::seconds(1);
    // Up to this many hosts everyone links to everyone; beyond, each host chooses `chosenPeers` of them.
    std::size_t fullMeshHosts = 12;
    std::size_t chosenPeers = 5;
    std::size_t maxUpdates = 16; // Items in one heartbeat.
    std::size_t rotatingUpdates = 1; // Further items a heartbeat, taken in turn, that repair what got lost.
    unsigned sendsPerLink = 2; // Each item goes out so many times for each link.
    Duration silentAfter = std::chrono::seconds(3); // A linked peer without a heartbeat is suspected.
    Duration goneAfter = std::chrono::seconds(8); // A suspicion without denial makes it gone.
    Duration forgetAfter = std::chrono::seconds(600); // Then a gone router is no longer kept.
    Duration reconnectEvery = std::chrono::seconds(2); // Between attempts to reach one host without a live link.
    std::size_t maxDialsPerPeriod = 4;
    Duration keepUnchosen = std::chrono::seconds(10); // A link that is no longer chosen stays up so long.
    std::size_t maxMembers = 4096;
    // Fault switches for tests: each takes one safeguard out.
    bool faultGoneAtOnce = false;
    bool faultNoDenial = false;
    bool faultNoReconnect = false;
    bool faultTrustOwnClockGaps = false;
    bool faultNoRotation = false;
};

struct SendHeartbeat
{
    Incarnation to;
    HeartbeatBody body;
};

// A router is live: use it in address answers and rendezvous choices. Told again when `draining` or address change.
struct RouterLive
{
    MemberUpdate member;
};

// Nobody near has heard it for a while: leave it out of address answers, but keep what depends on it.
struct RouterSuspected
{
    Incarnation incarnation;
};

// Not heard on any path for a time. May be wrong.
struct RouterGone
{
    Incarnation incarnation;
};

// A suspected or gone router was heard of again.
struct RouterReturned
{
    MemberUpdate member;
};

struct ConnectPeer
{
    HostId host;
    std::string address;
};

struct DropPeer
{
    Incarnation incarnation;
};

using MembershipAction =
    std::variant<SendHeartbeat, RouterLive, RouterSuspected, RouterGone, RouterReturned, ConnectPeer, DropPeer>;
using MembershipActions = std::vector<MembershipAction>;

struct Member
{
    MemberUpdate update;
    std::uint64_t configRevision = 0; // Only known of linked peers.
    TimePoint since{}; // When `update.status` was taken on.
    unsigned sendsLeft = 0; // How often `update` still rides along.
};

struct PeerLink
{
    TimePoint lastHeard{};
    TimePoint upSince{};
    bool dialled = false; // This router connected; it also drops the link when it is no longer chosen.
    bool closing = false; // The peer said that it closes the link.
    bool saidHello = false;
};

struct MembershipCounters
{
    std::uint64_t heartbeatsSent = 0;
    std::uint64_t heartbeatsReceived = 0;
    std::uint64_t updatesSent = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t denials = 0;
    std::uint64_t gone = 0;
    std::uint64_t returned = 0;
};

struct MembershipState
{
    MembershipOptions options;
    std::uint64_t number = 1; // The own MemberUpdate::number.
    bool draining = false;
    std::uint64_t configRevision = 0;
    std::map<Incarnation, Member> members; // Others only.
    std::map<Incarnation, PeerLink> links;
    std::vector<HostEntry> hosts; // Others only, sorted by host.
    std::vector<HostId> chosen; // Sorted; the hosts this router links to by itself.
    std::vector<HostId> leavingHosts; // Sorted.
    std::map<HostId, TimePoint> nextDial;
    std::map<Incarnation, TimePoint> probes; // Whose link broke, and until when it has to be heard again.
    std::map<Incarnation, TimePoint> watchedSince; // Alive members of chosen hosts that have no link.
    TimePoint nextBeat{};
    TimePoint lastTick{};
    Incarnation rotation; // The last member that went out in turn.
    MembershipCounters counters;
};

MembershipState makeMembership(MembershipOptions options, TimePoint now);

// The host list as the platform shows it, late or early. Hosts that are absent from it but still heard stay
// members; leaving ones are told as draining.
MembershipActions onHostList(MembershipState &state, const std::vector<HostEntry> &hosts, TimePoint now);

// A link to `peer` stands. `dialled`: this router connected it. The peer's identity is what its certificate or
// handshake proved.
MembershipActions onPeerLinkUp(MembershipState &state, const Incarnation &peer, bool dialled, TimePoint now);
MembershipActions onPeerLinkDown(MembershipState &state, const Incarnation &peer, TimePoint now);

// A heartbeat came over the link to `from`. Bodies whose sender differs from `from` are passed over.
MembershipActions onHeartbeat(MembershipState &state,
                              const Incarnation &from,
                              const HeartbeatBody &body,
                              TimePoint now);

// To be told in the next heartbeats.
void setConfigRevision(MembershipState &state, std::uint64_t revision);
// Tells the fleet that this router is stopping: out of address answers first.
MembershipActions setDraining(MembershipState &state, TimePoint now);

MembershipActions onTick(MembershipState &state, TimePoint now);
TimePoint nextWake(const MembershipState &state);

// The routers that are alive or, with `withSuspects`, not yet gone; sorted by incarnation; without this one.
std::vector<MemberUpdate> liveRouters(const MembershipState &state, bool withSuspects);

// This router as it tells itself.
MemberUpdate selfUpdate(const MembershipState &state);

} // namespace Godwit
