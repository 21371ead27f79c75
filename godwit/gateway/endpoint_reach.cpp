#include "godwit/gateway/endpoint_reach.h"

#include "godwit/base/enum_names.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Godwit
{
namespace
{

constexpr EnumName<ConnectionFailure> ConnectionFailureNames[] = {
    {ConnectionFailure::NotConnected, "not_connected"},
    {ConnectionFailure::Reset, "reset"},
    {ConnectionFailure::Silent, "silent"},
};

void dropSilentFailures(GroupReach &group)
{
    for (auto it = group.failures.begin(); it != group.failures.end();) {
        it = it->second == ConnectionFailure::Silent ? group.failures.erase(it) : std::next(it);
    }
}

bool isProbeDue(const GroupReach &group, const ReachOptions &options, TimePoint now)
{
    if (group.probing) {
        return false;
    }
    if (group.partitionedSince) {
        return now >= group.probedAt + options.probeInterval;
    }
    return (group.troubledAt && now >= *group.troubledAt + options.probeDelay)
        || (!group.failures.empty() && now >= group.probedAt + options.probeInterval);
}

// Returns the endpoints of the group that may receive requests.
std::vector<EndpointId> membersOf(const EndpointTable &table, const EndpointGroup &group)
{
    std::vector<EndpointId> members;
    const auto listed = table.byService.find(group.service);
    if (listed == table.byService.end()) {
        return members;
    }
    std::copy_if(listed->second.begin(), listed->second.end(), std::back_inserter(members), [&](const EndpointId &id) {
        return table.endpoints.at(id).listed.dataCentre == group.dataCentre;
    });
    return members;
}

// While the group is partitioned, any of its endpoints may be the first that is reached again. Otherwise an endpoint
// without a failure shows whether the failures concern the whole group.
std::vector<EndpointId> probeCandidates(const GroupReach &group, std::vector<EndpointId> members)
{
    if (group.partitionedSince) {
        return members;
    }
    std::vector<EndpointId> others;
    std::copy_if(members.begin(), members.end(), std::back_inserter(others), [&group](const EndpointId &id) {
        return group.failures.count(id) == 0;
    });
    return others.empty() ? members : others;
}

} // namespace

EndpointGroup groupOf(const ListedEndpoint &endpoint)
{
    return {endpoint.service, endpoint.dataCentre};
}

std::string_view connectionFailureName(ConnectionFailure failure)
{
    return enumName(ConnectionFailureNames, failure);
}

bool recordAnswer(EndpointReach &reach, const EndpointGroup &group, TimePoint connectionOpenedAt, TimePoint now)
{
    GroupReach &known = reach.groups[group];
    known.lastAnswerAt = now;
    known.troubledAt.reset();
    dropSilentFailures(known);
    if (known.failures.empty() && !known.partitionedSince) {
        return false;
    }
    if (connectionOpenedAt < known.failingSince) {
        return false;
    }
    known.failures.clear();
    return std::exchange(known.partitionedSince, std::nullopt).has_value();
}

bool recordConnectionFailure(EndpointReach &reach,
                             const EndpointGroup &group,
                             const FailedConnection &failed,
                             std::size_t groupSize,
                             TimePoint now)
{
    GroupReach &known = reach.groups[group];
    if (failed.failure == ConnectionFailure::Silent && known.lastAnswerAt >= failed.openedAt) {
        return false;
    }
    if (known.failures.empty() && !known.partitionedSince) {
        known.failingSince = now;
    }
    known.failures[failed.endpoint] = failed.failure;
    const std::size_t needed = std::min(reach.options.failuresToPartition, std::max<std::size_t>(groupSize, 1));
    if (known.partitionedSince || known.failures.size() < needed) {
        return false;
    }
    known.partitionedSince = now;
    known.probedAt = now;
    return true;
}

void recordTrouble(EndpointReach &reach, const EndpointGroup &group, TimePoint now)
{
    GroupReach &known = reach.groups[group];
    known.troubledAt = known.troubledAt.value_or(now);
}

bool isPartitioned(const EndpointReach &reach, const EndpointGroup &group)
{
    const auto found = reach.groups.find(group);
    return found != reach.groups.end() && found->second.partitionedSince.has_value();
}

std::vector<EndpointGroup> partitionedGroups(const EndpointReach &reach)
{
    std::vector<EndpointGroup> groups;
    for (const auto &[group, known] : reach.groups) {
        if (known.partitionedSince) {
            groups.push_back(group);
        }
    }
    return groups;
}

std::vector<ReachProbe> takeDueProbes(EndpointReach &reach,
                                      const EndpointTable &table,
                                      std::uint64_t random,
                                      TimePoint now)
{
    std::vector<ReachProbe> probes;
    for (auto &[name, group] : reach.groups) {
        if (!isProbeDue(group, reach.options, now)) {
            continue;
        }
        group.troubledAt.reset();
        const auto candidates = probeCandidates(group, membersOf(table, name));
        if (!candidates.empty()) {
            group.probing = true;
            group.probedAt = now;
            probes.push_back({name, candidates[random % candidates.size()]});
        }
    }
    return probes;
}

void finishProbe(EndpointReach &reach, const EndpointGroup &group)
{
    const auto found = reach.groups.find(group);
    if (found != reach.groups.end()) {
        found->second.probing = false;
    }
}

bool needsProbes(const EndpointReach &reach)
{
    return std::any_of(reach.groups.begin(), reach.groups.end(), [](const auto &entry) {
        const GroupReach &group = entry.second;
        return group.partitionedSince || group.troubledAt || !group.failures.empty();
    });
}

std::size_t groupSize(const EndpointTable &table, const EndpointGroup &group)
{
    return membersOf(table, group).size();
}

void onEndpointsListed(EndpointReach &reach, const EndpointTable &table)
{
    for (auto it = reach.groups.begin(); it != reach.groups.end();) {
        const auto members = membersOf(table, it->first);
        GroupReach &group = it->second;
        for (auto failure = group.failures.begin(); failure != group.failures.end();) {
            const bool listed = std::find(members.begin(), members.end(), failure->first) != members.end();
            failure = listed ? std::next(failure) : group.failures.erase(failure);
        }
        group.probedAt = {};
        it = members.empty() && !group.probing ? reach.groups.erase(it) : std::next(it);
    }
}

void clearBackoff(EndpointTable &table, const EndpointGroup &group)
{
    for (const EndpointId &id : membersOf(table, group)) {
        EndpointState &endpoint = table.endpoints.at(id);
        endpoint.backoffUntil = {};
        endpoint.consecutiveFailures = 0;
    }
}

} // namespace Godwit
