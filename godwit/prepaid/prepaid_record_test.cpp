#include "godwit/prepaid/prepaid_record.h"

#include <catch2/catch.hpp>

using namespace Godwit;

TEST_CASE("ledger and mark records survive an encode/decode round trip")
{
    PrepaidLedger ledger;
    ledger.documentVersion = 7;
    ledger.accounts[CustomerId{"desk"}] = LedgerAccount{1000, 100, 10, {{HolderId{"10.0.0.1:80"}, 400}}};
    LastReason reason;
    const auto read = decodePrepaidLedger(encodePrepaidLedger(ledger), reason);
    REQUIRE(read);
    CHECK(read->documentVersion == 7);
    CHECK(unallocatedTokens(read->accounts.at(CustomerId{"desk"})) == 500);
    CHECK(read->accounts.at(CustomerId{"desk"}).unsure == 10);

    MarkRecord mark;
    mark.writer = Incarnation{"host.1"};
    mark.writtenAt = HostTime{std::chrono::milliseconds(5), std::chrono::milliseconds(6), "boot"};
    mark.steadyWall = std::chrono::milliseconds(7);
    mark.marks[CustomerId{"desk"}] = Mark{90, 70, 12};
    const auto readMark = decodeMark(encodeMark(mark), reason);
    REQUIRE(readMark);
    CHECK(readMark->writer == mark.writer);
    CHECK(readMark->writtenAt.uptime == std::chrono::milliseconds(5));
    CHECK(readMark->steadyWall == std::chrono::milliseconds(7));
    CHECK(readMark->marks.at(CustomerId{"desk"}).limit == 90);
    CHECK(readMark->marks.at(CustomerId{"desk"}).growthPerSecond == 12);
}

TEST_CASE("malformed records are rejected with a reason")
{
    for (const char *bytes : {"",
                              "{",
                              "[]",
                              "{}",
                              R"({"version":-1,"accounts":{}})",
                              R"({"version":1,"accounts":[1]})",
                              R"({"version":1,"accounts":{"a":{"total":"x","spent":0,"unsure":0,"granted":{}}}})"}) {
        LastReason reason;
        INFO(bytes);
        CHECK_FALSE(decodePrepaidLedger(bytes, reason));
        CHECK(reason);
        LastReason markReason;
        CHECK_FALSE(decodeMark(bytes, markReason));
        CHECK(markReason);
    }
}
