#include "godwit/gateway/brittle_services.h"

#include "godwit/base/hash.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{
namespace
{

// Bound of the endpoints whose room is remembered; the least recently reduced ones are dropped.
constexpr std::size_t MaxRooms = 1024;

void dropLeastRecentRoom(BrittleServices &services)
{
    const auto oldest =
        std::min_element(services.rooms.begin(), services.rooms.end(), [](const auto &left, const auto &right) {
            return left.second.updatedAt < right.second.updatedAt;
        });
    services.rooms.erase(oldest);
}

double fractionNow(const EndpointRoom &room, const BrittleOptions &options, TimePoint now)
{
    return std::min(1.0, room.fraction + options.increasePerSecond * toSeconds(now - room.updatedAt));
}

void dropOldRejections(EndpointRoom &room, const BrittleOptions &options, TimePoint now)
{
    auto &times = room.rejections;
    times.erase(std::remove_if(times.begin(),
                               times.end(),
                               [&](TimePoint at) {
                                   return at + options.rejectionWindow <= now;
                               }),
                times.end());
}

} // namespace

bool isBrittle(const BrittleServices &services,
               const BrittleOptions &options,
               const std::string &service,
               TimePoint now)
{
    const auto found = services.services.find(service);
    if (found == services.services.end()) {
        return false;
    }
    const BrittleService &state = found->second;
    const bool contradicted = state.otherResponseAt > state.reportedAt;
    return now < state.reportedAt + (contradicted ? options.holdTime : options.maxSilence);
}

bool limitsInFlight(const BrittleServices &services,
                    const BrittleOptions &options,
                    const std::string &service,
                    TimePoint now)
{
    return (options.limitUnknown && services.heardFrom.count(service) == 0)
        || isBrittle(services, options, service, now);
}

bool recordResponse(BrittleServices &services,
                    const BrittleOptions &options,
                    const std::string &service,
                    std::optional<int> maxRejections,
                    TimePoint now)
{
    services.heardFrom.insert(service);
    if (maxRejections) {
        return applyBrittleReport(services, options, {service, *maxRejections, Duration::zero()}, now);
    }
    const auto found = services.services.find(service);
    if (found != services.services.end()) {
        found->second.otherResponseAt = now;
    }
    return false;
}

bool applyBrittleReport(BrittleServices &services,
                        const BrittleOptions &options,
                        const BrittleReport &report,
                        TimePoint now)
{
    const bool wasBrittle = isBrittle(services, options, report.service, now);
    BrittleService &state = services.services[report.service];
    const TimePoint at = now - report.age;
    if (at >= state.reportedAt) {
        state.reportedAt = at;
        state.maxRejections = report.maxRejections;
    }
    return !wasBrittle && isBrittle(services, options, report.service, now);
}

std::vector<BrittleReport> brittleReports(const BrittleServices &services, const BrittleOptions &options, TimePoint now)
{
    std::vector<BrittleReport> reports;
    for (const auto &[name, state] : services.services) {
        if (isBrittle(services, options, name, now)) {
            reports.push_back({name, state.maxRejections, now - state.reportedAt});
        }
    }
    return reports;
}

void recordRejection(BrittleServices &services,
                     const BrittleOptions &options,
                     const EndpointId &endpoint,
                     TimePoint now)
{
    if (services.rooms.count(endpoint) == 0 && services.rooms.size() >= MaxRooms) {
        dropLeastRecentRoom(services);
    }
    EndpointRoom &room = services.rooms[endpoint];
    dropOldRejections(room, options, now);
    room.rejections.push_back(now);
    room.fraction = fractionNow(room, options, now);
    room.updatedAt = now;
    if (room.decreasedAt == TimePoint{} || now >= room.decreasedAt + options.decreaseInterval) {
        room.fraction *= options.decrease;
        room.decreasedAt = now;
    }
}

int placesAt(const BrittleServices &services,
             const BrittleOptions &options,
             const EndpointId &endpoint,
             int slots,
             const RouterPosition &position,
             TimePoint now)
{
    if (!position.rank) {
        return 0;
    }
    const auto room = services.rooms.find(endpoint);
    const double fraction = room == services.rooms.end() ? 1.0 : fractionNow(room->second, options, now);
    const auto places = static_cast<std::size_t>(std::max(1.0, std::floor(slots * fraction)));
    // Place `i` belongs to the router of rank (first + i) % routers.
    const std::size_t first = stableHash(endpoint.value) % position.routers;
    const std::size_t offset = (*position.rank + position.routers - first) % position.routers;
    const std::size_t rest = places % position.routers;
    return static_cast<int>(places / position.routers + (offset < rest ? 1 : 0));
}

bool isRejecting(const BrittleServices &services,
                 const BrittleOptions &options,
                 const std::string &service,
                 const EndpointId &endpoint,
                 TimePoint now)
{
    const auto room = services.rooms.find(endpoint);
    const auto state = services.services.find(service);
    if (room == services.rooms.end() || state == services.services.end()) {
        return false;
    }
    const auto &times = room->second.rejections;
    const auto recent = std::count_if(times.begin(), times.end(), [&](TimePoint at) {
        return now < at + options.rejectionWindow;
    });
    return static_cast<double>(recent) >= std::max(1.0, options.usedRejections * state->second.maxRejections);
}

Duration pacedSendInterval(const BrittleService &service,
                           const BrittleOptions &options,
                           const RouterPosition &position,
                           std::size_t endpoints)
{
    const double fleetRate =
        std::max(1.0, options.usedRejections * service.maxRejections) * static_cast<double>(endpoints);
    const double seconds = static_cast<double>(position.allRouters) / std::max(1.0, fleetRate);
    return Duration(std::llround(seconds * 1e6));
}

} // namespace Godwit
