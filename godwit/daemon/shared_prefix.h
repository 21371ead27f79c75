#pragma once

// Replicates all entries under one key prefix of the platform's store among the routers.
//
// A few routers, the readers, watch the prefix, take turns reading it in full, and broadcast the changes. The other
// routers compare digests and request a snapshot from a peer when theirs differs. The number of store calls therefore
// depends on the rate of changes and not on the size of the fleet, and a router that can't reach the store still
// receives what the others read. A router that receives no report of a full read within the expected time reads the
// prefix itself (read_schedule.h). Not thread-safe.
//
// Example:
//   SharedPrefix endpoints(io, store, "servers/", options, [](const SharedPrefix::Items &items) { ... }, reached);
//   endpoints.broadcastUpdate = [](const PrefixUpdate &update) { ... to all others ... };
//   endpoints.start();

#include "godwit/base/time.h"
#include "godwit/daemon/prefix_messages.h"
#include "godwit/gateway/copy_freshness.h"
#include "godwit/gateway/prefix_copy.h"
#include "godwit/gateway/read_schedule.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

struct SharedPrefixOptions
{
    // Whether readers watch the prefix. Without a watch changes arrive with the scheduled full reads only.
    bool watched = true;
    // Timeout of one watch call. A longer timeout costs fewer calls, but a dead connection is detected no sooner than
    // this.
    Duration watchTimeout = std::chrono::seconds(8);
    // Delay before the initial full read or a failed watch is retried while the store can't be reached.
    Duration retryInterval = std::chrono::milliseconds(1500);
    // Delay before the next watch call, so that a series of changes arrives in one response.
    Duration coalesceDelay = std::chrono::milliseconds(100);
    // Added to `coalesceDelay` for each router: every change is sent to every router, and without this delay frequent
    // document changes saturate the links. It stays well below the few seconds within which a change has to be applied.
    Duration coalesceDelayPerRouter = std::chrono::milliseconds(6);
    ReadScheduleOptions readSchedule;
    // By how much a message can be overtaken by one from another router; a gap is treated as a loss only after this
    // delay.
    Duration reorderDelay = std::chrono::milliseconds(100);
    // Delay before catching up when a peer's digest shows unknown changes: in most cases these are already in transit.
    Duration catchUpDelay = std::chrono::milliseconds(1000);
    // Timeout of a snapshot request to a peer; after it the store is read, or another peer is asked.
    Duration snapshotTimeout = std::chrono::milliseconds(300);
    // Upper bound of the retry delay, which doubles with each request to a peer. After that the next heartbeat of a
    // peer starts the sequence again.
    Duration maxRetryDelay = std::chrono::milliseconds(2400);
    // Initial timeout of a large snapshot; it doubles with each one that does not arrive, up to
    // `maxLargeSnapshotTimeout`, since the bandwidth and other load of this host's link are unknown.
    Duration largeSnapshotTimeout = std::chrono::seconds(1);
    Duration maxLargeSnapshotTimeout = std::chrono::seconds(8);
    // Each reader delays its broadcast of a watched change by this much per rank, so that not all readers broadcast the
    // same change. The large delay applies to changes that take the first reader longer to send.
    Duration readerRankDelay = std::chrono::milliseconds(25);
    Duration largeReaderRankDelay = std::chrono::milliseconds(250);
    // Changes of values of at least this size are sent as deltas, which only routers with the previous value can apply.
    std::size_t minDeltaValueBytes = 1024;
    // Larger values are not sent in full: each router reads them from the store, spread over `readSpread`. Sending them
    // would saturate the links of small hosts and delay token transfers.
    std::size_t maxSentValueBytes = 64UL * 1024;
    // Limit for deltas sent by readers. It is higher than the limit for whole values, since readers have fast links and
    // a delta is smaller than what each router would read from the store.
    std::size_t maxSentDeltaBytes = 512UL * 1024;
    Duration readSpread = std::chrono::milliseconds(300);
    // If no full read has been seen for this long, the store is taken to have been unavailable; leased entries may have
    // expired meanwhile.
    Duration minOutageGap = std::chrono::seconds(2);
    // For this long after its first full read a router can't tell whether the store was unavailable.
    Duration newcomerPeriod = std::chrono::seconds(3);
};

enum class FetchSource {
    Store,
    Peer,
};

std::string_view fetchSourceName(FetchSource source);

// Outcome of one full read from the store, or of one snapshot received from a peer.
struct CopyFetch
{
    FetchSource source = FetchSource::Store;
    bool succeeded = false;
    std::size_t bytes = 0; // Total size of the values.
    Duration duration{};
};

class SharedPrefix
{
public:
    using Items = std::map<std::string, StoreItem>;
    // Requests a snapshot from a peer; returns false if no request could be sent.
    using SnapshotRequester = std::function<bool()>;

    // `onCopyChanged` is called with the whole copy after each change; `onStoreResult` is called after each store call
    // with whether the store responded.
    SharedPrefix(boost::asio::io_context &io,
                 StoreClient &store,
                 std::string prefix,
                 SharedPrefixOptions options,
                 std::function<void(const Items &)> onCopyChanged,
                 std::function<void(bool)> onStoreResult);

    // Starts with a full read, then follows the read schedule.
    void start();

    // Starts without an initial read: waits for the scheduled read or for a peer's snapshot.
    void startDeferred();

    // Opens or cancels the watch after the reader role of this router may have changed.
    void checkRole();

    // Processes a peer's update: changes, or only the state of its copy.
    void onUpdate(const PrefixUpdate &update, const SnapshotRequester &requestFromSender);

    // Processes a snapshot that this router requested.
    void onSnapshot(const PrefixSnapshot &snapshot);

    // Returns the response to a peer's request; unset while this copy is not complete.
    std::optional<PrefixSnapshot> snapshotFor(const SnapshotRequest &request) const;

    // Cancels and reopens outstanding calls after the store has become reachable again: an open watch may hang on a
    // dead connection.
    void reconnect();

    // Starts a full read whose result is not broadcast. Only one read of a large copy runs at a time: if one is open,
    // another one follows it, provided that the copy is still behind then.
    void readNow();

    // Verifies that the copy is as recent as those of the other routers: requests a snapshot from a peer, or else reads
    // the store.
    void verifyFreshness();

    // Returns the summary of the current copy.
    PrefixState state() const;

    // Returns a request for a snapshot that differs from the current copy.
    SnapshotRequest request() const;

    const std::string &prefix() const
    {
        return m_prefix;
    }

    // The copy contains every change up to this time. While no router reaches the store, it is instead as recent as
    // that of the peer that was asked at this time.
    TimePoint asOf() const
    {
        return m_asOf;
    }

    // Staleness of this copy as derived from peers' responses.
    const CopyFreshness &freshness() const
    {
        return m_freshness;
    }

    // Whether a full read or a snapshot has been applied at least once.
    bool isComplete() const
    {
        return m_copy.complete;
    }

    // Sends an update to all other routers.
    std::function<void(const PrefixUpdate &)> broadcastUpdate;

    // Requests a snapshot from an arbitrary peer.
    SnapshotRequester requestFromAnyPeer;

    // Called when a full read found changes that this router's open watch had not delivered.
    std::function<void()> onWatchMissedChange;

    // Called after each full read, and for each peer snapshot that contained entries.
    std::function<void(const CopyFetch &)> onFetched;

    // Called with each full read, before its changes are applied: the time at which the store became available again,
    // if it was unavailable recently.
    std::function<void(std::optional<TimePoint>)> onStoreRecovery;

    // Rank of this router among the readers, if it is one. If no function is set, the router is the first reader.
    std::function<std::optional<int>()> readerRank;

    // Whether this router can reach the store. If no function is set, it can.
    std::function<bool()> storeReachable;

    // Number of routers that share the read schedule.
    std::function<int()> routerCount;

private:
    // When a read of the store started.
    struct ReadStart
    {
        TimePoint at;
        TimePoint bootTime;
    };

    static ReadStart startRead();
    void readAll();
    void openWatch();
    void onWatchReply(const StoreItemsReply &reply);
    void applyWatched(const StoreItemsReply &reply);
    void scheduleRead();
    void readOnSchedule();
    void read(bool scheduled);
    // Calls `requester` unless a large snapshot is already in transit; false if no request could be sent.
    bool requestSnapshot(const SnapshotRequester &requester);
    void onRead(const StoreItemsReply &reply, const ReadStart &start, bool scheduled);
    void reportFetch(const StoreItemsReply &reply, const ReadStart &start) const;
    void recordOwnRead(const ReadStart &start);
    void recordPeerFreshness(const PrefixSnapshot &snapshot);
    // Records the read that confirms a peer's copy of state `remote`, if this copy contains that one.
    void recordPeerConfirmation(ConfirmationSource source,
                                const PrefixState &remote,
                                const std::optional<TimePoint> &at,
                                const std::string &peer);
    void onChanged(const std::vector<StoreItem> &changes);
    void recordRead(const StoreRecovery &reported);
    StoreRecovery storeRecovery() const;
    // By key, the stored values that `items` replace and that are large enough for a delta.
    std::map<std::string, std::string> replacedValues(const std::vector<StoreItem> &items) const;
    // `readStartedAt`: boot time at which the full read started that brought the changes; nullopt if there was none.
    void broadcastChanges(const std::vector<StoreItem> &changes,
                          const std::map<std::string, std::string> &replaced,
                          const std::optional<TimePoint> &readStartedAt);
    // Applies `deltas` to the stored values and appends the results to `changes`; false if a base value is missing or
    // differs.
    bool applyDeltas(const std::vector<ItemDelta> &deltas, std::vector<StoreItem> &changes) const;
    void scheduleCatchUp(const PrefixState &remote, Duration after, const SnapshotRequester &requester);
    bool isBehind(const PrefixState &remote) const;
    bool isLarge() const;
    std::optional<int> rank() const;
    bool isStoreReachable() const;
    void runAfter(Duration pause, const std::function<void()> &step);

    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_readTimer;
    boost::asio::steady_timer m_catchUpTimer;
    StoreClient &m_store;
    std::string m_prefix;
    SharedPrefixOptions m_options;
    std::function<void(const Items &)> m_onCopyChanged;
    std::function<void(bool)> m_onStoreResult;
    PrefixCopy m_copy;
    std::uint64_t m_watchedRevision = 0;
    bool m_started = false;
    bool m_initialReadOpen = false;
    int m_openReads = 0;
    bool m_rereadPending = false; // A read was requested while one was open.
    TimePoint m_snapshotDeadline; // Until then a requested large snapshot is treated as in transit.
    Duration m_snapshotTimeout{};
    bool m_watching = false;
    std::optional<TimePoint> m_catchUpDue; // When the pending catch-up runs.
    PrefixState m_catchUpTarget; // The most recent state that this copy has to reach.
    TimePoint m_asOf;
    ChangeTimes m_changeTimes;
    CopyFreshness m_freshness;
    std::uint64_t m_missingRevision = 0; // A peer is known to have changes up to this revision.
    TimePoint m_firstReadAt;
    std::optional<TimePoint> m_lastReadAt; // Last full read by any router.
    std::optional<TimePoint> m_storeRecoveredAt; // When the store became available again; reset after `newcomerPeriod`.
    bool m_recoveryInferred = false; // Inferred from a gap in the reads that this router knows of.
    std::uint64_t m_generation = 0; // Responses to calls of an earlier generation are ignored.
};

} // namespace Godwit
