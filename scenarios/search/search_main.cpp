// Compares the bounded search with random walks on seeded faults: godwit-search [DEVIATIONS] [MOST_STEPS]
//
// For each safeguard that is taken out the table shows after how many steps each of the two found a violation.

#include "scenarios/search/budget_model.h"
#include "scenarios/search/claim_model.h"
#include "scenarios/search/search.h"

#include <cstdio>
#include <cstdlib>

using namespace Godwit;
using namespace Godwit::Scenarios;

namespace
{

constexpr std::uint64_t WalkSeed = 1;

std::string outcome(const SearchResult &result)
{
    const std::string steps = std::to_string(result.steps);
    if (!result.violation.empty()) {
        return "found " + steps;
    }
    return (result.exhausted ? "none  " : "cut   ") + steps;
}

template<typename Model>
void compare(const char *name, const Model &model, const SearchBound &bound)
{
    const SearchResult systematic = search(model, bound);
    const SearchResult random = randomWalks(model, bound, WalkSeed);
    std::printf("%-36s %-16s %-16s %s\n",
                name,
                outcome(systematic).c_str(),
                outcome(random).c_str(),
                (systematic.violation.empty() ? random.violation : systematic.violation).c_str());
    std::fflush(stdout);
}

struct ClaimRow
{
    const char *name;
    bool ClaimFaults::*fault;
};

struct BudgetRow
{
    const char *name;
    bool BudgetFaults::*fault;
};

constexpr ClaimRow ClaimRows[] = {
    {"claims.read-after-lost-answer", &ClaimFaults::grantOnUnknownWrite},
    {"claims.never-take-over", &ClaimFaults::takeOverGoneClaims},
    {"claims.clear-lost-writes", &ClaimFaults::forgetLostWrites},
    {"claims.not-run-needs-proof", &ClaimFaults::notRunWithoutProof},
    {"claims.write-before-grant", &ClaimFaults::grantBeforeWrite},
    {"claims.fresh-record", &ClaimFaults::trustStaleRecord},
};

constexpr BudgetRow BudgetRows[] = {
    {"budget.ask-before-repeating-a-write", &BudgetFaults::repeatUnknownWrites},
    {"budget.release-after-record", &BudgetFaults::releaseBeforeRecord},
    {"budget.stop-when-closed", &BudgetFaults::ignoreClosing},
    {"budget.seal", &BudgetFaults::ignoreSeal},
    {"budget.seal-before-closing", &BudgetFaults::closeWithoutSeal},
    {"budget.whole-witness-group", &BudgetFaults::releaseOnOneWitness},
    {"budget.fold-mark", &BudgetFaults::skipFoldMark},
    {"budget.billed-keys", &BudgetFaults::skipDuplicateKeys},
    {"budget.returns-are-spent", &BudgetFaults::spendWhileReturning},
    {"budget.new-witnesses-recorded", &BudgetFaults::keepOldWitnesses},
};

} // namespace

int main(int argc, char **argv)
{
    SearchBound bound;
    bound.deviations = argc > 1 ? std::atoi(argv[1]) : 2; // NOLINT(cert-err34-c)
    bound.mostSteps = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1'000'000;
    std::printf("%d deviations, depth %d, at most %llu steps; walks with seed %llu\n",
                bound.deviations,
                bound.depth,
                static_cast<unsigned long long>(bound.mostSteps),
                static_cast<unsigned long long>(WalkSeed));
    std::printf("%-36s %-16s %-16s %s\n", "taken out", "search", "random walks", "violation");
    ClaimOptions claims;
    claims.shardCount = 1;
    compare("claims: nothing", ClaimModel(claims), bound);
    for (const ClaimRow &row : ClaimRows) {
        ClaimOptions faulty = claims;
        faulty.faults.*row.fault = true;
        compare(row.name, ClaimModel(faulty), bound);
    }
    const BudgetOptions budgets;
    compare("budgets: nothing", BudgetModel(budgets), bound);
    for (const BudgetRow &row : BudgetRows) {
        BudgetOptions faulty = budgets;
        faulty.faults.*row.fault = true;
        compare(row.name, BudgetModel(faulty), bound);
    }
}
