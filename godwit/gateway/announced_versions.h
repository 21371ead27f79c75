#pragma once

// Decides at which versions of a service's software streams may begin, and whether a stream of which no router has a
// record can only have begun at one version.
//
// The store holds the versions of each service in the order in which they were announced. A version is announced before
// streams begin at it, and unless it is the first of its service, streams begin there only `useDelay` later. A router
// may therefore conclude from a read of the store that is at most `confirmationValidity` old that a stream began at the
// only version announced. A version that a router does not know of is never evidence that there is none.
//
// Pure functions: time is passed in, from a clock that includes time in which the host was suspended.
//
// Example:
//   applyAnnouncements(known, options, announcements, revision, now);
//   query.versions = usableVersions(known, "engine", now);

#include "godwit/base/time.h"
#include "godwit/gateway/stream_versions.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Godwit
{

struct AnnouncedVersionOptions
{
    bool required = false; // Whether streams may begin at announced versions only.
    // How long a read of the store counts as current.
    Duration confirmationValidity = std::chrono::milliseconds(500);
    // Must exceed `confirmationValidity` by more than clocks may differ in rate over that time.
    Duration useDelay = std::chrono::milliseconds(600);
};

struct AnnouncedVersion
{
    std::string name;
    std::uint64_t number = 0; // Differs between announcements of the same name.

    bool operator==(const AnnouncedVersion &other) const
    {
        return name == other.name && number == other.number;
    }
};

// By service, in the order of the announcements.
using VersionAnnouncements = std::map<std::string, std::vector<AnnouncedVersion>>;

struct KnownVersion
{
    AnnouncedVersion announced;
    TimePoint usableAt;
};

struct AnnouncedVersions
{
    std::map<std::string, std::vector<KnownVersion>> services;
    std::uint64_t revision = 0; // Of the store's value; 0 if none is known.
    std::optional<TimePoint> confirmedAt; // Start of the latest read of the store.
};

// Applies the store's value of this revision; older ones are ignored. Returns whether it was applied.
bool applyAnnouncements(AnnouncedVersions &known,
                        const AnnouncedVersionOptions &options,
                        const VersionAnnouncements &announcements,
                        std::uint64_t revision,
                        TimePoint now);

// Records that a read of the store that began at `startedAt` returned nothing newer than what is known.
void confirmAnnouncements(AnnouncedVersions &known, TimePoint startedAt);

VersionAnnouncements announcementsOf(const AnnouncedVersions &known);

// Returns the versions at whose endpoints new streams may begin.
std::set<std::string> usableVersions(const AnnouncedVersions &known, const std::string &service, TimePoint now);

// Returns when the next announced version of the service becomes usable; nullopt if all are.
std::optional<TimePoint> nextUsableAt(const AnnouncedVersions &known, const std::string &service, TimePoint now);

// Returns the version at which each stream of the service must have begun; nullopt if there may be several, or if this
// router can't know.
std::optional<std::string> soleVersion(const AnnouncedVersions &known,
                                       const AnnouncedVersionOptions &options,
                                       const std::string &service,
                                       TimePoint now);

// Whether a read of the store might yield a sole version of the service.
bool mayHaveSoleVersion(const AnnouncedVersions &known, const std::string &service);

// Returns what is to be stored: `stored`, and the listed versions that it lacks under `number`. With `mayRemove`,
// without those that have not been listed for so long that none of their streams is open.
VersionAnnouncements updatedAnnouncements(const VersionAnnouncements &stored,
                                          const StreamVersions &versions,
                                          const StreamVersionOptions &options,
                                          std::uint64_t number,
                                          bool mayRemove,
                                          TimePoint now);

} // namespace Godwit
