#include "godwit/suspects/suspect_record.h"

#include "godwit/base/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace Godwit
{
namespace
{

using nlohmann::json;

constexpr std::size_t MaxLabelBytes = 256; // Of each string in the label.
constexpr std::size_t MaxDeaths = 16;
constexpr std::int64_t MaxRunMilliseconds = 86'400'000; // A day. Longer durations are implausible and clamped.
constexpr std::size_t FingerprintDigits = 16;
constexpr int Hexadecimal = 16;

std::string truncated(const std::string &text)
{
    return text.substr(0, MaxLabelBytes);
}

} // namespace

std::string encodeSuspectRecord(const SuspectRecord &record)
{
    json deaths = json::array();
    for (std::size_t i = 0; i < std::min(record.deaths.size(), MaxDeaths); ++i) {
        const auto ranFor = std::chrono::duration_cast<std::chrono::milliseconds>(record.deaths[i].ranFor);
        deaths.push_back(json::array({record.deaths[i].endpoint.value, ranFor.count(), record.deaths[i].trial}));
    }
    json value{{"host", truncated(record.label.host)},
               {"target", truncated(record.label.target)},
               {"customer", record.label.customer.value},
               {"deaths", std::move(deaths)},
               {"convicted", record.convicted}};
    if (record.trial) {
        value["trial"] = {{"router", record.trial->router.value}, {"endpoint", record.trial->endpoint.value}};
    }
    // A target may contain invalid UTF-8.
    return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

std::optional<SuspectRecord> decodeSuspectRecord(const std::string &text)
{
    const json value = tryParseJson(text);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        SuspectRecord record;
        record.label.host = value.at("host").get<std::string>();
        record.label.target = value.at("target").get<std::string>();
        record.label.customer = CustomerId{value.at("customer").get<std::string>()};
        record.convicted = value.at("convicted").get<bool>();
        for (const json &death : value.at("deaths")) {
            const auto ranFor = std::clamp<std::int64_t>(death.at(1).get<std::int64_t>(), 0, MaxRunMilliseconds);
            // Records of earlier router versions have no trial field.
            const bool trial = death.size() > 2 && death.at(2).get<bool>();
            record.deaths.push_back(
                {EndpointId{death.at(0).get<std::string>()}, std::chrono::milliseconds(ranFor), trial});
        }
        if (const auto trial = value.find("trial"); trial != value.end()) {
            record.trial = SuspectTrial{Incarnation{trial->at("router").get<std::string>()},
                                        EndpointId{trial->at("endpoint").get<std::string>()}};
        }
        record.deaths.resize(std::min(record.deaths.size(), MaxDeaths));
        return record;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string formatFingerprint(std::uint64_t fingerprint)
{
    std::array<char, FingerprintDigits + 1> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return digits.data();
}

std::optional<std::uint64_t> parseFingerprint(const std::string &text)
{
    std::uint64_t fingerprint = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, fingerprint, Hexadecimal);
    const bool isComplete = text.size() == FingerprintDigits && parsed.ec == std::errc() && parsed.ptr == end;
    return isComplete ? std::optional(fingerprint) : std::nullopt;
}

} // namespace Godwit
