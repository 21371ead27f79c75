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

TEST_CASE("customers are served in proportion to their shares, whatever their queue lengths")
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

TEST_CASE("an idle customer accumulates no credit")
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

TEST_CASE("calls of a customer are ordered by priority, then by arrival")
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

TEST_CASE("expensive calls are charged more to their customer")
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

TEST_CASE("callsAhead counts own calls of at least the same priority and the fair share of others")
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        pushCall(queue, Large, 1, place(i));
    }
    CHECK(callsAhead(queue, Small, 1, 0) == Approx(1));
    CHECK(callsAhead(queue, Large, 1, 0) == Approx(1000));
    CHECK(callsAhead(queue, Large, 1, 9) == Approx(0));
}

TEST_CASE("the customer with the longest queue for its share and its last call are found")
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

TEST_CASE("removing calls and idle customers frees all entries")
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
