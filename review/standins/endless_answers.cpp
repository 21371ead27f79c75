// Some engines send bytes that are no answer, and send them on and on: do the routers bear it?
//
// 18 engines, a plain service and two routers of 260 MB. For 5 s, nine of the engines spoil one in twenty of their
// answers: the head has neither a receipt nor a length, and the body goes on until the router closes the connection.
// The platform is played by this program: it kills a process that exceeds its memory, and starts it again.

#include "review/standins/stage.h"

#include <signal.h>

#include <iostream>

namespace
{

using namespace Review;

constexpr int Engines = 18;
constexpr int TroubledEngines = 9; // Half of them.
constexpr int SpoiltEach = 20; // One in so many answers of a troubled engine.
constexpr auto Trouble = std::chrono::seconds(5);
constexpr auto Length = std::chrono::seconds(20);
constexpr int MemoryMb = 260;
constexpr auto RestartDelay = milliseconds(500);
// At each router; together about as many as the site's consumers send.
constexpr int StreamsPerSecond = 80;
constexpr int Bookers = 10;
constexpr auto BookingWork = milliseconds(60);
// LOST: more than this many requests that were passed on and whose channels were closed without an answer.
constexpr int Tolerated = 3;
// Some 5 MB a second for each of these answers; a machine's link carries 125.
constexpr std::size_t PieceBytes = 64 * 1024;
constexpr auto PieceInterval = milliseconds(12);

struct Counts
{
    std::atomic<bool> troubled{false};
    std::atomic<int> streams{0};
    std::atomic<int> completeStreams{0};
    std::atomic<int> spoilt{0};
    std::atomic<int> bookings{0};
    std::atomic<int> bookingsRun{0};
    std::atomic<int> booked{0};
    std::atomic<int> lost{0}; // Bookings that ran on a sound replica and got no answer.
    std::atomic<int> killed{0};
};

class Runs
{
public:
    void add(const std::string &attempt)
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[attempt];
    }
    bool has(const std::string &attempt)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.count(attempt) > 0;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
};

bool sendStream(const std::string &attempt, Connection &connection)
{
    bool sent = connection.send(formatResponse(200,
                                               {{"X-Attempt-Id", attempt},
                                                {"X-Response-Seal", "seal." + attempt},
                                                {"Content-Type", "text/event-stream"},
                                                {"Transfer-Encoding", "chunked"}},
                                               ""));
    for (int event = 1; sent && event <= 5; ++event) {
        sent = connection.send(chunkOf("id: " + std::to_string(event) + "\ndata: part\n\n"));
        std::this_thread::sleep_for(milliseconds(10));
    }
    return sent && connection.send(lastChunk());
}

bool sendWithoutEnd(Connection &connection)
{
    bool sent = connection.send("HTTP/1.1 200 OK\r\n\r\n");
    const std::string piece(PieceBytes, 'x');
    while (sent) {
        sent = connection.send(piece);
        std::this_thread::sleep_for(PieceInterval);
    }
    return false;
}

// Prompts share their first part with some others.
std::string promptPrefix(const std::string &attempt)
{
    constexpr std::size_t sharedParts = 40;
    return std::to_string(1000 + std::hash<std::string>()(attempt) % sharedParts) + ":400," + attempt.substr(1)
        + ":200";
}

void runStream(std::string attempt, const std::string &router, Counts &counts)
{
    const Response response = exchange(router,
                                       formatRequest("POST",
                                                     "/chat/1",
                                                     {{"X-Attempt-Id", attempt},
                                                      {"X-Api-Key", Key},
                                                      {"X-Model", "m"},
                                                      {"X-Token-Counts", "600,100"},
                                                      {"X-Prompt-Prefix", promptPrefix(attempt)},
                                                      {"X-Time-Remaining-Ms", "12000"},
                                                      {"Connection", "close"}},
                                                     "the prompt"),
                                       Clock::now() + std::chrono::seconds(12));
    counts.completeStreams += response.status == 200 && response.isComplete ? 1 : 0;
}

// Sends bookings on one channel, and opens a new one when that has ended.
void runBooker(const std::string &name,
               const std::string &router,
               Counts &counts,
               Runs &runs,
               Record &record,
               Clock::time_point end)
{
    std::unique_ptr<Connection> channel;
    for (int number = 0; Clock::now() < end; ++number) {
        const std::string attempt = name + "-" + std::to_string(number);
        channel = channel ? std::move(channel) : Connection::open(router);
        if (!channel) {
            std::this_thread::sleep_for(milliseconds(50));
            continue;
        }
        ++counts.bookings;
        channel->send(formatRequest("POST",
                                    "/book/1",
                                    {{"X-Attempt-Id", attempt}, {"X-Api-Key", Key}, {"X-Time-Remaining-Ms", "4000"}},
                                    "the order"));
        const Response response = readResponse(*channel, Clock::now() + std::chrono::seconds(4));
        counts.booked += response.status == 200 && response.isComplete ? 1 : 0;
        if (response.status == 0 && !response.timedOut && runs.has(attempt)) {
            ++counts.lost;
            record.write("booking " + attempt + " ran, and its channel is closed without an answer");
        }
        if (response.status == 0 || response.headers.count("connection") > 0) {
            channel.reset();
        }
    }
}

// Plays the platform for one router. A router that it starts ends with the thread that runs this, so that this has to
// outlast the clients.
void watchMemory(Router &router, Counts &counts, Record &record, const std::atomic<bool> &clientsDone)
{
    int most = 0;
    while (!clientsDone) {
        const int used = router.memoryMb();
        most = std::max(most, used);
        if (used > MemoryMb) {
            record.write(router.name() + " uses " + std::to_string(used) + " MB and is killed by the platform");
            ++counts.killed;
            router.signal(SIGKILL);
            router.waitForExit(std::chrono::seconds(1));
            std::this_thread::sleep_for(RestartDelay);
            router.start();
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    record.write(router.name() + " used up to " + std::to_string(most) + " MB");
}

// Records the totals once a second.
void recordTotals(const Counts &counts, Record &record, Clock::time_point end)
{
    while (Clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::seconds(1));
        record.write("so far: streams sent " + std::to_string(counts.streams) + ", complete "
                     + std::to_string(counts.completeStreams) + "; bookings sent " + std::to_string(counts.bookings)
                     + ", run " + std::to_string(counts.bookingsRun) + ", answered with success "
                     + std::to_string(counts.booked));
    }
}

int run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    Counts counts;
    Runs runs;
    Stage stage;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int engine = 0; engine < Engines; ++engine) {
        const auto arrivals = std::make_shared<std::atomic<int>>(0);
        const std::string id = "i-engine-" + std::to_string(engine);
        const auto handler = [&counts, &record, arrivals, engine, id](const Request &request, Connection &connection) {
            const std::string attempt = request.header("x-attempt-id");
            if (counts.troubled && engine < TroubledEngines && ++*arrivals % SpoiltEach == 0) {
                ++counts.spoilt;
                record.write(id + " spoils its answer to " + attempt);
                return sendWithoutEnd(connection);
            }
            return sendStream(attempt, connection);
        };
        replicas.push_back(std::make_unique<Replica>(id, handler));
        stage.registerReplica(*replicas.back(), "matchmind", 96);
    }
    replicas.push_back(
        std::make_unique<Replica>("i-desk", [&runs, &counts](const Request &request, Connection &connection) {
            const std::string attempt = request.header("x-attempt-id");
            runs.add(attempt);
            ++counts.bookingsRun;
            std::this_thread::sleep_for(BookingWork);
            return connection.send(
                formatResponse(200, {{"X-Attempt-Id", attempt}, {"X-Response-Seal", "seal." + attempt}}, "booked"));
        }));
    stage.registerReplica(*replicas.back(), "deskbook", 60);
    stage.store().put("op/config", makeConfig(1'000'000'000).dump());
    std::vector<Router *> routers{&stage.startRouter("front-a"), &stage.startRouter("front-b")};
    if (!stage.waitUntilReady()) {
        std::cerr << "a router is not ready\n";
        return CouldNotRun;
    }
    const auto begin = Clock::now();
    const auto end = begin + Length;
    std::atomic<bool> clientsDone{false};
    std::vector<std::thread> watchers;
    std::vector<std::thread> threads;
    threads.emplace_back(recordTotals, std::cref(counts), std::ref(record), end);
    for (std::size_t i = 0; i < routers.size(); ++i) {
        Router &router = *routers[i];
        watchers.emplace_back(
            watchMemory, std::ref(router), std::ref(counts), std::ref(record), std::cref(clientsDone));
        for (int booker = 0; booker < Bookers; ++booker) {
            const std::string name = "b" + std::to_string(i) + "-" + std::to_string(booker);
            threads.emplace_back(
                runBooker, name, router.address(), std::ref(counts), std::ref(runs), std::ref(record), end);
        }
    }
    counts.troubled = isTroubled();
    for (int tick = 0; tick < StreamsPerSecond * 10; ++tick) {
        std::this_thread::sleep_until(begin + tick * std::chrono::microseconds(1'000'000 / StreamsPerSecond));
        counts.troubled = isTroubled() && Clock::now() < begin + Trouble;
        for (std::size_t i = 0; i < routers.size(); ++i) {
            ++counts.streams;
            const std::string attempt = "s" + std::to_string(i) + "-" + std::to_string(tick);
            threads.emplace_back(runStream, attempt, routers[i]->address(), std::ref(counts));
        }
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    clientsDone = true;
    for (std::thread &watcher : watchers) {
        watcher.join();
    }
    const std::string summary = "streams sent " + std::to_string(counts.streams) + ", complete "
        + std::to_string(counts.completeStreams) + ", spoilt " + std::to_string(counts.spoilt) + "; bookings sent "
        + std::to_string(counts.bookings) + ", answered with success " + std::to_string(counts.booked)
        + ", run and closed without an answer " + std::to_string(counts.lost) + "; routers killed for their memory "
        + std::to_string(counts.killed);
    record.write(summary);
    std::cout << summary << '\n';
    if (counts.booked == 0 || counts.completeStreams == 0) {
        return CouldNotRun;
    }
    return counts.lost > Tolerated ? Broken : Held;
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
