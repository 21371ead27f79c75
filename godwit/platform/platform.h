#pragma once

// Interface of the platform's key-value service and host list.
//
// HttpPlatform is the implementation for production. All calls and callbacks run on the control thread.
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

// An entry of the host list. The list is eventually consistent: it may show hosts that are gone and lack new ones.
struct HostListEntry
{
    std::string host;
    std::string role; // "router", "engine" or "service".
    std::string address;
    std::string peerAddress; // For links between routers; set for routers only.
    std::string dataCentre;
    std::string route;
    bool leaving = false;
};

// Calls since construction, for metrics and for the limit on the call rate.
struct PlatformCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t unknown = 0; // Calls that got no response, so their outcome is unknown.
    std::uint64_t rejected = 0; // Calls that were not sent, so they had no effect.
};

class Platform
{
public:
    virtual ~Platform() = default;

    // Executes a command and calls `done` exactly once, with the command's tag. After a timeout the status is Unknown:
    // a write may have taken effect.
    virtual void execute(KvCommand command, std::function<void(KvReply)> done) = 0;

    // Reports changes under `prefix` for the lifetime of this object. The first report may repeat known changes. After
    // a failed poll `onChange` gets an empty list: changes may have been missed, so the prefix must be read again.
    virtual void watch(std::string prefix, std::function<void(const std::vector<KeyChange> &)> onChange) = 0;

    // Reads the host list; nullopt when the service did not respond or the response was malformed.
    virtual void readHosts(std::function<void(std::optional<std::vector<HostListEntry>>)> done) = 0;

    virtual const PlatformCounters &counters() const = 0;
};

} // namespace Godwit
