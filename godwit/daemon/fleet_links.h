#pragma once

// Messages between the routers of a fleet: heartbeats, replication of the platform's store, holdings of each budget,
// and token transfers.
//
// Delivery is best effort: a message may be lost with its link, and correctness depends on none. Not thread-safe.

#include "godwit/base/time.h"
#include "godwit/daemon/prefix_messages.h"
#include "godwit/gateway/byte_rate_limiter.h"
#include "godwit/gateway/clock_offsets.h"
#include "godwit/gateway/entry_hosts.h"
#include "godwit/gateway/read_schedule.h"
#include "godwit/gateway/speed_exchange.h"
#include "godwit/prepaid/home_response.h"
#include "godwit/prepaid/home_settling.h"
#include "godwit/prepaid/token_prefetch.h"
#include "godwit/relay/relay.h"
#include "godwit/router/router_mesh.h"
#include "godwit/suspects/suspect_notice.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Godwit
{

struct FleetLinksOptions
{
    Hello own;
    double ownCapacity = 0; // Requests per second that this host can take.
    std::string listenAddress;
    std::size_t maxUnprovenPeers = 64; // Inbound connections before their hello.
    // Heartbeats become less frequent above `maxPeersAtBaseInterval` peers. Routers that are not advertised to callers
    // send them less often by `unadvertisedHeartbeatFactor`, since no traffic depends on them.
    Duration heartbeatInterval = std::chrono::milliseconds(400);
    int maxPeersAtBaseInterval = 64;
    int unadvertisedHeartbeatFactor = 4;
    EntryHostOptions advertisedHosts;
    // A load peak decays over this time, so that the list of advertised hosts does not change with each fluctuation.
    Duration loadDecayTime = std::chrono::seconds(10);
    // Interval at which a change of readiness is detected and sent to the others.
    Duration readinessCheckInterval = std::chrono::milliseconds(50);
    // A router is advertised to callers only if a message arrived from it within this many heartbeat intervals.
    int responsiveHeartbeats = 4;
    // Minimum interval between reclaims of one customer's tokens from other routers.
    Duration reclaimInterval = std::chrono::milliseconds(30);
    HomeResponseOptions homeResponse;
    TokenPrefetchOptions prefetch;
    std::size_t homeCount = 6;
    // How long a token request waits at a home, and counts as pending at the sender: callers' requests wait longer only
    // while exchanges are slow.
    Duration tokenRequestTimeout = std::chrono::milliseconds(200);
    // A ledger up to this size is sent to the other routers once it is written; sending a larger one costs more than
    // the conflicting writes that it avoids.
    std::size_t maxSharedLedgerBytes = 12UL * 1024;
    // When a router that has become ready acts as a home; without peers it checks every `soloCheckInterval`.
    HomeSettlingOptions settling;
    Duration soloCheckInterval = std::chrono::milliseconds(100);
    // An update whose copies for all routers exceed this size together is sent to some routers, which forward it to the
    // rest: a document for each of hundreds of routers would saturate one host's link for seconds. Smaller updates are
    // sent directly, since a forwarding router that is frozen delays its whole group.
    std::size_t minRelayedUpdateBytes = 1024UL * 1024;
    // Bandwidth for snapshots sent to peers. If few hosts reach the store all others ask them at once, and whole
    // documents for each would saturate a small host's link for seconds.
    ByteRateLimit snapshotRate{bytesPerSecond(500)};
    std::size_t minLargeSnapshotBytes = 64UL * 1024;
    int readers = ReadScheduleOptions{}.readers;
    // Prompts that an engine reads in less time are not announced to the other routers: they hardly delay a request
    // behind them.
    Duration minAnnouncedPromptTime = std::chrono::milliseconds(12);
    // Bound on the announced prompts per second that all routers receive in total: each costs about 40 us at both ends.
    // In a large fleet only the longest are announced.
    double maxPromptsReceivedPerSecond = 2500;
    // Responses between routers arrive within a few milliseconds. One that took this long was queued at this host.
    // Endpoint lists and requests that are late by the same amount still meet the 2 s within which a leaving endpoint
    // may get requests.
    Duration staleLag = std::chrono::milliseconds(500);
    // Maximum number of open lag probes; the oldest one beyond it counts as lost.
    std::size_t maxOpenLagProbes = 32;
    ClockOffsetOptions clockOffsets;
    // Routers that keep a copy of a stream's record, besides the one that wrote it, and routers that are asked for it:
    // more, since the routers' views of the fleet may differ.
    std::size_t streamRecordCopies = 2;
    std::size_t streamSearchWidth = 8;
    // Includes the time to replace links that were reset together with the caller's connection.
    Duration streamSearchTimeout = std::chrono::milliseconds(300);
    // Maximum number of customers in one heartbeat.
    std::size_t maxCustomersPerHeartbeat = 64;
};

// A router as listed by the platform, or as described by its hello.
struct FleetMember
{
    HostId host;
    Incarnation incarnation;
    DataCentreId dataCentre;
    std::string callerAddress;
    std::string peerAddress;
    double capacity = 0; // Requests per second that its host can take.
};

std::string encodeMember(const FleetMember &member);
std::optional<FleetMember> decodeMember(std::string_view text);

class FleetLinks
{
public:
    FleetLinks(boost::asio::io_context &io, Relay &relay, FleetLinksOptions options);
    ~FleetLinks();

    bool start(LastReason &reason);
    void stop();

    // Sets the live routers listed by the platform. Routers that are no longer listed stay known while their messages
    // arrive.
    void setListed(const std::vector<FleetMember> &members);

    // Requests the tokens that the requests waiting here need in total: from the customer's home, or, at the home
    // itself, from the routers that still hold some.
    void requestTokens(const CustomerId &customer, Tokens needed);

    // Sends tokens that other routers wait for and that are available now.
    void serveTransferRequests();

    // Sends a heartbeat at once, for example when this router starts to leave.
    void sendHeartbeat();

    // Returns the routers that take requests, without this one.
    std::vector<EntryAddress> callerAddresses() const;

    // Returns the routers that take requests, including this one. Those that are partitioned from endpoints are not
    // advertised if the others suffice.
    std::vector<EntryAddress> entryAddresses() const;

    // Offers connections to endpoints to the other routers, see connection_lender.h. To be called before start().
    void offerLending(std::string address, std::string secret);

    // Returns routers that reach endpoints of the group and lend connections to them, in random order, those in the
    // data centre of the group or of this router first.
    std::vector<Lender> lendersFor(const EndpointGroup &group) const;

    // Whether this router is advertised to callers.
    bool isAdvertised() const
    {
        return m_options.ownCapacity >= m_minAdvertisedCapacity;
    }

    // Returns the number of routers that take requests, including this one.
    int liveCount() const;

    // Sends an update of a store prefix to all other routers.
    void sendUpdate(const PrefixUpdate &update);

    // Requests a router's snapshot of a prefix, to be sent if it differs from this router's copy; false if there is no
    // link.
    bool requestSnapshot(const Incarnation &peer, SnapshotRequest request);

    // Same, from a random router that is advertised to callers.
    bool requestSnapshotFromAny(const SnapshotRequest &request);

    // Requests the states of some routers' copies and measures how late the responses arrive: high lag shows that this
    // host's link is saturated.
    void compareCopies(const std::vector<SnapshotRequest> &requests);

    // Returns this router's rank among the readers of the prefix; nullopt if it is none.
    std::optional<int> readerRankOf(const std::string &prefix) const;

    // Sends the ledger of prepaid totals after this router's write to the advertised routers.
    void broadcastLedger(std::uint64_t revision, const std::string &ledger);

    // Announces to the advertised routers that this router has sent a long prompt to an engine.
    void announcePrompt(const PromptSent &prompt, Duration reading);

    // Announces requests under which endpoints died to the advertised routers.
    void announceSuspects(const std::vector<SuspectNotice> &notices);

    // Announces to the other routers that an endpoint of a brittle service has rejected a request.
    void announceRejection(const EndpointRejection &rejection);

    // Sends copies of the records to the routers that other routers ask for them.
    void sendStreamRecords(const std::vector<RecordedStream> &streams);

    // Asks other routers for the record of a stream. `done` is called once: when one has sent it, when all have replied
    // that they have none, or after `streamSearchTimeout`.
    void seekStream(const std::string &attempt, std::function<void()> done);

    // Sends the announced versions, as written to the store, to the other routers.
    void broadcastAnnouncedVersions(const StoreItem &item);

    // Called with announced versions that another router has written.
    std::function<void(const StoreItem &)> onVersionsAnnounced;

    // Called when another router announces such requests.
    std::function<void(const std::vector<SuspectNotice> &)> onSuspects;

    // Returns the fraction of responsive routers among those that the platform lists and that this one opens links to;
    // 1 if there are none.
    double responsivePeerFraction() const;

    // Returns the fraction of the responsive routers whose last heartbeat reported the store as unreachable; 1 if none
    // is responsive.
    double storeUnreachableFraction() const;

    // Notifies all other routers that the platform's store responds again.
    void broadcastStoreReachable();

    // Called when another router has reached the platform's store again.
    std::function<void()> onStoreReachable;

    // Called with the lag of each response that carries the time of its request, also for those in time.
    std::function<void(Duration)> onLag;

    // Called with a peer's update of a prefix, or with the state of its copy.
    std::function<void(const Incarnation &from, const PrefixUpdate &update)> onUpdate;

    // Called with each snapshot received.
    std::function<void(const PrefixSnapshot &)> onSnapshot;

    // Builds the response to another router's request; unset if there is nothing to send.
    std::function<std::optional<PrefixSnapshot>(const SnapshotRequest &)> snapshotFor;

    // Returns the states of this router's copies, for its heartbeats.
    std::function<std::vector<PrefixState>()> copyStates;

private:
    struct Peer
    {
        FleetMember member;
        bool linked = false;
        bool listed = false;
        bool ready = false;
        bool heartbeatReceived = false;
        bool dialled = false;
        double load = 0; // Requests per second.
        TimePoint lastMessageAt;
        // Since when a token request to this peer is unanswered, and until when the peer is skipped as a home for that.
        std::optional<TimePoint> unansweredSince;
        TimePoint skippedUntil;
        TimePoint linkedAt;
        bool storeReachable = false;
        Lender lender; // Its address is empty if the router lends no connections.
        std::vector<EndpointGroup> partitioned; // Groups that the router can't reach itself.
    };

    void scheduleHeartbeat();
    void scheduleCheck();
    void sendReadinessChange();
    // Returns whether this router may act as a home from now on, and could not before.
    bool checkSettled(TimePoint now);
    void chooseHomes();
    // Whether the peer lends connections to endpoints of the group.
    bool lends(const Peer &peer, const EndpointGroup &group, TimePoint now) const;
    bool isServing(const Peer &peer, TimePoint now) const;
    // Whether the peer can be a home; `withSkipped` includes one that is skipped.
    bool canBeHome(const Peer &peer, TimePoint now, bool withSkipped) const;
    // Minimum capacity of the hosts that belong to the largest class of those that are up.
    double minLargestClassCapacity(TimePoint now, bool withSkipped = false) const;
    // Current homes, or those that would be homes if none were skipped; null stands for this router.
    std::vector<Peer *> homeRouters(TimePoint now, bool withSkipped = false);
    // Null if this router is the home, or if there is none.
    Peer *homeOf(const CustomerId &customer, const std::vector<Peer *> &hosts) const;
    void requestFromHome(const CustomerId &customer, Tokens needed);
    void prefetchTokens();
    void reclaimFromHolders(const CustomerId &customer, Tokens needed);
    // Until when a home has time to answer; nullopt if no request to it is unanswered.
    std::optional<TimePoint> responseDeadlineOf(const Peer &peer) const;
    void armResponseTimer();
    void skipUnresponsiveHomes();
    // If all homes have been skipped, skips none for a while.
    bool keepSilentHomes(TimePoint now);
    // `timestamp` is that of the token request answered at once, or 0.
    void sendTransfer(const TokenTransfer &transfer, Tokens timestamp = 0);
    void recordLag(Tokens timestamp);
    // Records how long a home took to answer the request of that time, with `amount` tokens or a confirmation.
    void recordExchange(const CustomerId &customer, Tokens amount, Tokens timestamp);
    void returnUnusedTokens();
    nlohmann::json encodeHolding(const CustomerId &customer) const;
    void applyHolding(const CustomerId &customer, const HolderId &holder, const nlohmann::json &row);
    std::string encodeHeartbeat(const std::vector<SpeedReport> &speeds) const;
    void logSpeedChanges();
    void onLinkUp(const Hello &hello);
    void onLinkDown(const Incarnation &incarnation);
    void onMessage(const Incarnation &from, const Envelope &envelope);
    void onHeartbeat(Peer &peer, const std::string &body);
    static void onLendingOffer(Peer &peer, const std::string &body);
    // Whether a router with these partitioned groups depends on other routers.
    bool dependsOnOthers(const std::vector<EndpointGroup> &partitioned) const;
    void applyHoldings(const nlohmann::json &heartbeat, const HolderId &holder);
    void onTokenRequest(const Peer &peer, const std::string &body);
    void onTokenReclaim(const Peer &peer, const std::string &body);
    void onLedger(const std::string &body);
    void onUpdateReceived(const Incarnation &from, const std::string &body);
    void onRelayedUpdate(const std::string &body);
    std::size_t maxQueuedBytes() const;
    bool holdsState(const PrefixState &state) const;
    void onSnapshotRequest(const Incarnation &from, const std::string &body);
    bool maySendSnapshot(const Incarnation &to, std::size_t bytes);
    void onSnapshotReceived(const Incarnation &from, const std::string &body);
    // Asks a peer whose clock offset is unknown for the state of its copy, so that its reports of reads can be dated.
    void measureClockOffset(const Incarnation &peer, const std::string &prefix);
    // As requestSnapshot(), with the timestamp that the request has.
    bool sendSnapshotRequest(const Incarnation &peer, SnapshotRequest request);
    std::vector<Incarnation> shuffledPeers();
    void onCopyStates(const Incarnation &from, const nlohmann::json &heartbeat);
    nlohmann::json encodeCopyStates() const;
    void onPromptAnnounced(const std::string &body);
    void onTokenTransfer(Peer &peer, const std::string &body);
    Duration heartbeatInterval() const;
    bool isResponsive(const Peer &peer, TimePoint now) const;
    bool isAdvertised(const Peer &peer) const;
    bool isAlive(const Peer &peer, TimePoint now) const;
    Duration heartbeatIntervalOf(bool advertised) const;
    void measureLoad(TimePoint now);
    void chooseAdvertised(TimePoint now);
    AdvertisedRouters advertisedRouters(TimePoint now) const;
    // This router's position among those that divide the room of brittle endpoints. Routers that are listed count even
    // while they can't be reached, since they may use their part.
    RouterPosition routerPosition(TimePoint now) const;
    std::vector<std::string> brittleServices() const;
    void onEndpointRejection(const std::string &body);
    // Advertised routers in the order in which they keep records of the stream.
    std::vector<Incarnation> streamKeepers(const std::string &attempt, bool linkedOnly) const;
    void onStreamRecords(const std::string &body);
    void onStreamQuery(const Incarnation &from, const std::string &body);
    void onStreamReply(const Incarnation &from, const std::string &body);
    void askForSoughtStreams(const Incarnation &peer);
    void endSearch(const std::string &attempt);
    void onAnnouncedVersions(const std::string &body);
    void dialPeers();
    void sendToAdvertised(const Envelope &envelope);
    void dropUnresponsive(TimePoint now);

    Relay &m_relay;
    FleetLinksOptions m_options;
    std::unique_ptr<RouterMesh> m_mesh;
    boost::asio::steady_timer m_timer;
    std::map<Incarnation, Peer> m_peers;
    std::map<CustomerId, TimePoint> m_reclaimedAt;
    // Tokens requested from homes and not received yet.
    struct PendingTokens
    {
        Tokens tokens = 0;
        TimePoint requestedAt;
        TimePoint expiresAt;
    };
    std::map<CustomerId, PendingTokens> m_pendingTokens;
    // A stream whose record is sought at other routers.
    struct StreamSearch
    {
        std::vector<std::function<void()>> done;
        std::set<Incarnation> awaited; // Routers that have not replied yet.
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    std::map<std::string, StreamSearch> m_streamSearches; // By attempt.
    TimePoint m_startedAt;
    boost::asio::steady_timer m_responseTimer;
    bool m_responseTimerArmed = false;
    std::optional<TimePoint> m_readyAt;
    bool m_settled = false;
    ByteRateLimiter m_snapshotBytes;
    std::deque<std::int64_t> m_lagProbes; // Timestamps of the probes without a response yet, the oldest first.
    ClockOffsets m_clockOffsets;
    bool m_sentReady = false;
    bool m_sentStoreReachable = false;
    std::vector<EndpointGroup> m_sentPartitioned;
    std::vector<std::string> m_sentBrittle;
    Lender m_ownLender;
    TimePoint m_nextHeartbeatAt;
    // Minimum capacity of the hosts that are advertised to callers.
    double m_minAdvertisedCapacity = 0;
    double m_load = 0; // Requests per second at this router, smoothed over heartbeats.
    double m_fleetLoad = 0;
    std::uint64_t m_measuredRequests = 0;
    TimePoint m_measuredAt;
    ExchangeTime m_responseTime; // Of token requests to homes until the first answer, which may be a confirmation.
    TimePoint m_homesKeptUntil; // Until then no home is skipped.
    // Prompts are announced from this reading time on; adjusted to keep to `maxPromptsReceivedPerSecond`.
    double m_minAnnouncedSeconds = 0;
    TimePoint m_promptAnnouncedAt;
};

} // namespace Godwit
