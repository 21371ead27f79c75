#include "godwit/gateway/response_ending.h"

#include <catch2/catch.hpp>

#include <array>

using namespace Godwit;

namespace
{

constexpr std::array Framings = {ResponseFraming::Length, ResponseFraming::Chunked, ResponseFraming::Connection};
constexpr std::array Ends = {ConnectionEnd::Open, ConnectionEnd::Closed, ConnectionEnd::Broken};
constexpr std::array Positions = {
    StreamPosition::BeforeFirst, StreamPosition::AtEdge, StreamPosition::InsideNumber, StreamPosition::InsideEvent};

} // namespace

TEST_CASE("a stream that ends inside an event is truncated regardless of its framing")
{
    for (const ResponseFraming framing : Framings) {
        for (const ConnectionEnd end : Ends) {
            for (const StreamPosition position : {StreamPosition::InsideNumber, StreamPosition::InsideEvent}) {
                CHECK(completenessOf({framing, end, position}) == ResponseCompleteness::Truncated);
            }
        }
    }
}

TEST_CASE("only a reached content length or a last chunk declares the end of a response")
{
    // Guards against a closed connection being forwarded to the caller as a response that the endpoint completed.
    for (const ConnectionEnd end : Ends) {
        for (const StreamPosition position : Positions) {
            CHECK(completenessOf({ResponseFraming::Connection, end, position}) != ResponseCompleteness::Declared);
        }
        CHECK(completenessOf({ResponseFraming::Connection, end, std::nullopt}) != ResponseCompleteness::Declared);
    }
    for (const ResponseFraming framing : {ResponseFraming::Length, ResponseFraming::Chunked}) {
        CHECK(completenessOf({framing, ConnectionEnd::Open, std::nullopt}) == ResponseCompleteness::Declared);
        CHECK(completenessOf({framing, ConnectionEnd::Open, StreamPosition::AtEdge}) == ResponseCompleteness::Declared);
        CHECK(completenessOf({framing, ConnectionEnd::Open, StreamPosition::BeforeFirst})
              == ResponseCompleteness::Declared);
        CHECK(completenessOf({framing, ConnectionEnd::Closed, StreamPosition::AtEdge})
              == ResponseCompleteness::Truncated);
        CHECK(completenessOf({framing, ConnectionEnd::Broken, std::nullopt}) == ResponseCompleteness::Truncated);
    }
}

TEST_CASE("a clean close implies a complete response only where a response may end")
{
    const auto closed = [](std::optional<StreamPosition> position) {
        return completenessOf({ResponseFraming::Connection, ConnectionEnd::Closed, position});
    };
    CHECK(closed(std::nullopt) == ResponseCompleteness::Inferred);
    CHECK(closed(StreamPosition::AtEdge) == ResponseCompleteness::Inferred);
    CHECK(closed(StreamPosition::BeforeFirst) == ResponseCompleteness::Truncated);
    CHECK(completenessOf({ResponseFraming::Connection, ConnectionEnd::Broken, StreamPosition::AtEdge})
          == ResponseCompleteness::Truncated);
}

TEST_CASE("an undeclared end is forwarded only by closing the connection")
{
    CHECK(framingToForward(ResponseFraming::Connection, ResponseFraming::Chunked) == ResponseFraming::Connection);
    CHECK(framingToForward(ResponseFraming::Connection, ResponseFraming::Length) == ResponseFraming::Connection);
    CHECK(framingToForward(ResponseFraming::Length, ResponseFraming::Chunked) == ResponseFraming::Chunked);
    for (const ResponseFraming framing : Framings) {
        CHECK(mayEndAsComplete(framing, ResponseCompleteness::Declared));
        CHECK(mayEndAsComplete(framing, ResponseCompleteness::Inferred) == (framing == ResponseFraming::Connection));
        CHECK_FALSE(mayEndAsComplete(framing, ResponseCompleteness::Truncated));
    }
}
