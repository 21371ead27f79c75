#include "godwit/daemon/prefix_watch.h"

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
    , m_verifyTimer(io)
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
    armVerify();
}

void PrefixWatch::readAgain()
{
    verify();
}

void PrefixWatch::armVerify()
{
    // Routers that started together would all read at the same moment, and then none for the whole turn: a change that
    // the watches missed stayed unknown for up to 5.6 s in a fleet of 8.
    static std::minstd_rand lots{std::random_device{}()};
    const double lot = std::uniform_real_distribution<double>(0.5, 1.5)(lots);
    const Duration turn = m_options.verifyEvery * std::max(1, routersSharing ? routersSharing() : 1);
    m_verifyTimer.expires_after(std::chrono::duration_cast<Duration>(turn * lot));
    m_verifyTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        verify();
        armVerify();
    });
}

void PrefixWatch::verify()
{
    if (!m_complete) {
        return;
    }
    const std::uint64_t knownAt = m_at;
    m_store.range(m_prefix, [this, knownAt](const StoreItemsReply &reply) {
        m_reached(reply.status == StoreStatus::Ok);
        // What the watch brought meanwhile may be newer than the reading.
        if (reply.status != StoreStatus::Ok || m_at != knownAt || !adopt(reply)) {
            return;
        }
        m_changed(m_items);
        checkMissed();
    });
}

// A change that the watch brings a moment later was not missed, only overtaken by the reading.
void PrefixWatch::checkMissed()
{
    std::uint64_t newest = 0;
    for (const auto &[key, item] : m_items) {
        newest = std::max(newest, item.revision);
    }
    m_missedTimer.expires_after(m_options.missedAfter);
    m_missedTimer.async_wait([this, newest](const boost::system::error_code &error) {
        if (!error && m_at < newest && onMissed) {
            onMissed();
        }
    });
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
    m_store.range(m_prefix, [this, round = ++m_round](const StoreItemsReply &reply) {
        if (round != m_round) {
            return;
        }
        m_reached(reply.status == StoreStatus::Ok);
        if (reply.status != StoreStatus::Ok) {
            later(m_options.retry, &PrefixWatch::readAll);
            return;
        }
        adopt(reply);
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
    for (const StoreItem &item : reply.items) {
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
    return std::max(m_options.gather, m_options.gatherPerRouter * (routersSharing ? routersSharing() : 1));
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
