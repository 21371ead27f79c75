#pragma once

// Platform over its HTTP interface. See platform.h.

#include "godwit/base/time.h"
#include "godwit/platform/platform.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Godwit
{

struct HttpPlatformOptions
{
    std::vector<std::string> addresses; // "ip:port", tried in order, starting with the last one that responded.
    std::string host; // Name of this host, sent with each call.
    int connections = 6; // Maximum number of calls in flight. Each watch has an additional connection.
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration callTimeout = std::chrono::seconds(2);
    Duration longPollWait = std::chrono::seconds(20); // How long the service may hold a watch without changes.
    Duration watchRetryDelay = std::chrono::milliseconds(250); // Between a failed poll and the next one.
};

class HttpPlatform : public Platform
{
public:
    // `io` must outlive this object and must be run by the control thread only.
    HttpPlatform(boost::asio::io_context &io, HttpPlatformOptions options);
    ~HttpPlatform() override;

    void execute(KvCommand command, std::function<void(KvReply)> done) override;
    void watch(std::string prefix, std::function<void(const std::vector<KeyChange> &)> onChange) override;
    void readHosts(std::function<void(std::optional<std::vector<HostListEntry>>)> done) override;
    const PlatformCounters &counters() const override;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Godwit
