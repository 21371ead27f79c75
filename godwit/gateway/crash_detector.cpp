#include "godwit/gateway/crash_detector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Godwit
{
namespace
{

void dropAttemptsBefore(EndpointInterruptions &interrupted, TimePoint from)
{
    interrupted.attempts.erase(std::remove_if(interrupted.attempts.begin(),
                                              interrupted.attempts.end(),
                                              [from](const InterruptedAttempt &attempt) {
                                                  return attempt.interruptedAt < from;
                                              }),
                               interrupted.attempts.end());
}

} // namespace

bool recordInterruption(CrashDetector &detector, const ListedEndpoint &endpoint, const InterruptedAttempt &attempt)
{
    EndpointInterruptions &interrupted = detector.interruptions[endpoint.id];
    if (interrupted.attempts.empty()) {
        interrupted = {
            endpoint.id, endpoint.service, endpoint.address, endpoint.dataCentre, false, attempt.interruptedAt, {}};
    }
    if (interrupted.attempts.size() < detector.options.maxAttemptsPerEndpoint) {
        interrupted.attempts.push_back(attempt);
    }
    if (interrupted.probing) {
        return false;
    }
    interrupted.probing = true;
    interrupted.probedSince = attempt.interruptedAt;
    return true;
}

std::optional<EndpointInterruptions> takeCrash(CrashDetector &detector, const EndpointId &endpoint)
{
    const auto found = detector.interruptions.find(endpoint);
    if (found == detector.interruptions.end()) {
        return std::nullopt;
    }
    EndpointInterruptions crash = std::move(found->second);
    detector.interruptions.erase(found);
    dropAttemptsBefore(crash, crash.probedSince);
    return crash;
}

std::vector<InterruptedAttempt> recordNoCrash(CrashDetector &detector, const EndpointId &endpoint)
{
    std::vector<InterruptedAttempt> trials;
    const auto found = detector.interruptions.find(endpoint);
    if (found == detector.interruptions.end()) {
        return trials;
    }
    EndpointInterruptions &interrupted = found->second;
    interrupted.probing = false;
    for (InterruptedAttempt &attempt : interrupted.attempts) {
        if (std::exchange(attempt.trial, false)) {
            trials.push_back(attempt);
        }
    }
    return trials;
}

std::vector<EndpointInterruptions> takeReplacedEndpoints(CrashDetector &detector,
                                                         const std::vector<ListedEndpoint> &listed,
                                                         TimePoint now)
{
    std::vector<EndpointInterruptions> replaced;
    for (auto it = detector.interruptions.begin(); it != detector.interruptions.end();) {
        EndpointInterruptions &interrupted = it->second;
        const bool isReplaced =
            std::any_of(listed.begin(), listed.end(), [&interrupted](const ListedEndpoint &endpoint) {
                return endpoint.address == interrupted.address && endpoint.id != interrupted.id;
            });
        const bool old = interrupted.probedSince + detector.options.replacementTimeout < now;
        if (isReplaced) {
            dropAttemptsBefore(interrupted, interrupted.probedSince);
            replaced.push_back(std::move(interrupted));
        }
        it = isReplaced || old ? detector.interruptions.erase(it) : std::next(it);
    }
    return replaced;
}

void forgetInterruptionsOf(CrashDetector &detector, std::uint64_t fingerprint)
{
    for (auto it = detector.interruptions.begin(); it != detector.interruptions.end();) {
        auto &attempts = it->second.attempts;
        attempts.erase(std::remove_if(attempts.begin(),
                                      attempts.end(),
                                      [fingerprint](const InterruptedAttempt &attempt) {
                                          return attempt.fingerprint == fingerprint;
                                      }),
                       attempts.end());
        it = attempts.empty() ? detector.interruptions.erase(it) : std::next(it);
    }
}

} // namespace Godwit
