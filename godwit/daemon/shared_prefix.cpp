#include "godwit/daemon/shared_prefix.h"

#include "godwit/base/enum_names.h"
#include "godwit/relay/relay.h"

#include <algorithm>
#include <random>

namespace Godwit
{
namespace
{

constexpr EnumName<FetchSource> FetchSourceNames[] = {
    {FetchSource::Store, "store"},
    {FetchSource::Peer, "peer"},
};

std::size_t bytesOf(const std::vector<StoreItem> &items)
{
    std::size_t bytes = 0;
    for (const StoreItem &item : items) {
        bytes += item.value.size();
    }
    return bytes;
}

// Uniformly distributed in [0, 1).
double randomFraction()
{
    static std::minstd_rand generator{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

} // namespace

std::string_view fetchSourceName(FetchSource source)
{
    return enumName(FetchSourceNames, source);
}

SharedPrefix::SharedPrefix(boost::asio::io_context &io,
                           StoreClient &store,
                           std::string prefix,
                           SharedPrefixOptions options,
                           std::function<void(const Items &)> onCopyChanged,
                           std::function<void(bool)> onStoreResult)
    : m_timer(io)
    , m_readTimer(io)
    , m_catchUpTimer(io)
    , m_store(store)
    , m_prefix(std::move(prefix))
    , m_options(options)
    , m_onCopyChanged(std::move(onCopyChanged))
    , m_onStoreResult(std::move(onStoreResult))
    , m_snapshotTimeout(options.largeSnapshotTimeout)
{
}

void SharedPrefix::start()
{
    m_started = true;
    readAll();
    scheduleRead();
}

void SharedPrefix::startDeferred()
{
    scheduleRead();
}

bool SharedPrefix::isStoreReachable() const
{
    return !storeReachable || storeReachable();
}

std::optional<int> SharedPrefix::rank() const
{
    if (!isStoreReachable()) {
        return std::nullopt;
    }
    return readerRank ? readerRank() : 0;
}

void SharedPrefix::scheduleRead()
{
    // While there are readers, only they take part in the schedule.
    const bool standby = !rank();
    const int routers = routerCount ? routerCount() : 1;
    const int sharing = standby ? routers : std::min(routers, m_options.readSchedule.readers);
    m_readTimer.expires_at(nextReadTime(m_options.readSchedule, Relay::now(), sharing, randomFraction(), standby));
    m_readTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            readOnSchedule();
        }
    });
}

void SharedPrefix::readOnSchedule()
{
    if (isStoreReachable() && m_copy.complete) {
        read(true);
    } else if (isStoreReachable() && !m_initialReadOpen) {
        readAll();
    }
    scheduleRead();
}

void SharedPrefix::readNow()
{
    if (m_copy.complete) {
        read(false);
    } else if (!m_initialReadOpen) {
        readAll();
    }
}

SharedPrefix::ReadStart SharedPrefix::startRead()
{
    return {Relay::now(), Relay::bootTimeNow()};
}

// Concurrent reads of a large copy would compete for this host's link and delay each other.
void SharedPrefix::read(bool scheduled)
{
    if (m_openReads > 0 && isLarge()) {
        m_rereadPending = m_rereadPending || !scheduled;
        return;
    }
    ++m_openReads;
    m_store.range(m_prefix, [this, scheduled, start = startRead()](const StoreItemsReply &reply) {
        --m_openReads;
        reportFetch(reply, start);
        m_onStoreResult(reply.status == StoreStatus::Ok);
        if (reply.status == StoreStatus::Ok) {
            onRead(reply, start, scheduled);
        }
        const bool reread = m_openReads == 0 && std::exchange(m_rereadPending, false);
        if (reread && isStoreReachable() && isBehind(m_catchUpTarget)) {
            read(false);
        }
    });
}

void SharedPrefix::reportFetch(const StoreItemsReply &reply, const ReadStart &start) const
{
    if (onFetched) {
        onFetched({FetchSource::Store, reply.status == StoreStatus::Ok, bytesOf(reply.items), Relay::now() - start.at});
    }
}

void SharedPrefix::onRead(const StoreItemsReply &reply, const ReadStart &start, bool scheduled)
{
    // Calls use several connections, so responses can arrive out of order.
    if (reply.revision < m_copy.completeTo) {
        return;
    }
    recordOwnRead(start);
    const auto replaced = replacedValues(reply.items);
    const auto changes = applySnapshot(m_copy, reply.items, reply.revision);
    if (!changes.empty()) {
        onChanged(changes);
    }
    if (!changes.empty() && m_watching && onWatchMissedChange) {
        onWatchMissedChange();
    }
    if (scheduled) {
        broadcastChanges(changes, replaced, start.bootTime);
    }
}

void SharedPrefix::onChanged(const std::vector<StoreItem> &changes)
{
    for (const StoreItem &change : changes) {
        noteChange(m_changeTimes, change.revision, Relay::now());
    }
    m_onCopyChanged(m_copy.items);
}

void SharedPrefix::recordOwnRead(const ReadStart &start)
{
    m_asOf = std::max(m_asOf, start.at);
    recordFullRead(m_freshness, start.at, start.bootTime);
    if (!m_lastReadAt) {
        m_firstReadAt = Relay::now();
    }
    recordRead(StoreRecovery{});
}

// A router that has seen full reads without a gap reports reliably whether the store was unavailable. One with a gap
// assumes an outage of the store until such a router reports otherwise: the gap may come from its own partition or a
// saturated link, and treating it as an outage would keep endpoints that have left.
void SharedPrefix::recordRead(const StoreRecovery &reported)
{
    const TimePoint now = Relay::now();
    const bool hadGap = m_lastReadAt && now >= *m_lastReadAt + m_options.minOutageGap;
    m_lastReadAt = now;
    if (m_storeRecoveredAt && now >= *m_storeRecoveredAt + m_options.newcomerPeriod) {
        m_storeRecoveredAt.reset();
        m_recoveryInferred = false;
    }
    if (reported.known && (hadGap || m_recoveryInferred)) {
        m_recoveryInferred = false;
        m_storeRecoveredAt = reported.ago ? std::optional(now - *reported.ago) : std::nullopt;
    } else if (hadGap) {
        m_recoveryInferred = true;
        m_storeRecoveredAt = now;
    }
    if (onStoreRecovery) {
        onStoreRecovery(m_storeRecoveredAt);
    }
}

StoreRecovery SharedPrefix::storeRecovery() const
{
    const TimePoint now = Relay::now();
    StoreRecovery storeRecovery;
    storeRecovery.known = !m_recoveryInferred && now >= m_firstReadAt + m_options.newcomerPeriod;
    if (m_storeRecoveredAt) {
        storeRecovery.ago = now - *m_storeRecoveredAt;
    }
    return storeRecovery;
}

std::map<std::string, std::string> SharedPrefix::replacedValues(const std::vector<StoreItem> &items) const
{
    std::map<std::string, std::string> values;
    for (const StoreItem &item : items) {
        const auto stored = m_copy.items.find(item.key);
        const bool changes = stored != m_copy.items.end() && stored->second.revision != item.revision;
        if (changes && stored->second.value.size() >= m_options.minDeltaValueBytes) {
            values[item.key] = stored->second.value;
        }
    }
    return values;
}

void SharedPrefix::broadcastChanges(const std::vector<StoreItem> &changes,
                                    const std::map<std::string, std::string> &replaced,
                                    const std::optional<TimePoint> &readStartedAt)
{
    if (!broadcastUpdate) {
        return;
    }
    PrefixUpdate update;
    update.state = state();
    update.fromFullRead = readStartedAt.has_value();
    update.readStartedAt = readStartedAt;
    update.storeRecovery = storeRecovery();
    const bool isReader = rank().has_value();
    for (const StoreItem &change : changes) {
        const auto base = change.removed ? replaced.end() : replaced.find(change.key);
        if (base != replaced.end()) {
            ItemDelta delta{change.key, change.revision, makeValueDelta(base->second, change.value)};
            const std::size_t maxBytes = isReader ? m_options.maxSentDeltaBytes : m_options.maxSentValueBytes;
            if (encodedSize(delta.value) < std::min(change.value.size() / 2, maxBytes)) {
                update.deltas.push_back(std::move(delta));
                continue;
            }
        }
        // When a whole fleet starts at once every router finds a large value by its own read. Non-readers don't send
        // it, since a small host's link can't carry copies for all others.
        const std::size_t maxBytes = isReader ? m_options.maxSentValueBytes : m_options.minDeltaValueBytes;
        if (change.value.size() <= maxBytes) {
            update.changes.push_back(change);
        } else {
            update.truncated = true;
        }
    }
    broadcastUpdate(update);
}

void SharedPrefix::onUpdate(const PrefixUpdate &update, const SnapshotRequester &requestFromSender)
{
    if (update.fromFullRead) {
        scheduleRead();
        recordRead(update.storeRecovery);
    }
    std::vector<StoreItem> changes = update.changes;
    const bool missingBase = !applyDeltas(update.deltas, changes);
    const auto delta = applyDelta(m_copy, changes);
    if (!delta.empty() && m_copy.complete) {
        onChanged(delta);
    }
    if (m_copy.complete && digestOf(m_copy) == update.state.digest) {
        markComplete(m_copy, update.state.completeTo);
        recordPeerConfirmation(ConfirmationSource::PeerRead, update.state, update.readStartedAt, update.sender);
        return;
    }
    if (update.truncated && isStoreReachable()) {
        scheduleCatchUp(
            update.state, std::chrono::duration_cast<Duration>(m_options.readSpread * randomFraction()), nullptr);
    } else if (!m_copy.complete) {
        scheduleCatchUp(update.state, Duration::zero(), requestFromSender);
    } else if (isBehind(update.state) || update.truncated) {
        const bool knownGap = update.fromFullRead || update.truncated || missingBase;
        scheduleCatchUp(update.state, knownGap ? m_options.reorderDelay : m_options.catchUpDelay, requestFromSender);
    }
}

// A copy that is complete up to a revision contains everything that a read of this revision returned. Copies that
// merely hold the same newest revision may lack an earlier change.
void SharedPrefix::recordPeerConfirmation(ConfirmationSource source,
                                          const PrefixState &remote,
                                          const std::optional<TimePoint> &at,
                                          const std::string &peer)
{
    if (at && m_copy.complete && m_copy.completeTo >= remote.completeTo) {
        recordConfirmation(m_freshness, source, *at, peer);
    }
}

bool SharedPrefix::applyDeltas(const std::vector<ItemDelta> &deltas, std::vector<StoreItem> &changes) const
{
    bool applied = true;
    for (const ItemDelta &delta : deltas) {
        const auto stored = m_copy.items.find(delta.key);
        if (stored == m_copy.items.end()) {
            applied = false;
        } else if (stored->second.revision < delta.revision) {
            if (auto value = applyValueDelta(stored->second.value, delta.value)) {
                changes.push_back({delta.key, std::move(*value), delta.revision, false});
            } else {
                applied = false;
            }
        }
    }
    return applied;
}

// A digest that differs is not sufficient: when changes arrive more often than full reads, a copy that is up to date
// differs from every read.
bool SharedPrefix::isBehind(const PrefixState &remote) const
{
    if (digestOf(m_copy) == remote.digest) {
        return false;
    }
    return remote.newestRevision > newestRevision(m_copy)
        || (remote.completeTo > m_copy.completeTo && !hasNewerThan(m_copy, remote.completeTo));
}

// Catches up with `remote` after a delay: through `requester` if it is set, otherwise or if that brings nothing by
// reading the store. If the store is unreachable other peers are asked, which may have the changes by then.
void SharedPrefix::scheduleCatchUp(const PrefixState &remote, Duration after, const SnapshotRequester &requester)
{
    const TimePoint due = Relay::now() + after;
    if (!m_catchUpDue || remote.newestRevision > m_catchUpTarget.newestRevision) {
        m_catchUpTarget = remote;
    }
    // A catch-up that is due earlier replaces the pending one: a change that has to be fetched now must not wait for
    // one that may still be in transit.
    if (m_catchUpDue && *m_catchUpDue <= due) {
        return;
    }
    m_catchUpDue = due;
    m_catchUpTimer.expires_at(due);
    m_catchUpTimer.async_wait([this, requester, due, after](const boost::system::error_code &error) {
        if (error || m_catchUpDue != due) {
            return;
        }
        m_catchUpDue.reset();
        const PrefixState remote = m_catchUpTarget;
        if (m_copy.complete && !isBehind(remote)) {
            return;
        }
        if (!(isLarge() && isStoreReachable()) && requestSnapshot(requester)) {
            scheduleCatchUp(remote, m_options.snapshotTimeout, nullptr);
        } else if (isStoreReachable()) {
            readNow();
        } else if (const Duration next = 2 * std::max(after, m_options.snapshotTimeout);
                   next <= m_options.maxRetryDelay && requestSnapshot(requestFromAnyPeer)) {
            scheduleCatchUp(remote, next, nullptr);
        }
    });
}

void SharedPrefix::verifyFreshness()
{
    if ((isLarge() && isStoreReachable()) || !requestSnapshot(requestFromAnyPeer)) {
        readNow();
    }
}

// Requests one large snapshot at a time, as for reads. An incomplete copy may lack something large, so it is limited
// too.
bool SharedPrefix::requestSnapshot(const SnapshotRequester &requester)
{
    if (!requester) {
        return false;
    }
    const TimePoint now = Relay::now();
    if (m_copy.complete && !isLarge()) {
        return requester();
    }
    if (now < m_snapshotDeadline) {
        return true;
    }
    if (!requester()) {
        return false;
    }
    m_snapshotDeadline = now + m_snapshotTimeout;
    m_snapshotTimeout = std::min(2 * m_snapshotTimeout, m_options.maxLargeSnapshotTimeout);
    return true;
}

// For a large copy the store is preferred over a peer, since a large snapshot delays the requests on the peer's link.
bool SharedPrefix::isLarge() const
{
    std::size_t bytes = 0;
    for (const auto &[key, item] : m_copy.items) {
        bytes += item.value.size();
    }
    return bytes > m_options.maxSentValueBytes;
}

void SharedPrefix::onSnapshot(const PrefixSnapshot &snapshot)
{
    const bool matches = !snapshot.items && digestOf(m_copy) == snapshot.state.digest;
    if (snapshot.items || snapshot.deferred) {
        m_snapshotDeadline = {};
        m_snapshotTimeout = m_options.largeSnapshotTimeout;
    }
    if (snapshot.items) {
        if (onFetched) {
            const TimePoint requestedAt{Duration(snapshot.timestamp)};
            onFetched({FetchSource::Peer, true, bytesOf(*snapshot.items), Relay::now() - requestedAt});
        }
        const bool first = !m_copy.complete;
        const auto changes = applySnapshot(m_copy, *snapshot.items, snapshot.state.completeTo);
        if (first || !changes.empty()) {
            onChanged(changes);
        }
    } else if (matches) {
        markComplete(m_copy, snapshot.state.completeTo);
    }
    recordPeerFreshness(snapshot);
    recordPeerConfirmation(ConfirmationSource::PeerCopy, snapshot.state, snapshot.confirmedAt, snapshot.sender);
    if (snapshot.items || matches) {
        m_asOf = std::max(m_asOf, TimePoint(Duration(snapshot.timestamp)) - snapshot.age);
    }
}

// Compares with the current copy: changes that arrived while the response was in transit count as present.
void SharedPrefix::recordPeerFreshness(const PrefixSnapshot &snapshot)
{
    const TimePoint requestedAt{Duration(snapshot.timestamp)};
    const std::uint64_t stored = newestRevision(m_copy);
    if (stored < snapshot.state.newestRevision && snapshot.aheadFor > Duration::zero()) {
        m_missingRevision = std::max(m_missingRevision, snapshot.state.newestRevision);
        recordPeerState(m_freshness, requestedAt, snapshot.aheadFor, Relay::now());
    } else if (m_copy.complete && stored >= m_missingRevision) {
        recordPeerState(m_freshness, requestedAt, Duration::zero(), Relay::now());
    }
}

std::optional<PrefixSnapshot> SharedPrefix::snapshotFor(const SnapshotRequest &request) const
{
    if (!m_copy.complete) {
        return std::nullopt;
    }
    PrefixSnapshot snapshot;
    snapshot.state = state();
    snapshot.aheadFor = timeAheadOf(m_changeTimes, request.newestRevision, Relay::now());
    if (m_freshness.confirmedBy != ConfirmationSource::None) {
        snapshot.confirmedAt = m_freshness.confirmedAt;
        // If the store is unreachable from here as well, nothing newer can be read, so the copy counts as current.
        snapshot.age = isStoreReachable() ? Relay::bootTimeNow() - m_freshness.confirmedAt : Duration::zero();
    }
    if (!request.stateOnly && request.digest != snapshot.state.digest) {
        snapshot.items = itemsOf(m_copy);
    }
    return snapshot;
}

PrefixState SharedPrefix::state() const
{
    return PrefixState{m_prefix, m_copy.completeTo, digestOf(m_copy), newestRevision(m_copy)};
}

SnapshotRequest SharedPrefix::request() const
{
    return SnapshotRequest{m_prefix, 0, digestOf(m_copy), false, newestRevision(m_copy)};
}

void SharedPrefix::checkRole()
{
    const bool watches = m_options.watched && m_copy.complete && rank();
    if (watches == m_watching) {
        return;
    }
    m_watching = watches;
    ++m_generation;
    m_timer.cancel();
    m_store.cancelWatch(m_prefix);
    if (watches) {
        m_watchedRevision = m_copy.completeTo;
        openWatch();
    }
}

void SharedPrefix::reconnect()
{
    if (m_copy.complete) {
        ++m_generation;
        m_timer.cancel();
        m_store.cancelWatch(m_prefix);
        m_watching = false;
        // The delay lets the other routers report that they can reach the store too.
        runAfter(m_options.coalesceDelay, [this] {
            checkRole();
        });
    } else if (m_started && !m_initialReadOpen) {
        readAll();
    }
}

void SharedPrefix::readAll()
{
    m_initialReadOpen = true;
    m_store.range(m_prefix, [this, generation = ++m_generation, start = startRead()](const StoreItemsReply &reply) {
        if (generation != m_generation) {
            return;
        }
        reportFetch(reply, start);
        m_onStoreResult(reply.status == StoreStatus::Ok);
        m_initialReadOpen = false;
        if (reply.status != StoreStatus::Ok) {
            runAfter(m_options.retryInterval, [this] {
                readAll();
            });
            return;
        }
        recordOwnRead(start);
        onChanged(applySnapshot(m_copy, reply.items, reply.revision));
    });
}

void SharedPrefix::openWatch()
{
    m_store.watch(m_prefix,
                  m_watchedRevision,
                  m_options.watchTimeout,
                  [this, generation = ++m_generation](const StoreItemsReply &reply) {
                      if (generation == m_generation) {
                          onWatchReply(reply);
                      }
                  });
}

void SharedPrefix::onWatchReply(const StoreItemsReply &reply)
{
    m_onStoreResult(reply.status == StoreStatus::Ok || reply.status == StoreStatus::HistoryCompacted);
    if (reply.status != StoreStatus::Ok) {
        const bool compacted = reply.status == StoreStatus::HistoryCompacted;
        if (compacted) {
            read(true);
        }
        m_watching = false;
        runAfter(compacted ? m_options.coalesceDelay : m_options.retryInterval, [this] {
            checkRole();
        });
        return;
    }
    m_watchedRevision = std::max(m_watchedRevision, reply.revision);
    if (reply.items.empty()) {
        openWatch();
        return;
    }
    const bool largeChange = bytesOf(reply.items) > m_options.maxSentValueBytes;
    runAfter((largeChange ? m_options.largeReaderRankDelay : m_options.readerRankDelay) * rank().value_or(0),
             [this, reply] {
                 applyWatched(reply);
             });
}

void SharedPrefix::applyWatched(const StoreItemsReply &reply)
{
    const auto replaced = replacedValues(reply.items);
    const auto delta = applyDelta(m_copy, reply.items);
    if (!delta.empty()) {
        onChanged(delta);
        broadcastChanges(delta, replaced, std::nullopt);
    }
    const int routers = routerCount ? routerCount() : 1;
    runAfter(std::max(m_options.coalesceDelay, m_options.coalesceDelayPerRouter * routers), [this] {
        openWatch();
    });
}

void SharedPrefix::runAfter(Duration pause, const std::function<void()> &step)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this, step, generation = m_generation](const boost::system::error_code &error) {
        if (!error && generation == m_generation) {
            step();
        }
    });
}

} // namespace Godwit
