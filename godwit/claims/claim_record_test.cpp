#include "godwit/claims/claim_record.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

ClaimEntry sampleEntry()
{
    ClaimEntry entry;
    entry.state = ClaimState::Ran;
    entry.holder = Incarnation("host-1.abcd");
    entry.sequence = 18'446'744'073'709'551'615ULL;
    entry.bodyDigest = 18'446'744'073'709'551'614ULL;
    entry.createdAt = WallTime(std::chrono::milliseconds(1'764'000'000'123));
    entry.claimedAt = WallTime(std::chrono::milliseconds(1'764'000'000'456));
    return entry;
}

} // namespace

TEST_CASE("a claim record comes back as it was stored, whatever bytes its answers hold")
{
    ClaimRecord record;
    record.horizon = WallTime(std::chrono::milliseconds(77));
    auto entry = sampleEntry();
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte) {
        bytes.push_back(static_cast<char>(byte));
    }
    entry.answer = bytes;
    const RequestKey key{CustomerId("dolna"), "voucher \"1\""};
    record.entries[key] = entry;

    const auto text = encodeClaimRecord(record);
    LastReason reason;
    const auto back = decodeClaimRecord(text, reason);
    REQUIRE(back);
    CHECK(back->horizon == record.horizon);
    REQUIRE(back->entries.count(key) == 1);
    const auto &found = back->entries.at(key);
    CHECK(found.answer == bytes);
    CHECK(found.state == ClaimState::Ran);
    CHECK(found.holder == entry.holder);
    CHECK(found.sequence == entry.sequence);
    CHECK(found.bodyDigest == entry.bodyDigest);
    CHECK(found.createdAt == entry.createdAt);
    CHECK(found.claimedAt == entry.claimedAt);
    CHECK(encodedClaimSize(key, entry) >= text.size() - std::string(R"({"claims":[],"horizon":77})").size());
}

TEST_CASE("what is not a claim record is refused with a reason, never read as empty")
{
    for (const char *text : {"{",
                             "[]",
                             "{\"horizon\":1}",
                             "{\"horizon\":1,\"claims\":[[1]]}",
                             "{\"horizon\":1,\"claims\":[7]}",
                             R"({"horizon":1,"claims":[["c","i","no state","h",1,1,1,1]]})",
                             R"({"horizon":1,"claims":[["c","i","ran","h",1,1,1,1,"€"]]})"}) {
        LastReason reason;
        CHECK_FALSE(decodeClaimRecord(text, reason));
        CHECK(reason);
    }
    LastReason reason;
    const auto empty = decodeClaimRecord("", reason);
    REQUIRE(empty);
    CHECK(empty->entries.empty());
}

TEST_CASE("a UUIDv7 shows its time and other ids show none")
{
    // The example of RFC 9562, appendix A.6: 2022-02-22 19:22:22 UTC.
    const auto time = uuidV7Time("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    REQUIRE(time);
    CHECK(time->time_since_epoch().count() == 0x017F22E279B0);
    CHECK_FALSE(uuidV7Time("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
    CHECK_FALSE(uuidV7Time("017F22E2-79B0-7CC3-C8C4-DC0C0C07398F"));
    CHECK_FALSE(uuidV7Time("017F22E2-79B0-7CC3-98C4-DC0C0C07398"));
    CHECK_FALSE(uuidV7Time("017F22E2_79B0-7CC3-98C4-DC0C0C07398F"));
    CHECK_FALSE(uuidV7Time("voucher-17"));
}
