#pragma once

// Divides the limits of the whole fleet among the routers, where a limit can't be split by each router's own traffic.
//
// All such limits are divided into the same fixed number of shares. A share is a key in the platform's store that is
// bound to the lease of the router that holds it, so no two routers hold the same share, even if they disagree about
// each other's state. A router starts to use a share only one rate-limit window after claiming it, when the usage of
// the former holder no longer counts. It stops using its shares when its lease may have expired by its own clock.
//
// Pure functions: time is passed in.
//
// Example:
//   const auto claims = planClaims(shares, options, stored, self, fairShareCount(routers, least), first);
//   if (written) { addShares(shares, claims, revision, now + window + options.maxSendDelay); }
//   const double fraction = fractionOf(usableShares(shares, now, uptime));

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
    // Claims per transaction. Each takes a condition and a change, and a transaction may have 32 of these.
    int maxClaims = 16;
    // Longest time from drawing a retry from the budget until it reaches its endpoint: connecting takes up to 0.4 s,
    // and the process may be delayed.
    Duration maxSendDelay = std::chrono::seconds(2);
};

// The routers that are advertised to callers, including this one, by address. They receive nearly all requests, so only
// they hold shares.
struct AdvertisedRouters
{
    std::string self;
    std::vector<std::string> routers;
};

struct HeldShare
{
    std::uint64_t revision = 0; // Revision of its key in the store.
    TimePoint usableFrom;
};

struct LimitShares
{
    std::uint64_t lease = 0; // 0: no lease, and no shares.
    Duration leaseUntil{}; // In host uptime, which continues while the host is suspended.
    std::map<int, HeldShare> held; // By share number.
};

// A share as it exists in the store.
struct StoredShare
{
    std::string holder; // Address for callers of the router that holds it.
    std::uint64_t revision = 0;
};

struct ShareClaim
{
    int number = 0;
    std::uint64_t revision = 0; // Expected revision of its key; 0: the key must not exist.
};

// Records that the lease is valid until `until` at least. Drops the shares held under a different lease.
void renewShareLease(LimitShares &shares, std::uint64_t lease, Duration until);

// Drops the lease and all shares.
void dropShareLease(LimitShares &shares);

// Returns how many shares each of `routers` may claim. `least` is the number below which shares are useless to a
// router; if there are not enough for all, some routers hold none.
int fairShareCount(std::size_t routers, int least);

// Whether the router holds so few shares that claiming more is worth a request to the store. Small differences are
// tolerated, so that the crash of one router does not move the shares of all others.
bool needsShares(const LimitShares &shares, int fair);

// Returns the shares to claim: first those left by a former process of this router, then free ones, starting at number
// `first`.
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

// Stops using surplus shares if the router holds twice its fair number or more, and returns them for removal from the
// store.
std::vector<ShareClaim> releaseSurplus(LimitShares &shares, const LimitShareOptions &options, int fair);

// Returns the shares that may be used now. `uptime` is that of the host.
ShareSet usableShares(const LimitShares &shares, TimePoint now, Duration uptime);

// Returns the fraction of a limit, from 0 to 1, that these shares represent.
double fractionOf(const ShareSet &shares);

} // namespace Godwit
