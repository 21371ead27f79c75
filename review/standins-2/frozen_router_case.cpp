// A router is frozen while a replica crashes in the middle of a response without a length, and starts again under the
// id that it had. Woken, the router must not pass the part that it has on as a complete answer.
//
//   frozen_router_case DIRECTORY             plays the case; record.txt is written there
//   frozen_router_case endpoint PORT ID      serves as the replica

#include "endpoint.h"
#include "record.h"
#include "router.h"
#include "site.h"
#include "store.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <memory>
#include <thread>

using namespace Review;
using std::chrono::milliseconds;

namespace
{

// One of six, 0.17 of the replicas, crashes at a time.
constexpr int Replicas = 6;
constexpr const char *FirstHalf = "slots: 08:00 free, 09:00 taken, ";
constexpr const char *SecondHalf = "10:00 taken, 11:00 taken.";
// Between the halves of a response.
constexpr auto HalfPause = milliseconds(700);
constexpr auto CrashAfter = milliseconds(300);
// At most 4 s of a freeze are played on the users' sites, and 4.5 s of a crash.
constexpr auto FreezeTime = milliseconds(3500);
constexpr auto DownTime = milliseconds(1500);
constexpr int TimeoutMs = 12'000;
constexpr int Rounds = 4;

// Serves plain requests with a response that has no length and ends with its connection. Writes its id to standard
// output when a request begins to run.
int serveAsEndpoint(int port, const std::string &id)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const Socket listener = listenOn(port);
    while (listener.isOpen()) {
        std::thread(
            [id](Socket socket) {
                const auto request = readRequest(socket, 30'000);
                if (!request) {
                    return;
                }
                if (targetOf(*request) == "/health") {
                    sendAll(socket, formatResponse("200 OK", "X-Replica-Id: " + id + "\r\nConnection: close\r\n", ""));
                    return;
                }
                const std::string attempt = fieldOf(*request, "X-Attempt-Id");
                if (::write(STDOUT_FILENO, (id + '\n').data(), id.size() + 1) < 0) {
                    return;
                }
                sendAll(socket,
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Seal: seal." + attempt
                            + "\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n" + FirstHalf);
                std::this_thread::sleep_for(HalfPause);
                sendAll(socket, SecondHalf);
            },
            acceptFrom(listener))
            .detach();
    }
    return 0;
}

// The replica as a process of its own, whose connections the kernel closes when it is killed.
class EndpointProcess
{
public:
    // `runs` is the end of a pipe to which the process writes its id when a request begins to run.
    EndpointProcess(std::string program, std::string id, int runs)
        : m_program(std::move(program))
        , m_id(std::move(id))
        , m_runs(runs)
        , m_port(std::to_string(freePort()))
    {
    }
    ~EndpointProcess()
    {
        kill();
    }
    EndpointProcess(const EndpointProcess &) = delete;
    EndpointProcess &operator=(const EndpointProcess &) = delete;

    void start()
    {
        m_pid = ::fork();
        if (m_pid == 0) {
            ::dup2(m_runs, STDOUT_FILENO);
            ::execl(m_program.c_str(), m_program.c_str(), "endpoint", m_port.c_str(), m_id.c_str(), nullptr);
            ::_exit(127);
        }
    }
    void kill()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(std::exchange(m_pid, -1), nullptr, 0);
        }
    }
    const std::string &id() const
    {
        return m_id;
    }
    std::string key() const
    {
        return "servers/" + m_id;
    }
    // `born` changes with each start, the id does not.
    std::string entry(std::int64_t born) const
    {
        return R"({"Service":"booking","Address":"127.0.0.1:)" + m_port
            + R"(","Zone":"hall","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":)"
            + std::to_string(born) + '}';
    }

private:
    std::string m_program;
    std::string m_id;
    int m_runs;
    std::string m_port;
    pid_t m_pid = -1;
};

// Waits until a request begins to run, and returns the replica that runs it; null if none does within 3 s.
EndpointProcess *endpointOfRun(int runs, const std::vector<std::unique_ptr<EndpointProcess>> &endpoints)
{
    std::string id;
    pollfd ready{runs, POLLIN, 0};
    while (::poll(&ready, 1, 3000) == 1) {
        char c = 0;
        if (::read(runs, &c, 1) != 1 || c == '\n') {
            break;
        }
        id += c;
    }
    for (const auto &endpoint : endpoints) {
        if (endpoint->id() == id) {
            return endpoint.get();
        }
    }
    return nullptr;
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// What a caller received on one connection.
struct Received
{
    std::string bytes;
    bool endedInOrder = false;
};

Received receiveAll(Socket &socket)
{
    Received received;
    while (true) {
        char piece[4096];
        const ssize_t got = ::read(socket.descriptor(), piece, sizeof(piece));
        if (got <= 0) {
            received.endedInOrder = got == 0;
            return received;
        }
        received.bytes.append(piece, static_cast<std::size_t>(got));
    }
}

// Whether the answer is a success that looks complete: by its length, by its last chunk, or, without either, by the
// orderly end of its connection.
bool looksComplete(const Received &received)
{
    const bool success = received.bytes.compare(0, 12, "HTTP/1.1 200") == 0;
    const bool chunked = received.bytes.find("Transfer-Encoding: chunked") != std::string::npos;
    const bool lastChunk = received.bytes.find("\r\n0\r\n\r\n") != std::string::npos;
    return success && (chunked ? lastChunk : received.endedInOrder);
}

std::string oneLine(std::string text)
{
    for (char &c : text) {
        c = c == '\r' || c == '\n' ? ' ' : c;
    }
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    if (argc == 4 && std::strcmp(argv[1], "endpoint") == 0) {
        return serveAsEndpoint(std::atoi(argv[2]), argv[3]);
    }
    const std::string directory = argv[1];
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
    Record record(directory + "/record.txt");
    std::string temporary = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    temporary = ::mkdtemp(temporary.data());

    int runs[2];
    if (::pipe2(runs, O_CLOEXEC) != 0) {
        return record.end(Verdict::NotRun, "no pipe");
    }
    Store store;
    store.put("op/config", siteDocument(7, TimeoutMs));
    std::vector<std::unique_ptr<EndpointProcess>> endpoints;
    for (int i = 0; i < Replicas; ++i) {
        endpoints.push_back(std::make_unique<EndpointProcess>(
            std::filesystem::read_symlink("/proc/self/exe"), "i-7f3a91c" + std::to_string(i), runs[1]));
        endpoints.back()->start();
        store.put(endpoints.back()->key(), endpoints.back()->entry(wallMs()));
    }
    store.start();
    Router router("router-1", store.address(), temporary);
    router.start();
    if (!router.waitUntilReady()) {
        return record.end(Verdict::NotRun, "the router did not become ready");
    }
    std::this_thread::sleep_for(milliseconds(1000));

    int broken = 0;
    for (int round = 0; round < Rounds; ++round) {
        const std::string attempt = "read-" + std::to_string(round);
        Socket caller = connectTo(router.callers());
        sendAll(caller,
                "GET /read/slots HTTP/1.1\r\nHost: " + std::string(SiteHost) + "\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Time-Remaining-Ms: 12000\r\nX-Api-Key: " + SiteKey + "\r\n\r\n");
        record.line(attempt + " sent");
        EndpointProcess *endpoint = endpointOfRun(runs[0], endpoints);
        if (endpoint == nullptr) {
            return record.end(Verdict::NotRun, "the request reached no replica");
        }
        record.line(attempt + " runs at " + endpoint->id());
        if (trouble) {
            std::this_thread::sleep_for(CrashAfter);
            router.signal(SIGSTOP);
            record.line("the router is frozen");
            std::this_thread::sleep_for(milliseconds(100));
            endpoint->kill();
            record.line("the replica is killed in the middle of its response");
            std::this_thread::sleep_for(DownTime);
            endpoint->start();
            store.put(endpoint->key(), endpoint->entry(wallMs()));
            record.line("the replica has started again under its id");
            std::this_thread::sleep_for(FreezeTime - milliseconds(100) - DownTime);
            router.signal(SIGCONT);
            record.line("the router is awake");
        }
        const Received received = receiveAll(caller);
        const bool whole = received.bytes.find(std::string(FirstHalf) + SecondHalf) != std::string::npos;
        const bool partAsWhole = looksComplete(received) && !whole;
        broken += partAsWhole ? 1 : 0;
        record.line(attempt + " answered: " + oneLine(received.bytes)
                    + (received.endedInOrder ? "[connection closed in order]" : "[connection reset]")
                    + (whole             ? " whole"
                           : partAsWhole ? " A PART THAT LOOKS COMPLETE"
                                         : " no success that looks complete"));
        if (!trouble && !whole) {
            router.kill();
            std::filesystem::remove_all(temporary);
            return record.end(Verdict::NotRun, "without the disruption the answer was not whole");
        }
        std::this_thread::sleep_for(milliseconds(4000));
    }
    router.kill();
    std::filesystem::remove_all(temporary);
    return broken > 0 ? record.end(Verdict::Broken,
                                   std::to_string(broken) + " of " + std::to_string(Rounds)
                                       + " answers ended early and looked complete (MIXED)")
                      : record.end(Verdict::Held, "no answer that ended early looked complete");
}
