// All routers are killed and start again while the platform's store is down: what do they answer to requests that every
// configuration allows?
//
// The configuration allows bodies of 4 MB. Clients that know the routers' addresses go on sending requests, with bodies
// of 1.5 MB. A router that knows no configuration yet has to answer 503, after which clients try again.

#include "review/standins/stage.h"

#include <signal.h>

#include <iostream>

namespace
{

using namespace Review;

constexpr std::size_t BodyBytes = 1'500'000;
constexpr int Clients = 4;
constexpr auto BetweenRequests = milliseconds(250);
constexpr auto StoreDown = milliseconds(5700);
constexpr auto RestartDelay = milliseconds(500);
constexpr auto Length = std::chrono::seconds(12);
// DENIED: more than ten such answers from machines out of touch break the rule.
constexpr int Tolerated = 10;

struct Counts
{
    std::atomic<int> sent{0};
    std::atomic<int> ran{0};
    std::atomic<int> succeeded{0};
    std::atomic<int> unavailable{0}; // 429 or 503.
    std::atomic<int> denied{0}; // Any other status from 300 to 499.
    std::atomic<int> other{0};
};

void runClient(
    int client, const std::vector<std::string> &routers, Counts &counts, Record &record, Clock::time_point end)
{
    for (int number = 0; Clock::now() < end; ++number) {
        const std::string attempt = "c" + std::to_string(client) + "-" + std::to_string(number);
        const std::string &router = routers[static_cast<std::size_t>(client + number) % routers.size()];
        ++counts.sent;
        const Response response = exchange(router,
                                           formatRequest("POST",
                                                         "/book/1",
                                                         {{"X-Attempt-Id", attempt},
                                                          {"X-Api-Key", Key},
                                                          {"X-Time-Remaining-Ms", "4000"},
                                                          {"Connection", "close"}},
                                                         std::string(BodyBytes, 'x')),
                                           Clock::now() + std::chrono::seconds(4));
        const bool unavailable = response.status == 429 || response.status == 503;
        const bool denied = response.status >= 300 && response.status < 500 && !unavailable;
        ++(response.status == 200 ? counts.succeeded
               : unavailable      ? counts.unavailable
               : denied           ? counts.denied
                                  : counts.other);
        record.write("client " + attempt + " at " + router + ": "
                     + (response.status == 0 ? "no answer" : std::to_string(response.status)));
        std::this_thread::sleep_for(BetweenRequests);
    }
}

int run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    Counts counts;
    Stage stage;
    Replica replica("i-desk-1", [&counts, &record](const Request &request, Connection &connection) {
        const std::string attempt = request.header("x-attempt-id");
        ++counts.ran;
        record.write("replica runs " + attempt);
        return connection.send(
            formatResponse(200, {{"X-Attempt-Id", attempt}, {"X-Response-Seal", "seal." + attempt}}, "done"));
    });
    stage.registerReplica(replica, "deskbook", 6);
    stage.store().put("op/config", makeConfig(1'000'000).dump());
    std::vector<Router *> routers{&stage.startRouter("front-a"), &stage.startRouter("front-b")};
    if (!stage.waitUntilReady()) {
        std::cerr << "a router is not ready\n";
        return CouldNotRun;
    }
    std::vector<std::string> addresses;
    for (const Router *router : routers) {
        addresses.push_back(router->address());
    }
    const auto begin = Clock::now();
    std::vector<std::thread> clients;
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back(runClient, client, addresses, std::ref(counts), std::ref(record), begin + Length);
    }
    std::this_thread::sleep_until(begin + std::chrono::seconds(2));
    if (isTroubled()) {
        record.write("the store is down; SIGKILL to both routers");
        stage.store().setDown(true);
        for (Router *router : routers) {
            router->signal(SIGKILL);
            router->waitForExit(std::chrono::seconds(1));
        }
        std::this_thread::sleep_for(RestartDelay);
        for (Router *router : routers) {
            router->start();
        }
        record.write("both routers have been started again");
        std::this_thread::sleep_until(begin + std::chrono::seconds(2) + StoreDown);
        stage.store().setDown(false);
        record.write("the store is back");
    }
    for (std::thread &client : clients) {
        client.join();
    }
    const std::string summary = "sent " + std::to_string(counts.sent) + ", run " + std::to_string(counts.ran)
        + ", answered with success " + std::to_string(counts.succeeded) + ", with 429 or 503 "
        + std::to_string(counts.unavailable) + ", denied by another 3xx or 4xx " + std::to_string(counts.denied)
        + ", without an answer or with 5xx " + std::to_string(counts.other);
    record.write(summary);
    std::cout << summary << '\n';
    if (counts.succeeded == 0) {
        return CouldNotRun;
    }
    return counts.denied > Tolerated ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc > 1 ? argv[1] : ".");
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return CouldNotRun;
    }
}
