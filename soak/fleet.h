#pragma once

// What one play of a soak runs: routers as processes of their own; the store, the endpoints and the proxies before
// them on the soak's loop.
//
// Example:
//   boost::asio::io_context io;
//   Fleet fleet(io, program, FleetSize{});

#include "platform/testing/endpoint_process.h"
#include "platform/testing/fake_endpoint.h"
#include "platform/testing/fake_store_server.h"
#include "platform/testing/fault_proxy.h"
#include "platform/testing/router_process.h"
#include "soak/promises.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Godwit::Soak
{

constexpr const char *SoakHost = "desk.example";
constexpr const char *PrepaidKey = "secret-of-anna";
constexpr const char *OtherKey = "secret-of-ben";

struct FleetSize
{
    std::size_t routers = 3;
    std::size_t plainEndpoints = 3;
    std::size_t engines = 2;
    std::int64_t prepaid = 40'000; // Tokens.
    Testing::RetryBudgetSettings repeats{2, 20};
    int failEach = 0; // As an endpoint's lasting fault.
    int shedEach = 0;
    std::chrono::milliseconds failAfter{0}; // Of the first endpoint of each service.
    bool varyAttempts = false; // Documents differ in how many endpoints may run a request.
    bool brittleEndpoints = false; // Plain endpoints have limited room, and can be made brittle.
    bool engineVersions = false; // Engines run several versions of their software.
    std::size_t processes = 0; // Of each service, endpoints that are processes.
};

struct Router
{
    std::unique_ptr<Testing::FaultProxy> store; // Between it and the store.
    std::unique_ptr<Testing::FaultProxy> peers; // Before its port for the other routers.
    std::unique_ptr<Testing::RouterProcess> process;
    int boot = 1;
    bool running = true;
    bool stopping = false; // Has been told to stop, and has not been started again.
    TimePoint stopAskedAt; // When it was told to stop.
    bool killed = false; // Since its last start.
    int pauses = 0; // That are open.
};

struct Endpoint
{
    std::string id;
    std::string service;
    int start = 1;
    bool dead = false;
    std::unique_ptr<Testing::FakeEndpoint> replica;
    std::unique_ptr<Testing::FaultProxy> proxy;
};

// An endpoint that is a process, which routers reach without a proxy.
struct ProcessEndpoint
{
    std::string id; // Of its latest start.
    std::string service;
    std::size_t index = 0; // In what is kept by endpoint, after those on the soak's loop.
    int starts = 0;
    bool running = false;
    std::unique_ptr<Testing::EndpointProcess> process;
};

struct Fleet
{
    Fleet(boost::asio::io_context &loop, const std::string &program, const FleetSize &size);

    boost::asio::io_context &io;
    Promises promises;
    Testing::FakeStoreServer store;
    std::vector<Endpoint> endpoints;
    std::vector<ProcessEndpoint> processEndpoints;
    std::vector<Router> routers;
    std::vector<Testing::EndpointFaults> lastingFaults; // By endpoint, beside those that come and go.
    bool varyAttempts = false;
    bool engineVersions = false;
    std::vector<Testing::EndpointRoom *> rooms; // Of the endpoints that have limited room.
    bool sharesPromptParts = false; // Streams name the parts of their prompts.
    bool ending = false; // Nothing new begins.
};

// What the endpoint writes about itself into the store.
void listEndpoint(Fleet &fleet, std::size_t endpoint, const std::string &state);

// The endpoint's process dies; after `down` it is back at its address under another id.
void killEndpoint(Fleet &fleet, std::size_t endpoint, std::chrono::milliseconds down);

// Sends `number` to the endpoint's process, which ends of it; after `down` another one is at its address, with another
// id.
void endProcess(Fleet &fleet, std::size_t index, int number, std::chrono::milliseconds down);

// Requests whose target goes on so after their route's prefix crash the endpoint that runs them.
constexpr const char *CrashTarget = "crash-";

// Parts of prompts: the first one of all, a harmless second one, and one that crashes the engine that runs it.
constexpr const char *FirstPart = "5c1e:4";
constexpr const char *HarmlessPart = "91bd:4";
constexpr const char *CrashPart = "c0ffee:4";

// Writes the next document: the same routes, but for one that only this document has, and a prepaid total that is
// `more` higher.
void putNextDocument(Fleet &fleet, std::int64_t more);

// What requests of this kind ask for, as the documents of the soak have it.
std::string serviceOf(RequestKind kind);

// The path of the route that only document `version` has.
std::string documentPath(int version);

} // namespace Godwit::Soak
