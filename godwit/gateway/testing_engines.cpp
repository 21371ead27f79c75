#include "godwit/gateway/testing_engines.h"

#include "godwit/base/hash.h"

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
constexpr Duration WayThereAndBack = std::chrono::milliseconds(8);
constexpr Duration PromptToldAfter = std::chrono::milliseconds(1);
constexpr Duration ToldFrom = std::chrono::milliseconds(12);
// How long a request goes on after its first event.
constexpr Duration Writing = std::chrono::milliseconds(900);
constexpr std::size_t LongParts = 140;
constexpr std::size_t ShortParts = 180;

struct Request
{
    Tokens prompt = 0;
    Tokens shared = 0;
    std::string part;
    bool isLong = false;
};

struct Engine
{
    TimePoint readsUntil;
    double millisecondsPerToken = 0;
    std::set<std::string> kept;
};

struct Event
{
    enum class Kind {
        FirstEvent,
        End,
        PromptTold,
    };
    TimePoint at;
    Kind kind = Kind::FirstEvent;
    std::size_t router = 0;
    EndpointId endpoint;
    ReadId read = 0;
    PromptSent prompt;

    bool operator>(const Event &other) const
    {
        return at > other.at;
    }
};

class Play
{
public:
    Play(const PlacementLoad &load, Placement placement)
        : m_load(load)
        , m_placement(placement)
        , m_random(load.seed)
        , m_engines(load.engines)
        , m_tables(load.routers)
    {
        std::vector<ListedEndpoint> listed;
        for (std::size_t i = 0; i < load.engines; ++i) {
            const bool isSlow = static_cast<double>(i) < load.slowEngines * static_cast<double>(load.engines);
            m_engines[i].millisecondsPerToken = (isSlow ? 4 : 1) / load.tokensPerMillisecond;
            listed.push_back({EndpointId{std::to_string(i)}, Service, "", DataCentreId{"north"}, 64, false, 0});
        }
        for (EndpointTable &table : m_tables) {
            replaceEndpoints(table, listed);
        }
    }

    PlacementResult run()
    {
        const double perSecond = m_load.longPerSecond + m_load.shortPerSecond;
        std::exponential_distribution<double> pause(perSecond);
        TimePoint now{std::chrono::seconds(100)};
        const TimePoint end = now + m_load.length;
        while (now < end) {
            now += Duration(static_cast<Duration::rep>(pause(m_random) * 1e6));
            handleUntil(now);
            arrive(draw(m_load.longPerSecond / perSecond), now);
        }
        return m_result;
    }

private:
    Request draw(double partLong)
    {
        Request request;
        request.isLong = std::uniform_real_distribution<double>(0, 1)(m_random) < partLong;
        std::lognormal_distribution<double> size(0, request.isLong ? 1.0 : 0.8);
        const double factor = std::min(size(m_random), 9.0);
        const std::size_t part = m_random() % (request.isLong ? LongParts : ShortParts);
        request.part = (request.isLong ? "long-" : "short-") + std::to_string(part);
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
        const bool kept = !engine.kept.insert(request.part).second;
        const bool keptElsewhere = !kept && !m_known.insert(request.part).second;
        m_result.reread += keptElsewhere ? request.shared : 0;
        const Tokens unread = request.prompt - (kept ? request.shared : 0);
        const double reading = static_cast<double>(unread) * engine.millisecondsPerToken * 1000;
        engine.readsUntil = std::max(engine.readsUntil, now) + Duration(static_cast<Duration::rep>(reading));
        const TimePoint firstEvent = engine.readsUntil + WayThereAndBack;
        count(request, firstEvent - now);
        beginAttempt(endpoint);
        const ReadId read = ++m_reads;
        EngineSpeed &speed = m_tables[router].speeds[Service];
        beginRead(endpoint.load, speed, read, choice.unread, now);
        m_events.push({firstEvent, Event::Kind::FirstEvent, router, endpoint.listed.id, read, {}});
        m_events.push({firstEvent + Writing, Event::Kind::End, router, endpoint.listed.id, read, {}});
        if (readingTime(endpoint.load, speed, choice.unread) >= ToldFrom) {
            const PromptSent prompt{endpoint.listed.id, choice.unread, request.part};
            m_events.push({now + PromptToldAfter, Event::Kind::PromptTold, router, endpoint.listed.id, read, prompt});
        }
    }

    void count(const Request &request, Duration took)
    {
        ++m_result.requests;
        m_result.shorts += request.isLong ? 0 : 1;
        m_result.shortLate += !request.isLong && took > m_load.target ? 1 : 0;
        m_result.longLate += request.isLong && took > 2 * m_load.target ? 1 : 0;
    }

    Choice place(std::size_t router, const Request &request, TimePoint now)
    {
        EndpointTable &table = m_tables[router];
        ChoiceQuery query;
        query.service = Service;
        query.affinity = request.part;
        query.promptTokens = request.prompt;
        query.sharedTokens = request.shared;
        query.latencyTarget = request.isLong ? 2 * m_load.target : m_load.target;
        if (m_placement == Placement::ByReading) {
            return chooseEndpoint(table, query, {}, m_random(), now);
        }
        std::vector<EndpointState *> all;
        for (auto &[id, endpoint] : table.endpoints) {
            all.push_back(&endpoint);
        }
        return Choice{placeByCount(all, request), request.prompt};
    }

    EndpointState *placeByCount(const std::vector<EndpointState *> &all, const Request &request)
    {
        const auto less = [](const EndpointState *a, const EndpointState *b) {
            return a->inFlight < b->inFlight;
        };
        const std::size_t lot = m_random() % all.size();
        switch (m_placement) {
        case Placement::RoundRobin:
            return all[m_next++ % all.size()];
        case Placement::TwoChoices:
            return std::min(all[lot], all[m_random() % all.size()], less);
        case Placement::SharedPartBound:
            return boundByMean(all, request.part);
        default:
            return *std::min_element(all.begin(), all.end(), less);
        }
    }

    static EndpointState *boundByMean(const std::vector<EndpointState *> &all, const std::string &part)
    {
        int total = 0;
        for (const EndpointState *endpoint : all) {
            total += endpoint->inFlight;
        }
        const double bound = 1.25 * total / static_cast<double>(all.size()) + 2;
        EndpointState *best = nullptr;
        std::uint64_t bestWeight = 0;
        for (EndpointState *endpoint : all) {
            const std::uint64_t weight = rendezvousWeight(part, endpoint->listed.id.value);
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
            endRead(endpoint.load, own.speeds[Service], event.read, event.at);
            break;
        case Event::Kind::End:
            endAttempt(endpoint, AttemptVerdict::Good, {}, event.at);
            break;
        case Event::Kind::PromptTold:
            for (std::size_t i = 0; i < m_tables.size(); ++i) {
                if (i != event.router) {
                    notePromptElsewhere(m_tables[i], event.prompt, {}, event.at);
                }
            }
            break;
        }
    }

    PlacementLoad m_load;
    Placement m_placement;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    std::vector<EndpointTable> m_tables;
    std::set<std::string> m_known; // Parts that some engine keeps.
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    PlacementResult m_result;
    ReadId m_reads = 0;
    std::size_t m_next = 0;
};

} // namespace

PlacementResult playPlacement(const PlacementLoad &load, Placement placement)
{
    return Play(load, placement).run();
}

} // namespace Godwit::Testing
