#pragma once

// What the routers tell each other over their links: that they live, what is new in the platform's store, what they
// hold of each budget, and tokens that move from one to another.
//
// A message may be lost with its link; nothing here depends on one. Not thread-safe.

#include "godwit/base/time.h"
#include "godwit/daemon/prefix_messages.h"
#include "godwit/gateway/byte_rate_limiter.h"
#include "godwit/gateway/entry_hosts.h"
#include "godwit/gateway/read_schedule.h"
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
#include <string>
#include <vector>

namespace Godwit
{

struct FleetLinksOptions
{
    Hello own;
    double ownCapacity = 0; // Requests a second that this host can take.
    std::string listenAddress;
    // With more peers than this, beats come less often. Routers that callers are not told of beat `quietBeats` times
    // less often: nothing hangs on them.
    Duration heartbeatInterval = std::chrono::milliseconds(400);
    int maxPeersAtBaseInterval = 64;
    int unadvertisedHeartbeatFactor = 4;
    EntryHostOptions advertisedHosts;
    // A load that has passed counts on for this long, so that the list of hosts doesn't change with each wave.
    Duration loadDecayTime = std::chrono::seconds(10);
    // How soon the others hear that this router has become ready, or leaves.
    Duration readinessCheckInterval = std::chrono::milliseconds(50);
    // Callers are sent to a router that was heard within so many beats.
    int responsiveHeartbeats = 4;
    // No second question to other homes about the same customer within this time.
    Duration reclaimInterval = std::chrono::milliseconds(30);
    // A home answers a wish within a few milliseconds, if only by saying that it has to wait. One that has not answered
    // for so long is passed over for `passOver`: a host that vanished closes no link, and beats tell only after 1.6 s.
    Duration homeResponseTimeout = std::chrono::milliseconds(40);
    Duration unresponsiveHomePeriod = std::chrono::seconds(1);
    TokenPrefetchOptions prefetch;
    std::size_t homeCount = 6;
    // How long a wish waits at a home, and how long it counts as on its way here: no request waits longer.
    Duration tokenRequestTimeout = std::chrono::milliseconds(200);
    // A ledger up to this size is told to all others once it is written; a longer one costs more than the refused
    // writes that it saves.
    std::size_t maxSharedLedgerBytes = 12UL * 1024;
    // A router that is ready waits this long before it is home to any customer, and by `settlePerRouter` longer for
    // each router that it has not heard yet; meanwhile it looks this often. Where the whole fleet starts at once it
    // would be one of many, and their writes refuse each other's. Small hosts need their time for each link.
    Duration settleTime = std::chrono::milliseconds(350);
    Duration settleTimePerRouter = std::chrono::milliseconds(10);
    Duration soloCheckInterval = std::chrono::milliseconds(100);
    // An update that takes more than this for all routers goes to some of them, which pass it on to the rest: a
    // document for each of hundreds of routers would keep one host's link busy for seconds. Others go to each router,
    // since what goes over a router is lost for its part of the fleet while that one is frozen.
    std::size_t minRelayedUpdateBytes = 1024UL * 1024;
    // Snapshots for the peers. Where few hosts reach the store all others ask them at once, and whole documents for
    // each would keep a small host's link busy for seconds.
    ByteRateLimit snapshotRate{bytesPerSecond(500)};
    std::size_t minLargeSnapshotBytes = 64UL * 1024;
    int readers = ReadScheduleOptions{}.readers;
    // Prompts that take an engine less time than this are not told to the other routers: a request behind one of them
    // is hardly later.
    Duration minAnnouncedPromptTime = std::chrono::milliseconds(12);
    // All routers together tell each other of this many prompts a second, counted at each that hears: each costs some
    // 40 us at both ends. In a large fleet only the longest are told.
    double maxPromptsReceivedPerSecond = 2500;
    // Answers between routers come within a few milliseconds. One that took this long has waited in this host's own
    // queue, and a list of endpoints as old and a request as late still meet the 2 s within which an endpoint that
    // leaves may get requests.
    Duration staleLag = std::chrono::milliseconds(500);
    // Questions whose answers are waited for; one that is older than these has been lost.
    std::size_t maxOpenLagProbes = 32;
    // Customers in one beat at most.
    std::size_t maxCustomersPerHeartbeat = 64;
};

// A router as the platform lists it, or as its hello said.
struct FleetMember
{
    HostId host;
    Incarnation incarnation;
    DataCentreId dataCentre;
    std::string callerAddress;
    std::string peerAddress;
    double capacity = 0; // Requests a second that its host can take.
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

    // The live routers as the platform lists them. Those that it no longer lists stay known while they are heard.
    void setListed(const std::vector<FleetMember> &members);

    // Asks for what the requests that wait here need in all: the customer's home, or, at the home itself, whoever else
    // still holds some.
    void requestTokens(const CustomerId &customer, Tokens needed);

    // Sends what other routers wait for and is there now.
    void serveTransferRequests();

    // Says now what the next beat would say, such as that this router is leaving.
    void sendHeartbeat();

    // The routers that take requests, this one left out.
    std::vector<EntryAddress> callerAddresses() const;

    // Whether callers are told of this router.
    bool isAdvertised() const
    {
        return m_options.ownCapacity >= m_minAdvertisedCapacity;
    }

    // Routers that take requests, this one included.
    int liveCount() const;

    // Tells all others what is new under a prefix of the store.
    void sendUpdate(const PrefixUpdate &update);

    // Asks a router for its snapshot of a prefix, where it differs from this router's copy; false when it is not
    // linked.
    bool requestSnapshot(const Incarnation &peer, SnapshotRequest request);

    // The same of any router that callers are told of.
    bool requestSnapshotFromAny(const SnapshotRequest &request);

    // Asks some routers whether they hold more than this one, and sees how late the answers come: a host whose link is
    // full is behind.
    void compareCopies(const std::vector<SnapshotRequest> &requests);

    // Which of the prefix's readers this router is, if any.
    std::optional<int> readerRankOf(const std::string &prefix) const;

    // Tells all others how the ledger of prepaid totals stands since this router's write.
    void broadcastLedger(std::uint64_t revision, const std::string &ledger);

    // Tells all others that this router has sent a long prompt to an engine.
    void announcePrompt(const PromptSent &prompt, Duration reading);

    // Tells those that callers are told of about requests that endpoints died under.
    void announceSuspects(const std::vector<SuspectNotice> &notices);

    // Another router has told of such requests.
    std::function<void(const std::vector<SuspectNotice> &)> onSuspects;

    // Which part of the other routers that the platform lists, and that this one has links with, is heard; 1 when it
    // lists none.
    double responsivePeerFraction() const;

    // Which part of the routers that are heard has lately said that the platform's store is out of its reach; 1 when
    // none is heard.
    double storeUnreachableFraction() const;

    // Tells all others that the platform's store answers again.
    void broadcastStoreReachable();

    // Another router has reached the platform's store.
    std::function<void()> onStoreReachable;

    // How late another router's answer came; called for each that tells when it was sent, also for those in time.
    std::function<void(Duration)> onLag;

    // Another router has told what is new under a prefix, or what its copy holds.
    std::function<void(const Incarnation &from, const PrefixUpdate &update)> onUpdate;

    // Another router has sent its snapshot.
    std::function<void(const PrefixSnapshot &)> onSnapshot;

    // Answers another router's request; unset while there is nothing to send.
    std::function<std::optional<PrefixSnapshot>(const SnapshotRequest &)> snapshotFor;

    // What this router's copies hold, for its beats.
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
        double load = 0; // Requests a second.
        TimePoint lastMessageAt;
        // Since when a wish of this router has had no answer, and until when this peer is passed over for that.
        std::optional<TimePoint> unansweredSince;
        TimePoint skippedUntil;
        TimePoint linkedAt;
        bool storeReachable = false;
    };

    void scheduleHeartbeat();
    void scheduleCheck();
    void sendReadinessChange();
    void checkSettled(TimePoint now);
    void chooseHomes();
    bool isServing(const Peer &peer, TimePoint now) const;
    // Hosts of this capacity and more are of the largest kind that is up.
    double minLargestClassCapacity(TimePoint now) const;
    // The routers that are homes now; null stands for this one.
    std::vector<Peer *> homeRouters(TimePoint now);
    // Null when this router is the home, or when there is none.
    Peer *homeOf(const CustomerId &customer, const std::vector<Peer *> &hosts) const;
    void requestFromHome(const CustomerId &customer, Tokens needed);
    void prefetchTokens();
    void reclaimFromHolders(const CustomerId &customer, Tokens needed);
    void armResponseTimer();
    void skipUnresponsiveHomes();
    // `stamp`: of the wish that is answered at once, or 0.
    void sendTransfer(const TokenTransfer &transfer, Tokens timestamp = 0);
    void recordLag(Tokens timestamp);
    void returnUnusedTokens();
    nlohmann::json encodeHolding(const CustomerId &customer) const;
    void applyHolding(const CustomerId &customer, const HolderId &holder, const nlohmann::json &row);
    std::string encodeHeartbeat() const;
    void onLinkUp(const Hello &hello);
    void onLinkDown(const Incarnation &incarnation);
    void onMessage(const Incarnation &from, const Envelope &envelope);
    void onHeartbeat(Peer &peer, const std::string &body);
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
    void onSnapshotReceived(const std::string &body);
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
    void dialPeers();
    void sendToAdvertised(const Envelope &envelope);
    void dropUnresponsive(TimePoint now);

    Relay &m_relay;
    FleetLinksOptions m_options;
    std::unique_ptr<RouterMesh> m_mesh;
    boost::asio::steady_timer m_timer;
    std::map<Incarnation, Peer> m_peers;
    std::map<CustomerId, TimePoint> m_reclaimedAt;
    // What homes have been asked for and not sent yet.
    struct PendingTokens
    {
        Tokens tokens = 0;
        TimePoint requestedAt;
        TimePoint expiresAt;
    };
    std::map<CustomerId, PendingTokens> m_pendingTokens;
    boost::asio::steady_timer m_responseTimer;
    bool m_responseTimerArmed = false;
    std::optional<TimePoint> m_readyAt;
    bool m_settled = false;
    ByteRateLimiter m_snapshotBytes;
    std::deque<std::int64_t> m_lagProbes; // Of the questions whose first answer is still out, the oldest first.
    bool m_sentReady = false;
    bool m_sentStoreReachable = false;
    TimePoint m_nextHeartbeatAt;
    // The least capacity of the hosts that callers are told of.
    double m_minAdvertisedCapacity = 0;
    double m_load = 0; // Requests a second at this router, as an average of the last beats.
    double m_fleetLoad = 0;
    std::uint64_t m_measuredRequests = 0;
    TimePoint m_measuredAt;
    // The shortest prompt that is told now, as reading time in seconds; follows the bound on what is told.
    ExchangeTime m_exchangeTime; // With homes.
    double m_minAnnouncedSeconds = 0;
    TimePoint m_promptAnnouncedAt;
};

} // namespace Godwit
