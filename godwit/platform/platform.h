#pragma once

// The platform's key-value service and host list, as the control thread uses them.
//
// An implementation talks to one kind of platform; HttpPlatform is the one that ships. All calls and callbacks
// run on the control thread.
//
// Example:
//   platform.execute(command, [](KvReply reply) { ... });
//   platform.watch("config/", [](const std::vector<KeyChange> &changes) { ... });

#include "godwit/base/kv.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

struct KeyChange
{
    std::string key;
    std::uint64_t version = 0;
    bool deleted = false;
};

// A line of the host list. The list lags behind the truth.
struct HostListEntry
{
    std::string host;
    std::string role; // "router", "engine" or "service".
    std::string address;
    std::string peerAddress; // Routers only.
    std::string dataCentre;
    std::string route;
    bool leaving = false;
};

// Calls made so far, for metrics and the call allowance.
struct PlatformCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t unknown = 0; // Calls whose answer was lost.
    std::uint64_t rejected = 0; // Calls that did not reach the service.
};

class Platform
{
public:
    virtual ~Platform() = default;

    // Calls `done` exactly once, with the command's tag. Unknown after a timeout: a write may have taken effect.
    virtual void execute(KvCommand command, std::function<void(KvReply)> done) = 0;

    // Reports changes under `prefix` until the process ends. The first report may repeat changes already known.
    // `changed` gets an empty list after each time that the service was away: the reader must read again.
    virtual void watch(std::string prefix, std::function<void(const std::vector<KeyChange> &)> onChange) = 0;

    // nullopt when the service did not answer.
    virtual void readHosts(std::function<void(std::optional<std::vector<HostListEntry>>)> done) = 0;

    virtual const PlatformCounters &counters() const = 0;
};

} // namespace Godwit
