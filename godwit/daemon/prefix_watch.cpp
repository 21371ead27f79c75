#include "godwit/daemon/prefix_watch.h"

#include "godwit/base/hash.h"
#include "godwit/relay/relay.h"

#include <algorithm>
#include <random>

namespace Godwit
{

PrefixWatch::PrefixWatch(boost::asio::io_context &io,
                         StoreClient &store,
                         std::string prefix,
                         PrefixWatchOptions options,
                         std::function<void(const Items &)> changed,
                         std::function<void(bool)> reached)
    : m_timer(io)
    , m_readingTimer(io)
    , m_missedTimer(io)
    , m_store(store)
    , m_prefix(std::move(prefix))
    , m_options(options)
    , m_changed(std::move(changed))
    , m_reached(std::move(reached))
{
}

void PrefixWatch::start()
{
    readAll();
    armReading();
}

int PrefixWatch::routers() const
{
    return std::max(1, routersSharing ? routersSharing() : 1);
}

void PrefixWatch::armReading()
{
    static std::minstd_rand lots{std::random_device{}()};
    const double lot = std::uniform_real_distribution<double>(0, 1)(lots);
    const TimePoint now = Relay::now();
    const bool standby = onStandby && onStandby();
    m_readingTimer.expires_at(nextReading(m_options.readings, now, routers(), lot, standby));
    m_readingTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        readNow();
        armReading();
    });
}

void PrefixWatch::readNow()
{
    if (!m_complete) {
        return;
    }
    const std::uint64_t changes = m_changes;
    m_store.range(m_prefix, [this, changes, began = Relay::now()](const StoreItemsReply &reply) {
        m_reached(reply.status == StoreStatus::Ok);
        // What the watch brought meanwhile may be newer than the reading, and so may another reading: calls go over
        // several connections, and their answers overtake each other.
        if (reply.status != StoreStatus::Ok || m_changes != changes || reply.at < m_readAt) {
            return;
        }
        m_asOf = std::max(m_asOf, began);
        if (adopt(reply)) {
            m_changed(m_items);
            if (onMissed) {
                onMissed();
            }
        }
        if (onRead) {
            onRead(digest());
        }
    });
}

void PrefixWatch::onReadElsewhere(std::uint64_t digest)
{
    armReading();
    if (!m_complete || this->digest() == digest) {
        return;
    }
    m_missedTimer.expires_after(m_options.missedAfter + gatherTime());
    m_missedTimer.async_wait([this, digest, changes = m_changes](const boost::system::error_code &error) {
        // A watch that has brought something meanwhile is not deaf; what it may lack shows at the next reading.
        if (!error && m_changes == changes && this->digest() != digest) {
            readNow();
        }
    });
}

std::uint64_t PrefixWatch::digest() const
{
    std::uint64_t sum = 0;
    for (const auto &[key, item] : m_items) {
        sum += rendezvousWeight(key, std::to_string(item.revision));
    }
    return sum;
}

// Takes over a whole reading; true when it differs from the copy.
bool PrefixWatch::adopt(const StoreItemsReply &reply)
{
    Items items;
    for (const StoreItem &item : reply.items) {
        items[item.key] = item;
    }
    const bool same = items.size() == m_items.size()
        && std::equal(items.begin(), items.end(), m_items.begin(), [](const auto &a, const auto &b) {
                          return a.first == b.first && a.second.revision == b.second.revision;
                      });
    m_items = std::move(items);
    m_readAt = reply.at;
    return !same;
}

void PrefixWatch::askAgain()
{
    ++m_round;
    m_timer.cancel();
    m_store.dropWatch(m_prefix);
    if (m_complete) {
        follow();
    } else {
        readAll();
    }
}

void PrefixWatch::readAll()
{
    m_store.range(m_prefix, [this, round = ++m_round, began = Relay::now()](const StoreItemsReply &reply) {
        if (round != m_round) {
            return;
        }
        m_reached(reply.status == StoreStatus::Ok);
        if (reply.status != StoreStatus::Ok) {
            later(m_options.retry, &PrefixWatch::readAll);
            return;
        }
        adopt(reply);
        m_asOf = std::max(m_asOf, began);
        m_at = reply.at;
        m_complete = true;
        m_changed(m_items);
        follow();
    });
}

void PrefixWatch::follow()
{
    m_store.watch(m_prefix, m_at, m_options.wait, [this, round = ++m_round](const StoreItemsReply &reply) {
        if (round == m_round) {
            onChanges(reply);
        }
    });
}

void PrefixWatch::onChanges(const StoreItemsReply &reply)
{
    m_reached(reply.status == StoreStatus::Ok || reply.status == StoreStatus::HistoryGone);
    if (reply.status == StoreStatus::HistoryGone) {
        readAll();
        return;
    }
    if (reply.status != StoreStatus::Ok) {
        later(m_options.retry, &PrefixWatch::follow);
        return;
    }
    m_at = std::max(m_at, reply.at);
    m_changes += reply.items.empty() ? 0 : 1;
    for (const StoreItem &item : reply.items) {
        // A watch may lag behind a reading: an endpoint that the reading showed to be leaving would be ready again.
        if (item.revision <= m_readAt) {
            continue;
        }
        if (item.removed) {
            m_items.erase(item.key);
        } else {
            m_items[item.key] = item;
        }
    }
    if (reply.items.empty()) {
        follow();
        return;
    }
    m_changed(m_items);
    later(gatherTime(), &PrefixWatch::follow);
}

Duration PrefixWatch::gatherTime() const
{
    return std::max(m_options.gather, m_options.gatherPerRouter * routers());
}

void PrefixWatch::later(Duration pause, void (PrefixWatch::*step)())
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this, step, round = m_round](const boost::system::error_code &error) {
        if (!error && round == m_round) {
            (this->*step)();
        }
    });
}

} // namespace Godwit
