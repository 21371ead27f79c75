#include "godwit/base/enum_names.h"
#include "godwit/base/error.h"
#include "godwit/base/hash.h"
#include "godwit/base/ids.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace Godwit;

TEST_CASE("every error kind has its own name, a remedy and an HTTP error status")
{
    std::set<std::string_view> names;
    for (int i = 0; i <= static_cast<int>(ErrorKind::Internal); ++i) {
        const auto kind = static_cast<ErrorKind>(i);
        CHECK(names.insert(errorName(kind)).second);
        CHECK_FALSE(errorRemedy(kind).empty());
        CHECK(errorStatus(kind) >= 400);
        CHECK(errorKindFromName(errorName(kind)) == kind);
    }
    CHECK_FALSE(errorKindFromName("no such error"));
}

TEST_CASE("stable hashes are the same on every host")
{
    // Values of XXH3; a change of library or seed would move every shard.
    CHECK(stableHash("") == 0x2d06800538d394c2ULL);
    CHECK(stableHash("a") != stableHash("b"));
}

TEST_CASE("rendezvous weights move only the keys of a host that leaves")
{
    const std::string hosts[] = {"h1", "h2", "h3", "h4"};
    const auto winner = [&](const std::string &key, std::size_t count) {
        std::size_t best = 0;
        for (std::size_t i = 1; i < count; ++i) {
            if (rendezvousWeight(key, hosts[i]) > rendezvousWeight(key, hosts[best])) {
                best = i;
            }
        }
        return best;
    };
    for (int i = 0; i < 200; ++i) {
        const std::string key = "customer-" + std::to_string(i);
        const std::size_t before = winner(key, 4);
        if (before != 3) {
            CHECK(winner(key, 3) == before);
        }
    }
}
