#include "godwit/prepaid/testing_single_customer.h"

namespace Godwit::Testing
{

PrepaidSimulation startedSimulation(std::size_t routers, Tokens total)
{
    PrepaidSimulation sim(routers, {{TestCustomer, total}});
    for (std::size_t router = 0; router < routers; ++router) {
        sim.sync(router, WriteOutcome::Done);
    }
    return sim;
}

PrepaidSimulation simulationWithMark()
{
    PrepaidSimulation sim = startedSimulation(1);
    serve(sim, 0, 40, 1000);
    sim.advance(WriteInterval);
    sim.sync(0, WriteOutcome::Done);
    return sim;
}

int serve(PrepaidSimulation &sim, std::size_t router, int requests, Tokens size)
{
    int served = 0;
    for (int i = 0; i < requests; ++i) {
        if (sim.request(router, TestCustomer, size)) {
            sim.finish(router, size);
            ++served;
        } else {
            sim.sync(router, WriteOutcome::Done);
            served += sim.request(router, TestCustomer, size) ? 1 : 0;
            sim.finish(router, size);
        }
        sim.advance(std::chrono::milliseconds(50));
    }
    return served;
}

void spendAll(PrepaidSimulation &sim, std::size_t router, Tokens size)
{
    while (sim.request(router, TestCustomer, size)) {
        sim.finish(router, size);
    }
}

ShareAccount &accountAt(PrepaidSimulation &sim, std::size_t router)
{
    return sim.share(router).accounts.at(TestCustomer);
}

} // namespace Godwit::Testing
