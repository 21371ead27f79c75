#include "godwit/gateway/limit_shares.h"

#include <algorithm>

namespace Godwit
{

void renewShareLease(LimitShares &shares, std::uint64_t lease, Duration until)
{
    if (lease != shares.lease) {
        shares.held.clear();
    }
    shares.lease = lease;
    shares.leaseUntil = until;
}

void dropShareLease(LimitShares &shares)
{
    shares = {};
}

int fairShareCount(std::size_t routers, int least)
{
    return std::max(least, LimitShareCount / static_cast<int>(std::max<std::size_t>(1, routers)));
}

bool needsShares(const LimitShares &shares, int fair)
{
    return static_cast<int>(shares.held.size()) * 4 < fair * 3;
}

std::vector<ShareClaim> planClaims(const LimitShares &shares,
                                   const LimitShareOptions &options,
                                   const std::map<int, StoredShare> &stored,
                                   const std::string &self,
                                   int fair,
                                   int first)
{
    std::vector<ShareClaim> own;
    std::vector<ShareClaim> open;
    for (int i = 0; i < LimitShareCount; ++i) {
        const int number = (first + i) % LimitShareCount;
        const auto found = stored.find(number);
        if (shares.held.count(number) > 0) {
            continue;
        }
        if (found == stored.end()) {
            open.push_back({number, 0});
        } else if (found->second.holder == self) {
            own.push_back({number, found->second.revision});
        }
    }
    own.insert(own.end(), open.begin(), open.end());
    const int maxNew = std::min(options.maxClaims, fair - static_cast<int>(shares.held.size()));
    own.resize(std::min(own.size(), static_cast<std::size_t>(std::max(0, maxNew))));
    return own;
}

void addShares(LimitShares &shares, const std::vector<ShareClaim> &claims, std::uint64_t revision, TimePoint usableFrom)
{
    for (const ShareClaim &claim : claims) {
        shares.held[claim.number] = {revision, usableFrom};
    }
}

std::vector<ShareClaim> releaseSurplus(LimitShares &shares, const LimitShareOptions &options, int fair)
{
    std::vector<ShareClaim> released;
    if (static_cast<int>(shares.held.size()) < 2 * fair) {
        return released;
    }
    while (static_cast<int>(shares.held.size()) > fair && static_cast<int>(released.size()) < options.maxClaims) {
        const auto last = std::prev(shares.held.end());
        released.push_back({last->first, last->second.revision});
        shares.held.erase(last);
    }
    return released;
}

ShareSet usableShares(const LimitShares &shares, TimePoint now, Duration uptime)
{
    ShareSet usable;
    if (shares.lease == 0 || uptime >= shares.leaseUntil) {
        return usable;
    }
    for (const auto &[number, share] : shares.held) {
        usable.set(static_cast<std::size_t>(number), now >= share.usableFrom);
    }
    return usable;
}

double fractionOf(const ShareSet &shares)
{
    return static_cast<double>(shares.count()) / LimitShareCount;
}

} // namespace Godwit
