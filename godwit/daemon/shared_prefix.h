#pragma once

// Keeps a copy of everything under one prefix of the platform's store, together with the other routers.
//
// A few routers, the readers, watch the prefix, read everything again in turns, and tell the others what is new; those
// compare digests, and ask a peer for a snapshot where theirs differs. So the store's calls follow the changes and
// not the size of the fleet, and a router that can't reach the store still learns what the others read. A router that
// hears of no reading reads by itself (reading_turns.h). Not thread-safe.
//
// Example:
//   SharedPrefix endpoints(io, store, "servers/", options, [](const SharedPrefix::Items &items) { ... }, reached);
//   endpoints.tell = [](const PrefixUpdate &update) { ... to all others ... };
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
    // Where changes may be known a little later, the readings alone bring them.
    bool watched = true;
    // Longer waits cost fewer calls; a connection that went silent is noticed no sooner than this.
    Duration watchTimeout = std::chrono::seconds(8);
    // Of the first reading, while the store is out of reach.
    Duration retryInterval = std::chrono::milliseconds(1500);
    // After an answer, so that a series of changes comes in one.
    Duration coalesceDelay = std::chrono::milliseconds(100);
    // Each change goes to every router, so that the pause grows with the fleet, well within the seconds in which a
    // change has to be known. Without it a storm of documents fills the links.
    Duration coalesceDelayPerRouter = std::chrono::milliseconds(6);
    ReadScheduleOptions readSchedule;
    // A message can overtake another one, from another router, by this much.
    Duration reorderDelay = std::chrono::milliseconds(100);
    // What a peer's copy holds besides is on its way here in most cases.
    Duration catchUpDelay = std::chrono::milliseconds(1000);
    // A peer that has not sent its snapshot by then is left alone, and the store asked.
    Duration snapshotTimeout = std::chrono::milliseconds(300);
    // Peers are asked again after twice the time each, up to this; then the next beat begins anew.
    Duration maxRetryDelay = std::chrono::milliseconds(2400);
    // A large snapshot counts as on its way for so long, and for twice as long after each one that did not come: how
    // wide this host's link is, and what else it carries, is not known.
    Duration largeSnapshotTimeout = std::chrono::seconds(1);
    Duration maxLargeSnapshotTimeout = std::chrono::seconds(8);
    // What each further reader leaves to the one before it: else all of them would tell the same. More of it where that
    // takes the other a while.
    Duration readerRankDelay = std::chrono::milliseconds(25);
    Duration largeReaderRankDelay = std::chrono::milliseconds(250);
    // A change of a larger value is told as what changed, to those that hold the value before.
    std::size_t minDeltaValueBytes = 1024;
    // A larger value is read by each router, spread over `readSpread`: passing it on keeps small hosts' links busy, and
    // the tokens that go over them late.
    std::size_t maxSentValueBytes = 64UL * 1024;
    // Readers, whose links are wide, tell more than that of what has changed: it is less than each router would read.
    std::size_t maxSentDeltaBytes = 512UL * 1024;
    Duration readSpread = std::chrono::milliseconds(300);
    // Entries on leases can lapse while the store is away for so long.
    Duration minOutageGap = std::chrono::seconds(2);
    // A process that has read for the first time within this time can't say whether the store was away.
    Duration newcomerPeriod = std::chrono::seconds(3);
};

enum class FetchSource {
    Store,
    Peer,
};

std::string_view fetchSourceName(FetchSource source);

// One answer with everything under a prefix, or the lack of one.
struct CopyFetch
{
    FetchSource source = FetchSource::Store;
    bool succeeded = false;
    std::size_t bytes = 0; // Of the values.
    Duration duration{};
};

class SharedPrefix
{
public:
    using Items = std::map<std::string, StoreItem>;
    // Asks a peer for its snapshot; false when it can't be asked.
    using SnapshotRequester = std::function<bool()>;

    // `changed` gets the whole copy after each change; `reached` says after each answer whether the store spoke.
    SharedPrefix(boost::asio::io_context &io,
                 StoreClient &store,
                 std::string prefix,
                 SharedPrefixOptions options,
                 std::function<void(const Items &)> onCopyChanged,
                 std::function<void(bool)> onStoreResult);

    // Reads everything, and goes on in turns.
    void start();

    // Waits for its turn instead, or for a peer's snapshot.
    void startDeferred();

    // Begins or ends to watch, where the role of this router has changed.
    void checkRole();

    // A peer has told changes, or what its copy holds.
    void onUpdate(const PrefixUpdate &update, const SnapshotRequester &requestFromSender);

    // A peer has sent what it was asked for.
    void onSnapshot(const PrefixSnapshot &snapshot);

    // What a peer gets that asks; unset while this copy is not complete.
    std::optional<PrefixSnapshot> snapshotFor(const SnapshotRequest &request) const;

    // Asks anew at once: the store has come back, and an open watch may hang on a dead connection.
    void reconnect();

    // Reads everything now, for this router alone. A large copy is read once at a time: then after the reading that is
    // open, if something is lacking still.
    void readNow();

    // Makes sure that the copy is as new as those of the others: asks one of them, or else the store.
    void verifyFreshness();

    // What the copy holds now.
    PrefixState state() const;

    // Asks a peer whether it holds more.
    SnapshotRequest request() const;

    const std::string &prefix() const
    {
        return m_prefix;
    }

    // The copy is at least as new as this, or as new as the peer's that was asked then while nobody reached the
    // store.
    TimePoint asOf() const
    {
        return m_asOf;
    }

    // What peers have said of the age of this copy.
    const CopyFreshness &freshness() const
    {
        return m_freshness;
    }

    // Whether the copy has been complete once.
    bool isComplete() const
    {
        return m_copy.complete;
    }

    // All other routers are to be told.
    std::function<void(const PrefixUpdate &)> broadcastUpdate;

    // Asks any peer for its snapshot.
    SnapshotRequester requestFromAnyPeer;

    // Called when a reading showed changes that this router's watch had not brought.
    std::function<void()> onWatchMissedChange;

    // Called after each reading, and with each snapshot of a peer that brought entries.
    std::function<void(const CopyFetch &)> onFetched;

    // Called with each reading, before its changes: when the store came back, if it was away lately.
    std::function<void(std::optional<TimePoint>)> onStoreRecovery;

    // Which of the readers this router is, if any; unset: the first.
    std::function<std::optional<int>()> readerRank;

    // Whether the store answers this router; unset: it does.
    std::function<bool()> storeReachable;

    // How many routers share the readings.
    std::function<int()> routerCount;

private:
    void readAll();
    void openWatch();
    void onWatchReply(const StoreItemsReply &reply);
    void applyWatched(const StoreItemsReply &reply);
    void scheduleRead();
    void readOnSchedule();
    void read(bool scheduled);
    // Asks with `ask` unless a large snapshot is on its way; false when nobody can be asked.
    bool requestSnapshot(const SnapshotRequester &requester);
    void onRead(const StoreItemsReply &reply, TimePoint began, bool scheduled);
    void reportFetch(const StoreItemsReply &reply, TimePoint began) const;
    void recordOwnRead(TimePoint began);
    void recordPeerFreshness(const PrefixSnapshot &snapshot);
    void onChanged(const std::vector<StoreItem> &changes);
    void recordRead(const StoreRecovery &reported);
    StoreRecovery storeRecovery() const;
    // By key, the values that `items` replace and a delta pays for.
    std::map<std::string, std::string> replacedValues(const std::vector<StoreItem> &items) const;
    void broadcastChanges(const std::vector<StoreItem> &changes,
                          const std::map<std::string, std::string> &replaced,
                          bool fromFullRead);
    // What `deltas` make of the values held here; false when one of them needs another base.
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
    bool m_rereadPending = false; // Once the open reading has ended.
    TimePoint m_snapshotDeadline; // Until then one that a peer was asked for counts as on its way.
    Duration m_snapshotTimeout{};
    bool m_watching = false;
    std::optional<TimePoint> m_catchUpDue; // When it will be caught up with what is wanted.
    PrefixState m_catchUpTarget; // What is being caught up with.
    TimePoint m_asOf;
    ChangeTimes m_changeTimes;
    CopyFreshness m_freshness;
    std::uint64_t m_missingRevision = 0; // A peer is known to hold changes up to this revision.
    TimePoint m_firstReadAt;
    std::optional<TimePoint> m_lastReadAt; // The last reading, of whichever router.
    std::optional<TimePoint> m_storeRecoveredAt; // The end of the store's last absence, while it matters.
    bool m_recoveryInferred = false; // From this router's own silence.
    std::uint64_t m_generation = 0; // Answers to calls of earlier rounds come too late.
};

} // namespace Godwit
