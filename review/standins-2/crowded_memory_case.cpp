// Clients that nobody controls send heads of many short fields, within the site's limit for heads, and stop in the
// middle of their bodies. The platform kills a process that exceeds the memory of its machine, and starts it again.
// Callers of plain requests on kept connections must not lose accepted requests by that.
//
//   crowded_memory_case DIRECTORY

#include "endpoint.h"
#include "record.h"
#include "router.h"
#include "site.h"
#include "store.h"

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <memory>
#include <thread>

using namespace Review;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace
{

// Of the machines of a small site: 260 MB.
constexpr HostLimits Limits{};
constexpr int TimeoutMs = 4000;
constexpr auto WorkTime = milliseconds(300);
constexpr int Callers = 8; // For each router.
constexpr int CrowdSize = 1100;
// Below the limit for heads of 16,384 bytes.
constexpr std::size_t HeadBytes = 16'000;
constexpr int Rounds = 3;
constexpr auto RoundTime = milliseconds(8000);
constexpr auto CheckInterval = milliseconds(20);
constexpr auto RestartDelay = milliseconds(500);
// A machine is in touch that long after its process has started.
constexpr auto ContactTime = milliseconds(3500);

// A head without a key, whose short body does not come.
std::string crowdHead()
{
    std::string head = "POST /nowhere/ HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n";
    while (head.size() + 4 < HeadBytes) {
        head += "a:\r\n";
    }
    return head + "\r\n";
}

// Sends plain requests that may run once, one after the other, on one kept connection, until it is told to stop.
class Caller
{
public:
    Caller(Record &record, std::string name, std::string address)
        : m_record(record)
        , m_name(std::move(name))
        , m_address(std::move(address))
        , m_thread([this] {
            run();
        })
    {
    }
    ~Caller()
    {
        m_stopped = true;
        m_thread.join();
    }
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    int served() const
    {
        return m_served;
    }
    // Ids of requests whose connection ended without an answer. To be called once the caller has stopped sending.
    std::vector<std::string> unanswered() const
    {
        return m_unanswered;
    }
    void stop()
    {
        m_stopped = true;
    }
    bool hasEnded() const
    {
        return m_ended;
    }

private:
    void run()
    {
        Socket socket;
        int kept = 0; // Answers on this connection.
        for (int number = 0; !m_stopped; ++number) {
            if (!socket.isOpen()) {
                kept = 0;
                socket = connectTo(m_address);
                if (!socket.isOpen()) {
                    std::this_thread::sleep_for(milliseconds(100));
                    continue;
                }
            }
            const std::string attempt = m_name + '-' + std::to_string(number);
            sendAll(socket, requestHead("POST", "/book/slot", attempt) + "Content-Length: 4\r\n\r\nslot");
            const auto response = readResponse(socket, 6000);
            if (!response) {
                if (kept > 0) {
                    m_unanswered.push_back(attempt);
                }
                socket.close();
                continue;
            }
            ++kept;
            m_served += statusOf(*response) == 200 ? 1 : 0;
            if (statusOf(*response) != 200) {
                std::this_thread::sleep_for(milliseconds(100));
            }
            if (fieldOf(*response, "Connection") == "close") {
                socket.close();
            }
        }
        m_ended = true;
    }

    Record &m_record;
    std::string m_name;
    std::string m_address;
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_ended{false};
    std::atomic<int> m_served{0};
    std::vector<std::string> m_unanswered;
    std::thread m_thread;
};

// Plays one round at one router; returns whether the platform had to kill its process.
bool playRound(Record &record, Router &router, const std::string &name, bool trouble)
{
    const std::string head = crowdHead();
    std::vector<Socket> crowd;
    int most = 0;
    const auto end = steady_clock::now() + RoundTime;
    while (steady_clock::now() < end) {
        for (int i = 0; trouble && i < 20 && crowd.size() < CrowdSize; ++i) {
            crowd.push_back(connectTo(router.callers()));
            sendAll(crowd.back(), head);
        }
        const int resident = router.residentMb();
        most = std::max(most, resident);
        if (resident > Limits.memoryMb) {
            record.line(name + " uses " + std::to_string(resident) + " MB of " + std::to_string(Limits.memoryMb)
                        + " with " + std::to_string(crowd.size()) + " clients of the crowd; the platform kills it");
            router.kill();
            return true;
        }
        std::this_thread::sleep_for(CheckInterval);
    }
    record.line(name + " used at most " + std::to_string(most) + " MB with " + std::to_string(crowd.size())
                + " clients of the crowd");
    return false;
}

} // namespace

int main(int, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    const std::string directory = argv[1];
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
    Record record(directory + "/record.txt");
    std::string temporary = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    temporary = ::mkdtemp(temporary.data());

    Endpoint endpoint("i-7f3a91c2", "booking", [](Socket &socket, const HttpMessage &request) {
        std::this_thread::sleep_for(WorkTime);
        return sendAll(socket, sealedResponse(request, "booked"));
    });
    endpoint.start();
    Store store;
    store.put("op/config", siteDocument(7, TimeoutMs));
    store.put(endpoint.key(), endpoint.entry());
    store.start();
    Router routers[] = {{"router-1", store.address(), temporary, Limits},
                        {"router-2", store.address(), temporary, Limits}};
    for (Router &router : routers) {
        router.start();
    }
    for (Router &router : routers) {
        if (!router.waitUntilReady()) {
            return record.end(Verdict::NotRun, "a router did not become ready");
        }
    }
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < 2 * Callers; ++i) {
        callers.push_back(std::make_unique<Caller>(record, "caller-" + std::to_string(i), routers[i % 2].callers()));
    }
    std::this_thread::sleep_for(ContactTime);

    int kills = 0;
    for (int round = 0; round < Rounds; ++round) {
        for (int i = 0; i < 2; ++i) {
            if (playRound(record, routers[i], "router-" + std::to_string(i + 1), trouble)) {
                ++kills;
                std::this_thread::sleep_for(RestartDelay);
                routers[i].start();
                routers[i].waitUntilReady();
                std::this_thread::sleep_for(ContactTime);
            }
        }
    }
    for (const auto &caller : callers) {
        caller->stop();
    }
    while (!std::all_of(callers.begin(), callers.end(), [](const auto &caller) {
        return caller->hasEnded();
    })) {
        std::this_thread::sleep_for(milliseconds(50));
    }
    int served = 0;
    int lost = 0;
    int ranAndLost = 0;
    for (const auto &caller : callers) {
        served += caller->served();
        for (const std::string &attempt : caller->unanswered()) {
            ++lost;
            ranAndLost += endpoint.runs(attempt);
            record.line(attempt + " got no answer; runs at the replica: " + std::to_string(endpoint.runs(attempt)));
        }
    }
    record.line(std::to_string(served) + " requests answered with success, " + std::to_string(lost)
                + " on kept connections without an answer, of which " + std::to_string(ranAndLost) + " had run");
    for (Router &router : routers) {
        router.kill();
    }
    std::filesystem::remove_all(temporary);
    if (served == 0) {
        return record.end(Verdict::NotRun, "no request was served");
    }
    constexpr int allowed = 3;
    return ranAndLost > allowed
        ? record.end(Verdict::Broken,
                     std::to_string(kills) + " times a process exceeded its machine's memory and ended; "
                         + std::to_string(ranAndLost) + " requests were passed on and lost (LOST)")
        : record.end(Verdict::Held, "no process ended");
}
