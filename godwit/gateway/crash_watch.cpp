#include "godwit/gateway/crash_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Godwit
{
namespace
{

void dropRunsBefore(EndpointCuts &cuts, TimePoint from)
{
    cuts.runs.erase(std::remove_if(cuts.runs.begin(),
                                   cuts.runs.end(),
                                   [from](const CutRun &run) {
                                       return run.cutAt < from;
                                   }),
                    cuts.runs.end());
}

} // namespace

bool noteCut(CrashWatch &watch, const ListedEndpoint &endpoint, const CutRun &run)
{
    EndpointCuts &cuts = watch.cuts[endpoint.id];
    if (cuts.runs.empty()) {
        cuts = {endpoint.id, endpoint.service, endpoint.address, endpoint.dataCentre, false, run.cutAt, {}};
    }
    if (cuts.runs.size() < watch.options.maxRunsPerEndpoint) {
        cuts.runs.push_back(run);
    }
    if (cuts.asking) {
        return false;
    }
    cuts.asking = true;
    cuts.askedFrom = run.cutAt;
    return true;
}

std::optional<EndpointCuts> takeDeath(CrashWatch &watch, const EndpointId &endpoint)
{
    const auto found = watch.cuts.find(endpoint);
    if (found == watch.cuts.end()) {
        return std::nullopt;
    }
    EndpointCuts death = std::move(found->second);
    watch.cuts.erase(found);
    dropRunsBefore(death, death.askedFrom);
    return death;
}

std::vector<CutRun> noteNoDeath(CrashWatch &watch, const EndpointId &endpoint)
{
    std::vector<CutRun> trials;
    const auto found = watch.cuts.find(endpoint);
    if (found == watch.cuts.end()) {
        return trials;
    }
    EndpointCuts &cuts = found->second;
    cuts.asking = false;
    for (CutRun &run : cuts.runs) {
        if (std::exchange(run.trial, false)) {
            trials.push_back(run);
        }
    }
    return trials;
}

std::vector<EndpointCuts> takeReplaced(CrashWatch &watch, const std::vector<ListedEndpoint> &listed, TimePoint now)
{
    std::vector<EndpointCuts> replaced;
    for (auto it = watch.cuts.begin(); it != watch.cuts.end();) {
        EndpointCuts &cuts = it->second;
        const bool isReplaced = std::any_of(listed.begin(), listed.end(), [&cuts](const ListedEndpoint &endpoint) {
            return endpoint.address == cuts.address && endpoint.id != cuts.id;
        });
        const bool old = cuts.askedFrom + watch.options.entryLate < now;
        if (isReplaced) {
            dropRunsBefore(cuts, cuts.askedFrom);
            replaced.push_back(std::move(cuts));
        }
        it = isReplaced || old ? watch.cuts.erase(it) : std::next(it);
    }
    return replaced;
}

void forgetCutsOf(CrashWatch &watch, std::uint64_t fingerprint)
{
    for (auto it = watch.cuts.begin(); it != watch.cuts.end();) {
        auto &runs = it->second.runs;
        runs.erase(std::remove_if(runs.begin(),
                                  runs.end(),
                                  [fingerprint](const CutRun &run) {
                                      return run.fingerprint == fingerprint;
                                  }),
                   runs.end());
        it = runs.empty() ? watch.cuts.erase(it) : std::next(it);
    }
}

} // namespace Godwit
