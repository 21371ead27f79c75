#pragma once

// Polls model engines for their load reports, on the control thread.
//
// Example:
//   LoadPoller poller(io, [&](const EndpointId &id, const LoadReport &report) { ... });
//   poller.setEndpoints(targets);

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/routing/load_report.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Godwit
{

struct PollTarget
{
    EndpointId endpoint;
    std::string address; // "ip:port"
};

struct LoadPollerOptions
{
    Duration period = std::chrono::milliseconds(500); // Interval between two polls of one endpoint.
    Duration timeout = std::chrono::milliseconds(400);
    int workers = 4; // Maximum number of concurrent polls.
};

class LoadPoller
{
public:
    using Report = std::function<void(const EndpointId &, const LoadReport &)>;

    LoadPoller(boost::asio::io_context &io, LoadPollerOptions options, Report report);
    ~LoadPoller();

    void setEndpoints(std::vector<PollTarget> targets);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace Godwit
