#pragma once

// When a router that has become ready starts to act as a home.
//
// When a whole fleet starts at once, each router would act as the home of all customers and as a reader until it has
// heard from the others. So it waits until it has heard from most listed routers that could be homes, or a maximum time
// has passed. Small hosts are never homes while larger ones are up, and send heartbeats less often, so they are not
// waited for. Two routers that both act as a home cost conflicting writes but no tokens.
//
// Pure. Example:
//   const SettlingView view = settlingView(ownCapacity, peers, sameClassRatio);
//   if (isSettled(view, now - readyAt, options)) { ... act as a home ... }

#include "godwit/base/time.h"

#include <string>
#include <vector>

namespace Godwit
{

struct HomeSettlingOptions
{
    // Minimum wait if all listed routers could be homes: small hosts among them need time to open each link.
    Duration settleTime = std::chrono::milliseconds(350);
    // Minimum wait if only some could, and others besides this one: few links have to be open for that.
    Duration settleTimeOfFew = std::chrono::milliseconds(100);
    // The maximum wait is `settleTime` and this for each listed router.
    Duration settleTimePerRouter = std::chrono::milliseconds(10);
    double minHeardFraction = 0.9;
};

struct SettlingPeer
{
    std::string address; // One router may appear under several incarnations.
    double capacity = 0; // Requests per second that its host can take.
    bool listed = false;
    bool dialled = false; // Whether this router opens a link to it.
    bool heard = false; // Whether a heartbeat has arrived.
    bool ready = false; // Whether its last heartbeat reported that it takes requests.
};

// What a router knows of the others. Counts are of routers that it opens links to.
struct SettlingView
{
    bool allCouldBeHomes = false; // All listed routers, including this one.
    int listed = 0;
    int candidates = 0; // Of `listed`: those that could be homes.
    // All heard routers if `allCouldBeHomes`, else the candidates that are ready: the first one that settles would be
    // home of all customers while the others start, and draw tokens for all.
    int heard = 0;
};

// A router could be a home if its capacity is at least `sameClassRatio` of the largest one listed.
SettlingView settlingView(double ownCapacity, const std::vector<SettlingPeer> &peers, double sameClassRatio);

// Whether a router that became ready `sinceReady` ago may act as a home.
bool isSettled(const SettlingView &view, Duration sinceReady, const HomeSettlingOptions &options);

} // namespace Godwit
