#include "godwit/suspects/suspect_admission.h"

#include <algorithm>

namespace Godwit
{

Admission admissionOf(const SuspectBook &book, std::uint64_t fingerprint, TimePoint now)
{
    switch (verdictOn(book, fingerprint, now)) {
    case Verdict::Unsuspected:
        return Admission::Free;
    case Verdict::Convicted:
        return Admission::Refused;
    case Verdict::Suspected:
        break;
    }
    const auto sound = soundDeaths(book, fingerprint);
    if (sound.size() + 1 < book.options.deathsToConvict) {
        return Admission::Free;
    }
    const bool waitsForFleet = !book.hearsFleet && sound.size() >= book.options.deathsToConvict;
    const Duration wait = waitsForFleet ? book.options.firstRefuseFor : book.options.settle;
    return now < sound.back()->at + wait ? Admission::NotYet : Admission::Trial;
}

bool canSpareTrial(const SuspectBook &book,
                   std::uint64_t fingerprint,
                   const std::vector<EndpointId> &endpoints,
                   Duration patience,
                   TimePoint now)
{
    constexpr std::ptrdiff_t enough = 2;
    const auto alive = std::count_if(endpoints.begin(), endpoints.end(), [&book](const EndpointId &endpoint) {
        return std::none_of(book.deaths.begin(), book.deaths.end(), [&endpoint](const EndpointDeath &death) {
            return death.endpoint == endpoint;
        });
    });
    const EndpointDeath *last = lastDeathOf(book, fingerprint);
    return alive >= enough || last == nullptr || now >= last->at + patience;
}

} // namespace Godwit
