#include "godwit/relay/relay.h"

#include "godwit/relay/relay_call.h"

#include <algorithm>

namespace Godwit
{

Relay::Relay(boost::asio::io_context &io, RelayOptions options, DecisionLog &log)
    : m_io(io)
    , m_options(std::move(options))
    , m_log(log)
    , m_random(std::random_device{}())
{
    m_state.prepaid = makePrepaidShare(m_options.prepaid);
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
    return !bounded || m_state.prepaid.takenOver;
}

void Relay::waitForTokens(const std::shared_ptr<RelayCall> &call)
{
    m_waiting.push_back(call);
}

void Relay::stopWaiting(const std::shared_ptr<RelayCall> &call)
{
    m_waiting.erase(std::remove(m_waiting.begin(), m_waiting.end(), call), m_waiting.end());
}

void Relay::tokensCame()
{
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &call : waiting) {
        call->tokensCame();
    }
}

void Relay::noteWanted()
{
    std::map<CustomerId, Tokens> wanted;
    for (const auto &call : m_waiting) {
        wanted[call->customer()] += call->worstCase();
    }
    for (const auto &[customer, tokens] : wanted) {
        wantMore(m_state.prepaid, customer, tokens);
    }
}

} // namespace Godwit
