// RelayCall: reservation of tokens and the final charge.

#include "godwit/relay/relay_call.h"

#include "godwit/base/milliseconds.h"
#include "godwit/prepaid/call_charge.h"

#include <algorithm>

namespace Godwit
{

void RelayCall::reserveTokens()
{
    if (m_worstCase > 0 && wouldUseSmallRequestReserve(m_relay.state().prepaid, m_customer, m_worstCase, m_arrived)) {
        refuseForBudget("the rest of the budget is reserved for smaller requests; request fewer tokens");
        return;
    }
    if (m_worstCase == 0 || reserve(m_relay.state().prepaid, m_customer, m_worstCase)) {
        m_hasReservation = m_worstCase > 0;
        logReservation();
        attempt();
        return;
    }
    m_waitingForTokens = true;
    m_budgetTimer.expires_after(tokenWaitLimit());
    m_budgetTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || self->m_closed || !self->m_waitingForTokens) {
            return;
        }
        self->refuseForBudget("this router currently has too few of the budget's tokens");
    });
    m_relay.waitForTokens(shared_from_this());
}

// A customer's home needs no exchange with another router.
Duration RelayCall::tokenWaitLimit() const
{
    const auto &accounts = m_relay.state().prepaid.accounts;
    const auto account = accounts.find(m_customer);
    const bool isHome = account != accounts.end() && account->second.isHome;
    const Duration exchange = isHome ? Duration::zero() : m_relay.state().tokenExchange.recent;
    return tokenWait({m_route->latencyTarget, timeLeft(), exchange}, m_relay.options().tokenWait);
}

// The refusal is final if no router can have enough tokens left; otherwise the caller may retry.
void RelayCall::refuseForBudget(const std::string &message)
{
    const PrepaidShare &share = m_relay.state().prepaid;
    if (share.predecessorSettled && maxRemaining(share, m_customer) < m_worstCase) {
        refuse(
            ErrorKind::BudgetExhausted, "the customer's budget does not cover the worst-case cost of this request", {});
    } else {
        refuse(ErrorKind::BudgetBusy, message, tokenRetryAfter());
    }
}

// Retry-After for lack of tokens: when the usable tokens grow again, spread at random so that callers don't all retry
// at that moment.
Duration RelayCall::tokenRetryAfter() const
{
    const Duration untilGrowth = timeUntilLimitGrows(m_relay.state().prepaid, m_customer, Relay::now());
    return untilGrowth == Duration::zero() ? m_relay.options().defaultRetryAfter : untilGrowth + randomizedRetryAfter();
}

bool RelayCall::tryReserve()
{
    if (m_closed || !m_waitingForTokens) {
        return true;
    }
    if (!reserve(m_relay.state().prepaid, m_customer, m_worstCase)) {
        return false;
    }
    m_waitingForTokens = false;
    m_hasReservation = true;
    logReservation();
    m_budgetTimer.cancel();
    attempt();
    return true;
}

// Logs reservations near the end of a budget, to show which requests get its last tokens.
void RelayCall::logReservation() const
{
    const PrepaidShare &share = m_relay.state().prepaid;
    if (!m_hasReservation || !isNearEnd(share, m_customer)) {
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
    usage.eventsPassed = m_eventsForwarded;
    usage.mayHaveBegun = m_mayHaveProducedOutput;
    return chargeOf(usage);
}

void RelayCall::settleTokens()
{
    const Tokens used = usedTokens();
    const Tokens charge = m_promptCharged && *m_promptCharged ? 0 : used;
    if (m_promptCharged && charge > 0) {
        *m_promptCharged = true;
    }
    settle(m_relay.state().prepaid, m_customer, m_worstCase, charge);
    recordCharge(m_relay.counters().calls, {m_customer, m_route->kind, m_end, m_eventsForwarded > 0, charge});
    if (m_end == CallEnd::Answered || charge == 0) {
        return;
    }
    m_relay.log().write("charged",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"customer", std::string_view(m_customer.value)},
                         {"end", callEndName(m_end)},
                         {"tokens", charge},
                         {"reserved", m_worstCase},
                         {"events_passed", static_cast<std::int64_t>(m_eventsForwarded)},
                         {"since_sent_ms", toMilliseconds(Relay::now() - m_sentAt)}});
}

} // namespace Godwit
