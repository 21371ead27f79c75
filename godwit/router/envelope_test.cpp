#include "godwit/router/envelope.h"

#include <catch2/catch.hpp>
#include <random>

using namespace Godwit;

namespace
{

Hello someHello()
{
    Hello hello;
    hello.host = HostId{"salt-lake-1"};
    hello.incarnation = Incarnation{"salt-lake-1.7f3a"};
    hello.dataCentre = DataCentreId{"salt-lake"};
    hello.peerAddress = "10.0.0.4:7400";
    hello.callerAddress = "10.0.0.4:8080";
    return hello;
}

std::optional<Frame> decode(std::string bytes)
{
    LastReason reason;
    auto frame = decodeFrame(std::move(bytes), DefaultFrameBound, reason);
    CHECK(frame.has_value() != reason.has_value());
    return frame;
}

std::string withHead(const std::string &head)
{
    std::string bytes;
    bytes += static_cast<char>(head.size() >> 8U);
    bytes += static_cast<char>(head.size() & 0xffU);
    return bytes + head;
}

} // namespace

TEST_CASE("frames come back as they were sent")
{
    const auto hello = decode(encodeHello(someHello()));
    REQUIRE(std::holds_alternative<Hello>(*hello));
    CHECK(std::get<Hello>(*hello).incarnation == someHello().incarnation);
    CHECK(std::get<Hello>(*hello).callerAddress == "10.0.0.4:8080");

    const std::string body("\x00\xff any bytes", 12);
    const auto message = decode(encodeEnvelope({"budget", body}));
    REQUIRE(std::holds_alternative<Envelope>(*message));
    CHECK(std::get<Envelope>(*message).topic == "budget");
    CHECK(std::get<Envelope>(*message).body == body);

    const auto refusal = decode(encodeRefusal({RefusalKind::Identity, "wrong host"}));
    REQUIRE(std::holds_alternative<Refusal>(*refusal));
    CHECK(std::get<Refusal>(*refusal).kind == RefusalKind::Identity);
}

TEST_CASE("the fields of another version's hello are not read")
{
    Hello hello = someHello();
    hello.version = 2;
    const auto frame = decode(encodeHello(hello));
    REQUIRE(std::holds_alternative<ForeignHello>(*frame));
    CHECK(std::get<ForeignHello>(*frame).version == 2);
}

TEST_CASE("a hello whose names could forge log lines is refused")
{
    for (const std::string &name :
         {std::string(), std::string("a b"), std::string("a\nb"), std::string(HelloFieldBound + 1, 'a')}) {
        Hello hello = someHello();
        hello.host = HostId{name};
        CHECK_FALSE(isValid(hello));
        CHECK_FALSE(decode(encodeHello(hello)));
    }
}

TEST_CASE("malformed frames get a reason")
{
    CHECK_FALSE(decode(""));
    CHECK_FALSE(decode("\x01"));
    CHECK_FALSE(decode(std::string("\xff\xff", 2)));
    CHECK_FALSE(decode(std::string("\x00\x05\x83\x03", 4)));
    CHECK_FALSE(decode(withHead("")));
    CHECK_FALSE(decode(withHead("\x03")));
    CHECK_FALSE(decode(withHead(std::string("\x82\x03\xa0", 3))));
    CHECK_FALSE(decode(withHead("\x82\x03\x63"
                                "a b")));
    CHECK_FALSE(decode(withHead("\x82\x09\x61"
                                "a")));
    CHECK_FALSE(decode(withHead("\x82\x03\x61"
                                "a"
                                "\x01")));
    CHECK_FALSE(decode(encodeHello(someHello()) + "surplus"));
    CHECK_FALSE(decode(std::string(DefaultFrameBound + 1, 'a')));
    CHECK_FALSE(isValid(Envelope{"Budget", ""}, DefaultFrameBound));
    CHECK_FALSE(isValid(Envelope{"a", std::string(10, 'b')}, 10));
}

// The attacker sends one frame whose head nests arrays, or claims one of four thousand million items. The CBOR
// parser recurses once a level on the control thread's stack, and a nested field would pass for a flat one.
TEST_CASE("nested and giant arrays are stopped at the first step")
{
    CHECK_FALSE(decode(withHead(std::string(4000, '\x81'))));
    CHECK_FALSE(decode(withHead(std::string(4000, '\x9f'))));
    CHECK_FALSE(decode(withHead("\x82\x03\x81\x61"
                                "a")));
    CHECK_FALSE(decode(withHead("\x9a\xff\xff\xff\xff\x01\x01")));
    CHECK_FALSE(decode(withHead("\x82\x03\x7a\xff\xff\xff\xff"
                                "a")));
}

TEST_CASE("changed bytes never break the decoder, and what it accepts encodes again")
{
    std::mt19937 random(7); // NOLINT: a fixed seed makes the run repeatable
    const std::string seeds[] = {encodeHello(someHello()), encodeEnvelope({"config", "body"})};
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = seeds[random() % 2];
        for (unsigned change = random() % 4; change > 0; --change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        LastReason reason;
        const auto frame = decodeFrame(bytes, DefaultFrameBound, reason);
        REQUIRE(frame.has_value() != reason.has_value());
        if (frame && std::holds_alternative<Envelope>(*frame)) {
            REQUIRE(decode(encodeEnvelope(std::get<Envelope>(*frame))));
        }
    }
}
