#pragma once

// The queue of one route: customers take turns by weighted fair share, and within a customer higher priority goes
// first, then the earlier arrival.
//
// Start-time fair queuing: each customer carries a virtual time that grows by cost/share with each call taken; the
// customer with the lowest one is next. A customer that was idle starts at the queue's present virtual time, so it
// can't save up. Every operation is logarithmic in the number of waiting customers and of the customer's own calls.
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

// The place of a call within its customer's queue.
struct QueueEntry
{
    int priority = 0;
    TimePoint arrivedAt;
    CallId call;
    // What taking the call charges its customer: its expected use of an endpoint.
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
    // How many of them have each priority.
    std::map<int, std::size_t> byPriority;
};

struct FairQueue
{
    std::vector<CustomerQueue> customers;
    std::vector<std::uint32_t> freeSlots;
    std::unordered_map<CustomerId, std::uint32_t> slotOf;
    // Customers with waiting calls, by virtual time, and by waiting calls for each unit of share.
    std::set<std::pair<double, std::uint32_t>> byVirtualTime;
    std::set<std::pair<double, std::uint32_t>> byLength;
    double virtualTime = 0;
    double waitingShare = 0;
    std::size_t size = 0;
};

// Adds a call of `customer`, whose share must be positive.
void pushCall(FairQueue &queue, const CustomerId &customer, double share, const QueueEntry &place);

// The call whose turn it is.
std::optional<CallId> frontCall(const FairQueue &queue);

// Takes the call whose turn it is and charges its customer. The queue must not be empty.
void popCall(FairQueue &queue);

// Takes a call out without a charge. Returns whether it was there.
bool removeCall(FairQueue &queue, const CustomerId &customer, const QueueEntry &place);

// The customer with the longest queue for its share, when that is longer than the one that `customer` would have with
// one more call; else nothing.
std::optional<CustomerId> customerWithLongerQueue(const FairQueue &queue, const CustomerId &customer, double share);

// The call that goes last of `customer`'s.
std::optional<CallId> lastCall(const FairQueue &queue, const CustomerId &customer);

// How many calls are taken, at fair turns, before one that `customer` would add now with `priority`.
double callsAhead(const FairQueue &queue, const CustomerId &customer, double share, int priority);

// Forgets customers that wait for nothing and are behind the present virtual time. Cost: all known customers.
void removeIdleCustomers(FairQueue &queue);

} // namespace Godwit
