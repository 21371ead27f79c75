#include "godwit/gateway/stream_versions.h"

#include "godwit/base/enum_names.h"

#include <algorithm>
#include <iterator>

namespace Godwit
{
namespace
{

constexpr EnumName<ResumptionOutcome> ResumptionOutcomeNames[] = {
    {ResumptionOutcome::Recorded, "recorded"},
    {ResumptionOutcome::OneVersion, "one_version"},
    {ResumptionOutcome::NoEndpoint, "no_endpoint"},
    {ResumptionOutcome::Unknown, "unknown"},
    {ResumptionOutcome::OtherOwner, "other_owner"},
};

void dropExpired(StreamVersions &versions, const StreamVersionOptions &options, TimePoint now)
{
    auto &expiries = versions.expiries;
    while (!expiries.empty() && (expiries.front().first <= now || versions.records.size() > options.maxRecords)) {
        versions.records.erase(expiries.front().second);
        expiries.pop_front();
    }
}

} // namespace

std::string_view resumptionOutcomeName(ResumptionOutcome outcome)
{
    return enumName(ResumptionOutcomeNames, outcome);
}

bool recordStream(StreamVersions &versions,
                  const StreamVersionOptions &options,
                  const std::string &attempt,
                  const StreamOrigin &origin,
                  TimePoint now)
{
    const TimePoint until = now + options.keepTime;
    const bool isNew = versions.records.emplace(attempt, StreamRecord{origin, until}).second;
    if (isNew) {
        versions.expiries.emplace_back(until, attempt);
    }
    dropExpired(versions, options, now);
    return isNew;
}

const StreamOrigin *findStream(const StreamVersions &versions, const std::string &attempt, TimePoint now)
{
    const auto found = versions.records.find(attempt);
    return found != versions.records.end() && now < found->second.until ? &found->second.origin : nullptr;
}

std::vector<RecordedStream> recordedStreams(const StreamVersions &versions, const std::string &service, TimePoint now)
{
    std::vector<RecordedStream> streams;
    for (const auto &[attempt, record] : versions.records) {
        if (record.origin.service == service && now < record.until) {
            streams.push_back({attempt, record.origin});
        }
    }
    return streams;
}

std::vector<std::string> setListedVersions(StreamVersions &versions,
                                           const StreamVersionOptions &options,
                                           std::map<std::string, std::set<std::string>> listed,
                                           TimePoint now)
{
    std::set<std::string> several;
    for (const auto &[service, names] : listed) {
        if (hasSeveralVersions(versions, options, service, now)) {
            several.insert(service);
        }
    }
    for (auto &[service, names] : versions.lastListed) {
        for (auto it = names.begin(); it != names.end();) {
            it = now >= it->second + options.keepTime ? names.erase(it) : std::next(it);
        }
    }
    // Versions that were listed until now.
    for (const auto &[service, names] : versions.listed) {
        for (const std::string &name : names) {
            versions.lastListed[service][name] = now;
        }
    }
    versions.listed = std::move(listed);
    std::vector<std::string> changed;
    for (const auto &[service, names] : versions.listed) {
        if (several.count(service) == 0 && hasSeveralVersions(versions, options, service, now)) {
            changed.push_back(service);
        }
    }
    return changed;
}

std::vector<EarlierVersion> earlierVersions(const StreamVersions &versions,
                                            const StreamVersionOptions &options,
                                            TimePoint now)
{
    std::vector<EarlierVersion> earlier;
    for (const auto &[service, names] : versions.lastListed) {
        const auto listed = versions.listed.find(service);
        for (const auto &[name, at] : names) {
            const bool isListed = listed != versions.listed.end() && listed->second.count(name) > 0;
            if (!isListed && now < at + options.keepTime) {
                earlier.push_back({service, name, now - at});
            }
        }
    }
    return earlier;
}

void applyEarlierVersion(StreamVersions &versions, const EarlierVersion &earlier, TimePoint now)
{
    TimePoint &at = versions.lastListed[earlier.service][earlier.version];
    at = std::max(at, now - earlier.age);
}

std::set<std::string> knownVersions(const StreamVersions &versions,
                                    const StreamVersionOptions &options,
                                    const std::string &service,
                                    TimePoint now)
{
    std::set<std::string> names;
    if (const auto current = versions.listed.find(service); current != versions.listed.end()) {
        names = current->second;
    }
    if (const auto earlier = versions.lastListed.find(service); earlier != versions.lastListed.end()) {
        for (const auto &[name, at] : earlier->second) {
            if (now < at + options.keepTime) {
                names.insert(name);
            }
        }
    }
    return names;
}

bool hasSeveralVersions(const StreamVersions &versions,
                        const StreamVersionOptions &options,
                        const std::string &service,
                        TimePoint now)
{
    return knownVersions(versions, options, service, now).size() > 1;
}

} // namespace Godwit
