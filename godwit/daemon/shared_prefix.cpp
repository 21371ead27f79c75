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

// From 0 to 1.
double drawLot()
{
    static std::minstd_rand lots{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(lots);
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
                           std::function<void(const Items &)> changed,
                           std::function<void(bool)> reached)
    : m_timer(io)
    , m_readingTimer(io)
    , m_renewTimer(io)
    , m_store(store)
    , m_prefix(std::move(prefix))
    , m_options(options)
    , m_changed(std::move(changed))
    , m_reached(std::move(reached))
    , m_snapshotWait(options.largeSnapshotTakes)
{
}

void SharedPrefix::start()
{
    m_started = true;
    readAll();
    armReading();
}

void SharedPrefix::startLater()
{
    armReading();
}

bool SharedPrefix::inReach() const
{
    return !storeInReach || storeInReach();
}

std::optional<int> SharedPrefix::rank() const
{
    if (!inReach()) {
        return std::nullopt;
    }
    return readerRank ? readerRank() : 0;
}

void SharedPrefix::armReading()
{
    // The readers alone take turns as long as there are any.
    const bool standby = !rank();
    const int routers = routersSharing ? routersSharing() : 1;
    const int sharing = standby ? routers : std::min(routers, m_options.readings.readers);
    m_readingTimer.expires_at(nextReadTime(m_options.readings, Relay::now(), sharing, drawLot(), standby));
    m_readingTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            readInTurn();
        }
    });
}

void SharedPrefix::readInTurn()
{
    if (inReach() && m_copy.complete) {
        read(true);
    } else if (inReach() && !m_readingAll) {
        readAll();
    }
    armReading();
}

void SharedPrefix::readNow()
{
    if (m_copy.complete) {
        read(false);
    } else if (!m_readingAll) {
        readAll();
    }
}

// Two readings of a large copy would share this host's link, and make each other late.
void SharedPrefix::read(bool inTurn)
{
    if (m_readingsOpen > 0 && isLarge()) {
        m_readAgain = m_readAgain || !inTurn;
        return;
    }
    ++m_readingsOpen;
    m_store.range(m_prefix, [this, inTurn, began = Relay::now()](const StoreItemsReply &reply) {
        --m_readingsOpen;
        noteFetch(reply, began);
        m_reached(reply.status == StoreStatus::Ok);
        if (reply.status == StoreStatus::Ok) {
            onRead(reply, began, inTurn);
        }
        const bool again = m_readingsOpen == 0 && std::exchange(m_readAgain, false);
        if (again && inReach() && lacks(m_wanted)) {
            read(false);
        }
    });
}

void SharedPrefix::noteFetch(const StoreItemsReply &reply, TimePoint began) const
{
    if (onFetched) {
        onFetched({FetchSource::Store, reply.status == StoreStatus::Ok, bytesOf(reply.items), Relay::now() - began});
    }
}

void SharedPrefix::onRead(const StoreItemsReply &reply, TimePoint began, bool inTurn)
{
    // Calls go over several connections, and their answers overtake each other.
    if (reply.revision < m_copy.completeTo) {
        return;
    }
    noteOwnReading(began);
    const auto before = valuesBefore(reply.items);
    const auto changes = applySnapshot(m_copy, reply.items, reply.revision);
    if (!changes.empty()) {
        onChanged(changes);
    }
    if (!changes.empty() && m_following && onMissed) {
        onMissed();
    }
    if (inTurn) {
        tellOthers(changes, before, true);
    }
}

void SharedPrefix::onChanged(const std::vector<StoreItem> &changes)
{
    for (const StoreItem &change : changes) {
        noteChange(m_changeTimes, change.revision, Relay::now());
    }
    m_changed(m_copy.items);
}

void SharedPrefix::noteOwnReading(TimePoint began)
{
    m_asOf = std::max(m_asOf, began);
    Godwit::recordFullRead(m_agreement, began);
    if (!m_readAt) {
        m_firstReadAt = Relay::now();
    }
    noteReading(StoreReturn{});
}

// A router that heard of readings all the while knows best. One that did not takes its silence for a loss of the store
// until such a router says otherwise: after a cut of its own, or with its link full, it would keep endpoints that left.
void SharedPrefix::noteReading(const StoreReturn &told)
{
    const TimePoint now = Relay::now();
    const bool wasSilent = m_readAt && now >= *m_readAt + m_options.shortestLapse;
    m_readAt = now;
    if (m_returnedAt && now >= *m_returnedAt + m_options.newcomerFor) {
        m_returnedAt.reset();
        m_returnGuessed = false;
    }
    if (told.known && (wasSilent || m_returnGuessed)) {
        m_returnGuessed = false;
        m_returnedAt = told.ago ? std::optional(now - *told.ago) : std::nullopt;
    } else if (wasSilent) {
        m_returnGuessed = true;
        m_returnedAt = now;
    }
    if (onStoreReturn) {
        onStoreReturn(m_returnedAt);
    }
}

StoreReturn SharedPrefix::storeReturn() const
{
    const TimePoint now = Relay::now();
    StoreReturn storeReturn;
    storeReturn.known = !m_returnGuessed && now >= m_firstReadAt + m_options.newcomerFor;
    if (m_returnedAt) {
        storeReturn.ago = now - *m_returnedAt;
    }
    return storeReturn;
}

std::map<std::string, std::string> SharedPrefix::valuesBefore(const std::vector<StoreItem> &items) const
{
    std::map<std::string, std::string> values;
    for (const StoreItem &item : items) {
        const auto held = m_copy.items.find(item.key);
        const bool changes = held != m_copy.items.end() && held->second.revision != item.revision;
        if (changes && held->second.value.size() >= m_options.deltaFrom) {
            values[item.key] = held->second.value;
        }
    }
    return values;
}

void SharedPrefix::tellOthers(const std::vector<StoreItem> &changes,
                              const std::map<std::string, std::string> &before,
                              bool fromReading)
{
    if (!tell) {
        return;
    }
    PrefixUpdate update;
    update.state = state();
    update.fromReading = fromReading;
    update.storeReturn = storeReturn();
    const bool isReader = rank().has_value();
    for (const StoreItem &change : changes) {
        const auto base = change.removed ? before.end() : before.find(change.key);
        if (base != before.end()) {
            ItemDelta delta{change.key, change.revision, makeValueDelta(base->second, change.value)};
            const std::size_t longest = isReader ? m_options.longestToldDelta : m_options.longestToldValue;
            if (encodedSize(delta.value) < std::min(change.value.size() / 2, longest)) {
                update.deltas.push_back(std::move(delta));
                continue;
            }
        }
        // Where a fleet starts at once all find a large value by themselves, and a small host's link carries no copies
        // for all others.
        const std::size_t longest = isReader ? m_options.longestToldValue : m_options.deltaFrom;
        if (change.value.size() <= longest) {
            update.changes.push_back(change);
        } else {
            update.truncated = true;
        }
    }
    tell(update);
}

void SharedPrefix::onUpdate(const PrefixUpdate &update, const Ask &askSender)
{
    if (update.fromReading) {
        armReading();
        noteReading(update.storeReturn);
    }
    std::vector<StoreItem> changes = update.changes;
    const bool lacksBase = !applyDeltas(update.deltas, changes);
    const auto delta = applyDelta(m_copy, changes);
    if (!delta.empty() && m_copy.complete) {
        onChanged(delta);
    }
    if (m_copy.complete && digestOf(m_copy) == update.state.digest) {
        markComplete(m_copy, update.state.completeTo);
        if (update.fromReading) {
            recordMatchingPeerRead(m_agreement, Relay::now());
        }
        return;
    }
    if (update.truncated && inReach()) {
        renew(update.state, std::chrono::duration_cast<Duration>(m_options.readSpread * drawLot()), nullptr);
    } else if (!m_copy.complete) {
        renew(update.state, Duration::zero(), askSender);
    } else if (lacks(update.state) || update.truncated) {
        const bool tellsWhatIsNew = update.fromReading || update.truncated || lacksBase;
        renew(update.state, tellsWhatIsNew ? m_options.missedAfter : m_options.lateAfter, askSender);
    }
}

bool SharedPrefix::applyDeltas(const std::vector<ItemDelta> &deltas, std::vector<StoreItem> &changes) const
{
    bool applied = true;
    for (const ItemDelta &delta : deltas) {
        const auto held = m_copy.items.find(delta.key);
        if (held == m_copy.items.end()) {
            applied = false;
        } else if (held->second.revision < delta.revision) {
            if (auto value = applyValueDelta(held->second.value, delta.value)) {
                changes.push_back({delta.key, std::move(*value), delta.revision, false});
            } else {
                applied = false;
            }
        }
    }
    return applied;
}

// Where changes come faster than readings a copy differs from each reading, and lacks nothing.
bool SharedPrefix::lacks(const PrefixState &elsewhere) const
{
    if (digestOf(m_copy) == elsewhere.digest) {
        return false;
    }
    return elsewhere.newestRevision > newestRevision(m_copy)
        || (elsewhere.completeTo > m_copy.completeTo && !hasNewerThan(m_copy, elsewhere.completeTo));
}

// Catches up with a copy that holds more: from a peer if `ask` is set, and if that brings nothing from the store. Out
// of its reach other peers are asked, which may have it by then.
void SharedPrefix::renew(const PrefixState &elsewhere, Duration after, const Ask &ask)
{
    const TimePoint due = Relay::now() + after;
    if (!m_renewDue || elsewhere.newestRevision > m_wanted.newestRevision) {
        m_wanted = elsewhere;
    }
    // A change that has to be fetched at once must not wait for one that may still be on its way.
    if (m_renewDue && *m_renewDue <= due) {
        return;
    }
    m_renewDue = due;
    m_renewTimer.expires_at(due);
    m_renewTimer.async_wait([this, ask, due, after](const boost::system::error_code &error) {
        if (error || m_renewDue != due) {
            return;
        }
        m_renewDue.reset();
        const PrefixState elsewhere = m_wanted;
        if (m_copy.complete && !lacks(elsewhere)) {
            return;
        }
        if (!(isLarge() && inReach()) && askPeer(ask)) {
            renew(elsewhere, m_options.snapshotLimit, nullptr);
        } else if (inReach()) {
            readNow();
        } else if (const Duration next = 2 * std::max(after, m_options.snapshotLimit);
                   next <= m_options.longestRetry && askPeer(askAny)) {
            renew(elsewhere, next, nullptr);
        }
    });
}

void SharedPrefix::confirm()
{
    if ((isLarge() && inReach()) || !askPeer(askAny)) {
        readNow();
    }
}

// One large snapshot at a time, like readings; what a copy that is not complete yet lacks may be large.
bool SharedPrefix::askPeer(const Ask &ask)
{
    if (!ask) {
        return false;
    }
    const TimePoint now = Relay::now();
    if (m_copy.complete && !isLarge()) {
        return ask();
    }
    if (now < m_snapshotDue) {
        return true;
    }
    if (!ask()) {
        return false;
    }
    m_snapshotDue = now + m_snapshotWait;
    m_snapshotWait = std::min(2 * m_snapshotWait, m_options.longestSnapshotWait);
    return true;
}

// The store's link carries a large snapshot better than a peer's, whose requests would wait behind it.
bool SharedPrefix::isLarge() const
{
    std::size_t bytes = 0;
    for (const auto &[key, item] : m_copy.items) {
        bytes += item.value.size();
    }
    return bytes > m_options.longestToldValue;
}

void SharedPrefix::onSnapshot(const PrefixSnapshot &snapshot)
{
    const bool same = !snapshot.items && digestOf(m_copy) == snapshot.state.digest;
    if (snapshot.items || snapshot.deferred) {
        m_snapshotDue = {};
        m_snapshotWait = m_options.largeSnapshotTakes;
    }
    if (snapshot.items) {
        if (onFetched) {
            const TimePoint asked{Duration(snapshot.stamp)};
            onFetched({FetchSource::Peer, true, bytesOf(*snapshot.items), Relay::now() - asked});
        }
        const bool first = !m_copy.complete;
        const auto changes = applySnapshot(m_copy, *snapshot.items, snapshot.state.completeTo);
        if (first || !changes.empty()) {
            onChanged(changes);
        }
    } else if (same) {
        markComplete(m_copy, snapshot.state.completeTo);
    }
    noteAgreement(snapshot);
    if (snapshot.items || same) {
        m_asOf = std::max(m_asOf, TimePoint(Duration(snapshot.stamp)) - snapshot.age);
    }
}

// What came while the answer was on its way counts as held.
void SharedPrefix::noteAgreement(const PrefixSnapshot &snapshot)
{
    const TimePoint asked{Duration(snapshot.stamp)};
    const std::uint64_t held = newestRevision(m_copy);
    if (held < snapshot.state.newestRevision && snapshot.newerFor > Duration::zero()) {
        m_lackingTo = std::max(m_lackingTo, snapshot.state.newestRevision);
        recordPeerState(m_agreement, asked, snapshot.newerFor, Relay::now());
    } else if (m_copy.complete && held >= m_lackingTo) {
        recordPeerState(m_agreement, asked, Duration::zero(), Relay::now());
    }
}

std::optional<PrefixSnapshot> SharedPrefix::snapshotFor(const SnapshotRequest &request) const
{
    if (!m_copy.complete) {
        return std::nullopt;
    }
    PrefixSnapshot snapshot;
    snapshot.state = state();
    // While the store is away from here too, there is nothing newer to have.
    snapshot.age = inReach() && m_readAt ? Relay::now() - *m_readAt : Duration::zero();
    snapshot.newerFor = timeAheadOf(m_changeTimes, request.newestRevision, Relay::now());
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
    if (watches == m_following) {
        return;
    }
    m_following = watches;
    ++m_round;
    m_timer.cancel();
    m_store.cancelWatch(m_prefix);
    if (watches) {
        m_watchedTo = m_copy.completeTo;
        follow();
    }
}

void SharedPrefix::askAgain()
{
    if (m_copy.complete) {
        ++m_round;
        m_timer.cancel();
        m_store.cancelWatch(m_prefix);
        m_following = false;
        // By then the others have said that they reach it too.
        later(m_options.gather, [this] {
            checkRole();
        });
    } else if (m_started && !m_readingAll) {
        readAll();
    }
}

void SharedPrefix::readAll()
{
    m_readingAll = true;
    m_store.range(m_prefix, [this, round = ++m_round, began = Relay::now()](const StoreItemsReply &reply) {
        if (round != m_round) {
            return;
        }
        noteFetch(reply, began);
        m_reached(reply.status == StoreStatus::Ok);
        m_readingAll = false;
        if (reply.status != StoreStatus::Ok) {
            later(m_options.retry, [this] {
                readAll();
            });
            return;
        }
        noteOwnReading(began);
        onChanged(applySnapshot(m_copy, reply.items, reply.revision));
    });
}

void SharedPrefix::follow()
{
    m_store.watch(m_prefix, m_watchedTo, m_options.wait, [this, round = ++m_round](const StoreItemsReply &reply) {
        if (round == m_round) {
            onWatched(reply);
        }
    });
}

void SharedPrefix::onWatched(const StoreItemsReply &reply)
{
    m_reached(reply.status == StoreStatus::Ok || reply.status == StoreStatus::HistoryCompacted);
    if (reply.status != StoreStatus::Ok) {
        const bool gone = reply.status == StoreStatus::HistoryCompacted;
        if (gone) {
            read(true);
        }
        m_following = false;
        later(gone ? m_options.gather : m_options.retry, [this] {
            checkRole();
        });
        return;
    }
    m_watchedTo = std::max(m_watchedTo, reply.revision);
    if (reply.items.empty()) {
        follow();
        return;
    }
    const bool isLong = bytesOf(reply.items) > m_options.longestToldValue;
    later((isLong ? m_options.largeReaderDelay : m_options.readerDelay) * rank().value_or(0), [this, reply] {
        takeWatched(reply);
    });
}

void SharedPrefix::takeWatched(const StoreItemsReply &reply)
{
    const auto before = valuesBefore(reply.items);
    const auto delta = applyDelta(m_copy, reply.items);
    if (!delta.empty()) {
        onChanged(delta);
        tellOthers(delta, before, false);
    }
    const int routers = routersSharing ? routersSharing() : 1;
    later(std::max(m_options.gather, m_options.gatherPerRouter * routers), [this] {
        follow();
    });
}

void SharedPrefix::later(Duration pause, const std::function<void()> &step)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this, step, round = m_round](const boost::system::error_code &error) {
        if (!error && round == m_round) {
            step();
        }
    });
}

} // namespace Godwit
