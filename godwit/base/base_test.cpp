#include "godwit/base/cbor_shape.h"
#include "godwit/base/enum_names.h"
#include "godwit/base/error.h"
#include "godwit/base/hash.h"
#include "godwit/base/ids.h"
#include "godwit/base/json_text.h"

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

TEST_CASE("the shape of CBOR is bounded before a library parses it")
{
    // A linked router sends a megabyte of nested arrays: a parser that recurses overflows the stack.
    const auto shape = [](const std::string &bytes) {
        return hasBoundedShape(bytes, 4);
    };
    CHECK(shape(std::string("\x83\x01\x61x\xa1\x61k\x80", 8)));
    CHECK(shape("\x9f\x01\x02\xff"));
    CHECK(shape("\x81\x81\x81\x81\x01"));
    CHECK_FALSE(shape("\x81\x81\x81\x81\x81\x01"));
    CHECK_FALSE(shape(std::string(1000000, '\x81')));
    CHECK_FALSE(shape(std::string(1000000, '\x9f')));
    CHECK_FALSE(shape(std::string("\x9b\x8b\x8b\x8b\x8b\xb6\x8b\x8b\x8b\xb6", 10)));
    CHECK_FALSE(shape("\x7a\xff\xff\xff\xff"));
    CHECK_FALSE(shape("\xc1\x01"));
    CHECK_FALSE(shape("\xff"));
    CHECK_FALSE(shape("\x82\x01"));
    CHECK_FALSE(shape(""));
}

// Guards against a value whose nesting exhausts the stack of whoever prints or copies it.
TEST_CASE("JSON text that is nested too deeply is rejected before it is parsed")
{
    const auto nested = [](std::size_t levels) {
        return std::string(levels, '[') + std::string(levels, ']');
    };
    CHECK(parseJson(nested(MaxJsonDepth)).is_array());
    CHECK_THROWS_AS(parseJson(nested(MaxJsonDepth + 1)), nlohmann::json::exception);
    CHECK_THROWS_AS(parseJson(std::string(1'000'000, '{')), nlohmann::json::exception);
    CHECK(tryParseJson(nested(1'000'000)).is_discarded());
    CHECK(tryParseJson("[1").is_discarded());
    // Brackets in strings don't nest, nor do those of siblings.
    CHECK(tryParseJson(R"(["[[\"[[","]]\\",[1],[2]])", 2).size() == 4);
    CHECK(tryParseJson(R"(["\\",[[1]]])", 2).is_discarded());
}
