#include "godwit/prepaid/testing_desk.h"

namespace Godwit::Testing
{

World openedWorld(std::size_t routers, Tokens total)
{
    World world(routers, {{Desk, total}});
    for (std::size_t router = 0; router < routers; ++router) {
        world.sync(router, WriteFate::Done);
    }
    return world;
}

World markedWorld()
{
    World world = openedWorld(1);
    serve(world, 0, 40, 1000);
    world.advance(Beat);
    world.sync(0, WriteFate::Done);
    return world;
}

int serve(World &world, std::size_t router, int requests, Tokens size)
{
    int served = 0;
    for (int i = 0; i < requests; ++i) {
        if (world.request(router, Desk, size)) {
            world.finish(router, size);
            ++served;
        } else {
            world.sync(router, WriteFate::Done);
            served += world.request(router, Desk, size) ? 1 : 0;
            world.finish(router, size);
        }
        world.advance(std::chrono::milliseconds(50));
    }
    return served;
}

void spendAll(World &world, std::size_t router, Tokens size)
{
    while (world.request(router, Desk, size)) {
        world.finish(router, size);
    }
}

ShareAccount &deskAt(World &world, std::size_t router)
{
    return world.share(router).accounts.at(Desk);
}

} // namespace Godwit::Testing
