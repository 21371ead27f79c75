#include "scenarios/safeguards.h"

namespace Godwit::Scenarios
{
namespace
{

struct Safeguard
{
    std::string_view name;
    void (*takeOut)(KernelOptions &);
};

template<bool BudgetFaults::*Fault>
void budgetFault(KernelOptions &options)
{
    options.budget.faults.*Fault = true;
}

template<bool ClaimFaults::*Fault>
void claimFault(KernelOptions &options)
{
    options.claims.faults.*Fault = true;
}

template<bool RoutingFaults::*Fault>
void routingFault(KernelOptions &options)
{
    options.routing.faults.*Fault = true;
}

template<bool ConfigAgentOptions::*Fault>
void configFault(KernelOptions &options)
{
    options.config.*Fault = true;
}

// Each name says what is missing.
constexpr Safeguard Safeguards[] = {
    {"budget.ask-before-repeating-a-write", budgetFault<&BudgetFaults::repeatUnknownWrites>},
    {"budget.release-after-record", budgetFault<&BudgetFaults::releaseBeforeRecord>},
    {"budget.stop-when-closed", budgetFault<&BudgetFaults::ignoreClosing>},
    {"budget.seal", budgetFault<&BudgetFaults::ignoreSeal>},
    {"budget.seal-before-closing", budgetFault<&BudgetFaults::closeWithoutSeal>},
    {"budget.whole-witness-group", budgetFault<&BudgetFaults::releaseOnOneWitness>},
    {"budget.fold-mark", budgetFault<&BudgetFaults::skipFoldMark>},
    {"budget.billed-keys", budgetFault<&BudgetFaults::skipDuplicateKeys>},
    {"budget.returns-are-spent", budgetFault<&BudgetFaults::spendWhileReturning>},
    {"budget.new-witnesses-recorded", budgetFault<&BudgetFaults::keepOldWitnesses>},
    {"claims.read-after-lost-answer", claimFault<&ClaimFaults::grantOnUnknownWrite>},
    {"claims.never-take-over", claimFault<&ClaimFaults::takeOverGoneClaims>},
    {"claims.clear-lost-writes", claimFault<&ClaimFaults::forgetLostWrites>},
    {"claims.not-run-needs-proof", claimFault<&ClaimFaults::notRunWithoutProof>},
    {"claims.horizon", claimFault<&ClaimFaults::trimWithoutHorizon>},
    {"claims.age", claimFault<&ClaimFaults::ignoreAge>},
    {"claims.write-before-grant", claimFault<&ClaimFaults::grantBeforeWrite>},
    {"claims.fresh-record", claimFault<&ClaimFaults::trustStaleRecord>},
    {"routing.suspects", routingFault<&RoutingFaults::noSuspects>},
    {"routing.isolation", routingFault<&RoutingFaults::noIsolation>},
    {"routing.one-death-is-no-proof", routingFault<&RoutingFaults::convictOnFirstDeath>},
    {"routing.host-failures", routingFault<&RoutingFaults::ignoreHostFailures>},
    {"routing.no-retry-of-not-repeatable", routingFault<&RoutingFaults::retryNotRepeatable>},
    {"routing.leaving", routingFault<&RoutingFaults::ignoreLeaving>},
    {"config.only-higher-revisions", configFault<&ConfigAgentOptions::faultAdoptAnyRevision>},
    {"config.own-ids", configFault<&ConfigAgentOptions::faultForgetOwnIds>},
    {"config.conflicts", configFault<&ConfigAgentOptions::faultIgnoreConflicts>},
    {"config.start-wait", configFault<&ConfigAgentOptions::faultSkipStartWait>},
};

} // namespace

bool takeOut(std::string_view name, KernelOptions &options)
{
    for (const Safeguard &safeguard : Safeguards) {
        if (safeguard.name == name) {
            safeguard.takeOut(options);
            return true;
        }
    }
    return false;
}

std::vector<std::string> safeguardNames()
{
    std::vector<std::string> names;
    for (const Safeguard &safeguard : Safeguards) {
        names.emplace_back(safeguard.name);
    }
    return names;
}

} // namespace Godwit::Scenarios
