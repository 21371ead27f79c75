#include "godwit/prepaid/testing_world.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Godwit;
using Testing::World;
using Testing::WriteFate;

// What the customers see: whatever dies, freezes or gets lost in whatever order, nobody uses more than was prepaid.
// Each step is one thing that happens to one router or to the store; the oracle counts only what requests have used.

namespace
{

constexpr std::size_t Routers = 3;
constexpr Tokens Total = 60'000;
const CustomerId Small{"small"};
const CustomerId Large{"large"};

enum class What {
    Request,
    Drain, // Small requests until one is refused: overspends show only where budgets end.
    Finish,
    Sync,
    Trade,
    Wait,
    Kill,
    Start,
    Late,
    GiveBack,
    SwitchHolding, // Whether the router is home to the customer.
    Ask, // The other router asks this one for what a request needs, and waits if it must.
    ServeAsks,
};

struct Step
{
    What what = What::Wait;
    std::size_t router = 0;
    std::size_t other = 0;
    Tokens amount = 0;
    int choice = 0;
};

void showValue(const Step &step, std::ostream &out)
{
    out << "Step{" << static_cast<int>(step.what) << ", " << step.router << ", " << step.other << ", " << step.amount
        << ", " << step.choice << '}';
}

rc::Gen<Step> anyStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::what,
                                             rc::gen::weightedElement<What>({{8, What::Request},
                                                                             {8, What::Drain},
                                                                             {6, What::Finish},
                                                                             {8, What::Sync},
                                                                             {4, What::Trade},
                                                                             {6, What::Wait},
                                                                             {2, What::Kill},
                                                                             {4, What::Start},
                                                                             {1, What::Late},
                                                                             {1, What::GiveBack},
                                                                             {2, What::SwitchHolding},
                                                                             {4, What::Ask},
                                                                             {4, What::ServeAsks}})),
                                rc::gen::set(&Step::router, rc::gen::inRange<std::size_t>(0, Routers)),
                                rc::gen::set(&Step::other, rc::gen::inRange<std::size_t>(0, Routers)),
                                rc::gen::set(&Step::amount, rc::gen::inRange<Tokens>(1, 6000)),
                                rc::gen::set(&Step::choice, rc::gen::inRange(0, 8)));
}

WriteFate fateOf(int choice)
{
    switch (choice) {
    case 0:
        return WriteFate::Refused;
    case 1:
        return WriteFate::AnswerLost;
    case 2:
        return WriteFate::Late;
    default:
        return WriteFate::Done;
    }
}

void play(World &world, const Step &step)
{
    const CustomerId &customer = step.choice % 2 == 0 ? Small : Large;
    switch (step.what) {
    case What::Request:
        world.request(step.router, customer, step.amount);
        break;
    case What::Drain:
        while (world.request(step.router, customer, 500)) {
            world.finish(step.router, 500);
        }
        break;
    case What::Finish:
        world.finish(step.router, step.amount);
        break;
    case What::Sync:
        world.sync(step.router, fateOf(step.choice));
        break;
    case What::Trade:
        world.trade(
            step.router, step.other, customer, step.amount, step.choice == 0, step.choice % 3 == 0 ? step.amount : 0);
        break;
    case What::Wait:
        world.advance(std::chrono::milliseconds(step.amount / (step.choice + 1)));
        break;
    case What::Kill:
        world.kill(step.router);
        break;
    case What::Start:
        world.start(step.router);
        break;
    case What::Late:
        world.doLateWrites();
        break;
    case What::SwitchHolding:
        if (world.isAlive(step.router)) {
            world.share(step.router).accounts[customer].holdsAhead = step.choice % 3 == 0;
        }
        break;
    case What::Ask:
        world.ask(step.router, step.other, customer, step.amount, step.choice == 0);
        break;
    case What::ServeAsks:
        world.serveAsks(step.router, step.choice == 0);
        break;
    case What::GiveBack:
        if (world.giveBack(step.router, fateOf(step.choice))) {
            world.kill(step.router);
        }
        break;
    }
}

} // namespace

TEST_CASE("no order of deaths, losses and trades spends more than was prepaid")
{
    CHECK(rc::check([] {
        World world(Routers, {{Small, Total}, {Large, 5 * Total}});
        world.setLedgerIsTold(*rc::gen::arbitrary<bool>());
        const auto steps = *rc::gen::container<std::vector<Step>>(300, anyStep());
        for (const Step &step : steps) {
            play(world, step);
            RC_ASSERT(world.spent(Small) <= Total);
            RC_ASSERT(world.spent(Large) <= 5 * Total);
        }
    }));
}
