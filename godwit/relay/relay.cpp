#include "godwit/relay/relay.h"

#include "godwit/base/enum_names.h"
#include "godwit/relay/relay_call.h"

#include <time.h>

#include <algorithm>

namespace Godwit
{
namespace
{

constexpr EnumName<RepeatOutcome> RepeatOutcomeNames[] = {
    {RepeatOutcome::Taken, "taken"},
    {RepeatOutcome::Denied, "denied"},
    {RepeatOutcome::Free, "free"},
};

} // namespace

std::string_view repeatOutcomeName(RepeatOutcome outcome)
{
    return enumName(RepeatOutcomeNames, outcome);
}

Relay::Relay(boost::asio::io_context &io, RelayOptions options, DecisionLog &log)
    : m_io(io)
    , m_options(std::move(options))
    , m_log(log)
    , m_random(std::random_device{}())
{
    m_state.prepaid = makePrepaidShare(m_options.prepaid);
}

Duration Relay::uptime()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

bool Relay::isReady() const
{
    if (m_state.stage != RelayStage::Serving) {
        return false;
    }
    const auto &accounts = m_state.prepaid.accounts;
    const bool bounded = std::any_of(accounts.begin(), accounts.end(), [](const auto &entry) {
        return entry.second.bounded;
    });
    return !bounded || m_state.prepaid.predecessorSettled;
}

bool Relay::isBehind(TimePoint now) const
{
    const bool copiesAreOld = std::min(m_state.endpointsAsOf, m_state.documentAsOf) < m_state.behindAt;
    return now < m_state.behindAt + (copiesAreOld ? m_options.copyPatience : m_options.behindFor)
        || hasOutdatedCopy(now);
}

bool Relay::hasOutdatedCopy(TimePoint now) const
{
    return isStale(m_state.endpointsAgreement, m_options.agreement, now)
        || isStale(m_state.documentAgreement, m_options.agreement, now);
}

bool Relay::hasConfirmedDocument(TimePoint now) const
{
    return isConfirmedCurrent(m_state.documentAgreement, m_options.agreement, now);
}

void Relay::waitForTokens(const std::shared_ptr<RelayCall> &call)
{
    m_waiting.push_back(call);
    if (onTokensWanted) {
        onTokensWanted(call->customer(), neededHere()[call->customer()]);
    }
}

void Relay::stopWaiting(const std::shared_ptr<RelayCall> &call)
{
    m_waiting.erase(std::remove(m_waiting.begin(), m_waiting.end(), call), m_waiting.end());
}

void Relay::tokensCame()
{
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &call : waiting) {
        if (!call->takeTokens()) {
            m_waiting.push_back(call);
        }
    }
    askAgain();
    if (onTokensCame) {
        onTokensCame();
    }
}

void Relay::askAgain()
{
    for (const auto &[customer, tokens] : neededHere()) {
        if (onTokensWanted) {
            onTokensWanted(customer, tokens);
        }
    }
}

void Relay::noteWanted()
{
    std::map<CustomerId, Tokens> needed = neededHere();
    for (const TransferRequest &ask : m_state.prepaid.transferRequests) {
        needed[ask.customer] += ask.needed;
    }
    for (const auto &[customer, tokens] : needed) {
        noteShortfall(m_state.prepaid, customer, tokens);
    }
}

std::map<CustomerId, Tokens> Relay::neededHere() const
{
    std::map<CustomerId, Tokens> needed;
    for (const auto &call : m_waiting) {
        needed[call->customer()] += call->worstCase();
    }
    return needed;
}

} // namespace Godwit
