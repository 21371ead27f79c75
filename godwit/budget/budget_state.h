#pragma once

// What one router knows of the prepaid budgets.
//
// Example: see budget_agent.h. Nothing but the functions of this package reads or writes these fields.

#include "godwit/budget/budget_types.h"

namespace Godwit
{

struct BudgetAgent
{
    Incarnation self;
    BudgetOptions options;
};

} // namespace Godwit
