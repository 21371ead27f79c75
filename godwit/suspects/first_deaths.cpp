#include "godwit/suspects/first_deaths.h"

#include "godwit/base/milliseconds.h"
#include "godwit/suspects/suspect_record.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwit
{
namespace
{

using nlohmann::json;

constexpr std::size_t MaxDeaths = 128; // Some 8 KB.
constexpr std::size_t MaxOfEndpoint = 32;
constexpr Duration MaxAge = std::chrono::minutes(10);
constexpr std::int64_t MostMilliseconds = 86'400'000; // A day: more is not believed.

Duration believed(const json &value)
{
    return std::chrono::milliseconds(std::clamp<std::int64_t>(value.get<std::int64_t>(), 0, MostMilliseconds));
}

// Of one endpoint, the shortest runs first.
std::vector<FirstDeath> firstDeathsOf(const SuspectBook &book, const EndpointDeath &death, TimePoint now)
{
    std::vector<FirstDeath> deaths;
    for (const std::uint64_t fingerprint : death.fingerprints) {
        if (book.deathCount.at(fingerprint) == 1 || soundDeaths(book, fingerprint).size() == 1) {
            const Duration ranFor = runTime(death, fingerprint).value_or(Duration::zero());
            deaths.push_back({fingerprint, death.endpoint, ranFor, now - death.at});
        }
    }
    std::stable_sort(deaths.begin(), deaths.end(), [](const FirstDeath &a, const FirstDeath &b) {
        return a.ranFor < b.ranFor;
    });
    deaths.resize(std::min(deaths.size(), MaxOfEndpoint));
    return deaths;
}

} // namespace

std::vector<FirstDeath> firstDeathsIn(const SuspectBook &book, TimePoint now)
{
    std::vector<FirstDeath> all;
    for (auto death = book.deaths.rbegin(); death != book.deaths.rend() && all.size() < MaxDeaths; ++death) {
        if (death->at + MaxAge < now) {
            break;
        }
        if (!isWidespreadFailure(book, death->at)) {
            const auto deaths = firstDeathsOf(book, *death, now);
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
        list.push_back(json::array({fingerprintText(death.fingerprint),
                                    death.endpoint.value,
                                    toMilliseconds(death.ranFor),
                                    toMilliseconds(death.ago)}));
    }
    return json{{"deaths", std::move(list)}}.dump(-1, ' ', true, json::error_handler_t::replace);
}

std::optional<std::vector<FirstDeath>> decodeFirstDeaths(const std::string &text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        std::vector<FirstDeath> deaths;
        for (const json &entry : value.at("deaths")) {
            const auto fingerprint = fingerprintOf(entry.at(0).get<std::string>());
            if (!fingerprint || deaths.size() >= MaxDeaths) {
                return std::nullopt;
            }
            deaths.push_back({*fingerprint,
                              EndpointId{entry.at(1).get<std::string>()},
                              believed(entry.at(2)),
                              believed(entry.at(3))});
        }
        return deaths;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

void noteFirstDeath(SuspectBook &book, const FirstDeath &death, TimePoint now)
{
    if (hadPartInDeathOf(book, death.fingerprint, death.endpoint, {})) {
        return;
    }
    // Before all that comes from here on, and as far from each other as they were.
    const TimePoint at = now - book.options.settle - death.ago;
    InFlight run;
    if (death.ranFor > Duration::zero()) {
        run.sentAt = at - death.ranFor;
    }
    noteSuspect(book, {death.endpoint, {}, {}, at, {}}, death.fingerprint, run);
}

} // namespace Godwit
