#include "godwit/gateway/body_senders.h"

#include <map>
#include <utility>

namespace Godwit
{
namespace
{

// Of a sender that makes progress, at least so many bytes arrive in MaxSilence.
constexpr std::uint64_t ProgressBytes = 1024;
constexpr Duration MaxSilence = std::chrono::seconds(1);

} // namespace

void recordBodyBytes(SenderProgress &sender, std::uint64_t bytes, TimePoint now)
{
    sender.bytesSince += bytes;
    if (sender.bytesSince >= ProgressBytes) {
        sender.bytesSince = 0;
        sender.lastProgressAt = now;
    }
}

std::optional<std::size_t> senderToRefuse(const std::vector<BodySender> &senders, TimePoint now)
{
    std::map<CustomerId, std::uint64_t> held;
    for (const BodySender &sender : senders) {
        held[sender.customer] += sender.heldBytes;
    }
    std::optional<std::size_t> chosen;
    std::pair<std::uint64_t, Duration> chosenRank;
    for (std::size_t i = 0; i < senders.size(); ++i) {
        const Duration silence = now - senders[i].lastProgressAt;
        if (silence < MaxSilence || senders[i].heldBytes == 0) {
            continue;
        }
        const std::pair<std::uint64_t, Duration> rank(held[senders[i].customer], silence);
        if (!chosen || chosenRank < rank) {
            chosen = i;
            chosenRank = rank;
        }
    }
    return chosen;
}

} // namespace Godwit
