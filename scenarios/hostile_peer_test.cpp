// What another router's link may bring: any bytes under any topic. A kernel that throws ends the whole process.

#include "godwit/kernel/kernel.h"

#include <catch2/catch.hpp>
#include <random>

using namespace Godwit;

namespace
{

Kernel someKernel(const Moment &moment)
{
    KernelOptions options;
    options.self = Incarnation{"a1.1"};
    options.host = HostId{"a1"};
    options.dataCentre = DataCentreId{"salt-lake"};
    Kernel kernel = makeKernel(options, moment);
    std::vector<KernelAction> actions;
    start(kernel, moment, actions);
    step(kernel,
         PeerLinked{Incarnation{"b1.1"}, HostId{"b1"}, DataCentreId{"howrah"}, "b1:caller", true},
         moment,
         actions);
    return kernel;
}

std::vector<std::string> hostileBytes()
{
    std::vector<std::string> all = {
        "",
        // An array of a size that no memory holds; the CBOR library throws at it although exceptions are off.
        std::string("\x9b\x8b\x8b\x8b\x8b\xb6\x8b\x8b\x8b\xb6", 10),
        std::string("\xbb\xff\xff\xff\xff\xff\xff\xff\xff", 9),
        std::string(5000, '\x9f'),
        std::string(5000, '\x81'),
        std::string(900'000, '\x81'),
        std::string(900'000, '\x9f'),
    };
    std::mt19937 random(11); // NOLINT: a fixed seed makes the run repeatable
    for (int i = 0; i < 2000; ++i) {
        std::string bytes(random() % 40, '\0');
        for (char &byte : bytes) {
            byte = static_cast<char>(random());
        }
        all.push_back(bytes);
    }
    return all;
}

} // namespace

// A linked router sends bytes that are no message. The sender may be faulty or hostile; the callers of this router
// must notice nothing, so no decoder may throw.
TEST_CASE("no bytes of a linked router make the kernel throw")
{
    const std::string topic = GENERATE("budget", "heartbeat", "config", "suspect", "unheard-of");
    const Moment moment{TimePoint(std::chrono::seconds(1)), WallTime(std::chrono::hours(498'960))};
    Kernel kernel = someKernel(moment);
    int thrown = 0;
    for (const std::string &bytes : hostileBytes()) {
        std::vector<KernelAction> actions;
        try {
            step(kernel, PeerMessage{Incarnation{"b1.1"}, topic, bytes}, moment, actions);
        } catch (const std::exception &) {
            ++thrown;
        }
    }
    INFO(topic);
    CHECK(thrown == 0);
}
