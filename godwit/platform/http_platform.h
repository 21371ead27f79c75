#pragma once

// The platform over its HTTP interface. See platform.h.

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
    std::vector<std::string> addresses; // "ip:port", tried in order from the last one that answered.
    std::string host; // This host's name, sent with each call.
    int connections = 6; // Calls in flight at most; watches have a connection of their own.
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration callTimeout = std::chrono::seconds(2);
    Duration longPollWait = std::chrono::seconds(20);
    Duration watchRetryDelay = std::chrono::milliseconds(250);
};

class HttpPlatform : public Platform
{
public:
    // `io` outlives this object and is run by the control thread alone.
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
