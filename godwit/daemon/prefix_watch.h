#pragma once

// Keeps a copy of everything under one prefix of the platform's store.
//
// Reads all, then follows the changes; reads all again when the store no longer has the history, and tries again
// while it is out of reach. Not thread-safe.
//
// Example:
//   PrefixWatch watch(io, store, "servers/", options, [](const PrefixWatch::Items &items) { ... });
//   watch.start();

#include "godwit/base/time.h"
#include "godwit/gateway/reading_turns.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Godwit
{

struct PrefixWatchOptions
{
    // Longer waits cost fewer calls; a connection that went silent is noticed no sooner than this.
    Duration wait = std::chrono::seconds(8);
    // While the store is out of reach; whoever sees it return calls askAgain().
    Duration retry = std::chrono::milliseconds(1500);
    // After an answer, so that a series of changes comes in one.
    Duration gather = std::chrono::milliseconds(50);
    // In a large fleet each change wakes every router, so that the pause grows with it: at 66 routers to 0.4 s, well
    // within the seconds in which a change has to be known. There it saved 4,000 of 12,000 calls of the store.
    Duration gatherPerRouter = std::chrono::milliseconds(6);
    ReadingOptions readings;
    // A reading can overtake a watch by this much.
    Duration missedAfter = std::chrono::milliseconds(250);
};

class PrefixWatch
{
public:
    using Items = std::map<std::string, StoreItem>;

    // `changed` gets the whole copy after each change; `reached` says after each answer whether the store spoke.
    PrefixWatch(boost::asio::io_context &io,
                StoreClient &store,
                std::string prefix,
                PrefixWatchOptions options,
                std::function<void(const Items &)> changed,
                std::function<void(bool)> reached);

    void start();

    // Another router has just read everything under the prefix, and found this. Reads as well if this copy still
    // differs a little later and its watch has brought nothing meanwhile.
    void onReadElsewhere(std::uint64_t digest);

    // Called after each reading of this router in its turn: the others are to be told.
    std::function<void(std::uint64_t digest)> onRead;

    // Called when a reading showed changes that the watch had not brought.
    std::function<void()> onMissed;

    // How many routers share the readings.
    std::function<int()> routersSharing;

    // Whether this router leaves the readings to others as long as it hears of theirs.
    std::function<bool()> onStandby;

    // Asks anew at once: the store has come back, and an open watch may hang on a dead connection.
    void askAgain();

    // Reads everything now, and tells what it found.
    void readNow();

    // The copy is at least as new as this: when the last call that was answered began.
    TimePoint asOf() const
    {
        return m_asOf;
    }

    // Whether the copy has been complete once.
    bool isComplete() const
    {
        return m_complete;
    }

private:
    void readAll();
    void follow();
    void onChanges(const StoreItemsReply &reply);
    void armReading();
    bool adopt(const StoreItemsReply &reply);
    std::uint64_t digest() const;
    int routers() const;
    Duration gatherTime() const;
    void later(Duration pause, void (PrefixWatch::*step)());

    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_readingTimer;
    boost::asio::steady_timer m_missedTimer;
    StoreClient &m_store;
    std::string m_prefix;
    PrefixWatchOptions m_options;
    std::function<void(const Items &)> m_changed;
    std::function<void(bool)> m_reached;
    Items m_items;
    std::uint64_t m_at = 0;
    std::uint64_t m_readAt = 0; // The store's revision at the reading that the copy builds on.
    bool m_complete = false;
    TimePoint m_asOf;
    std::uint64_t m_changes = 0; // Counts what the watch has brought.
    std::uint64_t m_round = 0; // Answers to calls of earlier rounds come too late.
};

} // namespace Godwit
