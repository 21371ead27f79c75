#pragma once

// Finds out at which version a stream began of which this router has no record: asks other routers for the record, and
// if none has it soon, reads the announced versions from the store. Not thread-safe.
//
// Example:
//   StreamOriginSearch search(relay, links, announcer);
//   search.start(attempt, service, [] { ... findStream(), soleVersion() ... });

#include "godwit/base/time.h"

#include <functional>
#include <memory>
#include <string>

namespace Godwit
{

class FleetLinks;
class Relay;
class VersionAnnouncer;

struct StreamOriginSearchOptions
{
    // Most routers respond within a few milliseconds; those that have died never do.
    Duration recordWait = std::chrono::milliseconds(40);
};

class StreamOriginSearch
{
public:
    StreamOriginSearch(Relay &relay,
                       FleetLinks &links,
                       VersionAnnouncer &announcer,
                       StreamOriginSearchOptions options = {});

    // `done` is called once, possibly immediately: when the record has been found, when the version is known to be the
    // only one, or when neither can be found out.
    void start(const std::string &attempt, const std::string &service, std::function<void()> done);

private:
    struct Search;

    void readVersions(const std::shared_ptr<Search> &search);
    void finishIfDecided(const std::shared_ptr<Search> &search);

    Relay &m_relay;
    FleetLinks &m_links;
    VersionAnnouncer &m_announcer;
    StreamOriginSearchOptions m_options;
};

} // namespace Godwit
