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
        const bool confirmed = now >= *group.partitionedSince + options.confirmationTime;
        return !group.newMembers.empty()
            || now >= group.probedAt + (confirmed ? options.probeInterval : options.suspicionProbeInterval);
    }
    return (group.troubledAt && now >= *group.troubledAt + options.probeDelay)
        || (!group.failures.empty() && now >= group.probedAt + options.suspicionProbeInterval);
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

// Removes the entries whose endpoint is not in `members`.
template<typename Container, typename IdOf>
void eraseUnlisted(Container &container, const std::set<EndpointId> &members, IdOf idOf)
{
    for (auto it = container.begin(); it != container.end();) {
        it = members.count(idOf(*it)) != 0 ? std::next(it) : container.erase(it);
    }
}

// While the group is partitioned, any of its endpoints may be the first that is reached again. Otherwise an endpoint
// without a failure shows whether the failures concern the whole group.
std::vector<EndpointId> probeCandidates(const GroupReach &group, std::vector<EndpointId> members)
{
    if (!group.newMembers.empty()) {
        return {group.newMembers.begin(), group.newMembers.end()};
    }
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
        known.answersElsewhere = true;
        return false;
    }
    known.failures.clear();
    known.newMembers.clear();
    known.probeFailed = false;
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
        known.probeFailed = false;
        known.answersElsewhere = false;
    }
    known.probeFailed = known.probeFailed || failed.isProbe;
    known.failures[failed.endpoint] = failed.failure;
    // Failures of requests alone may be those of endpoints that died while no new connection to the others was needed.
    const std::size_t needed =
        known.answersElsewhere ? reach.options.failuresDespiteAnswers : reach.options.failuresToPartition;
    const bool enough = known.failures.size() >= groupSize || (known.probeFailed && known.failures.size() >= needed);
    if (known.partitionedSince || !enough) {
        return false;
    }
    known.partitionedSince = now;
    known.newMembers.clear();
    known.probedAt = {};
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
            const EndpointId &chosen = candidates[random % candidates.size()];
            group.probing = true;
            group.probedAt = now;
            group.newMembers.erase(chosen);
            probes.push_back({name, chosen});
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
    for (const auto &[service, ids] : table.byService) {
        for (const EndpointId &id : ids) {
            reach.groups[groupOf(table.endpoints.at(id).listed)];
        }
    }
    for (auto it = reach.groups.begin(); it != reach.groups.end();) {
        const auto listed = membersOf(table, it->first);
        const std::set<EndpointId> members(listed.begin(), listed.end());
        GroupReach &group = it->second;
        if (group.partitionedSince) {
            std::set_difference(members.begin(),
                                members.end(),
                                group.members.begin(),
                                group.members.end(),
                                std::inserter(group.newMembers, group.newMembers.end()));
        }
        eraseUnlisted(group.newMembers, members, [](const EndpointId &id) {
            return id;
        });
        eraseUnlisted(group.failures, members, [](const auto &failure) {
            return failure.first;
        });
        group.members = members;
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
