#include "godwit/prepaid/testing_simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Godwit;
using Testing::PrepaidSimulation;
using Testing::WriteOutcome;

// Whatever routers or messages fail, in any order, no customer uses more than was prepaid. Each step is one event at
// one router or at the store; the oracle counts only what requests have used.

namespace
{

constexpr std::size_t Routers = 3;
constexpr Tokens Total = 60'000;
const CustomerId Small{"small"};
const CustomerId Large{"large"};

enum class Action {
    Request,
    Drain, // Small requests until one is refused: overspends show only at the end of a budget.
    Finish,
    Sync,
    MoveTokens,
    Wait,
    Kill,
    Start,
    ApplyLateWrites,
    ReturnGrants,
    SwitchHome, // Changes whether the router is the customer's home.
    RequestTokens, // Another router requests the tokens that a call needs; the request is queued if necessary.
    ServeTransferRequests,
};

struct Step
{
    Action action = Action::Wait;
    std::size_t router = 0;
    std::size_t other = 0;
    Tokens amount = 0;
    int choice = 0;
};

void showValue(const Step &step, std::ostream &out)
{
    out << "Step{" << static_cast<int>(step.action) << ", " << step.router << ", " << step.other << ", " << step.amount
        << ", " << step.choice << '}';
}

rc::Gen<Step> anyStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::action,
                                             rc::gen::weightedElement<Action>({{8, Action::Request},
                                                                               {8, Action::Drain},
                                                                               {6, Action::Finish},
                                                                               {8, Action::Sync},
                                                                               {4, Action::MoveTokens},
                                                                               {6, Action::Wait},
                                                                               {2, Action::Kill},
                                                                               {4, Action::Start},
                                                                               {1, Action::ApplyLateWrites},
                                                                               {1, Action::ReturnGrants},
                                                                               {2, Action::SwitchHome},
                                                                               {4, Action::RequestTokens},
                                                                               {4, Action::ServeTransferRequests}})),
                                rc::gen::set(&Step::router, rc::gen::inRange<std::size_t>(0, Routers)),
                                rc::gen::set(&Step::other, rc::gen::inRange<std::size_t>(0, Routers)),
                                rc::gen::set(&Step::amount, rc::gen::inRange<Tokens>(1, 6000)),
                                rc::gen::set(&Step::choice, rc::gen::inRange(0, 8)));
}

WriteOutcome outcomeOf(int choice)
{
    switch (choice) {
    case 0:
        return WriteOutcome::Refused;
    case 1:
        return WriteOutcome::AnswerLost;
    case 2:
        return WriteOutcome::Late;
    default:
        return WriteOutcome::Done;
    }
}

void apply(PrepaidSimulation &sim, const Step &step)
{
    const CustomerId &customer = step.choice % 2 == 0 ? Small : Large;
    switch (step.action) {
    case Action::Request:
        sim.request(step.router, customer, step.amount);
        break;
    case Action::Drain:
        while (sim.request(step.router, customer, 500)) {
            sim.finish(step.router, 500);
        }
        break;
    case Action::Finish:
        sim.finish(step.router, step.amount);
        break;
    case Action::Sync:
        sim.sync(step.router, outcomeOf(step.choice));
        break;
    case Action::MoveTokens:
        sim.moveTokens(
            step.router, step.other, customer, step.amount, step.choice == 0, step.choice % 3 == 0 ? step.amount : 0);
        break;
    case Action::Wait:
        sim.advance(std::chrono::milliseconds(step.amount / (step.choice + 1)));
        break;
    case Action::Kill:
        sim.kill(step.router);
        break;
    case Action::Start:
        sim.start(step.router);
        break;
    case Action::ApplyLateWrites:
        sim.applyLateWrites();
        break;
    case Action::SwitchHome:
        if (sim.isAlive(step.router)) {
            sim.share(step.router).accounts[customer].isHome = step.choice % 3 == 0;
        }
        break;
    case Action::RequestTokens:
        sim.requestTokens(step.router, step.other, customer, step.amount, step.choice == 0);
        break;
    case Action::ServeTransferRequests:
        sim.serveTransferRequests(step.router, step.choice == 0);
        break;
    case Action::ReturnGrants:
        if (sim.returnGrants(step.router, outcomeOf(step.choice))) {
            sim.kill(step.router);
        }
        break;
    }
}

} // namespace

TEST_CASE("no order of crashes, losses and transfers spends more than was prepaid")
{
    CHECK(rc::check([] {
        PrepaidSimulation sim(Routers, {{Small, Total}, {Large, 5 * Total}});
        sim.setLedgerBroadcast(*rc::gen::arbitrary<bool>());
        const auto steps = *rc::gen::container<std::vector<Step>>(300, anyStep());
        for (const Step &step : steps) {
            apply(sim, step);
            RC_ASSERT(sim.spent(Small) <= Total);
            RC_ASSERT(sim.spent(Large) <= 5 * Total);
        }
    }));
}
