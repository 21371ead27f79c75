#include "standins/service/booking_model.h"

namespace Godwit::Standins
{

namespace
{

// Takes the fault's share off `draw`, so that one draw decides among several faults.
bool strikes(FaultRate &fault, double &draw)
{
    if (fault.next > 0) {
        --fault.next;
        return true;
    }
    if (draw < fault.probability) {
        return true;
    }
    draw -= fault.probability;
    return false;
}

void setRate(FaultRate &rate, const nlohmann::json &json, const std::string &name)
{
    rate.probability = json.value(name, rate.probability);
    rate.next = json.value(name + "_next", rate.next);
}

} // namespace

CallPlan planCall(BookingModel &model, double draw)
{
    if (strikes(model.faults.refuse, draw)) {
        ++model.refused;
        return {false, true};
    }
    if (strikes(model.faults.closeBefore, draw)) {
        ++model.closed;
        return {false, false};
    }
    if (strikes(model.faults.closeAfter, draw)) {
        ++model.closed;
        return {true, false};
    }
    return {};
}

std::uint64_t recordExecution(BookingModel &model, const std::string &id)
{
    return ++model.executions[id];
}

void setFaults(BookingFaults &faults, const nlohmann::json &json)
{
    BookingFaults changed = faults;
    changed.delayMs = json.value("delay_ms", changed.delayMs);
    setRate(changed.closeBefore, json, "close_before");
    setRate(changed.closeAfter, json, "close_after");
    setRate(changed.refuse, json, "refuse");
    faults = changed;
}

nlohmann::json toJson(const BookingModel &model)
{
    std::uint64_t total = 0;
    std::uint64_t repeated = 0;
    for (const auto &[id, count] : model.executions) {
        total += count;
        repeated += count > 1 ? 1 : 0;
    }
    return {
        {"executions", model.executions},
        {"total", total},
        {"executed_more_than_once", repeated},
        {"refused", model.refused},
        {"closed", model.closed},
    };
}

} // namespace Godwit::Standins
