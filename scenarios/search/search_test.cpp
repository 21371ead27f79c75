// A small fixed part of the bounded search; godwit-search runs the larger ones by hand.

#include "scenarios/search/budget_model.h"
#include "scenarios/search/claim_model.h"
#include "scenarios/search/search.h"

#include <catch2/catch.hpp>

using namespace Godwit;
using namespace Godwit::Scenarios;

namespace
{

ClaimOptions oneShard()
{
    ClaimOptions options;
    options.shardCount = 1;
    return options;
}

std::string joined(const std::vector<std::string> &path)
{
    std::string text;
    for (const std::string &event : path) {
        text += event + "; ";
    }
    return text;
}

} // namespace

TEST_CASE("claims: no order of events with two deviations runs a request twice or says \"not run\" untruly")
{
    const SearchResult result = search(ClaimModel(oneShard()), {2, 60});
    INFO(joined(result.path));
    CHECK(result.violation.empty());
    CHECK(result.exhausted);
}

TEST_CASE("claims: the search finds a safeguard that is missing")
{
    const auto fault = GENERATE(&ClaimFaults::grantOnUnknownWrite,
                                &ClaimFaults::takeOverGoneClaims,
                                &ClaimFaults::notRunWithoutProof,
                                &ClaimFaults::grantBeforeWrite);
    ClaimOptions options = oneShard();
    options.faults.*fault = true;
    CHECK_FALSE(search(ClaimModel(options), {2, 60}).violation.empty());
}

TEST_CASE("budgets: no order of events with one deviation overspends, or bills an answer not or twice")
{
    const SearchResult result = search(BudgetModel(BudgetOptions()), {1, 60});
    INFO(joined(result.path));
    CHECK(result.violation.empty());
    CHECK(result.exhausted);
}

TEST_CASE("budgets: the search finds a missing record of billed keys")
{
    BudgetOptions options;
    options.faults.skipDuplicateKeys = true;
    CHECK_FALSE(search(BudgetModel(options), {1, 60}).violation.empty());
}
