#pragma once

// Interfaces between the parts of PrepaidShare, used only within godwit/prepaid:
//   prepaid_share.cpp     limits and reservations
//   share_demand.cpp      recent demand
//   share_targets.cpp     targets of the next write
//   share_writes.cpp      planned writes and their outcomes
//   share_records.cpp     records read, and takeover from an earlier process
//   share_transfers.cpp   transfers between routers

#include "godwit/prepaid/prepaid_share.h"

#include <chrono>
#include <map>

namespace Godwit::internal
{

// The customer's account at this router; null if no document has named the customer.
const ShareAccount *accountOf(const PrepaidShare &share, const CustomerId &customer);

// The account of a customer with a prepaid total; null for any other customer.
ShareAccount *boundedAccount(PrepaidShare &share, const CustomerId &customer);

// What other routers last reported about the customer's budget; empty if none has.
const std::map<HolderId, PeerHolding> &peerHoldingsOf(const PrepaidShare &share, const CustomerId &customer);

// Tokens that count against the limit: used, sent and reserved.
Tokens committed(const ShareAccount &account);

// Upper bound on committed() now. Open writes and writes with unknown outcome may or may not take effect, so the limit
// is the lowest over all outcomes.
Tokens limitOf(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account);

// The customer's recent demand at this router, in tokens per second.
double demandNow(const PrepaidShare &share, const ShareAccount &account, TimePoint now);

// The part of demandNow() that is admitted now, without the requests that are refused for the sake of smaller ones.
double admittedDemand(const PrepaidShare &share, const CustomerId &customer, TimePoint now);

// Expected demand of the customer at this router over `time`.
Tokens expectedDemand(const PrepaidShare &share, const ShareAccount &account, Duration time, TimePoint now);

// What `ledger` grants to `holder`; 0 if nothing.
Tokens grantedTo(const PrepaidLedger &ledger, const CustomerId &customer, const HolderId &holder);

// The account's grant, reduced if the ledger has committed more than the total (`unallocated` below 0). This router
// then returns all that it can, since it does not know what others have used of their grants. Until a write has
// returned the grants, the tokens beyond the total must not be spent either.
Tokens grantWithin(const ShareAccount &account, Tokens unallocated);

// The grant to ask for: enough for a store outage, limited to a fair share of scarce tokens, and always including what
// a waiting request lacks.
Tokens targetGrant(const PrepaidShare &share,
                   const CustomerId &customer,
                   const ShareAccount &account,
                   Tokens unallocated,
                   TimePoint now);

// The mark to write along with a grant of `granted`.
Mark targetMark(
    const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, Tokens granted, TimePoint now);

// Whether the current mark leaves too little for the demand or for a waiting request, and a new one could help.
bool markIsLow(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, TimePoint now);

// The shortest fixed period among the marks that allow further usage; 0 if none does.
std::chrono::milliseconds shortestFixedPeriod(const MarkRecord &record);

// Discards the open write, or the plan of a write that is not due.
void clearPending(PrepaidShare &share);

} // namespace Godwit::internal
