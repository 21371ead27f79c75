#include "godwit/prepaid/home_settling.h"

#include <algorithm>
#include <set>

namespace Godwit
{

SettlingView settlingView(double ownCapacity, const std::vector<SettlingPeer> &peers, double sameClassRatio)
{
    double largest = ownCapacity;
    double smallest = ownCapacity;
    for (const SettlingPeer &peer : peers) {
        if (peer.listed) {
            largest = std::max(largest, peer.capacity);
            smallest = std::min(smallest, peer.capacity);
        }
    }
    const double minCapacity = largest * sameClassRatio;
    std::set<std::string> listed;
    std::set<std::string> candidates;
    std::set<std::string> heard;
    std::set<std::string> readyCandidates;
    for (const SettlingPeer &peer : peers) {
        if (peer.listed && peer.dialled) {
            listed.insert(peer.address);
            if (peer.capacity >= minCapacity) {
                candidates.insert(peer.address);
            }
        }
        if (peer.heard) {
            heard.insert(peer.address);
        }
        if (peer.heard && peer.ready && peer.capacity >= minCapacity) {
            readyCandidates.insert(peer.address);
        }
    }
    SettlingView view;
    view.allCouldBeHomes = smallest >= minCapacity;
    view.listed = static_cast<int>(listed.size());
    view.candidates = static_cast<int>(candidates.size());
    view.heard = static_cast<int>(view.allCouldBeHomes ? heard.size() : readyCandidates.size());
    return view;
}

bool isSettled(const SettlingView &view, Duration sinceReady, const HomeSettlingOptions &options)
{
    // Without another candidate nothing has been heard yet: hosts that start together may not all be listed.
    const bool onlyFew = !view.allCouldBeHomes && view.candidates > 0;
    const Duration minTime = onlyFew ? options.settleTimeOfFew : options.settleTime;
    const Duration maxTime = options.settleTime + options.settleTimePerRouter * view.listed;
    const bool heardEnough = view.heard >= options.minHeardFraction * view.candidates;
    return sinceReady >= maxTime || (sinceReady >= minTime && heardEnough);
}

} // namespace Godwit
