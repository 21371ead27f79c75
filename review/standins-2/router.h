#pragma once

// A router of the deploy file: `target/godwit/daemon/godwitd --settings FILE`, as a process of its own, with settings
// like those that deploy/settings.toml.template gives a small host.
//
// Example:
//   Router router("router-1", store.address(), directory);
//   router.start();
//   router.waitUntilReady();

#include <sys/types.h>

#include <string>

namespace Review
{

// What the platform grants a small front host.
struct HostLimits
{
    int memoryMb = 260;
    int descriptors = 4100;
};

class Router
{
public:
    Router(const std::string &name, const std::string &store, const std::string &directory, HostLimits limits = {});
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    void start();
    // Sends a signal to the process, if it runs.
    void signal(int number) const;
    // Kills the process and waits for its end.
    void kill();
    // Returns false if the process has ended.
    bool isRunning();
    // Waits until the platform's question for readiness gets a 200; false after 15 s.
    bool waitUntilReady() const;
    // Status of the answer to the platform's question for readiness; 0 if none comes within `timeoutMs`.
    int readiness(int timeoutMs) const;
    // Resident memory of the process in MB; 0 if it does not run.
    int residentMb() const;

    std::string callers() const
    {
        return m_callers;
    }

private:
    std::string m_directory;
    std::string m_settings;
    std::string m_log;
    std::string m_callers;
    std::string m_ready;
    pid_t m_pid = -1;
};

} // namespace Review
