#include "godwit/suspects/first_deaths.h"

#include "godwit/base/json_text.h"
#include "godwit/base/milliseconds.h"
#include "godwit/suspects/suspect_record.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwit
{
namespace
{

using nlohmann::json;

constexpr std::size_t MaxDeaths = 128; // About 8 KB when encoded.
constexpr std::size_t MaxDeathsPerEndpoint = 32;
constexpr Duration MaxAge = std::chrono::minutes(10);
constexpr std::int64_t MaxMilliseconds = 86'400'000; // A day. Longer durations are implausible and clamped.

Duration readDuration(const json &value)
{
    return std::chrono::milliseconds(std::clamp<std::int64_t>(value.get<std::int64_t>(), 0, MaxMilliseconds));
}

// The requests for which `death` is the first one, shortest runs first.
std::vector<FirstDeath> firstDeathsAt(const SuspectTracker &tracker, const EndpointDeath &death, TimePoint now)
{
    std::vector<FirstDeath> deaths;
    for (const std::uint64_t fingerprint : death.fingerprints) {
        if (tracker.deathCount.at(fingerprint) == 1 || attributableDeaths(tracker, fingerprint).size() == 1) {
            const Duration ranFor = runTime(death, fingerprint).value_or(Duration::zero());
            deaths.push_back({fingerprint, death.endpoint, ranFor, now - death.at});
        }
    }
    std::stable_sort(deaths.begin(), deaths.end(), [](const FirstDeath &a, const FirstDeath &b) {
        return a.ranFor < b.ranFor;
    });
    deaths.resize(std::min(deaths.size(), MaxDeathsPerEndpoint));
    return deaths;
}

} // namespace

std::vector<FirstDeath> collectFirstDeaths(const SuspectTracker &tracker, TimePoint now)
{
    std::vector<FirstDeath> all;
    for (auto death = tracker.deaths.rbegin(); death != tracker.deaths.rend() && all.size() < MaxDeaths; ++death) {
        if (death->at + MaxAge < now) {
            break;
        }
        if (!isWidespreadFailure(tracker, death->at)) {
            const auto deaths = firstDeathsAt(tracker, *death, now);
            all.insert(all.end(), deaths.begin(), deaths.end());
        }
    }
    all.resize(std::min(all.size(), MaxDeaths));
    return all;
}

std::string encodeFirstDeaths(const std::vector<FirstDeath> &deaths)
{
    json list = json::array();
    for (const FirstDeath &death : deaths) {
        list.push_back(json::array({formatFingerprint(death.fingerprint),
                                    death.endpoint.value,
                                    toMilliseconds(death.ranFor),
                                    toMilliseconds(death.age)}));
    }
    return json{{"deaths", std::move(list)}}.dump(-1, ' ', true, json::error_handler_t::replace);
}

std::optional<std::vector<FirstDeath>> decodeFirstDeaths(const std::string &text)
{
    const json value = tryParseJson(text);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        std::vector<FirstDeath> deaths;
        for (const json &entry : value.at("deaths")) {
            const auto fingerprint = parseFingerprint(entry.at(0).get<std::string>());
            if (!fingerprint || deaths.size() >= MaxDeaths) {
                return std::nullopt;
            }
            deaths.push_back({*fingerprint,
                              EndpointId{entry.at(1).get<std::string>()},
                              readDuration(entry.at(2)),
                              readDuration(entry.at(3))});
        }
        return deaths;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

void recordFirstDeath(SuspectTracker &tracker, const FirstDeath &death, TimePoint now)
{
    if (wasInFlightAtDeathOf(tracker, death.fingerprint, death.endpoint, {})) {
        return;
    }
    // Earlier than all deaths observed from now on, with the original distances between the stored deaths.
    const TimePoint at = now - tracker.options.coincidenceWindow - death.age;
    InFlightRun run;
    if (death.ranFor > Duration::zero()) {
        run.sentAt = at - death.ranFor;
    }
    recordSuspect(tracker, {death.endpoint, {}, {}, at, {}}, death.fingerprint, run);
}

} // namespace Godwit
