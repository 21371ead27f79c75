#pragma once

// The queue of one route. Customers are served by weighted fair queueing; within a customer, higher priority goes
// first, then earlier arrival.
//
// Start-time fair queueing: each customer has a virtual time that grows by cost / share with each call taken, and the
// customer with the lowest virtual time is served next. A customer that was idle starts at the queue's current virtual
// time, so that it cannot accumulate credit. Every operation is logarithmic in the number of waiting customers and of
// the customer's own calls, except removeIdleCustomers().
//
// Example:
//   FairQueue queue;
//   pushCall(queue, {customer, 1.0, {0, arrivedAt, call}, 1.0});
//   if (const auto call = frontCall(queue)) { popCall(queue); }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Godwit
{

// Sort key and cost of a call in the queue of its customer.
struct QueueEntry
{
    int priority = 0;
    TimePoint arrivedAt;
    CallId call;
    // Charged to the customer when the call is taken: its expected use of an endpoint.
    double cost = 1;

    friend bool operator<(const QueueEntry &a, const QueueEntry &b)
    {
        return std::tie(b.priority, a.arrivedAt, a.call) < std::tie(a.priority, b.arrivedAt, b.call);
    }
};

struct CustomerQueue
{
    CustomerId customer;
    double share = 1;
    double virtualTime = 0;
    std::set<QueueEntry> calls;
    // Number of calls by priority.
    std::map<int, std::size_t> byPriority;
};

struct FairQueue
{
    std::vector<CustomerQueue> customers;
    std::vector<std::uint32_t> freeSlots;
    std::unordered_map<CustomerId, std::uint32_t> slotOf;
    // Customers with waiting calls, ordered by virtual time, and by number of waiting calls divided by share.
    std::set<std::pair<double, std::uint32_t>> byVirtualTime;
    std::set<std::pair<double, std::uint32_t>> byLength;
    double virtualTime = 0;
    double waitingShare = 0;
    std::size_t size = 0;
};

// Adds a call of `customer`. `share` must be positive.
void pushCall(FairQueue &queue, const CustomerId &customer, double share, const QueueEntry &place);

// Returns the call to be served next.
std::optional<CallId> frontCall(const FairQueue &queue);

// Removes the call to be served next and charges its customer. The queue must not be empty.
void popCall(FairQueue &queue);

// Removes a call without charging its customer. Returns false when the call was not in the queue.
bool removeCall(FairQueue &queue, const CustomerId &customer, const QueueEntry &place);

// Returns the customer with the most waiting calls per share, when that is more than `customer` would have with one
// more call.
std::optional<CustomerId> customerWithLongerQueue(const FairQueue &queue, const CustomerId &customer, double share);

// Returns the call of `customer` that would be served last.
std::optional<CallId> lastCall(const FairQueue &queue, const CustomerId &customer);

// Estimates how many calls would be served before a new call of `customer` with `priority`.
double callsAhead(const FairQueue &queue, const CustomerId &customer, double share, int priority);

// Removes customers without waiting calls whose virtual time has been passed. Linear in the number of known customers.
void removeIdleCustomers(FairQueue &queue);

} // namespace Godwit
