#include "godwit/gateway/endpoint_table.h"

#include "godwit/base/hash.h"
#include "godwit/gateway/speed_exchange.h"

#include <algorithm>

namespace Godwit
{
namespace
{

bool isTried(const ChoiceQuery &query, const EndpointId &id)
{
    return std::find(query.tried.begin(), query.tried.end(), id) != query.tried.end();
}

// A cold endpoint receives requests from a few routers only, at a limited rate.
bool isThrottledWhileCold(const EndpointTable &table,
                          const ColdStartPlan *plan,
                          const EndpointState &endpoint,
                          TimePoint now)
{
    return plan != nullptr && isCold(endpoint.cold, now)
        && !maySendWhileCold(endpoint.cold, countPermits(*plan, endpoint.listed.id, table.usableShares), now);
}

const ColdStartPlan *coldPlan(const EndpointTable &table, const std::string &service)
{
    const auto found = table.coldPlans.find(service);
    return found == table.coldPlans.end() ? nullptr : &found->second;
}

int placesAt(const EndpointTable &table, const EndpointState &endpoint, TimePoint now)
{
    const ListedEndpoint &listed = endpoint.listed;
    return placesAt(table.brittle, table.brittleOptions, listed.id, listed.slots, table.position, now);
}

// Whether this router holds a place at any endpoint of the service.
bool holdsPlaces(const EndpointTable &table, const std::vector<EndpointId> &endpoints, TimePoint now)
{
    return std::any_of(endpoints.begin(), endpoints.end(), [&table, now](const EndpointId &id) {
        return placesAt(table, table.endpoints.at(id), now) > 0;
    });
}

// How a request to a brittle service may be sent.
enum class BrittleSend {
    Unlimited,
    ToFreePlaces,
    Paced, // This router holds no place, and its next request is due.
    None,
};

BrittleSend brittleSend(const EndpointTable &table, const std::string &service, TimePoint now)
{
    const auto endpoints = table.byService.find(service);
    if (endpoints == table.byService.end() || !limitsInFlight(table, service, now)) {
        return BrittleSend::Unlimited;
    }
    if (holdsPlaces(table, endpoints->second, now)) {
        return BrittleSend::ToFreePlaces;
    }
    if (!isBrittle(table.brittle, table.brittleOptions, service, now)) {
        return BrittleSend::Unlimited;
    }
    return now >= table.brittle.services.at(service).nextPacedSendAt ? BrittleSend::Paced : BrittleSend::None;
}

// Whether the endpoint may receive a request that is sent this way.
bool hasFreePlace(const EndpointTable &table, const EndpointState &endpoint, BrittleSend send, TimePoint now)
{
    if (send == BrittleSend::Unlimited) {
        return true;
    }
    if (send == BrittleSend::None
        || isRejecting(table.brittle, table.brittleOptions, endpoint.listed.service, endpoint.listed.id, now)) {
        return false;
    }
    return endpoint.inFlight < (send == BrittleSend::Paced ? 1 : placesAt(table, endpoint, now));
}

// Returns the endpoints that are not in backoff, or all if every one is. Endpoints in backoff do not replace healthy
// ones that have no free place.
std::vector<EndpointState *> candidates(EndpointTable &table, const ChoiceQuery &query, BrittleSend send, TimePoint now)
{
    std::vector<EndpointState *> healthy;
    std::vector<EndpointState *> avoided;
    bool isFull = false;
    const auto service = table.byService.find(query.service);
    if (service == table.byService.end()) {
        return healthy;
    }
    const ColdStartPlan *plan = coldPlan(table, query.service);
    for (const EndpointId &id : service->second) {
        EndpointState &endpoint = table.endpoints.at(id);
        if (!isCandidate(query, endpoint) || isThrottledWhileCold(table, plan, endpoint, now)) {
            continue;
        }
        const bool inBackoff = endpoint.backoffUntil > now;
        if (!hasFreePlace(table, endpoint, send, now)) {
            isFull = isFull || !inBackoff;
            continue;
        }
        (inBackoff ? avoided : healthy).push_back(&endpoint);
    }
    return healthy.empty() && !isFull ? avoided : healthy;
}

// Cost factor for endpoints whose recent attempts failed.
double failurePenalty(const EndpointState &endpoint)
{
    constexpr double weight = 4;
    return 1.0 + weight * endpoint.failureRate;
}

// Cost of an attempt at a plain service, based on the requests that this router has in flight there.
double loadCost(const EndpointState &endpoint)
{
    return (1.0 + endpoint.inFlight) * failurePenalty(endpoint);
}

// The preferred engine for a shared prefix, by rendezvous hashing: the same on all routers without coordination.
const EndpointState *preferredEndpoint(const std::vector<EndpointState *> &from, std::string_view prefix)
{
    const EndpointState *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const EndpointState *endpoint : from) {
        const std::uint64_t weight = rendezvousWeight(prefix, endpoint->listed.id.value);
        if (best == nullptr || weight > bestWeight) {
            best = endpoint;
            bestWeight = weight;
        }
    }
    return best;
}

const EndpointId *recentEndpoint(const EndpointTable &table, std::string_view prefix, TimePoint now)
{
    const auto found = table.recentPlacements.find(prefix);
    return found != table.recentPlacements.end() && now < found->second.until ? &found->second.endpoint : nullptr;
}

void rememberPlacement(EndpointTable &table,
                       std::string_view prefix,
                       const EndpointId &endpoint,
                       const ChoiceOptions &options,
                       TimePoint now)
{
    if (table.recentPlacements.size() >= options.maxPlacements) {
        table.recentPlacements.clear();
    }
    table.recentPlacements[std::string(prefix)] = RecentPlacement{endpoint, now + options.placementTtl};
}

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

Tokens countUncachedTokens(const ChoiceQuery &query, bool cached)
{
    return query.promptTokens - (cached ? query.sharedTokens : 0);
}

// Cost of sending the prompt to an engine, in milliseconds: the time to its first event, with a surcharge if that is
// late, and the delay for subsequent requests if the shared prefix is prefilled again. `cached`: the engine has the
// prefix.
double prefillCost(const EndpointState &endpoint,
                   const PrefillSpeed &speed,
                   const ChoiceQuery &query,
                   const ChoiceOptions &options,
                   bool cached,
                   TimePoint now)
{
    const Duration reading = timeOfNewPrompt(endpoint.load, speed, countUncachedTokens(query, cached));
    const Duration firstEvent = queueDelay(endpoint.load, now) + reading;
    const auto tolerated = options.toleratedFraction * milliseconds(query.latencyTarget);
    const double beyond = std::max(0.0, milliseconds(firstEvent) - tolerated);
    double cost = milliseconds(firstEvent) + options.latenessWeight * beyond;
    if (!cached) {
        const double again = (options.recomputeWeight - 1.0) * static_cast<double>(query.sharedTokens);
        cost += milliseconds(prefillTime(endpoint.load, speed, static_cast<Tokens>(again)));
    }
    cost += milliseconds(options.occupancyPenalty) * endpoint.inFlight / std::max(1, endpoint.listed.slots);
    return cost * failurePenalty(endpoint);
}

// Selects the engine with the lowest cost. `from` is not empty.
Choice chooseByPrefillCost(EndpointTable &table,
                           const std::vector<EndpointState *> &from,
                           const ChoiceQuery &query,
                           const ChoiceOptions &options,
                           std::uint64_t random,
                           TimePoint now)
{
    refreshRates(table, query.service, now);
    const PrefillSpeed &speed = table.prefillSpeeds[query.service];
    const EndpointState *preferred = query.affinity.empty() ? nullptr : preferredEndpoint(from, query.affinity);
    const EndpointId *recent = query.affinity.empty() ? nullptr : recentEndpoint(table, query.affinity, now);
    Choice best;
    double bestCost = 0;
    for (std::size_t i = 0; i < from.size(); ++i) {
        // Start at a random index, so that routers with the same view of the load select different endpoints.
        EndpointState &endpoint = *from[(random + i) % from.size()];
        const bool isPreferred = preferred != nullptr && preferred == &endpoint;
        const bool cached = isPreferred || (recent != nullptr && *recent == endpoint.listed.id);
        double cost = prefillCost(endpoint, speed, query, options, cached, now);
        if (endpoint.listed.dataCentre != query.dataCentre) {
            cost += 0.01; // Tie-breaker: prefer the own data centre.
        }
        if (best.endpoint == nullptr || cost < bestCost) {
            best = Choice{&endpoint, countUncachedTokens(query, cached)};
            bestCost = cost;
        }
    }
    if (preferred != nullptr && best.endpoint != nullptr && best.endpoint != preferred) {
        rememberPlacement(table, query.affinity, best.endpoint->listed.id, options, now);
    }
    return best;
}

EndpointState *chooseByLoad(const std::vector<EndpointState *> &from, const ChoiceQuery &query, std::uint64_t random)
{
    EndpointState *best = nullptr;
    double bestCost = 0;
    for (std::size_t i = 0; i < from.size(); ++i) {
        // Start at a random index, so that routers with the same view of the load select different endpoints.
        EndpointState *endpoint = from[(random + i) % from.size()];
        double cost = loadCost(*endpoint);
        if (endpoint->listed.dataCentre != query.dataCentre) {
            cost += 0.01; // Tie-breaker: prefer the own data centre.
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
    std::vector<EndpointId> restarted;
    table.byService.clear();
    std::map<EndpointId, bool> listedIds;
    for (const ListedEndpoint &entry : listed) {
        listedIds[entry.id] = true;
        const auto [found, isNew] = table.endpoints.try_emplace(entry.id);
        EndpointState &endpoint = found->second;
        if (!isNew && endpoint.listed.startedAt != entry.startedAt) {
            endpoint = EndpointState{};
            restarted.push_back(entry.id);
        }
        endpoint.listed = entry;
        endpoint.cold.until = std::max(endpoint.cold.until, entry.coldUntil);
        endpoint.delisted = false;
        if (!entry.draining && !entry.evacuated) {
            table.byService[entry.service].push_back(entry.id);
        }
    }
    for (auto it = table.endpoints.begin(); it != table.endpoints.end();) {
        EndpointState &endpoint = it->second;
        endpoint.delisted = listedIds.count(it->first) == 0;
        const bool forget = endpoint.delisted && endpoint.inFlight == 0;
        it = forget ? table.endpoints.erase(it) : std::next(it);
    }
    return restarted;
}

bool isCandidate(const ChoiceQuery &query, const EndpointState &endpoint)
{
    const auto &unreachable = query.unreachable;
    return !isTried(query, endpoint.listed.id)
        && (!query.versions || query.versions->count(endpoint.listed.version) > 0)
        && isAllowed(query.regions, endpoint.listed.region)
        && std::find(unreachable.begin(), unreachable.end(), endpoint.listed.dataCentre) == unreachable.end();
}

bool hasCandidates(const EndpointTable &table, const ChoiceQuery &query)
{
    const auto found = table.byService.find(query.service);
    return found != table.byService.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const EndpointId &id) {
               return isCandidate(query, table.endpoints.at(id));
           });
}

EndpointState *findIncarnation(EndpointTable &table, const EndpointId &id, EndpointIncarnation startedAt)
{
    const auto found = table.endpoints.find(id);
    const bool same = found != table.endpoints.end() && found->second.listed.startedAt == startedAt;
    return same ? &found->second : nullptr;
}

Choice chooseEndpoint(
    EndpointTable &table, const ChoiceQuery &query, const ChoiceOptions &options, std::uint64_t random, TimePoint now)
{
    const BrittleSend send = brittleSend(table, query.service, now);
    const auto from = candidates(table, query, send, now);
    if (from.empty()) {
        return {};
    }
    if (send == BrittleSend::Paced) {
        BrittleService &service = table.brittle.services.at(query.service);
        const std::size_t endpoints = table.byService.at(query.service).size();
        service.nextPacedSendAt = now + pacedSendInterval(service, table.brittleOptions, table.position, endpoints);
    }
    Choice choice = query.promptTokens > 0 ? chooseByPrefillCost(table, from, query, options, random, now)
                                           : Choice{chooseByLoad(from, query, random), 0};
    const ColdStartPlan *plan = coldPlan(table, query.service);
    if (choice.endpoint != nullptr && plan != nullptr && isCold(choice.endpoint->cold, now)) {
        const int permits = countPermits(*plan, choice.endpoint->listed.id, table.usableShares);
        recordColdSend(choice.endpoint->cold, *plan, permits, now);
        choice.cold = true;
    }
    return choice;
}

void recordRemotePrompt(EndpointTable &table, const PromptSent &prompt, const ChoiceOptions &options, TimePoint now)
{
    const auto found = table.endpoints.find(prompt.endpoint);
    if (found == table.endpoints.end()) {
        return;
    }
    EndpointState &endpoint = found->second;
    recordRemotePrefill(endpoint.load, table.prefillSpeeds[endpoint.listed.service], prompt.uncachedTokens, now);
    if (!prompt.prefix.empty()) {
        rememberPlacement(table, prompt.prefix, prompt.endpoint, options, now);
    }
}

bool isBrittle(const EndpointTable &table, const std::string &service, TimePoint now)
{
    return isBrittle(table.brittle, table.brittleOptions, service, now);
}

bool limitsInFlight(const EndpointTable &table, const std::string &service, TimePoint now)
{
    return limitsInFlight(table.brittle, table.brittleOptions, service, now);
}

int countPlaces(const EndpointTable &table, const std::string &service, TimePoint now)
{
    int places = 0;
    const auto found = table.byService.find(service);
    if (found != table.byService.end()) {
        for (const EndpointId &id : found->second) {
            const EndpointState &endpoint = table.endpoints.at(id);
            places += endpoint.backoffUntil > now ? 0 : placesAt(table, endpoint, now);
        }
    }
    return places;
}

bool acceptsNewRequests(const EndpointState &endpoint)
{
    return !endpoint.delisted && !endpoint.listed.draining && !endpoint.listed.evacuated;
}

bool isColdStartLimited(const EndpointTable &table, const EndpointState &endpoint, TimePoint now)
{
    return isCold(endpoint.cold, now) && coldPlan(table, endpoint.listed.service) != nullptr;
}

std::optional<TimePoint> nextWarmAt(const EndpointTable &table, const std::string &service, TimePoint now)
{
    std::optional<TimePoint> first;
    const auto found = table.byService.find(service);
    if (found == table.byService.end()) {
        return first;
    }
    for (const EndpointId &id : found->second) {
        const ColdState &cold = table.endpoints.at(id).cold;
        if (!isCold(cold, now)) {
            return std::nullopt;
        }
        first = std::min(first.value_or(cold.until), cold.until);
    }
    return first;
}

void beginAttempt(EndpointState &endpoint)
{
    ++endpoint.inFlight;
}

void endAttempt(EndpointState &endpoint, AttemptFeedback feedback, const ChoiceOptions &options, TimePoint now)
{
    --endpoint.inFlight;
    recordFeedback(endpoint, feedback, options, now);
}

void recordFeedback(EndpointState &endpoint, AttemptFeedback feedback, const ChoiceOptions &options, TimePoint now)
{
    switch (feedback) {
    case AttemptFeedback::Neutral:
        return;
    case AttemptFeedback::Good:
        endpoint.consecutiveFailures = 0;
        endpoint.failureRate *= 1.0 - options.ewmaWeight;
        return;
    case AttemptFeedback::Shed:
        endpoint.backoffUntil = now + options.shedBackoff;
        return;
    case AttemptFeedback::Failed:
        // Occasional error responses do not justify a backoff; `failureRate` raises the cost of the endpoint instead.
        endpoint.failureRate += options.ewmaWeight * (1.0 - endpoint.failureRate);
        return;
    case AttemptFeedback::Unreachable:
    case AttemptFeedback::Slow:
        endpoint.failureRate += options.ewmaWeight * (1.0 - endpoint.failureRate);
        endpoint.backoffUntil = now
            + std::min(options.initialBackoff * (1 << std::min(endpoint.consecutiveFailures, 6)), options.maxBackoff);
        ++endpoint.consecutiveFailures;
        return;
    }
}

} // namespace Godwit
