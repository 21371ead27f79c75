// Compares ways to place requests on model engines, all under the same load in one run: late short and long requests,
// and shared parts that are read again.

#include "godwit/gateway/testing_engines.h"

#include <cstdio>

using namespace Godwit::Testing;

namespace
{

struct Named
{
    Placement placement;
    const char *name;
};

constexpr Named Placements[] = {{Placement::ByReading, "by reading time"},
                                {Placement::SharedPartBound, "shared part, bound by requests"},
                                {Placement::LeastInFlight, "least in flight"},
                                {Placement::TwoChoices, "two choices"},
                                {Placement::RoundRobin, "round robin"}};

void compare(const char *title, const PlacementLoad &load)
{
    std::printf("%s\n", title);
    for (const Named &entry : Placements) {
        const PlacementResult result = playPlacement(load, entry.placement);
        std::printf("  %-32s late short %5.2f%%  late long %5.2f%%  read again %8lld tokens\n",
                    entry.name,
                    100.0 * result.shortLate / result.shorts,
                    100.0 * result.longLate / (result.requests - result.shorts),
                    static_cast<long long>(result.reread));
    }
}

} // namespace

int main()
{
    PlacementLoad load;
    compare("7 routers, 12 engines", load);
    load.longPerSecond *= 2.5;
    load.shortPerSecond *= 2.5;
    compare("the same, 2.5 times the load", load);
    load = PlacementLoad{};
    load.slowEngines = 0.25;
    compare("the same, a quarter of the engines four times as slow", load);
    return 0;
}
