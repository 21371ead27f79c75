#include "godwit/routing/fair_queue.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace Godwit;

namespace
{

QueueEntry place(std::uint64_t call, int priority = 0, double cost = 1)
{
    return {priority, TimePoint(Duration(static_cast<std::int64_t>(call))), CallId(call), cost};
}

const CustomerId Large{"large"};
const CustomerId Small{"small"};

} // namespace

TEST_CASE("customers take turns by share, whatever they have waiting")
{
    FairQueue queue;
    std::map<std::uint64_t, std::string> owner;
    for (std::uint64_t i = 0; i < 400; ++i) {
        pushCall(queue, Large, 1, place(i));
        owner[i] = "large";
    }
    for (std::uint64_t i = 1000; i < 1090; ++i) {
        pushCall(queue, Small, 3, place(i));
        owner[i] = "small";
    }
    std::map<std::string, int> taken;
    for (int i = 0; i < 100; ++i) {
        ++taken[owner[frontCall(queue)->value]];
        popCall(queue);
    }
    CHECK(taken["small"] == Approx(75).margin(1));
}

TEST_CASE("an idle customer saves nothing up, and one that was served waits its turn after a pause")
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 100; ++i) {
        pushCall(queue, Large, 1, place(i));
    }
    for (int i = 0; i < 50; ++i) {
        popCall(queue);
    }
    pushCall(queue, Small, 1, place(500));
    pushCall(queue, Small, 1, place(501));
    int smallTaken = 0;
    for (int i = 0; i < 4; ++i) {
        smallTaken += frontCall(queue)->value >= 500 ? 1 : 0;
        popCall(queue);
    }
    CHECK(smallTaken == 2);
}

TEST_CASE("within a customer priority goes first, then the earlier call")
{
    FairQueue queue;
    pushCall(queue, Large, 1, place(1, 0));
    pushCall(queue, Large, 1, place(2, 5));
    pushCall(queue, Large, 1, place(3, 5));
    std::vector<std::uint64_t> order;
    while (const auto front = frontCall(queue)) {
        order.push_back(front->value);
        popCall(queue);
    }
    CHECK(order == std::vector<std::uint64_t>{2, 3, 1});
}

TEST_CASE("costly calls use up more of a customer's turns")
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 100; ++i) {
        pushCall(queue, Large, 1, place(i, 0, 4));
        pushCall(queue, Small, 1, place(1000 + i, 0, 1));
    }
    int smallTaken = 0;
    for (int i = 0; i < 50; ++i) {
        smallTaken += frontCall(queue)->value >= 1000 ? 1 : 0;
        popCall(queue);
    }
    CHECK(smallTaken == Approx(40).margin(1));
}

TEST_CASE("the wait counts the own calls ahead and the turns of others, not a flood behind")
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        pushCall(queue, Large, 1, place(i));
    }
    CHECK(callsAhead(queue, Small, 1, 0) == Approx(1));
    CHECK(callsAhead(queue, Large, 1, 0) == Approx(1000));
    CHECK(callsAhead(queue, Large, 1, 9) == Approx(0));
}

TEST_CASE("the longest queue for its share gives way, its last call first")
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 10; ++i) {
        pushCall(queue, Large, 1, place(i));
    }
    pushCall(queue, Small, 1, place(100));
    CHECK(customerWithLongerQueue(queue, Small, 1) == Large);
    CHECK(lastCall(queue, Large) == CallId(9));
    CHECK_FALSE(customerWithLongerQueue(queue, Large, 1));
}

TEST_CASE("removed calls and forgotten customers leave nothing behind")
{
    FairQueue queue;
    pushCall(queue, Large, 2, place(1));
    pushCall(queue, Large, 2, place(2));
    CHECK(removeCall(queue, Large, place(1)));
    CHECK_FALSE(removeCall(queue, Large, place(1)));
    CHECK_FALSE(removeCall(queue, Small, place(1)));
    CHECK(removeCall(queue, Large, place(2)));
    CHECK(queue.size == 0);
    CHECK(queue.byVirtualTime.empty());
    CHECK(queue.byLength.empty());
    CHECK(queue.waitingShare == Approx(0));
    removeIdleCustomers(queue);
    CHECK(queue.slotOf.empty());
    pushCall(queue, Small, 1, place(3));
    CHECK(queue.customers.size() == 1);
}
