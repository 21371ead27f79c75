#include "godwit/gateway/answer_ending.h"

#include <catch2/catch.hpp>

#include <array>

using namespace Godwit;

namespace
{

constexpr std::array Framings = {AnswerFraming::Length, AnswerFraming::Chunked, AnswerFraming::Connection};
constexpr std::array Ends = {ConnectionEnd::Open, ConnectionEnd::InOrder, ConnectionEnd::Broken};
constexpr std::array Positions = {
    StreamPosition::BeforeFirst, StreamPosition::AtEdge, StreamPosition::InsideNumber, StreamPosition::InsideEvent};

} // namespace

TEST_CASE("a stream that ends inside an event was broken off, whatever its framing says")
{
    for (const AnswerFraming framing : Framings) {
        for (const ConnectionEnd end : Ends) {
            for (const StreamPosition position : {StreamPosition::InsideNumber, StreamPosition::InsideEvent}) {
                CHECK(extentOf({framing, end, position}) == AnswerExtent::BrokenOff);
            }
        }
    }
}

TEST_CASE("only a length that is reached or a last chunk declares an answer's end")
{
    // Guards against the end of a connection being passed on as the word of the endpoint.
    for (const ConnectionEnd end : Ends) {
        for (const StreamPosition position : Positions) {
            CHECK(extentOf({AnswerFraming::Connection, end, position}) != AnswerExtent::Declared);
        }
        CHECK(extentOf({AnswerFraming::Connection, end, std::nullopt}) != AnswerExtent::Declared);
    }
    for (const AnswerFraming framing : {AnswerFraming::Length, AnswerFraming::Chunked}) {
        CHECK(extentOf({framing, ConnectionEnd::Open, std::nullopt}) == AnswerExtent::Declared);
        CHECK(extentOf({framing, ConnectionEnd::Open, StreamPosition::AtEdge}) == AnswerExtent::Declared);
        CHECK(extentOf({framing, ConnectionEnd::Open, StreamPosition::BeforeFirst}) == AnswerExtent::Declared);
        CHECK(extentOf({framing, ConnectionEnd::InOrder, StreamPosition::AtEdge}) == AnswerExtent::BrokenOff);
        CHECK(extentOf({framing, ConnectionEnd::Broken, std::nullopt}) == AnswerExtent::BrokenOff);
    }
}

TEST_CASE("an end in order infers a whole answer only where one may end")
{
    const auto inOrder = [](std::optional<StreamPosition> position) {
        return extentOf({AnswerFraming::Connection, ConnectionEnd::InOrder, position});
    };
    CHECK(inOrder(std::nullopt) == AnswerExtent::Inferred);
    CHECK(inOrder(StreamPosition::AtEdge) == AnswerExtent::Inferred);
    CHECK(inOrder(StreamPosition::BeforeFirst) == AnswerExtent::BrokenOff);
    CHECK(extentOf({AnswerFraming::Connection, ConnectionEnd::Broken, StreamPosition::AtEdge})
          == AnswerExtent::BrokenOff);
}

TEST_CASE("an end that nobody declared is passed on only by a connection's end")
{
    CHECK(framingToPass(AnswerFraming::Connection, AnswerFraming::Chunked) == AnswerFraming::Connection);
    CHECK(framingToPass(AnswerFraming::Connection, AnswerFraming::Length) == AnswerFraming::Connection);
    CHECK(framingToPass(AnswerFraming::Length, AnswerFraming::Chunked) == AnswerFraming::Chunked);
    for (const AnswerFraming framing : Framings) {
        CHECK(mayEndWhole(framing, AnswerExtent::Declared));
        CHECK(mayEndWhole(framing, AnswerExtent::Inferred) == (framing == AnswerFraming::Connection));
        CHECK_FALSE(mayEndWhole(framing, AnswerExtent::BrokenOff));
    }
}
