#include "router.h"

#include "sockets.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <thread>
#include <utility>

namespace Review
{
namespace
{

constexpr const char *Program = "target/godwit/daemon/godwitd";
constexpr auto ReadyWithin = std::chrono::seconds(15);

std::string freeAddress()
{
    return "127.0.0.1:" + std::to_string(freePort());
}

} // namespace

Router::Router(const std::string &name, const std::string &store, const std::string &directory, HostLimits limits)
    : m_directory(directory)
    , m_settings(directory + '/' + name + ".toml")
    , m_log(directory + '/' + name + ".log")
    , m_callers(freeAddress())
    , m_ready(freeAddress())
{
    std::ofstream(m_settings) << "host = \"" << name << "\"\ndata_centre = \"hall\"\n\n[gateway]\ncallers = \""
                              << m_callers << "\"\nready = \"" << m_ready << "\"\naddresses = \"" << freeAddress()
                              << "\"\npeers = \"" << freeAddress() << "\"\nlending = \"" << freeAddress()
                              << "\"\nmetrics = \"" << freeAddress() << "\"\nstore = \"" << store
                              << "\"\ncores = 0.25\nlink_mbps = 1000.0\nmemory_mb = " << limits.memoryMb
                              << "\ndescriptors = " << limits.descriptors
                              << "\nstop_within_s = 8\nrepeat_ratio = 0.2\nrepeat_slack = 56\nrepeat_window_s = 10\n"
                                 "\n[gateway.regions]\nhall = \"county\"\n";
}

Router::~Router()
{
    kill();
}

void Router::start()
{
    std::string program = Program;
    std::string option = "--settings";
    char *arguments[] = {program.data(), option.data(), m_settings.data(), nullptr};
    const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    m_pid = ::fork();
    if (m_pid == 0) {
        // The router must not outlive a case that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execv(Program, arguments);
        ::_exit(127);
    }
    ::close(log);
}

void Router::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Router::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(std::exchange(m_pid, -1), nullptr, 0);
    }
}

bool Router::isRunning()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid > 0;
}

int Router::readiness(int timeoutMs) const
{
    Socket socket = connectTo(m_ready);
    if (!socket.isOpen() || !sendAll(socket, "GET /ready HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n")) {
        return 0;
    }
    const auto response = readResponse(socket, timeoutMs);
    return response ? statusOf(*response) : 0;
}

bool Router::waitUntilReady() const
{
    const auto end = std::chrono::steady_clock::now() + ReadyWithin;
    while (std::chrono::steady_clock::now() < end) {
        if (readiness(1000) == 200) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

int Router::residentMb() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.compare(0, 6, "VmRSS:") == 0) {
            return std::atoi(line.c_str() + 6) / 1024;
        }
    }
    return 0;
}

} // namespace Review
