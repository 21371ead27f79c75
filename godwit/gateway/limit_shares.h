#pragma once

// Which part of the limits of the whole fleet this router may use, where a limit can't be split by what each router
// sees.
//
// All such limits are cut into the same shares. A share is a key of the platform's store that exists under the lease
// of the router that holds it, so no two routers hold the same one, whatever they believe of each other. A router
// uses a share only once a window has passed since it was claimed, when what the former holder took no longer counts.
// It stops using its shares when its lease may have ended by its own reckoning.
//
// Pure: time is passed in.
//
// Example:
//   const auto claims = planClaims(shares, options, standing, self, fairShareCount(routers, least), first);
//   if (written) { addShares(shares, claims, revision, now + handOver); }
//   const double part = partOf(usableShares(shares, now, uptime));

#include "godwit/base/time.h"

#include <bitset>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Godwit
{

constexpr int LimitShareCount = 64;
using ShareSet = std::bitset<LimitShareCount>;

struct LimitShareOptions
{
    // Of one transaction, which has a condition and a change for each and may have 32 of them.
    int maxClaims = 16;
    // A repeat reaches its endpoint within this time after it was drawn: connecting takes at most 0.4 s, and a process
    // may be held up meanwhile.
    Duration maxSendDelay = std::chrono::seconds(2);
};

// The routers that callers are told of, this one included; by their addresses. They get nearly all requests, so that
// they alone hold shares.
struct AdvertisedRouters
{
    std::string self;
    std::vector<std::string> routers;
};

struct HeldShare
{
    std::uint64_t revision = 0; // Of its key.
    TimePoint usableFrom;
};

struct LimitShares
{
    std::uint64_t lease = 0; // 0: none, and nothing is held.
    Duration leaseUntil{}; // By the uptime of the host, which goes on while the host is suspended.
    std::map<int, HeldShare> held; // By number.
};

// A share as the store has it.
struct StoredShare
{
    std::string holder; // The address that callers reach it by.
    std::uint64_t revision = 0;
};

struct ShareClaim
{
    int number = 0;
    std::uint64_t revision = 0; // That its key must have; 0: there must be none.
};

// The lease stands until `until` at least. Shares under a former lease are gone.
void renewShareLease(LimitShares &shares, std::uint64_t lease, Duration until);
void dropShareLease(LimitShares &shares);

// How many shares each of so many routers may claim. `least`: with fewer a router could do nothing; where they don't
// go round, some routers hold none.
int fairShareCount(std::size_t routers, int least);

// Whether it holds so few that a call of the store is worth it. Small differences stay, so that the death of one
// router moves no shares of the others.
bool needsShares(const LimitShares &shares, int fair);

// Shares to claim: those that an earlier process of this router left, then free ones from number `first` on.
std::vector<ShareClaim> planClaims(const LimitShares &shares,
                                   const LimitShareOptions &options,
                                   const std::map<int, StoredShare> &stored,
                                   const std::string &self,
                                   int fair,
                                   int first);

void addShares(LimitShares &shares,
               const std::vector<ShareClaim> &claims,
               std::uint64_t revision,
               TimePoint usableFrom);

// Takes out of use what is far more than the router's own part, and returns it for removal from the store.
std::vector<ShareClaim> releaseSurplus(LimitShares &shares, const LimitShareOptions &options, int fair);

// The shares that may be used now. `uptime`: of the host.
ShareSet usableShares(const LimitShares &shares, TimePoint now, Duration uptime);

// The part of a limit, from 0 to 1, that these shares are.
double fractionOf(const ShareSet &shares);

} // namespace Godwit
