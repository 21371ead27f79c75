// Routers are stopped and started in turn while clients read their answers slowly: does every request that was passed
// on get its complete answer?
//
// One router gets SIGTERM. Requests are sent to it before, and up to 2 s after; the replica ends each answer within a
// second. The clients read steadily and slowly, so that each has its whole answer within 4 s of its request, 6 s after
// the signal at the latest.

#include "review/standins/stage.h"

#include <signal.h>

#include <iostream>

namespace
{

using namespace Review;

constexpr int Events = 130;
constexpr std::size_t EventBytes = 380;
constexpr auto EventInterval = milliseconds(5);
// Clients read this much at a time.
constexpr std::size_t ReadBytes = 1'600;
constexpr auto ReadInterval = milliseconds(80); // 20,000 bytes a second.
constexpr int ReceiveBuffer = 2'304;
constexpr int Clients = 20;
constexpr auto BetweenRequests = milliseconds(150);
constexpr auto StopAfter = milliseconds(1000); // After the first request.
constexpr auto ClientDeadline = std::chrono::seconds(12);

struct Counts
{
    std::atomic<int> ran{0};
    std::atomic<int> complete{0};
    std::atomic<int> refused{0};
    std::atomic<int> truncated{0};
    std::atomic<int> other{0};
};

std::string eventText(int number)
{
    std::string text = "id: " + std::to_string(number) + "\ndata: ";
    text.resize(EventBytes - 2, 'x');
    return text + "\n\n";
}

bool sendStream(const std::string &attempt, Connection &connection)
{
    bool sent = connection.send(formatResponse(200,
                                               {{"X-Attempt-Id", attempt},
                                                {"X-Response-Seal", "seal." + attempt},
                                                {"Content-Type", "text/event-stream"},
                                                {"Transfer-Encoding", "chunked"}},
                                               ""));
    for (int event = 1; sent && event <= Events; ++event) {
        sent = connection.send(chunkOf(eventText(event)));
        std::this_thread::sleep_for(EventInterval);
    }
    return sent && connection.send(lastChunk());
}

void runClient(int number, const std::string &router, Counts &counts, Record &record)
{
    const std::string attempt = "c" + std::to_string(number);
    const auto deadline = Clock::now() + ClientDeadline;
    const auto connection = Connection::open(router, ReceiveBuffer);
    if (!connection
        || !connection->send(formatRequest("POST",
                                           "/chat/1",
                                           {{"X-Attempt-Id", attempt},
                                            {"X-Api-Key", Key},
                                            {"X-Model", "m"},
                                            {"X-Token-Counts", "600,900"},
                                            {"X-Prompt-Prefix", "5c1e07a2:400,91bd3f06:200"},
                                            {"X-Time-Remaining-Ms", "12000"}},
                                           "the prompt"))) {
        ++counts.other;
        record.write("client " + attempt + ": no connection");
        return;
    }
    record.write("client " + attempt + " sends");
    std::string raw;
    int result = 1;
    const auto hasEnd = [&raw] {
        const std::string end = "\r\n" + lastChunk();
        const auto length = raw.find("Content-Length: ");
        const auto headEnd = raw.find("\r\n\r\n");
        return (raw.size() > end.size() && raw.compare(raw.size() - end.size(), end.size(), end) == 0)
            || (length < headEnd && headEnd != std::string::npos
                && raw.size() >= headEnd + 4 + std::stoul(raw.substr(length + 16)));
    };
    while (result > 0 && !hasEnd()) {
        result = connection->receive(raw, ReadBytes, deadline);
        std::this_thread::sleep_for(ReadInterval);
    }
    const bool succeeded = raw.compare(0, 12, "HTTP/1.1 200") == 0;
    ++(hasEnd() ? (succeeded ? counts.complete : counts.refused) : (succeeded ? counts.truncated : counts.other));
    int events = 0;
    for (auto at = raw.find("id: "); at != std::string::npos; at = raw.find("id: ", at + 1)) {
        ++events;
    }
    record.write("client " + attempt + " gets '" + raw.substr(0, raw.find("\r\n")) + "', " + std::to_string(events)
                 + " of " + std::to_string(Events) + " events"
                 + (hasEnd()          ? ", complete"
                        : result == 0 ? "; the router closed the channel"
                        : result < -1 ? "; the deadline passed"
                                      : "; the channel was reset"));
}

int run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    Counts counts;
    Stage stage;
    const auto handler = [&counts, &record](const Request &request, Connection &connection) {
        const std::string attempt = request.header("x-attempt-id");
        ++counts.ran;
        record.write("replica runs " + attempt);
        const bool sent = sendStream(attempt, connection);
        record.write("replica has sent the whole answer to " + attempt);
        return sent;
    };
    Replica replica("i-engine-1", handler);
    stage.registerReplica(replica, "matchmind", 96);
    stage.store().put("op/config", makeConfig(1'000'000).dump());
    Router &router = stage.startRouter("front-a");
    stage.startRouter("front-b");
    if (!stage.waitUntilReady()) {
        std::cerr << "a router is not ready\n";
        return CouldNotRun;
    }
    const auto begin = Clock::now();
    std::vector<std::thread> clients;
    std::thread stopper([&] {
        std::this_thread::sleep_until(begin + StopAfter);
        if (isTroubled()) {
            record.write("SIGTERM to front-a");
            router.signal(SIGTERM);
            router.waitForExit(std::chrono::seconds(9));
            record.write("front-a has ended");
        }
    });
    for (int number = 0; number < Clients; ++number) {
        std::this_thread::sleep_until(begin + number * BetweenRequests);
        clients.emplace_back(runClient, number, router.address(), std::ref(counts), std::ref(record));
    }
    for (std::thread &client : clients) {
        client.join();
    }
    stopper.join();
    const std::string summary = "run " + std::to_string(counts.ran) + ", complete answers "
        + std::to_string(counts.complete) + ", refused " + std::to_string(counts.refused) + ", cut in the answer "
        + std::to_string(counts.truncated) + ", without an answer " + std::to_string(counts.other);
    record.write(summary);
    std::cout << summary << '\n';
    if (counts.ran == 0) {
        return CouldNotRun;
    }
    return counts.truncated > 0 ? Broken : Held;
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
