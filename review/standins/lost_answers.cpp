// Answers of engines are lost: does the tenant get more than its prepaid tokens?
//
// Five engines and two routers. For 5.9 s, three of the engines run three in ten of their requests without sending a
// byte of the answer, and close the connection once the router has ended its side. Clients wait for the first event
// as long as the users' pages say, and then leave.

#include "review/standins/stage.h"

#include <iostream>

namespace
{

using namespace Review;

constexpr std::int64_t Prepaid = 300'000;
constexpr int PromptTokens = 900;
constexpr int MaxOutputTokens = 100;
constexpr int TokensPerEvent = 6;
constexpr int Events = 5;
constexpr int Engines = 5;
constexpr int TroubledEngines = 3; // 0.6 of them.
constexpr int Clients = 40;
constexpr auto Trouble = milliseconds(5900);
// Two seconds, four times the target latency or eight times the pause between events, whichever is longest.
constexpr auto ClientPatience = milliseconds(2400);
constexpr auto Length = std::chrono::seconds(14);

struct Counts
{
    std::atomic<int> sent{0};
    std::atomic<int> ran{0};
    std::atomic<int> lost{0};
    std::atomic<int> complete{0};
    std::atomic<int> refused{0};
    std::atomic<int> events{0}; // Delivered to clients.
    std::atomic<bool> troubled{false};
};

// Three in ten of the requests.
bool losesAnswer(int number)
{
    return number % 10 == 1 || number % 10 == 4 || number % 10 == 7;
}

bool sendStream(const Request &request, Connection &connection)
{
    const std::string attempt = request.header("x-attempt-id");
    bool sent = connection.send(formatResponse(200,
                                               {{"X-Attempt-Id", attempt},
                                                {"X-Response-Seal", "seal." + attempt},
                                                {"Content-Type", "text/event-stream"},
                                                {"Transfer-Encoding", "chunked"}},
                                               ""));
    for (int event = 1; sent && event <= Events; ++event) {
        sent = connection.send(chunkOf("id: " + std::to_string(event) + "\ndata: part\n\n"));
        std::this_thread::sleep_for(milliseconds(10));
    }
    return sent && connection.send(lastChunk());
}

int countEvents(const std::string &body)
{
    int count = 0;
    for (auto at = body.find("\n\n"); at != std::string::npos; at = body.find("\n\n", at + 2)) {
        ++count;
    }
    return count;
}

void runClient(
    int client, const std::vector<std::string> &routers, Counts &counts, Record &record, Clock::time_point end)
{
    for (int number = 0; Clock::now() < end; ++number) {
        const std::string attempt = "c" + std::to_string(client) + "-" + std::to_string(number);
        const std::string &router = routers[static_cast<std::size_t>(client + number) % routers.size()];
        ++counts.sent;
        const Response response = exchange(
            router,
            formatRequest("POST",
                          "/chat/1",
                          {{"X-Attempt-Id", attempt},
                           {"X-Api-Key", Key},
                           {"X-Model", "m"},
                           {"X-Token-Counts", std::to_string(PromptTokens) + "," + std::to_string(MaxOutputTokens)},
                           {"X-Prompt-Prefix", "5c1e07a2:600," + std::to_string(client) + "a:300"},
                           {"X-Time-Remaining-Ms", "12000"},
                           {"Connection", "close"}},
                          "the prompt"),
            Clock::now() + ClientPatience);
        counts.events += response.status == 200 ? countEvents(response.body) : 0;
        counts.complete += response.status == 200 && response.isComplete ? 1 : 0;
        record.write("client " + attempt + " at " + router + ": "
                     + (response.status == 0 ? "left without an answer" : std::to_string(response.status)));
        if (response.status == 402 || response.status == 429 || response.status == 503) {
            ++counts.refused;
            std::this_thread::sleep_for(milliseconds(300));
        }
    }
}

int run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    Counts counts;
    Stage stage;
    std::vector<std::unique_ptr<Replica>> engines;
    for (int engine = 0; engine < Engines; ++engine) {
        const auto arrivals = std::make_shared<std::atomic<int>>(0);
        const std::string id = "i-engine-" + std::to_string(engine);
        const auto handler = [&counts, &record, arrivals, engine, id](const Request &request, Connection &connection) {
            const std::string attempt = request.header("x-attempt-id");
            std::this_thread::sleep_for(milliseconds(20)); // The prompt is read.
            ++counts.ran;
            if (counts.troubled && engine < TroubledEngines && losesAnswer((*arrivals)++)) {
                ++counts.lost;
                record.write(id + " runs " + attempt + ", and its answer is lost");
                connection.waitForClose(Clock::now() + std::chrono::seconds(12));
                return false;
            }
            record.write(id + " runs " + attempt);
            return sendStream(request, connection);
        };
        engines.push_back(std::make_unique<Replica>(id, handler));
        stage.registerReplica(*engines.back(), "matchmind", 96);
    }
    stage.store().put("op/config", makeConfig(Prepaid).dump());
    std::vector<std::string> routers;
    for (const char *name : {"front-a", "front-b"}) {
        routers.push_back(stage.startRouter(name).address());
    }
    if (!stage.waitUntilReady()) {
        std::cerr << "a router is not ready\n";
        return CouldNotRun;
    }
    counts.troubled = isTroubled();
    const auto begin = Clock::now();
    std::vector<std::thread> clients;
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back(runClient, client, routers, std::ref(counts), std::ref(record), begin + Length);
    }
    std::this_thread::sleep_until(begin + Trouble);
    counts.troubled = false;
    for (std::thread &client : clients) {
        client.join();
    }
    const std::int64_t input = static_cast<std::int64_t>(counts.ran) * PromptTokens;
    const std::int64_t output = static_cast<std::int64_t>(counts.events) * TokensPerEvent;
    std::string summary = "sent " + std::to_string(counts.sent) + ", run " + std::to_string(counts.ran)
        + ", of these with a lost answer " + std::to_string(counts.lost) + ", complete answers "
        + std::to_string(counts.complete) + ", refused " + std::to_string(counts.refused) + "; input tokens read "
        + std::to_string(input) + ", output tokens delivered " + std::to_string(output) + ", together "
        + std::to_string(input + output) + ", prepaid " + std::to_string(Prepaid);
    record.write(summary);
    record.write("the router's ledger: " + stage.store().get("godwit/ledger"));
    std::cout << summary << '\n';
    if (counts.refused == 0 || counts.complete == 0) {
        std::cerr << "the budget was not used up, so that nothing was shown\n";
        return CouldNotRun;
    }
    return input + output > Prepaid ? Broken : Held;
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
