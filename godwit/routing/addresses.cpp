#include "godwit/routing/addresses.h"

#include "godwit/base/hash.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>

namespace Godwit
{
namespace
{

struct Candidate
{
    const RouterAddress *router = nullptr;
    std::uint64_t weight = 0;
    bool diverted = false;
};

bool anyNotLeaving(const std::vector<RouterAddress> &live)
{
    return std::any_of(live.begin(), live.end(), [](const RouterAddress &router) {
        return !router.leaving;
    });
}

double meanLoad(const std::vector<Candidate> &candidates)
{
    double sum = 0;
    for (const auto &candidate : candidates) {
        sum += candidate.router->load;
    }
    return sum / static_cast<double>(candidates.size());
}

// A host above the bound diverts a random part of its callers, so that its load changes gradually; moving whole
// customers would make it jump. Only half of the excess is diverted at a time: answers are kept for long, and a
// correction by the whole excess overshoots and oscillates.
bool isDiverted(const RouterAddress &router, const AddressOptions &options, double bound)
{
    constexpr double gain = 0.5;
    if (router.load <= bound) {
        return false;
    }
    const double excess = (router.load - bound) / router.load;
    const auto hash = rendezvousWeight(router.host.value, std::to_string(options.selector));
    return static_cast<double>(hash) / static_cast<double>(std::numeric_limits<std::uint64_t>::max()) < gain * excess;
}

std::vector<Candidate> rankedCandidates(const std::vector<RouterAddress> &live,
                                        const CustomerId &customer,
                                        const AddressOptions &options)
{
    std::vector<Candidate> candidates;
    const bool skipLeaving = anyNotLeaving(live);
    for (const auto &router : live) {
        if (!skipLeaving || !router.leaving) {
            candidates.push_back({&router, rendezvousWeight(customer.value, router.host.value), false});
        }
    }
    if (candidates.empty()) {
        return candidates;
    }
    const double bound = meanLoad(candidates) * options.loadBound;
    for (auto &candidate : candidates) {
        candidate.diverted = isDiverted(*candidate.router, options, bound);
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return a.diverted != b.diverted ? b.diverted : a.weight > b.weight;
    });
    return candidates;
}

// Returns the number of hosts over which the callers of the customer are spread.
std::size_t activeHostCount(std::size_t hosts, const AddressOptions &options)
{
    const double wanted = std::ceil(options.customerShare * static_cast<double>(hosts) * options.spread);
    return static_cast<std::size_t>(std::clamp(wanted, 1.0, static_cast<double>(hosts)));
}

// Orders the fallback hosts behind the `active` ones: first one in a data centre that has no active host, so that
// callers still reach a router when a data centre fails.
void orderFallbacks(std::vector<Candidate> &candidates, std::size_t active)
{
    const auto first = candidates.begin() + static_cast<std::ptrdiff_t>(active);
    const auto elsewhere = std::find_if(first, candidates.end(), [&](const Candidate &candidate) {
        return std::none_of(candidates.begin(), first, [&](const Candidate &used) {
            return used.router->dataCentre == candidate.router->dataCentre;
        });
    });
    if (elsewhere != candidates.end()) {
        std::rotate(first, elsewhere, elsewhere + 1);
    }
}

} // namespace

AddressAnswer chooseAddresses(const std::vector<RouterAddress> &live,
                              const CustomerId &customer,
                              const AddressOptions &options)
{
    AddressAnswer answer;
    answer.ttl = options.ttl;
    auto candidates = rankedCandidates(live, customer, options);
    if (candidates.empty()) {
        return answer;
    }
    const auto active = activeHostCount(candidates.size(), options);
    orderFallbacks(candidates, active);
    const auto least = static_cast<std::size_t>(std::max(options.minHosts, 1));
    candidates.resize(std::min(candidates.size(), std::max(active, least)));
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(active);
    std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(options.selector % active), end);
    std::stable_partition(candidates.begin(), end, [&](const Candidate &candidate) {
        return candidate.router->dataCentre == options.callerDataCentre;
    });
    for (const auto &candidate : candidates) {
        answer.addresses.push_back(candidate.router->address);
    }
    return answer;
}

} // namespace Godwit
