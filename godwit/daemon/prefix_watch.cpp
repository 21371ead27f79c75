#include "godwit/daemon/prefix_watch.h"

namespace Godwit
{

PrefixWatch::PrefixWatch(boost::asio::io_context &io,
                         StoreClient &store,
                         std::string prefix,
                         PrefixWatchOptions options,
                         std::function<void(const Items &)> changed,
                         std::function<void(bool)> reached)
    : m_timer(io)
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
        m_items.clear();
        for (const StoreItem &item : reply.items) {
            m_items[item.key] = item;
        }
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
    later(m_options.gather, &PrefixWatch::follow);
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
