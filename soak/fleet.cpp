#include "soak/fleet.h"

#include "platform/site_codec.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <sstream>
#include <utility>

namespace Godwit::Soak
{
namespace
{

// How long a request runs before its endpoint dies of it, and until that endpoint is back.
constexpr auto CrashAfter = std::chrono::milliseconds(30);
constexpr auto DownAfterCrash = std::chrono::milliseconds(1500);

using nlohmann::json;

// An answer takes long enough that signals and faults meet requests on their way.
constexpr auto AnswerAfter = std::chrono::milliseconds(15);
constexpr auto EventPause = std::chrono::milliseconds(25);
// Of endpoints that are processes: most that are ended have streams and bodies half sent.
constexpr auto ProcessEventPause = std::chrono::milliseconds(60);
// With limited room, what callers send at most times exceeds what the endpoints can run.
constexpr Testing::EndpointRoomOptions LimitedRoom{4, 6, 1, std::chrono::milliseconds(3000)};
constexpr auto AnswerAfterInLimitedRoom = std::chrono::milliseconds(80);
constexpr auto DownAfterRejections = std::chrono::milliseconds(2500);

json route(const std::string &name, const std::string &prefix, const char *kind, const char *service, int attempts)
{
    return json{{"Name", name},
                {"Host", SoakHost},
                {"PathPrefix", prefix},
                {"Kind", kind},
                {"TimeoutMs", RouteTimeout.count()},
                {"TargetLatencyMs", 400},
                {"Priority", 0},
                {"Service", service},
                {"Attempts", attempts},
                {"Public", false},
                {"Sticky", false},
                {"Resumable", name == "write"}};
}

// The most endpoints for one request, by version.
int attemptsOf(const Fleet &fleet, int version)
{
    return fleet.varyAttempts && version % 2 == 0 ? 3 : 2;
}

json document(int version, std::int64_t prepaid, int attempts)
{
    json plain{{"Name", "plain"}, {"HealthPath", "/health"}, {"MaxConnections", 200}};
    json engine{{"Name", "engine"},
                {"HealthPath", "/health"},
                {"MaxConnections", 200},
                {"Engine", {{"Slots", 16}, {"KvCapacityTokens", 1'000'000}, {"Stride", TokensPerEvent}}}};
    return json{
        {"Version", version},
        {"Routes",
         {route("read", "/read/", "idempotent", "plain", attempts),
          route("book", "/book/", "non_idempotent", "plain", attempts),
          route("write", "/write/", "streaming", "engine", attempts),
          route("chat", "/chat/", "streaming", "engine", attempts),
          route("document", documentPath(version), "idempotent", "plain", 2)}},
        {"Services", {std::move(plain), std::move(engine)}},
        {"Limits",
         {{"MaxHeaderBytes", 4096}, {"MaxBodyBytes", 10000}, {"HeaderTimeoutMs", 1000}, {"IdleTimeoutMs", 20000}}},
        {"Tenants",
         {{{"Name", "anna"}, {"ApiKeys", {PrepaidKey}}, {"Prepaid", prepaid}},
          {{"Name", "ben"}, {"ApiKeys", {OtherKey}}}}}};
}

// A router learns from the store where the others listen; so it connects to their proxies.
std::string throughProxies(const Fleet &fleet, std::string entry)
{
    for (const Router &router : fleet.routers) {
        entry = Testing::throughProxy(std::move(entry), router.process->peerAddress(), router.peers->address());
    }
    return entry;
}

void after(boost::asio::io_context &io, std::chrono::milliseconds time, std::function<void()> step)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(io, time);
    timer->async_wait([timer, step = std::move(step)](const boost::system::error_code &error) {
        if (!error) {
            step();
        }
    });
}

// Of the request that came last.
std::optional<Duration> timeLeftOf(const Testing::FakeEndpoint &replica)
{
    const auto field = replica.lastHeaders().find("x-time-remaining-ms");
    if (field == replica.lastHeaders().end()) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::stoll(field->second));
}

void crashSoon(Fleet &fleet, std::size_t index, const std::string &target)
{
    after(fleet.io, CrashAfter, [&fleet, index, target, start = fleet.endpoints[index].start] {
        const Endpoint &endpoint = fleet.endpoints[index];
        if (!endpoint.dead && endpoint.start == start) {
            noteCrash(fleet.promises, target, steadyNow());
            killEndpoint(fleet, index, DownAfterCrash);
        }
    });
}

// Alternates between two versions, and every third start of an engine runs another one.
std::string versionOf(const Fleet &fleet, std::size_t index, int start)
{
    constexpr int startsPerChange = 3;
    if (!fleet.engineVersions) {
        return "v1";
    }
    const bool changed = start % startsPerChange == 0;
    return changed ? "v3" : "v" + std::to_string(1 + index % 2);
}

void limitRoom(Fleet &fleet, std::size_t index)
{
    Testing::FakeEndpoint &replica = *fleet.endpoints[index].replica;
    replica.behaviour().responseDelay = AnswerAfterInLimitedRoom;
    Testing::EndpointRoom &room = replica.limitRoom(LimitedRoom);
    room.onRejection([&fleet, index](const std::string &attempt) {
        noteRejection(fleet.promises, index, attempt, steadyNow());
    });
    room.onCrash([&fleet, index] {
        noteBrittleCrash(fleet.promises, index, steadyNow());
        killEndpoint(fleet, index, DownAfterRejections);
    });
    fleet.rooms.push_back(&room);
}

// Whether the request that came last asks for what follows an event.
bool continuesStream(const Testing::FakeEndpoint &replica)
{
    const auto field = replica.lastHeaders().find("last-event-id");
    return field != replica.lastHeaders().end() && field->second != "0";
}

void addEndpoint(Fleet &fleet, const std::string &service, std::size_t number)
{
    Endpoint endpoint;
    endpoint.id = "i-" + service + '-' + std::to_string(number);
    endpoint.service = service;
    endpoint.replica = std::make_unique<Testing::FakeEndpoint>(fleet.io, endpoint.id, EventsOfStream);
    endpoint.replica->behaviour() = Testing::EndpointBehaviour{AnswerAfter, EventPause, true};
    endpoint.proxy = std::make_unique<Testing::FaultProxy>(fleet.io, endpoint.replica->address());
    const std::size_t index = fleet.endpoints.size();
    endpoint.replica->faults() = fleet.lastingFaults[index];
    endpoint.replica->onArrival([&fleet, service, index](const std::string &attempt) {
        noteArrival(fleet.promises, service, attempt, steadyNow());
        noteTimeHanded(fleet.promises, attempt, timeLeftOf(*fleet.endpoints[index].replica), steadyNow());
    });
    endpoint.replica->setRunFilter([&fleet, index](const std::string &target, const std::string &attempt) {
        const auto &headers = fleet.endpoints[index].replica->lastHeaders();
        const auto parts = headers.find("x-prompt-prefix");
        const bool hasCrashPart = parts != headers.end() && parts->second.find(CrashPart) != std::string::npos;
        if (hasCrashPart || target.find(CrashTarget) != std::string::npos) {
            const std::string cause = hasCrashPart ? CrashPart : target;
            noteCrashRun(fleet.promises, cause, attempt, steadyNow());
            crashSoon(fleet, index, cause);
            return false;
        }
        return true;
    });
    endpoint.replica->onRun([&fleet, index](const std::string &attempt) {
        noteRun(fleet.promises, index, attempt, steadyNow());
        if (fleet.engineVersions && fleet.endpoints[index].service == "engine") {
            Testing::FakeEndpoint &replica = *fleet.endpoints[index].replica;
            noteVersion(fleet.promises, attempt, replica.behaviour().version, continuesStream(replica));
        }
    });
    endpoint.replica->behaviour().version = versionOf(fleet, index, endpoint.start);
    fleet.endpoints.push_back(std::move(endpoint));
    listEndpoint(fleet, index, "ready");
}

void onProcessLine(Fleet &fleet, std::size_t index, const std::string &line)
{
    const ProcessEndpoint &endpoint = fleet.processEndpoints[index];
    std::istringstream words(line);
    std::string word;
    words >> word;
    if (word == "ready") {
        fleet.store.put("servers/" + endpoint.id, line.substr(word.size() + 1));
        return;
    }
    std::int64_t number = 0;
    std::string attempt;
    words >> number >> attempt;
    if (word == "arrival") {
        const auto timeLeft = number < 0 ? std::nullopt : std::optional<Duration>(std::chrono::milliseconds(number));
        noteArrival(fleet.promises, endpoint.service, attempt, steadyNow());
        noteTimeHanded(fleet.promises, attempt, timeLeft, steadyNow());
    } else if (word == "run") {
        noteRun(fleet.promises, endpoint.index, attempt, steadyNow());
        noteUndeclaredWhole(fleet.promises, attempt);
        if (fleet.engineVersions && endpoint.service == "engine") {
            noteVersion(fleet.promises, attempt, "v1", number != 0);
        }
    }
}

void startProcess(Fleet &fleet, std::size_t index)
{
    ProcessEndpoint &endpoint = fleet.processEndpoints[index];
    fleet.store.remove("servers/" + endpoint.id);
    endpoint.id = "i-process-" + std::to_string(index) + ".start-" + std::to_string(++endpoint.starts);
    endpoint.running = true;
    endpoint.process->start(endpoint.id);
}

// Every second process of a service stops by itself at the deadline of a request.
void addProcess(Fleet &fleet, const std::string &service)
{
    const std::size_t index = fleet.processEndpoints.size();
    const Testing::EndpointProcessOptions options{
        service, Standins::BodyFraming::Kind::Connection, EventsOfStream, ProcessEventPause, index / 2 % 2 == 0};
    ProcessEndpoint endpoint;
    endpoint.service = service;
    endpoint.index = fleet.endpoints.size() + index;
    endpoint.process = std::make_unique<Testing::EndpointProcess>(fleet.io, options, [&fleet, index](const auto &line) {
        onProcessLine(fleet, index, line);
    });
    fleet.processEndpoints.push_back(std::move(endpoint));
    startProcess(fleet, index);
}

} // namespace

Fleet::Fleet(boost::asio::io_context &loop, const std::string &program, const FleetSize &size)
    : io(loop)
    , store(loop)
{
    promises.prepaidTotal = size.prepaid;
    promises.repeatRatio = size.repeats.ratio;
    promises.repeatSlack = size.repeats.slack;
    varyAttempts = size.varyAttempts;
    engineVersions = size.engineVersions;
    lastingFaults.resize(size.plainEndpoints + size.engines);
    for (Testing::EndpointFaults &faults : lastingFaults) {
        faults.failEvery = size.failEach;
        faults.shedEvery = size.shedEach;
    }
    lastingFaults.front().failureDelay = size.failAfter;
    lastingFaults[size.plainEndpoints].failureDelay = size.failAfter;
    store.rewriteValue = [this](const std::string &, std::string bytes) {
        return throughProxies(*this, std::move(bytes));
    };
    promises.crashes[CrashPart].deathsThatTell = DeathsThatTellOfPart;
    promises.leavingSince.resize(size.plainEndpoints + size.engines + 2 * size.processes);
    promises.views.resize(size.routers);
    promises.disturbed.endpoints.resize(size.plainEndpoints + size.engines);
    // Routers start disturbed: their first seconds are those after a start.
    promises.disturbed.routers.resize(size.routers, steadyNow());
    promises.disturbed.unplanned = steadyNow();
    for (std::size_t i = 0; i < size.plainEndpoints; ++i) {
        addEndpoint(*this, "plain", i);
        if (size.brittleEndpoints) {
            limitRoom(*this, endpoints.size() - 1);
            listEndpoint(*this, endpoints.size() - 1, "ready");
        }
    }
    for (std::size_t i = 0; i < size.engines; ++i) {
        addEndpoint(*this, "engine", i);
    }
    for (std::size_t i = 0; i < size.processes; ++i) {
        addProcess(*this, "plain");
        addProcess(*this, "engine");
    }
    putNextDocument(*this, 0);
    for (std::size_t i = 0; i < size.routers; ++i) {
        Router router;
        router.store = std::make_unique<Testing::FaultProxy>(io, store.address());
        router.process = std::make_unique<Testing::RouterProcess>(
            program, "router-" + std::to_string(i), router.store->address(), size.repeats);
        router.peers = std::make_unique<Testing::FaultProxy>(io, router.process->peerAddress());
        routers.push_back(std::move(router));
    }
}

void listEndpoint(Fleet &fleet, std::size_t endpoint, const std::string &state)
{
    const Endpoint &listed = fleet.endpoints[endpoint];
    json entry = json::parse(listed.replica->storeEntry(listed.service, state));
    entry["Address"] = listed.proxy->address();
    fleet.store.put("servers/" + listed.id, entry.dump());
    if (state == "ready") {
        fleet.promises.leavingSince[endpoint].reset();
    } else {
        fleet.promises.leavingSince[endpoint] = steadyNow();
    }
}

void killEndpoint(Fleet &fleet, std::size_t index, std::chrono::milliseconds down)
{
    Endpoint &endpoint = fleet.endpoints[index];
    if (std::exchange(endpoint.dead, true)) {
        return;
    }
    Disturbances &disturbed = fleet.promises.disturbed;
    for (TimePoint *until : {&disturbed.endpoints[index], &disturbed.unplanned}) {
        *until = std::max(*until, steadyNow() + down);
    }
    endpoint.proxy->refuse();
    endpoint.replica->crash();
    after(fleet.io, down, [&fleet, index] {
        Endpoint &back = fleet.endpoints[index];
        fleet.store.remove("servers/" + back.id);
        back.id = "i-" + back.service + '-' + std::to_string(index) + ".start-" + std::to_string(++back.start);
        back.dead = false;
        back.replica->behaviour().version = versionOf(fleet, index, back.start);
        back.replica->restart(back.id);
        back.proxy->listenAgain();
        listEndpoint(fleet, index, "ready");
    });
}

void endProcess(Fleet &fleet, std::size_t index, int number, std::chrono::milliseconds down)
{
    ProcessEndpoint &endpoint = fleet.processEndpoints[index];
    if (!std::exchange(endpoint.running, false)) {
        return;
    }
    TimePoint &unplanned = fleet.promises.disturbed.unplanned;
    unplanned = std::max(unplanned, steadyNow() + down);
    endpoint.process->signal(number);
    after(fleet.io, down, [&fleet, index] {
        startProcess(fleet, index);
    });
}

void putNextDocument(Fleet &fleet, std::int64_t more)
{
    Promises &promises = fleet.promises;
    promises.prepaidTotal += more;
    ++promises.document;
    promises.documentAt = steadyNow();
    const int attempts = attemptsOf(fleet, promises.document);
    promises.attempts.push_back({promises.documentAt, static_cast<std::size_t>(attempts)});
    fleet.store.put(std::string(SiteDocumentKey), document(promises.document, promises.prepaidTotal, attempts).dump());
}

std::string serviceOf(RequestKind kind)
{
    return kind == RequestKind::Read || kind == RequestKind::Book ? "plain" : "engine";
}

std::string documentPath(int version)
{
    return "/document-" + std::to_string(version) + '/';
}

} // namespace Godwit::Soak
