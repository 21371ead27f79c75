// A call: what it may cost its customer, and what it is charged.

#include "godwit/relay/relay_call.h"

#include "godwit/base/milliseconds.h"
#include "godwit/prepaid/call_charge.h"

#include <algorithm>

namespace Godwit
{

void RelayCall::reserveTokens()
{
    if (m_worstCase > 0 && wouldUseSmallRequestReserve(m_relay.state().prepaid, m_customer, m_worstCase, m_arrived)) {
        refuseForBudget("what is left of the budget is kept for smaller requests: ask for fewer tokens");
        return;
    }
    if (m_worstCase == 0 || reserve(m_relay.state().prepaid, m_customer, m_worstCase)) {
        m_holdsTokens = m_worstCase > 0;
        logReservation();
        attempt();
        return;
    }
    m_waitsForTokens = true;
    m_patience.expires_after(std::min({m_relay.options().budgetPatience, m_route->latencyTarget / 8, timeLeft()}));
    m_patience.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || self->m_closed || !self->m_waitsForTokens) {
            return;
        }
        self->refuseForBudget("this router does not hold enough of the budget now");
    });
    m_relay.waitForTokens(shared_from_this());
}

// Final when nobody holds enough any more; else the caller may come back.
void RelayCall::refuseForBudget(const std::string &message)
{
    const PrepaidShare &share = m_relay.state().prepaid;
    if (share.predecessorSettled && maxRemaining(share, m_customer) < m_worstCase) {
        refuse(ErrorKind::BudgetExhausted, "the customer's budget does not cover this request at its most", {});
    } else {
        refuse(ErrorKind::BudgetBusy, message, tokensBack());
    }
}

// When the caller should come back for tokens: once they grow again, and not all callers at that moment.
Duration RelayCall::tokensBack() const
{
    const Duration grows = timeUntilLimitGrows(m_relay.state().prepaid, m_customer, Relay::now());
    return grows == Duration::zero() ? m_relay.options().comeBack : grows + comeBackByLot();
}

bool RelayCall::takeTokens()
{
    if (m_closed || !m_waitsForTokens) {
        return true;
    }
    if (!reserve(m_relay.state().prepaid, m_customer, m_worstCase)) {
        return false;
    }
    m_waitsForTokens = false;
    m_holdsTokens = true;
    logReservation();
    m_patience.cancel();
    attempt();
    return true;
}

// Shows which requests a budget's last tokens go to.
void RelayCall::logReservation() const
{
    const PrepaidShare &share = m_relay.state().prepaid;
    if (!m_holdsTokens || !isNearEnd(share, m_customer)) {
        return;
    }
    m_relay.log().write("reserved_near_end",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"customer", std::string_view(m_customer.value)},
                         {"tokens", m_worstCase},
                         {"may_remain", maxRemaining(share, m_customer)},
                         {"total", share.accounts.at(m_customer).total}});
}

Tokens RelayCall::spendableElsewhere() const
{
    Tokens sum = 0;
    const auto &known = m_relay.state().prepaid.peerHoldings;
    const auto found = known.find(m_customer);
    if (found != known.end()) {
        for (const auto &[holder, held] : found->second) {
            sum += held.spendable;
        }
    }
    return sum;
}

Tokens RelayCall::usedTokens() const
{
    CallUsage usage;
    usage.promptTokens = m_facts.promptTokens;
    usage.maxOutputTokens = m_facts.maxOutputTokens;
    usage.tokensPerEvent = m_service != nullptr && m_service->engine ? m_service->engine->tokensPerEvent : 1;
    usage.eventsPassed = m_eventsPassed;
    usage.mayHaveBegun = m_mayHaveBegun;
    return chargeOf(usage);
}

void RelayCall::settleTokens()
{
    const Tokens charge = usedTokens();
    settle(m_relay.state().prepaid, m_customer, m_worstCase, charge);
    recordCharge(m_relay.counters().calls, {m_customer, m_route->kind, m_end, m_eventsPassed > 0, charge});
    if (m_end == CallEnd::Answered || charge == 0) {
        return;
    }
    m_relay.log().write("charged",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"customer", std::string_view(m_customer.value)},
                         {"end", callEndName(m_end)},
                         {"tokens", charge},
                         {"reserved", m_worstCase},
                         {"events_passed", static_cast<std::int64_t>(m_eventsPassed)},
                         {"since_sent_ms", toMilliseconds(Relay::now() - m_sentAt)}});
}

} // namespace Godwit
