#include "review/standins/stage.h"

#include "platform/store_codec.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <sstream>
#include <stdexcept>

namespace Review
{

using nlohmann::json;

const char *const Host = "desk.example";
const char *const Key = "xd9dnn2ctnfzs989anu6";
const char *const Tenant = "huka270";

namespace
{

constexpr const char *RouterProgram = "target/godwit/daemon/godwitd";
constexpr std::size_t ReadBytes = 16 * 1024;

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

sockaddr_in parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

int remainingMs(Clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
    return static_cast<int>(std::clamp<long long>(left + 1, 0, 3'600'000));
}

// Reads more bytes until `done` returns true. Returns the last result of receive().
int receiveUntil(Connection &connection,
                 std::string &bytes,
                 Clock::time_point deadline,
                 const std::function<bool()> &done)
{
    int result = 1;
    while (!done() && result > 0) {
        result = connection.receive(bytes, ReadBytes, deadline);
    }
    return result;
}

std::map<std::string, std::string> parseHeaders(std::istringstream &lines)
{
    std::map<std::string, std::string> headers;
    std::string line;
    while (std::getline(lines, line) && line != "\r") {
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r ") + 1);
            headers[toLower(line.substr(0, colon))] = value;
        }
    }
    return headers;
}

// Takes the data of whole chunks from the front of `raw`. Returns true once the last chunk has been taken.
bool takeChunks(std::string &raw, std::string &body)
{
    while (true) {
        const auto lineEnd = raw.find("\r\n");
        if (lineEnd == std::string::npos) {
            return false;
        }
        const std::size_t size = std::strtoul(raw.c_str(), nullptr, 16);
        if (raw.size() < lineEnd + 2 + size + 2) {
            return false;
        }
        body.append(raw, lineEnd + 2, size);
        raw.erase(0, lineEnd + 2 + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

} // namespace

bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string &file)
    : m_file(file)
{
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << elapsed().count() << " ms  " << line << std::endl;
}

milliseconds Record::elapsed() const
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - m_start);
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
    close();
}

Connection::Connection(Connection &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

Connection &Connection::operator=(Connection &&other) noexcept
{
    close();
    m_descriptor = std::exchange(other.m_descriptor, -1);
    return *this;
}

std::unique_ptr<Connection> Connection::open(const std::string &address, int receiveBuffer)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return nullptr;
    }
    if (receiveBuffer > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    const sockaddr_in target = parseAddress(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<Connection>(descriptor);
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

int Connection::receive(std::string &bytes, std::size_t most, Clock::time_point deadline)
{
    pollfd entry{m_descriptor, POLLIN, 0};
    if (::poll(&entry, 1, remainingMs(deadline)) <= 0) {
        return -2;
    }
    std::string buffer(most, '\0');
    const ssize_t count = ::recv(m_descriptor, buffer.data(), most, 0);
    if (count <= 0) {
        return count == 0 ? 0 : -1;
    }
    bytes.append(buffer, 0, static_cast<std::size_t>(count));
    return static_cast<int>(count);
}

bool Connection::waitForClose(Clock::time_point deadline)
{
    std::string ignored;
    int result = 1;
    while (result > 0) {
        result = receive(ignored, ReadBytes, deadline);
    }
    return result != -2;
}

void Connection::reset()
{
    const linger now{1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close();
}

void Connection::close()
{
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

std::string Request::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string formatRequest(const std::string &method,
                          const std::string &target,
                          const std::map<std::string, std::string> &headers,
                          const std::string &body)
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: " + Host + "\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

std::string formatResponse(int status, const std::map<std::string, std::string> &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " status\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (headers.count("Transfer-Encoding") == 0) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

std::string chunkOf(const std::string &data)
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

std::string lastChunk()
{
    return "0\r\n\r\n";
}

Response readResponse(Connection &connection, Clock::time_point deadline)
{
    Response response;
    std::string raw;
    const auto headEnd = [&raw] {
        return raw.find("\r\n\r\n");
    };
    int result = receiveUntil(connection, raw, deadline, [&headEnd] {
        return headEnd() != std::string::npos;
    });
    response.timedOut = result == -2;
    if (headEnd() == std::string::npos) {
        return response;
    }
    std::istringstream lines(raw.substr(0, headEnd() + 2));
    std::string statusLine;
    std::getline(lines, statusLine);
    response.status = std::atoi(statusLine.substr(statusLine.find(' ') + 1).c_str());
    response.headers = parseHeaders(lines);
    raw.erase(0, headEnd() + 4);
    const auto length = response.headers.find("content-length");
    if (length != response.headers.end()) {
        const std::size_t size = std::stoul(length->second);
        result = receiveUntil(connection, raw, deadline, [&raw, size] {
            return raw.size() >= size;
        });
        response.isComplete = raw.size() >= size;
        response.body = raw;
    } else {
        result = receiveUntil(connection, raw, deadline, [&] {
            response.isComplete = response.isComplete || takeChunks(raw, response.body);
            return response.isComplete;
        });
    }
    response.timedOut = result == -2;
    return response;
}

Response exchange(const std::string &address, const std::string &request, Clock::time_point deadline)
{
    const auto connection = Connection::open(address);
    if (!connection || !connection->send(request)) {
        return {};
    }
    return readResponse(*connection, deadline);
}

Replica::Replica(std::string id, Handler handler)
    : m_id(std::move(id))
    , m_handler(std::move(handler))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(any);
    if (::bind(m_listener, reinterpret_cast<sockaddr *>(&any), size) != 0 || ::listen(m_listener, 512) != 0
        || ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&any), &size) != 0) {
        throw std::runtime_error("a replica can't listen");
    }
    m_address = "127.0.0.1:" + std::to_string(ntohs(any.sin_port));
    m_acceptor = std::thread([this] {
        accept();
    });
}

Replica::~Replica()
{
    m_stopped = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const int descriptor : m_descriptors) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    for (const int descriptor : m_descriptors) {
        ::close(descriptor);
    }
}

json Replica::entry(const std::string &service, int slots, const std::string &state) const
{
    return json{{"Service", service},
                {"Address", m_address},
                {"Zone", "salt-lake"},
                {"Version", "v1"},
                {"Slots", slots},
                {"State", state},
                {"ColdRemainingMs", 0},
                {"Sequence", 1}};
}

void Replica::accept()
{
    while (!m_stopped) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        // Keeps the connection's number reserved until the end, so that shutting it down never meets another one.
        const int kept = ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
        const std::lock_guard lock(m_mutex);
        m_descriptors.push_back(descriptor);
        m_threads.emplace_back([this, kept, descriptor] {
            serve(kept);
            ::shutdown(descriptor, SHUT_RDWR);
        });
    }
}

void Replica::serve(int descriptor)
{
    Connection connection(descriptor);
    std::string raw;
    const auto idleLimit = std::chrono::seconds(60);
    while (!m_stopped) {
        const auto headEnd = [&raw] {
            return raw.find("\r\n\r\n");
        };
        receiveUntil(connection, raw, Clock::now() + idleLimit, [&headEnd] {
            return headEnd() != std::string::npos;
        });
        if (headEnd() == std::string::npos) {
            return;
        }
        std::istringstream lines(raw.substr(0, headEnd() + 2));
        std::string requestLine;
        std::getline(lines, requestLine);
        Request request;
        std::istringstream words(requestLine);
        words >> request.method >> request.target;
        request.headers = parseHeaders(lines);
        raw.erase(0, headEnd() + 4);
        const std::string length = request.header("content-length");
        const std::size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
        receiveUntil(connection, raw, Clock::now() + idleLimit, [&raw, bodyBytes] {
            return raw.size() >= bodyBytes;
        });
        if (raw.size() < bodyBytes) {
            return;
        }
        request.body = raw.substr(0, bodyBytes);
        raw.erase(0, bodyBytes);
        const std::string expected = request.header("x-expect-instance");
        bool goesOn = true;
        if (request.target == "/health") {
            goesOn = connection.send(formatResponse(200, {{"X-Replica-Id", m_id}}, ""));
        } else if (!expected.empty() && expected != m_id) {
            goesOn = connection.send(formatResponse(421, {{"X-Attempt-Id", request.header("x-attempt-id")}}, ""));
        } else {
            goesOn = m_handler(request, connection);
        }
        if (!goesOn) {
            return;
        }
    }
}

Router::Router(std::string name, const std::string &directory, const std::string &store, RouterOptions options)
    : m_name(std::move(name))
    , m_directory(directory)
{
    // What deploy/settings.toml.template gives for a router of the site.
    std::ofstream settings(m_directory + "/" + m_name + ".toml");
    settings << "host = \"" << m_name << "\"\ndata_centre = \"salt-lake\"\n\n[gateway]\ncallers = \""
             << m_callers.address() << "\"\nready = \"" << m_ready.address() << "\"\naddresses = \""
             << m_addresses.address() << "\"\npeers = \"" << m_peers.address() << "\"\nlending = \""
             << m_lending.address() << "\"\nmetrics = \"" << m_metrics.address() << "\"\nstore = \"" << store
             << "\"\ncores = " << options.cores << "\nlink_mbps = 1000.0\nmemory_mb = " << options.memoryMb
             << "\nstop_within_s = 8\nrepeat_ratio = 0.2\nrepeat_slack = 56\nrepeat_window_s = 10\n\n"
             << "[gateway.regions]\n\"salt-lake\" = \"kolkata\"\n";
}

Router::~Router()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void Router::start()
{
    std::string program = RouterProgram;
    std::string option = "--settings";
    std::string file = m_directory + "/" + m_name + ".toml";
    std::array<char *, 4> arguments = {program.data(), option.data(), file.data(), nullptr};
    const std::string log = logFile();
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid == 0) {
        // The router ends with this program, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        if (::getppid() == parent) {
            ::execv(program.c_str(), arguments.data());
        }
        ::_exit(CouldNotRun);
    }
    if (m_pid < 0) {
        throw std::runtime_error("can't start " + program);
    }
}

void Router::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

bool Router::hasExited()
{
    int status = 0;
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid < 0;
}

int Router::memoryMb() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    const std::string field = "VmRSS:";
    for (std::string line; std::getline(status, line);) {
        if (line.compare(0, field.size(), field) == 0) {
            return std::atoi(line.c_str() + field.size()) / 1024;
        }
    }
    return 0;
}

bool Router::waitForExit(milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (!hasExited() && Clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    return m_pid < 0;
}

bool Router::isReady() const
{
    const auto deadline = Clock::now() + std::chrono::seconds(1);
    return exchange(m_ready.address(), formatRequest("GET", "/ready", {}), deadline).status == 200;
}

Store::Store()
    : m_thread([this] {
        const auto guard = boost::asio::make_work_guard(m_io);
        m_io.run();
    })
{
}

Store::~Store()
{
    m_io.stop();
    m_thread.join();
}

void Store::run(const std::function<void()> &step)
{
    std::promise<void> done;
    boost::asio::post(m_io, [&] {
        step();
        done.set_value();
    });
    done.get_future().wait();
}

void Store::put(const std::string &key, const std::string &value)
{
    run([&] {
        m_server.put(key, value);
    });
}

void Store::setDown(bool down)
{
    run([&] {
        m_server.faults().refuse = down;
    });
}

std::string Store::get(const std::string &key)
{
    std::string value;
    run([&] {
        const auto found = m_server.model().items.find(key);
        if (found != m_server.model().items.end()) {
            value = Godwit::decodeBase64(found->second.value).value_or(std::string());
        }
    });
    return value;
}

Stage::Stage()
{
    std::string directory = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(directory.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_directory = directory;
}

Stage::~Stage()
{
    m_routers.clear();
    if (std::getenv("REVIEW_KEEP_LOGS") != nullptr) {
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

void Stage::registerReplica(const Replica &replica, const std::string &service, int slots)
{
    m_store.put("servers/" + replica.id(), replica.entry(service, slots).dump());
}

Router &Stage::startRouter(const std::string &name, RouterOptions options)
{
    m_routers.push_back(std::make_unique<Router>(name, m_directory, m_store.address(), options));
    m_routers.back()->start();
    return *m_routers.back();
}

bool Stage::waitUntilReady()
{
    const auto end = Clock::now() + std::chrono::seconds(10);
    for (const auto &router : m_routers) {
        while (!router->isReady()) {
            if (Clock::now() >= end) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    // The routers connect to each other and choose the homes of the tenants.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    return true;
}

json makeConfig(std::int64_t prepaid)
{
    const auto route = [](const char *name, const char *prefix, const char *kind, const char *service) {
        return json{{"Name", name},
                    {"Host", Host},
                    {"PathPrefix", prefix},
                    {"Kind", kind},
                    {"TimeoutMs", 12000},
                    {"TargetLatencyMs", 400},
                    {"Priority", 0},
                    {"Service", service},
                    {"Attempts", 1},
                    {"Public", false},
                    {"Sticky", std::string(kind) == "streaming"},
                    {"Resumable", false},
                    {"GapTargetMs", 300}};
    };
    return json{
        {"Version", 7},
        {"Routes",
         {route("r-chat", "/chat/", "streaming", "matchmind"),
          route("r-book", "/book/", "non_idempotent", "deskbook"),
          route("r-read", "/read/", "idempotent", "deskbook")}},
        {"Services",
         {{{"Name", "matchmind"},
           {"HealthPath", "/health"},
           {"MaxConnections", 500},
           {"Protocol", "h1"},
           {"Tls", false},
           {"Engine", {{"Slots", 96}, {"KvCapacityTokens", 494824}, {"Stride", 6}, {"most", 12}}}},
          {{"Name", "deskbook"},
           {"HealthPath", "/health"},
           {"MaxConnections", 110},
           {"Protocol", "h1"},
           {"Tls", false}}}},
        {"Limits",
         {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}},
        {"Tenants", {{{"Name", Tenant}, {"ApiKeys", {Key}}, {"Priority", 1}, {"Prepaid", prepaid}}}}};
}

} // namespace Review
