#include "godwit/gateway/announced_versions.h"

#include <algorithm>
#include <utility>

namespace Godwit
{
namespace
{

const std::vector<KnownVersion> &versionsOf(const AnnouncedVersions &known, const std::string &service)
{
    static const std::vector<KnownVersion> none;
    const auto found = known.services.find(service);
    return found != known.services.end() ? found->second : none;
}

} // namespace

bool applyAnnouncements(AnnouncedVersions &known,
                        const AnnouncedVersionOptions &options,
                        const VersionAnnouncements &announcements,
                        std::uint64_t revision,
                        TimePoint now)
{
    if (revision <= known.revision) {
        return false;
    }
    std::map<std::string, std::vector<KnownVersion>> services;
    for (const auto &[service, versions] : announcements) {
        const auto &before = versionsOf(known, service);
        for (const AnnouncedVersion &version : versions) {
            const auto found = std::find_if(before.begin(), before.end(), [&version](const KnownVersion &entry) {
                return entry.announced == version;
            });
            auto &entries = services[service];
            // Before the first version there is none that a router could take for the only one.
            const TimePoint usableAt = entries.empty() ? now : now + options.useDelay;
            entries.push_back({version, found != before.end() ? found->usableAt : usableAt});
        }
    }
    known.services = std::move(services);
    known.revision = revision;
    return true;
}

void confirmAnnouncements(AnnouncedVersions &known, TimePoint startedAt)
{
    known.confirmedAt = std::max(known.confirmedAt.value_or(startedAt), startedAt);
}

VersionAnnouncements announcementsOf(const AnnouncedVersions &known)
{
    VersionAnnouncements announcements;
    for (const auto &[service, versions] : known.services) {
        for (const KnownVersion &version : versions) {
            announcements[service].push_back(version.announced);
        }
    }
    return announcements;
}

std::set<std::string> usableVersions(const AnnouncedVersions &known, const std::string &service, TimePoint now)
{
    std::set<std::string> names;
    for (const KnownVersion &entry : versionsOf(known, service)) {
        if (now >= entry.usableAt) {
            names.insert(entry.announced.name);
        }
    }
    return names;
}

std::optional<TimePoint> nextUsableAt(const AnnouncedVersions &known, const std::string &service, TimePoint now)
{
    std::optional<TimePoint> next;
    for (const KnownVersion &entry : versionsOf(known, service)) {
        if (now < entry.usableAt) {
            next = std::min(next.value_or(entry.usableAt), entry.usableAt);
        }
    }
    return next;
}

std::optional<std::string> soleVersion(const AnnouncedVersions &known,
                                       const AnnouncedVersionOptions &options,
                                       const std::string &service,
                                       TimePoint now)
{
    const auto &versions = versionsOf(known, service);
    const bool confirmed = known.confirmedAt && now < *known.confirmedAt + options.confirmationValidity;
    return confirmed && versions.size() == 1 ? std::optional(versions.front().announced.name) : std::nullopt;
}

bool mayHaveSoleVersion(const AnnouncedVersions &known, const std::string &service)
{
    return versionsOf(known, service).size() < 2;
}

VersionAnnouncements updatedAnnouncements(const VersionAnnouncements &stored,
                                          const StreamVersions &versions,
                                          const StreamVersionOptions &options,
                                          std::uint64_t number,
                                          bool mayRemove,
                                          TimePoint now)
{
    VersionAnnouncements updated = stored;
    for (const auto &[service, names] : versions.listed) {
        auto &announced = updated[service];
        for (const std::string &name : names) {
            const bool isStored = std::any_of(announced.begin(), announced.end(), [&name](const auto &entry) {
                return entry.name == name;
            });
            if (!isStored) {
                announced.push_back({name, number});
            }
        }
    }
    for (auto it = updated.begin(); mayRemove && it != updated.end();) {
        const auto open = knownVersions(versions, options, it->first, now);
        auto &announced = it->second;
        announced.erase(std::remove_if(announced.begin(),
                                       announced.end(),
                                       [&open](const AnnouncedVersion &entry) {
                                           return open.count(entry.name) == 0;
                                       }),
                        announced.end());
        it = announced.empty() ? updated.erase(it) : std::next(it);
    }
    return updated;
}

} // namespace Godwit
