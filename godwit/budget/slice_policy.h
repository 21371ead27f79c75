#pragma once

// How large a slice of a budget a router should hold.
//
// Example:
//   noteDemand(demand, worstCase, now);
//   SliceSituation situation;
//   situation.free = freeTokens(record);
//   situation.ownDemand = demandRate(demand, now);
//   Tokens target = sliceTarget(situation).spendable;

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

namespace Godwit
{

// What a router has seen of the demand for one budget: sums that decay with time.
struct DemandEstimate
{
    double tokens = 0; // Decayed sum of worst cases.
    double calls = 0; // Decayed number of calls.
    double settledShare = 1; // Part of the worst case that calls really cost.
    TimePoint first; // Of the first call.
    TimePoint last; // Of the last decay.
};

void noteDemand(DemandEstimate &demand, Tokens worstCase, TimePoint now);
void noteSettled(DemandEstimate &demand, Tokens worstCase, Tokens actual);

// Expected spend in tokens a second.
double demandRate(const DemandEstimate &demand, TimePoint now);

// The mean worst case of recent calls; at least 1.
Tokens typicalCall(const DemandEstimate &demand);

struct SliceSituation
{
    // What the platform's record has free.
    Tokens free = 0;
    // What this router holds beyond its reservations and bills.
    Tokens spendable = 0;
    // What is neither billed nor reserved here, whoever holds it.
    Tokens rest = 0;
    // The sum of the waiting calls that can be met.
    Tokens waiting = 0;
    // Demand here and at the other holders, in tokens a second.
    double ownDemand = 0;
    double otherDemand = 0;
    Tokens typicalCall = 1;
    double reserveShare = 0;
    // The time of demand to hold ahead.
    Duration cover{0};
    // The number of routers with demand.
    int claimants = 1;
    // Whether this is the router that gets the whole rest once little is left; see isLow().
    bool home = false;
};

// Whether so little is left that parts of it at several routers would be too small for a call: then one router, the
// budget's home, holds all of it, and the others forward their calls there.
bool isLow(const SliceSituation &situation);

struct SliceTarget
{
    // What the router should hold beyond its reservations and bills.
    Tokens spendable = 0;
    // Too little is left for slices; each call draws for itself and what it leaves goes back soon.
    bool scarce = false;
};

SliceTarget sliceTarget(const SliceSituation &situation);

} // namespace Godwit
