#include "godwit/gateway/announced_versions.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Godwit;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const TimePoint Start{seconds(100)};
const std::string Service = "engine";
const AnnouncedVersionOptions Options;
const StreamVersionOptions StreamOptions;

// By name and number.
VersionAnnouncements announce(const std::vector<AnnouncedVersion> &versions)
{
    return {{Service, versions}};
}

AnnouncedVersions knowing(const std::vector<AnnouncedVersion> &versions, TimePoint at)
{
    AnnouncedVersions known;
    applyAnnouncements(known, Options, announce(versions), 1, at);
    confirmAnnouncements(known, at);
    return known;
}

} // namespace

// Guards against concluding from a copy that may lack a version.
TEST_CASE("a version is the only one for as long as a read of the store counts as current")
{
    AnnouncedVersions known = knowing({{"v1", 0}}, Start);
    CHECK(soleVersion(known, Options, Service, Start + milliseconds(499)) == "v1");
    CHECK_FALSE(soleVersion(known, Options, Service, Start + milliseconds(500)));
    CHECK_FALSE(soleVersion(known, Options, "other", Start));
    confirmAnnouncements(known, Start - seconds(1)); // A read that was overtaken.
    CHECK(soleVersion(known, Options, Service, Start + milliseconds(499)));
    known.confirmedAt.reset();
    CHECK_FALSE(soleVersion(known, Options, Service, Start));
    CHECK_FALSE(soleVersion(knowing({{"v1", 0}, {"v2", 1}}, Start), Options, Service, Start));
    CHECK_FALSE(soleVersion(AnnouncedVersions(), Options, Service, Start));
}

// Guards against streams of a version that another router may not know of.
TEST_CASE("a further version is usable only when no router can take the first one for the only one")
{
    AnnouncedVersions known = knowing({{"v1", 0}}, Start);
    CHECK(usableVersions(known, Service, Start).count("v1") == 1);
    const TimePoint announced = Start + seconds(5);
    REQUIRE(applyAnnouncements(known, Options, announce({{"v1", 0}, {"v2", 1}}), 2, announced));
    CHECK(usableVersions(known, Service, announced + milliseconds(599)) == std::set<std::string>{"v1"});
    CHECK(nextUsableAt(known, Service, announced) == announced + milliseconds(600));
    CHECK(usableVersions(known, Service, announced + milliseconds(600)) == std::set<std::string>{"v1", "v2"});
    CHECK_FALSE(nextUsableAt(known, Service, announced + milliseconds(600)));
    CHECK(Options.useDelay > Options.confirmationValidity);
}

// Guards against the wait of a version that was used before.
TEST_CASE("a version that is announced anew waits again")
{
    AnnouncedVersions known = knowing({{"v1", 0}, {"v2", 1}}, Start);
    const TimePoint later = Start + seconds(90);
    REQUIRE(applyAnnouncements(known, Options, announce({{"v1", 0}, {"v2", 7}}), 8, later));
    CHECK(usableVersions(known, Service, later).count("v1") == 1);
    CHECK_FALSE(usableVersions(known, Service, later).count("v2") == 1);
    CHECK_FALSE(applyAnnouncements(known, Options, announce({{"v1", 0}}), 7, later));
    CHECK(announcementsOf(known) == announce({{"v1", 0}, {"v2", 7}}));
}

TEST_CASE("listed versions are announced, and removed when their streams have ended")
{
    StreamVersions versions;
    setListedVersions(versions, StreamOptions, {{Service, {"v1"}}}, Start);
    const auto first = updatedAnnouncements({}, versions, StreamOptions, 0, true, Start);
    CHECK(first == announce({{"v1", 0}}));
    setListedVersions(versions, StreamOptions, {{Service, {"v2"}}}, Start + seconds(1));
    const auto both = updatedAnnouncements(first, versions, StreamOptions, 5, true, Start + seconds(60));
    CHECK(both == announce({{"v1", 0}, {"v2", 5}}));
    CHECK(updatedAnnouncements(both, versions, StreamOptions, 6, false, Start + seconds(61)) == both);
    CHECK(updatedAnnouncements(both, versions, StreamOptions, 6, true, Start + seconds(61)) == announce({{"v2", 5}}));
}
