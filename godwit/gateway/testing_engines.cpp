#include "godwit/gateway/testing_engines.h"

#include "godwit/base/hash.h"
#include "godwit/gateway/speed_exchange.h"

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>

namespace Godwit::Testing
{
namespace
{

constexpr const char *Service = "engine";
constexpr Duration RoundTripTime = std::chrono::milliseconds(8);
constexpr Duration AnnounceDelay = std::chrono::milliseconds(1);
constexpr Duration AnnounceThreshold = std::chrono::milliseconds(12);
// Time from the first event to the end of a request.
constexpr Duration DecodeTime = std::chrono::milliseconds(900);
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(400);
constexpr Duration SlowPeriod = std::chrono::milliseconds(600);
constexpr double BriefSlowFactor = 2.5;
constexpr std::size_t LongPrefixes = 140;
constexpr std::size_t ShortPrefixes = 180;

struct Request
{
    Tokens prompt = 0;
    Tokens shared = 0;
    std::string prefix;
    bool isLong = false;
};

struct Engine
{
    TimePoint busyUntil;
    double factor = 1; // Of the usual service time.
    std::set<std::string> cachedPrefixes;
};

struct Event
{
    enum class Kind {
        FirstEvent,
        End,
        PromptAnnounced,
        Heartbeat, // Of all routers.
    };
    TimePoint at;
    Kind kind = Kind::FirstEvent;
    std::size_t router = 0;
    EndpointId endpoint;
    PrefillId prefill = 0;
    PromptSent prompt;

    bool operator>(const Event &other) const
    {
        return at > other.at;
    }
};

class PlacementSimulation
{
public:
    PlacementSimulation(const PlacementLoad &load, Placement placement)
        : m_load(load)
        , m_placement(placement)
        , m_random(load.seed)
        , m_engines(load.engines)
        , m_tables(load.routers)
    {
        std::vector<ListedEndpoint> listed;
        for (std::size_t i = 0; i < load.engines; ++i) {
            const bool isSlow = static_cast<double>(i) < load.slowFraction * static_cast<double>(load.engines);
            m_engines[i].factor = isSlow ? load.slowFactor : load.usualFactor;
            listed.push_back({EndpointId{std::to_string(i)}, Service, "", DataCentreId{"north"}, 64, false, 0});
        }
        for (EndpointTable &table : m_tables) {
            replaceEndpoints(table, listed);
            table.shareSpeeds = load.speeds != SpeedSharing::Off;
        }
    }

    PlacementResult run()
    {
        const double perSecond = m_load.longPerSecond + m_load.shortPerSecond;
        std::exponential_distribution<double> pause(perSecond);
        TimePoint now{std::chrono::seconds(100)};
        const TimePoint end = now + m_load.length;
        m_events.push({now, Event::Kind::Heartbeat, 0, EndpointId{"0"}, 0, {}});
        while (now < end) {
            now += Duration(static_cast<Duration::rep>(pause(m_random) * 1e6));
            handleUntil(now);
            arrive(draw(m_load.longPerSecond / perSecond), now);
        }
        return m_result;
    }

private:
    Request draw(double longFraction)
    {
        Request request;
        request.isLong = std::uniform_real_distribution<double>(0, 1)(m_random) < longFraction;
        if (m_load.fixedSizes) {
            request.prompt = request.isLong ? 9190 : 826;
            if (request.isLong && m_random() % 20 == 0) {
                request.prompt += static_cast<Tokens>(m_random() % 30'411);
            }
            return request;
        }
        std::lognormal_distribution<double> size(0, request.isLong ? 1.0 : 0.8);
        const double factor = std::min(size(m_random), 9.0);
        const std::size_t prefix = m_random() % (request.isLong ? LongPrefixes : ShortPrefixes);
        request.prefix = (request.isLong ? "long-" : "short-") + std::to_string(prefix);
        request.shared = request.isLong ? 5400 : 300;
        request.prompt = request.shared + static_cast<Tokens>(factor * (request.isLong ? 4500 : 500));
        return request;
    }

    void arrive(const Request &request, TimePoint now)
    {
        const std::size_t router = m_random() % m_load.routers;
        const Choice choice = place(router, request, now);
        EndpointState &endpoint = *choice.endpoint;
        Engine &engine = m_engines[std::stoul(endpoint.listed.id.value)];
        const bool cached = !engine.cachedPrefixes.insert(request.prefix).second;
        const bool cachedElsewhere = !cached && !m_cachedPrefixes.insert(request.prefix).second;
        m_result.recomputedTokens += cachedElsewhere ? request.shared : 0;
        const Tokens uncachedTokens = request.prompt - (cached ? request.shared : 0);
        const double factor = factorOf(endpoint.listed.id, now);
        const double reading = static_cast<double>(uncachedTokens) / m_load.tokensPerMillisecond * factor * 1000;
        engine.busyUntil = std::max(engine.busyUntil, now) + Duration(static_cast<Duration::rep>(reading));
        const auto fixed = static_cast<Duration::rep>(static_cast<double>(m_load.fixedTime.count()) * factor);
        const TimePoint firstEvent = engine.busyUntil + Duration(fixed) + RoundTripTime;
        count(request, firstEvent - now);
        m_result.chosen.push_back(endpoint.listed.id);
        beginAttempt(endpoint);
        const PrefillId prefill = ++m_prefills;
        PrefillSpeed &speed = m_tables[router].prefillSpeeds[Service];
        beginPrefill(endpoint.load, speed, prefill, choice.uncachedTokens, now);
        m_events.push({firstEvent, Event::Kind::FirstEvent, router, endpoint.listed.id, prefill, {}});
        m_events.push({firstEvent + DecodeTime, Event::Kind::End, router, endpoint.listed.id, prefill, {}});
        if (prefillTime(endpoint.load, speed, choice.uncachedTokens) >= AnnounceThreshold) {
            const PromptSent prompt{endpoint.listed.id, choice.uncachedTokens, request.prefix};
            m_events.push(
                {now + AnnounceDelay, Event::Kind::PromptAnnounced, router, endpoint.listed.id, prefill, prompt});
        }
    }

    double factorOf(const EndpointId &id, TimePoint now) const
    {
        const auto period = static_cast<std::uint64_t>(now.time_since_epoch() / SlowPeriod);
        const std::uint64_t drawn = rendezvousWeight(id.value, std::to_string(period)) % 1000;
        const bool slow = static_cast<double>(drawn) < 1000 * m_load.brieflySlowFraction;
        return m_engines[std::stoul(id.value)].factor * (slow ? BriefSlowFactor : 1);
    }

    void count(const Request &request, Duration took)
    {
        ++m_result.requests;
        m_result.late += took > m_load.target ? 1 : 0;
        m_result.shorts += request.isLong ? 0 : 1;
        m_result.shortLate += !request.isLong && took > m_load.target ? 1 : 0;
        m_result.longLate += request.isLong && took > 2 * m_load.target ? 1 : 0;
    }

    Choice place(std::size_t router, const Request &request, TimePoint now)
    {
        EndpointTable &table = m_tables[router];
        ChoiceQuery query;
        query.service = Service;
        query.affinity = request.prefix;
        query.promptTokens = request.prompt;
        query.sharedTokens = request.shared;
        query.latencyTarget = request.isLong && !m_load.fixedSizes ? 2 * m_load.target : m_load.target;
        if (m_placement == Placement::ByPrefillTime) {
            return chooseEndpoint(table, query, {}, m_random(), now);
        }
        std::vector<EndpointState *> all;
        for (auto &[id, endpoint] : table.endpoints) {
            all.push_back(&endpoint);
        }
        return Choice{placeByRequestCount(all, request), request.prompt};
    }

    EndpointState *placeByRequestCount(const std::vector<EndpointState *> &all, const Request &request)
    {
        const auto less = [](const EndpointState *a, const EndpointState *b) {
            return a->inFlight < b->inFlight;
        };
        const std::size_t index = m_random() % all.size();
        switch (m_placement) {
        case Placement::RoundRobin:
            return all[m_next++ % all.size()];
        case Placement::TwoChoices:
            return std::min(all[index], all[m_random() % all.size()], less);
        case Placement::BoundedAffinity:
            return boundByMean(all, request.prefix);
        default:
            return *std::min_element(all.begin(), all.end(), less);
        }
    }

    static EndpointState *boundByMean(const std::vector<EndpointState *> &all, const std::string &prefix)
    {
        int total = 0;
        for (const EndpointState *endpoint : all) {
            total += endpoint->inFlight;
        }
        const double bound = 1.25 * total / static_cast<double>(all.size()) + 2;
        EndpointState *best = nullptr;
        std::uint64_t bestWeight = 0;
        for (EndpointState *endpoint : all) {
            const std::uint64_t weight = rendezvousWeight(prefix, endpoint->listed.id.value);
            if (endpoint->inFlight < bound && (best == nullptr || weight > bestWeight)) {
                best = endpoint;
                bestWeight = weight;
            }
        }
        return best;
    }

    void handleUntil(TimePoint now)
    {
        while (!m_events.empty() && m_events.top().at <= now) {
            const Event event = m_events.top();
            m_events.pop();
            handle(event);
        }
    }

    void handle(const Event &event)
    {
        EndpointTable &own = m_tables[event.router];
        EndpointState &endpoint = own.endpoints.at(event.endpoint);
        switch (event.kind) {
        case Event::Kind::FirstEvent:
            recordFirstEvent(own, endpoint, event.prefill, event.at);
            break;
        case Event::Kind::End:
            endAttempt(endpoint, AttemptFeedback::Good, {}, event.at);
            break;
        case Event::Kind::PromptAnnounced:
            for (std::size_t i = 0; i < m_tables.size(); ++i) {
                if (i != event.router) {
                    recordRemotePrompt(m_tables[i], event.prompt, {}, event.at);
                }
            }
            break;
        case Event::Kind::Heartbeat:
            exchangeSpeeds(event.at);
            m_events.push({event.at + HeartbeatInterval, Event::Kind::Heartbeat, 0, event.endpoint, 0, {}});
            break;
        }
    }

    void exchangeSpeeds(TimePoint now)
    {
        for (std::size_t from = 0; from < m_tables.size(); ++from) {
            const auto reports = takeSpeedReports(m_tables[from], MaxSpeedReports);
            for (std::size_t to = 0; to < m_tables.size(); ++to) {
                if (to != from && m_load.speeds == SpeedSharing::Shared) {
                    applySpeedReports(m_tables[to], reports, now);
                }
            }
        }
    }

    PlacementLoad m_load;
    Placement m_placement;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    std::vector<EndpointTable> m_tables;
    std::set<std::string> m_cachedPrefixes; // Prefixes cached by at least one engine.
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    PlacementResult m_result;
    PrefillId m_prefills = 0;
    std::size_t m_next = 0;
};

} // namespace

PlacementResult simulatePlacement(const PlacementLoad &load, Placement placement)
{
    return PlacementSimulation(load, placement).run();
}

} // namespace Godwit::Testing
