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

bool isCandidate(const ChoiceQuery &query, const EndpointState &endpoint)
{
    return !isTried(query, endpoint.listed.id) && isAllowed(query.regions, endpoint.listed.region);
}

// A cold endpoint gets requests from a few routers only, at a bounded rate.
bool isHeldBack(const EndpointTable &table, const ColdStartPlan *plan, const EndpointState &endpoint, TimePoint now)
{
    return plan != nullptr && isCold(endpoint.cold, now)
        && !mayReceiveCold(endpoint.cold, countLicences(*plan, endpoint.listed.id, table.usableShares), now);
}

const ColdStartPlan *coldPlan(const EndpointTable &table, const std::string &service)
{
    const auto found = table.coldPlans.find(service);
    return found == table.coldPlans.end() ? nullptr : &found->second;
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
    const ColdStartPlan *plan = coldPlan(table, query.service);
    for (const EndpointId &id : service->second) {
        EndpointState &endpoint = table.endpoints.at(id);
        if (!isCandidate(query, endpoint) || isHeldBack(table, plan, endpoint, now)) {
            continue;
        }
        (endpoint.avoidUntil > now ? avoided : sound).push_back(&endpoint);
    }
    return sound.empty() ? avoided : sound;
}

// How much more an endpoint costs whose attempts lately failed.
double failurePenalty(const EndpointState &endpoint)
{
    constexpr double weight = 4;
    return 1.0 + weight * endpoint.failureRate;
}

// What an attempt costs at a plain service: the requests that this router has there.
double costOf(const EndpointState &endpoint)
{
    return (1.0 + endpoint.inFlight) * failurePenalty(endpoint);
}

// The usual place of a shared part: the same for all routers without a word between them.
const EndpointState *usualPlace(const std::vector<EndpointState *> &from, std::string_view part)
{
    const EndpointState *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const EndpointState *endpoint : from) {
        const std::uint64_t weight = rendezvousWeight(part, endpoint->listed.id.value);
        if (best == nullptr || weight > bestWeight) {
            best = endpoint;
            bestWeight = weight;
        }
    }
    return best;
}

const EndpointId *recentPlace(const EndpointTable &table, std::string_view part, TimePoint now)
{
    const auto found = table.recentPlaces.find(part);
    return found != table.recentPlaces.end() && now < found->second.until ? &found->second.endpoint : nullptr;
}

void rememberPlace(EndpointTable &table,
                   std::string_view part,
                   const EndpointId &endpoint,
                   const ChoiceOptions &options,
                   TimePoint now)
{
    if (table.recentPlaces.size() >= options.placesKept) {
        table.recentPlaces.clear();
    }
    table.recentPlaces[std::string(part)] = RecentPlace{endpoint, now + options.placeKept};
}

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

Tokens unreadTokens(const ChoiceQuery &query, bool kept)
{
    return query.promptTokens - (kept ? query.sharedTokens : 0);
}

// What sending the prompt there costs, in milliseconds: the time to its first event, more if that comes late, and what
// reading a shared part again costs those that come next. `kept`: the engine keeps the shared part.
double readingCost(const EndpointState &endpoint,
                   const EngineSpeed &speed,
                   const ChoiceQuery &query,
                   const ChoiceOptions &options,
                   bool kept,
                   TimePoint now)
{
    const Duration reading = readingTime(endpoint.load, speed, unreadTokens(query, kept));
    const Duration firstEvent = waitOf(endpoint.load, now) + reading;
    const auto carefree = options.carefreePart * milliseconds(query.latencyTarget);
    const double beyond = std::max(0.0, milliseconds(firstEvent) - carefree);
    double cost = milliseconds(firstEvent) + options.lateWeight * beyond;
    if (!kept) {
        const double again = (options.rereadWeight - 1.0) * static_cast<double>(query.sharedTokens);
        cost += milliseconds(readingTime(endpoint.load, speed, static_cast<Tokens>(again)));
    }
    cost += milliseconds(options.fullPenalty) * endpoint.inFlight / std::max(1, endpoint.listed.slots);
    return cost * failurePenalty(endpoint);
}

// The engine where the prompt costs least. `from` is not empty.
Choice byReading(EndpointTable &table,
                 const std::vector<EndpointState *> &from,
                 const ChoiceQuery &query,
                 const ChoiceOptions &options,
                 std::uint64_t random,
                 TimePoint now)
{
    const EngineSpeed &speed = table.speeds[query.service];
    const EndpointState *usual = query.affinity.empty() ? nullptr : usualPlace(from, query.affinity);
    const EndpointId *recent = query.affinity.empty() ? nullptr : recentPlace(table, query.affinity, now);
    Choice best;
    double bestCost = 0;
    for (std::size_t i = 0; i < from.size(); ++i) {
        // Begins at a random place, so that routers that see the same loads choose differently.
        EndpointState &endpoint = *from[(random + i) % from.size()];
        const bool isUsual = usual != nullptr && usual == &endpoint;
        const bool kept = isUsual || (recent != nullptr && *recent == endpoint.listed.id);
        double cost = readingCost(endpoint, speed, query, options, kept, now);
        if (endpoint.listed.dataCentre != query.dataCentre) {
            cost += 0.01; // Between equal ones the nearer.
        }
        if (best.endpoint == nullptr || cost < bestCost) {
            best = Choice{&endpoint, unreadTokens(query, kept)};
            bestCost = cost;
        }
    }
    if (usual != nullptr && best.endpoint != nullptr && best.endpoint != usual) {
        rememberPlace(table, query.affinity, best.endpoint->listed.id, options, now);
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
        endpoint.cold.until = std::max(endpoint.cold.until, entry.coldUntil);
        endpoint.gone = false;
        if (!entry.leaving && !entry.evacuated) {
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

Choice chooseEndpoint(
    EndpointTable &table, const ChoiceQuery &query, const ChoiceOptions &options, std::uint64_t random, TimePoint now)
{
    const auto from = candidates(table, query, now);
    if (from.empty()) {
        return {};
    }
    Choice choice = query.promptTokens > 0 ? byReading(table, from, query, options, random, now)
                                           : Choice{byLoad(from, query, random), 0};
    const ColdStartPlan *plan = coldPlan(table, query.service);
    if (choice.endpoint != nullptr && plan != nullptr && isCold(choice.endpoint->cold, now)) {
        const int licences = countLicences(*plan, choice.endpoint->listed.id, table.usableShares);
        noteColdSend(choice.endpoint->cold, *plan, licences, now);
        choice.cold = true;
    }
    return choice;
}

void notePromptElsewhere(EndpointTable &table, const PromptSent &prompt, const ChoiceOptions &options, TimePoint now)
{
    const auto found = table.endpoints.find(prompt.endpoint);
    if (found == table.endpoints.end()) {
        return;
    }
    EndpointState &endpoint = found->second;
    noteReadElsewhere(endpoint.load, table.speeds[endpoint.listed.service], prompt.unread, now);
    if (!prompt.part.empty()) {
        rememberPlace(table, prompt.part, prompt.endpoint, options, now);
    }
}

bool takesNewWork(const EndpointState &endpoint)
{
    return !endpoint.gone && !endpoint.listed.leaving && !endpoint.listed.evacuated;
}

bool isLimited(const EndpointTable &table, const EndpointState &endpoint, TimePoint now)
{
    return isCold(endpoint.cold, now) && coldPlan(table, endpoint.listed.service) != nullptr;
}

std::optional<TimePoint> warmAgainAt(const EndpointTable &table, const std::string &service, TimePoint now)
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
