#include "godwit/gateway/place_queue.h"

#include <catch2/catch.hpp>

#include <cstdint>

using namespace Godwit;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const TimePoint Start{seconds(100)};
constexpr int Places = 4;

PlaceQueue queueOf(std::uint64_t waiting, int urgency = 5)
{
    PlaceQueue queue;
    recordServiceTime(queue, milliseconds(200)); // One place becomes free each 50 ms.
    for (std::uint64_t i = 1; i <= waiting; ++i) {
        REQUIRE(join(queue, {i, urgency, Start + seconds(1)}, Places, Start));
    }
    return queue;
}

} // namespace

// Guards against requests that wait although they can't be served in time.
TEST_CASE("a request whose turn comes too late is not queued")
{
    PlaceQueue queue = queueOf(3);
    CHECK_FALSE(join(queue, {9, 5, Start + milliseconds(190)}, Places, Start));
    CHECK(join(queue, {9, 5, Start + milliseconds(200)}, Places, Start));
    CHECK_FALSE(join(queue, {10, 5, Start + seconds(9)}, 0, Start));
}

// Guards against urgent requests that wait behind others.
TEST_CASE("more urgent requests go first, and what can't be served in time any more is removed at once")
{
    PlaceQueue queue = queueOf(2);
    REQUIRE(join(queue, {8, 5, Start + milliseconds(150)}, Places, Start));
    REQUIRE(join(queue, {9, 1, Start + milliseconds(60)}, Places, Start));
    CHECK(queue.waiting.front().id == 9);
    const auto hopeless = takeHopeless(queue, Places, Start);
    REQUIRE(hopeless.size() == 1);
    CHECK(hopeless.front().id == 8);
    leave(queue, 1);
    CHECK(queue.waiting.size() == 2);
    CHECK(takeHopeless(queue, Places, Start + seconds(2)).size() == 2);
}

// Guards against refused callers that all return at the same time.
TEST_CASE("refused callers are told to return at different times, the more urgent ones earlier")
{
    PlaceQueue queue = queueOf(2);
    const Duration most = seconds(1);
    const Duration first = returnDelay(queue, 5, Places, most, 0, Start);
    const Duration second = returnDelay(queue, 5, Places, most, 0, Start);
    const Duration urgent = returnDelay(queue, 1, Places, most, 0, Start);
    CHECK(first == milliseconds(150)); // After the two that wait.
    CHECK(second == first + milliseconds(100));
    CHECK(urgent == first);
    for (int i = 0; i < 100; ++i) {
        CHECK(returnDelay(queue, 5, Places, most, 0.5, Start) <= most);
    }
}
