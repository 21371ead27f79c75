#include "godwit/daemon/stream_origin_search.h"

#include "godwit/daemon/fleet_links.h"
#include "godwit/daemon/version_announcer.h"
#include "godwit/relay/relay.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace Godwit
{

struct StreamOriginSearch::Search
{
    Search(boost::asio::io_context &io, Duration wait)
        : timer(io, wait)
    {
    }

    std::string attempt;
    std::string service;
    std::function<void()> done; // Empty once called.
    bool recordSought = false; // All routers asked have responded, or the time for it is over.
    bool readsVersions = false;
    bool versionsRead = false;
    boost::asio::steady_timer timer;
};

StreamOriginSearch::StreamOriginSearch(Relay &relay,
                                       FleetLinks &links,
                                       VersionAnnouncer &announcer,
                                       StreamOriginSearchOptions options)
    : m_relay(relay)
    , m_links(links)
    , m_announcer(announcer)
    , m_options(options)
{
}

void StreamOriginSearch::start(const std::string &attempt, const std::string &service, std::function<void()> done)
{
    const auto search = std::make_shared<Search>(m_relay.io(), m_options.recordWait);
    search->attempt = attempt;
    search->service = service;
    search->done = std::move(done);
    search->timer.async_wait([this, search](const boost::system::error_code &error) {
        if (!error) {
            readVersions(search);
        }
    });
    const auto onSought = [this, search] {
        search->recordSought = true;
        finishIfDecided(search);
        readVersions(search);
    };
    if (attempt.empty()) {
        onSought();
    } else {
        m_links.seekStream(attempt, onSought);
    }
}

void StreamOriginSearch::readVersions(const std::shared_ptr<Search> &search)
{
    if (!search->done || std::exchange(search->readsVersions, true)) {
        return;
    }
    search->timer.cancel();
    const auto onRead = [this, search] {
        search->versionsRead = true;
        finishIfDecided(search);
    };
    const RelayState &state = m_relay.state();
    if (state.platformInReach && mayHaveSoleVersion(state.announcedVersions, search->service)) {
        m_announcer.confirm(onRead);
    } else {
        onRead();
    }
}

void StreamOriginSearch::finishIfDecided(const std::shared_ptr<Search> &search)
{
    const bool found = findStream(m_relay.state().streamVersions, search->attempt, Relay::now()) != nullptr
        || m_relay.soleVersion(search->service);
    if (search->done && (found || (search->recordSought && search->versionsRead))) {
        search->timer.cancel();
        std::exchange(search->done, nullptr)();
    }
}

} // namespace Godwit
