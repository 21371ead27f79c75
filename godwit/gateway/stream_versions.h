#pragma once

// Remembers at which version of the endpoints' software a stream began.
//
// What endpoints of two versions write does not fit together, so a stream may only go on at the version that began it.
// Its caller can come back to any router and names only its first attempt. Routers therefore record the version with
// the first event of each resumable stream, keep the record for longer than a stream lasts, and send copies to other
// routers while a service has endpoints of several versions. A stream of which no record is found is only continued if
// all endpoints that may have begun it have the same version.
//
// Pure functions: time is passed in.
//
// Example:
//   recordStream(versions, options, "attempt-1", {customer, "matching", "v2"}, now);
//   const StreamOrigin *origin = findStream(versions, "attempt-1", now);

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Godwit
{

struct StreamVersionOptions
{
    Duration keepTime = std::chrono::seconds(60); // Longer than callers wait for a stream, including their retries.
    std::size_t maxRecords = 65536; // The oldest ones are dropped.
};

// Where a stream began.
struct StreamOrigin
{
    CustomerId customer;
    std::string service;
    std::string version;

    bool operator==(const StreamOrigin &other) const
    {
        return customer == other.customer && service == other.service && version == other.version;
    }
};

struct StreamRecord
{
    StreamOrigin origin;
    TimePoint until;
};

// A record as sent to other routers.
struct RecordedStream
{
    std::string attempt;
    StreamOrigin origin;
};

struct StreamVersions
{
    std::map<std::string, StreamRecord> records; // By the attempt that brought the stream's first event.
    std::deque<std::pair<TimePoint, std::string>> expiries; // Oldest first.
    std::map<std::string, std::set<std::string>> listed; // Versions of the listed endpoints, by service.
    std::map<std::string, std::map<std::string, TimePoint>> lastListed; // When a version was last listed, by service.
};

// Why a resumed stream goes on or does not.
enum class ResumptionOutcome {
    Recorded, // It goes on at the recorded version.
    OneVersion, // No record, but the service has endpoints of one version only.
    NoEndpoint, // No endpoint of the recorded version accepts requests.
    Unknown, // No record of the stream.
    OtherOwner, // It is recorded for another customer or service.
};

std::string_view resumptionOutcomeName(ResumptionOutcome outcome);

// Returns whether the record is new.
bool recordStream(StreamVersions &versions,
                  const StreamVersionOptions &options,
                  const std::string &attempt,
                  const StreamOrigin &origin,
                  TimePoint now);

// Returns null if the stream is not recorded.
const StreamOrigin *findStream(const StreamVersions &versions, const std::string &attempt, TimePoint now);

// Returns the streams of the service that are recorded.
std::vector<RecordedStream> recordedStreams(const StreamVersions &versions, const std::string &service, TimePoint now);

// Sets the versions of the listed endpoints, by service. Returns the services that have several versions now, and had
// one before.
std::vector<std::string> setListedVersions(StreamVersions &versions,
                                           const StreamVersionOptions &options,
                                           std::map<std::string, std::set<std::string>> listed,
                                           TimePoint now);

// A version of which no endpoint is listed any more.
struct EarlierVersion
{
    std::string service;
    std::string version;
    Duration age{}; // Since an endpoint of it was last listed.
};

// Returns the versions that streams of now may still have begun at, for routers that have started since.
std::vector<EarlierVersion> earlierVersions(const StreamVersions &versions,
                                            const StreamVersionOptions &options,
                                            TimePoint now);

void applyEarlierVersion(StreamVersions &versions, const EarlierVersion &earlier, TimePoint now);

// Returns the versions at which streams of the service that are still open may have begun.
std::set<std::string> knownVersions(const StreamVersions &versions,
                                    const StreamVersionOptions &options,
                                    const std::string &service,
                                    TimePoint now);

// Whether streams of the service that are still open may have begun at different versions.
bool hasSeveralVersions(const StreamVersions &versions,
                        const StreamVersionOptions &options,
                        const std::string &service,
                        TimePoint now);

} // namespace Godwit
