#pragma once

// The plain service's model: which bookings were executed, how often, and which fault the next call meets.
//
// Pure: random numbers are passed in.
//
// Example:
//   BookingModel model;
//   const CallPlan plan = planCall(model, draw);
//   if (plan.executes) {
//       recordExecution(model, id);
//   }

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace Godwit::Standins
{

// How often a fault strikes: for certain in the next `next` calls, then with `probability`.
struct FaultRate
{
    double probability = 0;
    std::uint64_t next = 0;
};

struct BookingFaults
{
    std::uint64_t delayMs = 0; // Between the execution and its answer.
    FaultRate closeBefore; // The connection closes and nothing is executed.
    FaultRate closeAfter; // Executed, and the connection closes without an answer.
    FaultRate refuse; // 503 with Godwit-Not-Run, nothing is executed.
};

struct BookingModel
{
    std::map<std::string, std::uint64_t> executions; // By request id.
    std::uint64_t refused = 0;
    std::uint64_t closed = 0;
    BookingFaults faults;
};

// What happens to one call.
struct CallPlan
{
    bool executes = true;
    bool answers = true; // False: the connection closes.
};

// Chooses the call's fate. `draw` is uniform in [0, 1).
CallPlan planCall(BookingModel &model, double draw);

// Counts one execution and returns how often this id has now been executed.
std::uint64_t recordExecution(BookingModel &model, const std::string &id);

// Sets the faults that `json` names; the others stay. Throws nlohmann::json::exception on a value of the wrong type.
void setFaults(BookingFaults &faults, const nlohmann::json &json);

// {"executions": {id: count}, "total", "executed_more_than_once", "refused", "closed"}
nlohmann::json toJson(const BookingModel &model);

} // namespace Godwit::Standins
