#pragma once

// Limits the requests in flight at the endpoints of brittle services.
//
// A brittle endpoint crashes when it has to reject more than a few requests within a second, whichever router sent
// them. While its service is brittle, each router therefore keeps to its part of the endpoint's room, which is one
// place per slot: the places are numbered, and divided evenly among the routers that the platform lists. Routers with
// the same list hold disjoint parts without exchanging a message, also while they can't reach each other or the store.
// A router that holds no place at any endpoint of a service sends to it at a low rate.
//
// Requests beyond the room of an endpoint may still occur, for example while the list of routers changes. A rejection
// reduces the room of its endpoint at all routers, and several stop all requests to it for a while.
//
// Pure functions: time is passed in.
//
// Example:
//   recordResponse(services, "booking", response.maxRejections, now);
//   if (!isBrittle(services, options, "booking", now)
//       || inFlight < placesAt(services, options, endpoint, slots, position, now)) {
//       ... a candidate ...
//   }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Godwit
{

struct BrittleOptions
{
    // Whether requests to a service from which this router has no response yet are limited as if it were brittle.
    // Otherwise, routers that restart together send more than the endpoints have room for before they know.
    bool limitUnknown = false;
    // A service remains brittle for `holdTime` after an endpoint last said so if other responses followed, and for
    // `maxSilence` if none did.
    Duration holdTime = std::chrono::seconds(2);
    Duration maxSilence = std::chrono::seconds(30);
    // How long a rejection counts against what its endpoint tolerates per second. Longer than a second, because
    // rejections are reported with a delay.
    Duration rejectionWindow = std::chrono::milliseconds(1200);
    // An endpoint gets no requests once this fraction of the tolerated rejections is used.
    double usedRejections = 0.5;
    // A rejection multiplies the room of its endpoint by `decrease`, at most once per `decreaseInterval`.
    double decrease = 0.85;
    Duration decreaseInterval = std::chrono::milliseconds(200);
    double increasePerSecond = 0.1; // Fraction of the whole room.
};

struct BrittleService
{
    int maxRejections = 0; // Per endpoint and second.
    TimePoint reportedAt; // When an endpoint last reported that it is brittle.
    TimePoint otherResponseAt; // When a response last came without such a report.
    TimePoint nextPacedSendAt; // For a router without places.
};

struct EndpointRoom
{
    double fraction = 1; // Of its slots, as of `updatedAt`.
    TimePoint updatedAt;
    TimePoint decreasedAt;
    std::vector<TimePoint> rejections; // Of the last `rejectionWindow`.
};

struct BrittleServices
{
    std::map<std::string, BrittleService> services; // By name; those that have been brittle.
    std::set<std::string> heardFrom; // Services of which an endpoint has responded to this router.
    std::map<EndpointId, EndpointRoom> rooms; // Of endpoints that have rejected requests.
};

// The routers among which the places are divided: those that are advertised to callers.
struct RouterPosition
{
    std::size_t routers = 1;
    std::optional<std::size_t> rank = 0; // Of this router among them; unset if it is none of them.
    std::size_t allRouters = 1; // Including those that are not advertised.
};

// A brittle service as reported to other routers.
struct BrittleReport
{
    std::string service;
    int maxRejections = 0;
    Duration age{}; // Since an endpoint reported it.
};

bool isBrittle(const BrittleServices &services,
               const BrittleOptions &options,
               const std::string &service,
               TimePoint now);

// Whether requests in flight at the service's endpoints are limited: it is brittle, or may be (`limitUnknown`).
bool limitsInFlight(const BrittleServices &services,
                    const BrittleOptions &options,
                    const std::string &service,
                    TimePoint now);

// Records a response of an endpoint. `maxRejections` is unset if it did not report that it is brittle. Returns whether
// the service became brittle by this response.
bool recordResponse(BrittleServices &services,
                    const BrittleOptions &options,
                    const std::string &service,
                    std::optional<int> maxRejections,
                    TimePoint now);

// Applies another router's report. Returns whether the service became brittle by it.
bool applyBrittleReport(BrittleServices &services,
                        const BrittleOptions &options,
                        const BrittleReport &report,
                        TimePoint now);

// Returns the services that are brittle now, for the other routers.
std::vector<BrittleReport> brittleReports(const BrittleServices &services,
                                          const BrittleOptions &options,
                                          TimePoint now);

// Records that an endpoint has rejected a request of any router.
void recordRejection(BrittleServices &services,
                     const BrittleOptions &options,
                     const EndpointId &endpoint,
                     TimePoint now);

// Returns how many requests this router may have in flight at the endpoint.
int placesAt(const BrittleServices &services,
             const BrittleOptions &options,
             const EndpointId &endpoint,
             int slots,
             const RouterPosition &position,
             TimePoint now);

// Whether the endpoint has rejected so many requests that it gets none for now.
bool isRejecting(const BrittleServices &services,
                 const BrittleOptions &options,
                 const std::string &service,
                 const EndpointId &endpoint,
                 TimePoint now);

// Returns the time between two requests of a router without places to a service with this number of endpoints: all such
// routers together stay below the rejections that the endpoints tolerate.
Duration pacedSendInterval(const BrittleService &service,
                           const BrittleOptions &options,
                           const RouterPosition &position,
                           std::size_t endpoints);

} // namespace Godwit
