#pragma once

// What the parts of PrepaidShare's logic use of one another. Only godwit/prepaid includes this; the jobs lie in
//   prepaid_share.cpp   limits and reservations
//   share_demand.cpp    recent demand
//   share_targets.cpp   what the next write should ask for
//   share_writes.cpp    writes planned and their outcomes
//   share_records.cpp   records read, and what an earlier process held
//   share_tokens.cpp    tokens between routers

#include "godwit/prepaid/prepaid_share.h"

#include <chrono>
#include <map>

namespace Godwit::internal
{

// The customer's account here; null when no document has named the customer.
const ShareAccount *accountOf(const PrepaidShare &share, const CustomerId &customer);

// The account of a customer with a prepaid total; null for any other.
ShareAccount *boundedAccount(PrepaidShare &share, const CustomerId &customer);

// What other routers have lately said that they hold of the customer's budget; empty when none has.
const std::map<HolderId, PeerHolding> &peerHoldingsOf(const PrepaidShare &share, const CustomerId &customer);

// Used, sent and reserved: what the account has gone to of its limit.
Tokens committed(const ShareAccount &account);

// How far committed() may go now. An open or doubtful write may or may not take effect: only what every outcome allows
// is safe.
Tokens limitOf(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account);

// Tokens a second that the customer lately asked for here.
double demandNow(const PrepaidShare &share, const ShareAccount &account, TimePoint now);

// The part of it that is let in now: requests that have to leave the rest to smaller ones use nothing up.
double admittedDemand(const PrepaidShare &share, const CustomerId &customer, TimePoint now);

// What the customer would ask for here in `time`.
Tokens expectedDemand(const PrepaidShare &share, const ShareAccount &account, Duration time, TimePoint now);

// What `ledger` grants to `holder`; 0 when it grants nothing.
Tokens grantedTo(const PrepaidLedger &ledger, const CustomerId &customer, const HolderId &holder);

// The account's grant, less what this router gives back where more is out than the total allows (`room` below 0): all
// that it can, since what others have used of theirs is not known here. Until the grants have gone back in a write,
// what is over the total is not spent either.
Tokens grantWithin(const ShareAccount &account, Tokens unallocated);

// The grant to ask for: enough for a time without the platform, a fair part of a scarce room, and always what a
// waiting request lacks.
Tokens targetGrant(const PrepaidShare &share,
                   const CustomerId &customer,
                   const ShareAccount &account,
                   Tokens unallocated,
                   TimePoint now);

// The mark to write along with a grant of `granted`.
Mark targetMark(
    const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, Tokens granted, TimePoint now);

// Whether the mark in force leaves too little for the demand or for a request that waits, and a new one could help.
bool markIsLow(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, TimePoint now);

// The shortest time that one of the marks binds, of those that let their router go somewhere; 0 when none does.
std::chrono::milliseconds shortestFixedPeriod(const MarkRecord &record);

// Forgets the open write, or the plan of one that isn't due.
void clearPending(PrepaidShare &share);

} // namespace Godwit::internal
