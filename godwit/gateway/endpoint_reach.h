#pragma once

// Tracks which endpoints this router can reach itself, to tell a network partition of this router from endpoints that
// have died.
//
// Endpoints are grouped by service and data centre, since a partition may affect only some of them. A group is
// partitioned when new connections to several of its endpoints fail, a probe of another one among them, and none of
// them answers in between. Its requests then go through another router, and one new connection at a time probes whether
// the partition has ended.
//
// Pure functions: time and random numbers are passed in.
//
// Example:
//   if (recordConnectionFailure(reach, group, endpoint, failure, now)) { ...close idle connections of the group... }
//   if (isPartitioned(reach, group)) { ...connect through another router... }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/gateway/endpoint_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Godwit
{

struct EndpointGroup
{
    std::string service;
    DataCentreId dataCentre;

    bool operator<(const EndpointGroup &other) const
    {
        return std::tie(service, dataCentre) < std::tie(other.service, other.dataCentre);
    }
    bool operator==(const EndpointGroup &other) const
    {
        return service == other.service && dataCentre == other.dataCentre;
    }
};

EndpointGroup groupOf(const ListedEndpoint &endpoint);

// How a new connection failed before its first byte of a response.
enum class ConnectionFailure {
    NotConnected, // Refused, or not established in time.
    Reset, // Ended after it was established.
    Silent, // Carried nothing. Evidence only while nothing else of the group answers, since endpoints may be slow.
};

std::string_view connectionFailureName(ConnectionFailure failure);

struct ReachOptions
{
    // Distinct endpoints whose new connections have to fail before their group counts as partitioned, unless it has
    // fewer. A few may have died.
    std::size_t failuresToPartition = 3;
    // The same while endpoints of the group still answer over older connections.
    std::size_t failuresDespiteAnswers = 4;
    // Trouble on a connection is followed by a probe unless the group answers within this time.
    Duration probeDelay = std::chrono::milliseconds(100);
    // Interval of the probes after a failure, until the group answers or is partitioned.
    Duration suspicionProbeInterval = std::chrono::milliseconds(100);
    // Interval of the probes that look for the end of a partition, and how long it takes to become that long:
    // until then suspicionProbeInterval applies, in case that the endpoints that failed had died.
    Duration probeInterval = std::chrono::milliseconds(500);
    Duration confirmationTime = std::chrono::seconds(1);
};

struct GroupReach
{
    TimePoint lastAnswerAt; // When an endpoint of the group last sent bytes over a direct connection.
    // Failures since the last answer on a connection that was opened after the first of them.
    std::map<EndpointId, ConnectionFailure> failures;
    TimePoint failingSince; // Of the first of `failures`.
    std::optional<TimePoint> partitionedSince;
    std::optional<TimePoint> troubledAt; // First trouble on an established connection since the last probe or answer.
    bool probing = false;
    bool probeFailed = false; // A probe is among `failures`.
    bool answersElsewhere = false; // Answers arrived over older connections since the first of `failures`.
    TimePoint probedAt;
    std::set<EndpointId> members; // As listed last.
    std::set<EndpointId> newMembers; // Listed since the partition began, and not probed yet.
};

struct EndpointReach
{
    ReachOptions options;
    std::map<EndpointGroup, GroupReach> groups;
};

// Records bytes of a response on a direct connection. Returns true if that ends a partition of the group: only
// connections that were opened after it began show that new ones work.
bool recordAnswer(EndpointReach &reach, const EndpointGroup &group, TimePoint connectionOpenedAt, TimePoint now);

struct FailedConnection
{
    EndpointId endpoint;
    ConnectionFailure failure = ConnectionFailure::NotConnected;
    TimePoint openedAt;
    bool isProbe = false;
};

// Records that a new direct connection failed. `groupSize` is the number of endpoints listed in the group. Returns true
// if the group counts as partitioned from now on.
bool recordConnectionFailure(EndpointReach &reach,
                             const EndpointGroup &group,
                             const FailedConnection &failed,
                             std::size_t groupSize,
                             TimePoint now);

// Records that an established direct connection broke, or carried no response for unusually long.
void recordTrouble(EndpointReach &reach, const EndpointGroup &group, TimePoint now);

bool isPartitioned(const EndpointReach &reach, const EndpointGroup &group);

// Returns the groups that are partitioned from this router.
std::vector<EndpointGroup> partitionedGroups(const EndpointReach &reach);

struct ReachProbe
{
    EndpointGroup group;
    EndpointId endpoint;
};

// Returns the probes that are due, at most one per group, and counts them as started. Endpoints that have not failed
// are preferred.
std::vector<ReachProbe> takeDueProbes(EndpointReach &reach,
                                      const EndpointTable &table,
                                      std::uint64_t random,
                                      TimePoint now);

// Call when a probe has ended, after its outcome was recorded.
void finishProbe(EndpointReach &reach, const EndpointGroup &group);

// Whether takeDueProbes() may return a probe later without further records.
bool needsProbes(const EndpointReach &reach);

// Returns the number of endpoints of the group that may receive requests.
std::size_t groupSize(const EndpointTable &table, const EndpointGroup &group);

// Adapts to a changed list of endpoints: forgets failures of endpoints that are no longer listed, and makes probes of
// new endpoints due in partitioned groups, since all others may have died.
void onEndpointsListed(EndpointReach &reach, const EndpointTable &table);

// Ends the backoff of the group's endpoints: failures during a partition are not theirs.
void clearBackoff(EndpointTable &table, const EndpointGroup &group);

} // namespace Godwit
