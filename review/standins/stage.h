#pragma once

// A small deployment on loopback addresses for the scripts of this review: the platform's store, replicas, routers as
// separate processes, and clients.
//
// Example:
//   Stage stage("/tmp/stage", record);
//   stage.store().put("op/config", config.dump());
//   Router &router = stage.startRouter("front-a", {});
//   stage.waitUntilReady();

#include "platform/testing/fake_store_server.h"
#include "platform/testing/reserved_port.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Review
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

// Whether the disruption takes place, by the environment variable TROUBLE.
bool isTroubled();

// The file with what was sent, answered and run. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &file);

    void write(const std::string &line);
    milliseconds elapsed() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

// A blocking connection. All operations have a deadline.
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(Connection &&other) noexcept;
    Connection &operator=(Connection &&other) noexcept;

    // `receiveBuffer`: size of the receive buffer in bytes; 0: the system's default. Null if no connection is made.
    static std::unique_ptr<Connection> open(const std::string &address, int receiveBuffer = 0);

    bool send(const std::string &bytes);
    // Appends up to `most` bytes to `bytes`. Returns the number of bytes; 0: the peer closed in order, -1: it was
    // reset, -2: nothing came before the deadline.
    int receive(std::string &bytes, std::size_t most, Clock::time_point deadline);
    // Waits until the peer has closed its side or reset the connection. False if the deadline came first.
    bool waitForClose(Clock::time_point deadline);
    // Closes the connection with a reset.
    void reset();
    void close();
    bool isOpen() const
    {
        return m_descriptor >= 0;
    }

private:
    int m_descriptor = -1;
};

struct Request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; // By lower-case name.
    std::string body;

    std::string header(const std::string &name) const;
};

struct Response
{
    int status = 0; // 0: no response.
    std::map<std::string, std::string> headers; // By lower-case name.
    std::string body; // Without the framing of chunks.
    bool isComplete = false;
    bool timedOut = false; // The client gave up.
};

std::string formatRequest(const std::string &method,
                          const std::string &target,
                          const std::map<std::string, std::string> &headers,
                          const std::string &body = {});
std::string formatResponse(int status, const std::map<std::string, std::string> &headers, const std::string &body);
std::string chunkOf(const std::string &data);
std::string lastChunk();

// Sends a request on a new connection and reads the response; gives up at the deadline, by closing the connection.
Response exchange(const std::string &address, const std::string &request, Clock::time_point deadline);

// Reads a response. Gives up at the deadline.
Response readResponse(Connection &connection, Clock::time_point deadline);

// A replica: serves each connection on a thread of its own.
class Replica
{
public:
    // Handles a request that is not a status check. Returns whether the connection may be used further.
    using Handler = std::function<bool(const Request &, Connection &)>;

    Replica(std::string id, Handler handler);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    const std::string &id() const
    {
        return m_id;
    }
    const std::string &address() const
    {
        return m_address;
    }
    nlohmann::json entry(const std::string &service, int slots, const std::string &state = "ready") const;

private:
    void accept();
    void serve(int descriptor);

    std::string m_id;
    Handler m_handler;
    std::string m_address;
    int m_listener = -1;
    std::atomic<bool> m_stopped{false};
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
    std::vector<int> m_descriptors;
};

struct RouterOptions
{
    double cores = 0.25;
    int memoryMb = 260;
};

// A router process that is started as the deploy file says.
class Router
{
public:
    Router(std::string name, const std::string &directory, const std::string &store, RouterOptions options);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    void start();
    void signal(int number) const;
    // True once the process has ended.
    bool waitForExit(milliseconds limit);
    bool isReady() const;
    bool hasExited();
    // The process's resident memory.
    int memoryMb() const;
    const std::string &name() const
    {
        return m_name;
    }
    std::string address() const
    {
        return m_callers.address();
    }
    std::string logFile() const
    {
        return m_directory + "/" + m_name + ".log";
    }

private:
    std::string m_name;
    std::string m_directory;
    Godwit::Testing::ReservedPort m_callers;
    Godwit::Testing::ReservedPort m_ready;
    Godwit::Testing::ReservedPort m_addresses;
    Godwit::Testing::ReservedPort m_peers;
    Godwit::Testing::ReservedPort m_lending;
    Godwit::Testing::ReservedPort m_metrics;
    pid_t m_pid = -1;
};

// The platform's store, on a thread of its own.
class Store
{
public:
    Store();
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    std::string address() const
    {
        return m_address;
    }
    void put(const std::string &key, const std::string &value);
    // While set, the store responds 503 to all calls and executes none.
    void setDown(bool down);
    // The decoded value of a key; empty if it does not exist.
    std::string get(const std::string &key);

private:
    void run(const std::function<void()> &step);

    boost::asio::io_context m_io{1};
    Godwit::Testing::FakeStoreServer m_server{m_io};
    std::string m_address = m_server.address();
    std::thread m_thread;
};

// Starts routers and waits until all of them are ready. The store and the routers share one temporary directory.
class Stage
{
public:
    Stage();
    ~Stage();
    Stage(const Stage &) = delete;
    Stage &operator=(const Stage &) = delete;

    Store &store()
    {
        return m_store;
    }
    void registerReplica(const Replica &replica, const std::string &service, int slots);
    Router &startRouter(const std::string &name, RouterOptions options = {});
    // False if a router is not ready within ten seconds.
    bool waitUntilReady();

private:
    std::string m_directory;
    Store m_store;
    std::vector<std::unique_ptr<Router>> m_routers;
};

// A configuration like the one that the users' pages show, with one tenant. `prepaid`: the tenant's tokens.
nlohmann::json makeConfig(std::int64_t prepaid);

extern const char *const Host;
extern const char *const Key;
extern const char *const Tenant;

} // namespace Review
