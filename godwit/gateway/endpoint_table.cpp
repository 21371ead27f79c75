#include "godwit/gateway/endpoint_table.h"

#include "godwit/base/hash.h"

#include <algorithm>

namespace Godwit
{
namespace
{

bool isTried(const ChoiceQuery &query, const EndpointId &id)
{
    return std::find(query.tried.begin(), query.tried.end(), id) != query.tried.end();
}

// Those that may be used now: the ones not avoided, or all when every one is.
std::vector<EndpointState *> candidates(EndpointTable &table, const ChoiceQuery &query, TimePoint now)
{
    std::vector<EndpointState *> sound;
    std::vector<EndpointState *> avoided;
    const auto service = table.byService.find(query.service);
    if (service == table.byService.end()) {
        return sound;
    }
    for (const EndpointId &id : service->second) {
        if (isTried(query, id)) {
            continue;
        }
        EndpointState &endpoint = table.endpoints.at(id);
        (endpoint.avoidUntil > now ? avoided : sound).push_back(&endpoint);
    }
    return sound.empty() ? avoided : sound;
}

// What an attempt costs here: the load, raised by recent failures and slow answers.
double costOf(const EndpointState &endpoint)
{
    const double load = 1.0 + endpoint.inFlight;
    return load * (1.0 + 4.0 * endpoint.failureRate);
}

EndpointState *byAffinity(const std::vector<EndpointState *> &from,
                          const ChoiceQuery &query,
                          const ChoiceOptions &options)
{
    int total = 0;
    for (const EndpointState *endpoint : from) {
        total += endpoint->inFlight;
    }
    const double bound = options.loadBound * total / static_cast<double>(from.size()) + options.slack;
    EndpointState *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (EndpointState *endpoint : from) {
        if (endpoint->inFlight >= bound) {
            continue;
        }
        const std::uint64_t weight = rendezvousWeight(query.affinity, endpoint->listed.id.value);
        if (best == nullptr || weight > bestWeight) {
            best = endpoint;
            bestWeight = weight;
        }
    }
    return best;
}

EndpointState *byLoad(const std::vector<EndpointState *> &from, const ChoiceQuery &query, std::uint64_t random)
{
    EndpointState *best = nullptr;
    double bestCost = 0;
    for (std::size_t i = 0; i < from.size(); ++i) {
        // Begins at a random place, so that routers that see the same loads choose differently.
        EndpointState *endpoint = from[(random + i) % from.size()];
        double cost = costOf(*endpoint);
        if (endpoint->listed.dataCentre != query.dataCentre) {
            cost += 0.01; // Between equal ones the nearer.
        }
        if (best == nullptr || cost < bestCost) {
            best = endpoint;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace

std::vector<EndpointId> replaceEndpoints(EndpointTable &table, const std::vector<ListedEndpoint> &listed)
{
    std::vector<EndpointId> startedAnew;
    table.byService.clear();
    std::map<EndpointId, bool> named;
    for (const ListedEndpoint &entry : listed) {
        named[entry.id] = true;
        const auto [found, isNew] = table.endpoints.try_emplace(entry.id);
        EndpointState &endpoint = found->second;
        if (!isNew && endpoint.listed.startedAt != entry.startedAt) {
            endpoint = EndpointState{};
            startedAnew.push_back(entry.id);
        }
        endpoint.listed = entry;
        endpoint.gone = false;
        if (!entry.leaving) {
            table.byService[entry.service].push_back(entry.id);
        }
    }
    for (auto it = table.endpoints.begin(); it != table.endpoints.end();) {
        EndpointState &endpoint = it->second;
        endpoint.gone = named.count(it->first) == 0;
        const bool forget = endpoint.gone && endpoint.inFlight == 0;
        it = forget ? table.endpoints.erase(it) : std::next(it);
    }
    return startedAnew;
}

EndpointState *findStart(EndpointTable &table, const EndpointId &id, EndpointStart startedAt)
{
    const auto found = table.endpoints.find(id);
    const bool same = found != table.endpoints.end() && found->second.listed.startedAt == startedAt;
    return same ? &found->second : nullptr;
}

EndpointState *chooseEndpoint(
    EndpointTable &table, const ChoiceQuery &query, const ChoiceOptions &options, std::uint64_t random, TimePoint now)
{
    const auto from = candidates(table, query, now);
    if (from.empty()) {
        return nullptr;
    }
    if (!query.affinity.empty()) {
        if (EndpointState *endpoint = byAffinity(from, query, options)) {
            return endpoint;
        }
    }
    return byLoad(from, query, random);
}

void beginAttempt(EndpointState &endpoint)
{
    ++endpoint.inFlight;
}

void endAttempt(EndpointState &endpoint, AttemptVerdict verdict, const ChoiceOptions &options, TimePoint now)
{
    --endpoint.inFlight;
    switch (verdict) {
    case AttemptVerdict::Neutral:
        return;
    case AttemptVerdict::Good:
        endpoint.failuresInRow = 0;
        endpoint.failureRate *= 1.0 - options.newest;
        return;
    case AttemptVerdict::Shed:
        endpoint.avoidUntil = now + options.avoidShed;
        return;
    case AttemptVerdict::Failed:
        // Answers that fail now and then are no reason to leave an endpoint; the rate speaks.
        endpoint.failureRate += options.newest * (1.0 - endpoint.failureRate);
        return;
    case AttemptVerdict::Unreachable:
    case AttemptVerdict::Slow:
        endpoint.failureRate += options.newest * (1.0 - endpoint.failureRate);
        endpoint.avoidUntil =
            now + std::min(options.avoidFirst * (1 << std::min(endpoint.failuresInRow, 6)), options.avoidLimit);
        ++endpoint.failuresInRow;
        return;
    }
}

} // namespace Godwit
