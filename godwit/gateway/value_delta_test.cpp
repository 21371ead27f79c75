#include "godwit/gateway/value_delta.h"

#include <catch2/catch.hpp>

#include <random>

using namespace Godwit;

namespace
{

std::string row(int number)
{
    return R"({"Name":"route-)" + std::to_string(number) + R"(","Host":"host)" + std::to_string(number * 7919)
        + R"(.example","PathPrefix":"/p)" + std::to_string(number * 104729)
        + R"(/","Kind":"idempotent","TimeoutMs":4000,"Service":"booking","Attempts":2})";
}

std::string document(int version, int rows)
{
    std::string text = R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)";
    for (int i = 0; i < rows; ++i) {
        text += row(i) + ',';
    }
    return text + "]}";
}

} // namespace

TEST_CASE("a delta restores the value, and its size depends on what changed")
{
    const std::string base = document(107, 400);
    std::string value = document(108, 401);
    SECTION("a row is appended")
    {
    }
    SECTION("a row in the middle is removed")
    {
        value.erase(value.find(row(200)), row(200).size());
    }
    SECTION("a number is changed")
    {
        value.replace(value.find("4000"), 4, "250");
    }
    const ValueDelta delta = makeValueDelta(base, value);
    CHECK(applyValueDelta(base, delta) == value);
    CHECK(encodedSize(delta) < 2500);
    CHECK(encodedSize(delta) < value.size() / 20);
}

TEST_CASE("a delta exists for any two values")
{
    std::mt19937 random(5);
    const auto text = [&random] {
        std::string bytes(random() % 3000, ' ');
        for (char &byte : bytes) {
            byte = static_cast<char>(random());
        }
        return bytes;
    };
    for (int i = 0; i < 200; ++i) {
        const std::string base = text();
        const std::string value = i % 2 == 0 ? text() : base.substr(base.size() / 3) + text() + base;
        CHECK(applyValueDelta(base, makeValueDelta(base, value)) == value);
    }
    CHECK(applyValueDelta("", makeValueDelta("", "")) == "");
}

TEST_CASE("a delta for a different base is rejected")
{
    const std::string base = document(107, 400);
    ValueDelta delta = makeValueDelta(base, document(108, 401));
    CHECK_FALSE(applyValueDelta(document(99, 400), delta).has_value());
    CHECK_FALSE(applyValueDelta(document(107, 300), delta).has_value());
    CHECK_FALSE(applyValueDelta("", delta).has_value());
    delta.parts.push_back({~std::uint64_t{0}, 2, {}});
    CHECK_FALSE(applyValueDelta(base, delta).has_value());
    delta.parts.back() = {1, ~std::uint64_t{0}, {}};
    CHECK_FALSE(applyValueDelta(base, delta).has_value());
}
