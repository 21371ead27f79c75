#include "godwit/relay/send_record.h"

#include "godwit/relay/relay.h"

namespace Godwit
{
namespace
{

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

} // namespace

void recordSend(Relay &relay, const SendRecord &send)
{
    SendCounters &counters = relay.counters().sends;
    const Duration sinceRetryGranted = send.sinceRetryGranted.value_or(Duration::zero());
    counters.lateRetries += sinceRetryGranted > relay.options().limitShares.maxSendDelay ? 1 : 0;
    counters.staleTimeLeft += send.timeLeftAge > MaxTimeLeftAge ? 1 : 0;
    counters.beyondMaxEndpoints += send.possibleExecutions >= send.maxEndpoints ? 1 : 0;
    counters.ofSuspects += send.deaths > 0 ? 1 : 0;
    if (send.sends == 1 && send.deaths == 0) {
        return;
    }
    const std::string request = formatFingerprint(send.fingerprint);
    relay.log().write("sent_again",
                      {{"id", std::string_view(send.attempt)},
                       {"service", std::string_view(send.service)},
                       {"endpoint", std::string_view(send.endpoint)},
                       {"sends", static_cast<std::int64_t>(send.sends)},
                       {"ran", static_cast<std::int64_t>(send.possibleExecutions)},
                       {"max_endpoints", static_cast<std::int64_t>(send.maxEndpoints)},
                       {"since_draw_ms", milliseconds(sinceRetryGranted)},
                       {"time_left_ms", milliseconds(send.timeLeft)},
                       {"since_reckoned_ms", milliseconds(send.timeLeftAge)},
                       {"since_arrival_ms", milliseconds(send.sinceArrival)},
                       {"request", send.fingerprint != 0 ? std::string_view(request) : std::string_view()},
                       {"deaths", static_cast<std::int64_t>(send.deaths)},
                       {"trial", send.trial}});
}

} // namespace Godwit
