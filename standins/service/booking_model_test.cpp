#include "standins/service/booking_model.h"

#include <catch2/catch.hpp>

using namespace Godwit::Standins;

namespace
{

constexpr double NoFault = 0.99;

} // namespace

TEST_CASE("executions are counted by request id")
{
    BookingModel model;
    CHECK(recordExecution(model, "a") == 1);
    CHECK(recordExecution(model, "b") == 1);
    CHECK(recordExecution(model, "a") == 2);
    const nlohmann::json json = toJson(model);
    CHECK(json["executions"]["a"] == 2);
    CHECK(json["total"] == 3);
    CHECK(json["executed_more_than_once"] == 1);
}

TEST_CASE("each fault strikes the next calls that it is set for, and then no more")
{
    BookingModel model;
    setFaults(model.faults, {{"refuse_next", 1}, {"close_before_next", 1}, {"close_after_next", 1}});

    const CallPlan refused = planCall(model, NoFault);
    CHECK_FALSE(refused.executes);
    CHECK(refused.answers);

    const CallPlan closedBefore = planCall(model, NoFault);
    CHECK_FALSE(closedBefore.executes);
    CHECK_FALSE(closedBefore.answers);

    const CallPlan closedAfter = planCall(model, NoFault);
    CHECK(closedAfter.executes);
    CHECK_FALSE(closedAfter.answers);

    const CallPlan plain = planCall(model, NoFault);
    CHECK(plain.executes);
    CHECK(plain.answers);
    CHECK(toJson(model)["refused"] == 1);
    CHECK(toJson(model)["closed"] == 2);
}

TEST_CASE("one draw decides among the faults by their probabilities")
{
    BookingModel model;
    setFaults(model.faults, {{"refuse", 0.2}, {"close_before", 0.2}, {"close_after", 0.2}});
    CHECK_FALSE(planCall(model, 0.1).executes);
    CHECK_FALSE(planCall(model, 0.3).answers);
    CHECK(planCall(model, 0.5).executes);
    CHECK_FALSE(planCall(model, 0.5).answers);
    CHECK(planCall(model, 0.7).answers);
}

TEST_CASE("faults that are left out keep their values")
{
    BookingModel model;
    setFaults(model.faults, {{"delay_ms", 5}});
    setFaults(model.faults, {{"refuse", 1.0}});
    CHECK(model.faults.delayMs == 5);
    CHECK(model.faults.refuse.probability == 1.0);
}
