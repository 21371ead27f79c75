#include "godwit/routing/fair_queue.h"

#include <algorithm>

namespace Godwit
{
namespace
{

double lengthOf(const CustomerQueue &customer)
{
    return static_cast<double>(customer.calls.size()) / customer.share;
}

void removeFromIndexes(FairQueue &queue, std::uint32_t slot)
{
    const auto &customer = queue.customers[slot];
    if (customer.calls.empty()) {
        return;
    }
    queue.byVirtualTime.erase({customer.virtualTime, slot});
    queue.byLength.erase({lengthOf(customer), slot});
    queue.waitingShare -= customer.share;
}

void addToIndexes(FairQueue &queue, std::uint32_t slot)
{
    const auto &customer = queue.customers[slot];
    if (customer.calls.empty()) {
        return;
    }
    queue.byVirtualTime.insert({customer.virtualTime, slot});
    queue.byLength.insert({lengthOf(customer), slot});
    queue.waitingShare += customer.share;
}

std::uint32_t slotFor(FairQueue &queue, const CustomerId &customer)
{
    const auto found = queue.slotOf.find(customer);
    if (found != queue.slotOf.end()) {
        return found->second;
    }
    std::uint32_t slot = 0;
    if (queue.freeSlots.empty()) {
        slot = static_cast<std::uint32_t>(queue.customers.size());
        queue.customers.emplace_back();
    } else {
        slot = queue.freeSlots.back();
        queue.freeSlots.pop_back();
        queue.customers[slot] = CustomerQueue{};
    }
    queue.customers[slot].customer = customer;
    queue.slotOf[customer] = slot;
    return slot;
}

const CustomerQueue *findCustomer(const FairQueue &queue, const CustomerId &customer)
{
    const auto found = queue.slotOf.find(customer);
    return found == queue.slotOf.end() ? nullptr : &queue.customers[found->second];
}

void countPriority(CustomerQueue &customer, int priority, bool added)
{
    auto &count = customer.byPriority[priority];
    count += added ? 1 : -1;
    if (count == 0) {
        customer.byPriority.erase(priority);
    }
}

} // namespace

void pushCall(FairQueue &queue, const CustomerId &customer, double share, const QueueEntry &place)
{
    const auto slot = slotFor(queue, customer);
    auto &entry = queue.customers[slot];
    removeFromIndexes(queue, slot);
    if (entry.calls.empty()) {
        entry.virtualTime = std::max(entry.virtualTime, queue.virtualTime);
    }
    entry.share = share;
    entry.calls.insert(place);
    countPriority(entry, place.priority, true);
    ++queue.size;
    addToIndexes(queue, slot);
}

std::optional<CallId> frontCall(const FairQueue &queue)
{
    if (queue.byVirtualTime.empty()) {
        return std::nullopt;
    }
    return queue.customers[queue.byVirtualTime.begin()->second].calls.begin()->call;
}

void popCall(FairQueue &queue)
{
    const auto slot = queue.byVirtualTime.begin()->second;
    auto &entry = queue.customers[slot];
    removeFromIndexes(queue, slot);
    const auto place = *entry.calls.begin();
    entry.calls.erase(entry.calls.begin());
    countPriority(entry, place.priority, false);
    --queue.size;
    queue.virtualTime = entry.virtualTime;
    entry.virtualTime += place.cost / entry.share;
    addToIndexes(queue, slot);
}

bool removeCall(FairQueue &queue, const CustomerId &customer, const QueueEntry &place)
{
    const auto found = queue.slotOf.find(customer);
    if (found == queue.slotOf.end()) {
        return false;
    }
    const auto slot = found->second;
    auto &entry = queue.customers[slot];
    const auto call = entry.calls.find(place);
    if (call == entry.calls.end()) {
        return false;
    }
    removeFromIndexes(queue, slot);
    entry.calls.erase(call);
    countPriority(entry, place.priority, false);
    --queue.size;
    addToIndexes(queue, slot);
    return true;
}

std::optional<CustomerId> customerWithLongerQueue(const FairQueue &queue, const CustomerId &customer, double share)
{
    if (queue.byLength.empty()) {
        return std::nullopt;
    }
    const auto *own = findCustomer(queue, customer);
    const double length = (own ? static_cast<double>(own->calls.size()) : 0.0) + 1;
    const auto &[longest, slot] = *queue.byLength.rbegin();
    if (longest <= length / share || queue.customers[slot].customer == customer) {
        return std::nullopt;
    }
    return queue.customers[slot].customer;
}

std::optional<CallId> lastCall(const FairQueue &queue, const CustomerId &customer)
{
    const auto *entry = findCustomer(queue, customer);
    if (!entry || entry->calls.empty()) {
        return std::nullopt;
    }
    return entry->calls.rbegin()->call;
}

double callsAhead(const FairQueue &queue, const CustomerId &customer, double share, int priority)
{
    const auto *own = findCustomer(queue, customer);
    double ownAhead = 0;
    double ownWaiting = 0;
    double ownShare = 0;
    if (own && !own->calls.empty()) {
        ownWaiting = static_cast<double>(own->calls.size());
        ownShare = own->share;
        for (auto it = own->byPriority.lower_bound(priority); it != own->byPriority.end(); ++it) {
            ownAhead += static_cast<double>(it->second);
        }
    }
    const double othersWaiting = static_cast<double>(queue.size) - ownWaiting;
    const double othersShare = std::max(0.0, queue.waitingShare - ownShare);
    return ownAhead + std::min(othersWaiting, (ownAhead + 1) * othersShare / share);
}

void removeIdleCustomers(FairQueue &queue)
{
    for (std::uint32_t slot = 0; slot < queue.customers.size(); ++slot) {
        auto &entry = queue.customers[slot];
        const bool used = queue.slotOf.count(entry.customer) != 0 && queue.slotOf.at(entry.customer) == slot;
        if (!used || !entry.calls.empty() || entry.virtualTime > queue.virtualTime) {
            continue;
        }
        queue.slotOf.erase(entry.customer);
        entry = CustomerQueue{};
        queue.freeSlots.push_back(slot);
    }
}

} // namespace Godwit
