#pragma once

// The platform's host list as its readers see it: late by a fixed lag.
//
// Pure: the time is passed in.
//
// Example:
//   HostList list{std::chrono::seconds(2)};
//   setHost(list, "r1", R"({"role":"router"})"_json, now);
//   visibleHosts(list, now);                              // Empty.
//   visibleHosts(list, now + std::chrono::seconds(2));    // Holds r1.

#include "godwit/base/time.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <string>

namespace Godwit::Standins
{

struct HostList
{
    struct Change
    {
        TimePoint due;
        std::string host;
        nlohmann::json record; // Null: the host is gone.
    };

    Duration lag{};
    std::map<std::string, nlohmann::json> visible;
    std::deque<Change> pending;
};

// Adds or replaces a host; its record's "host" is set to the name. Shown after the lag.
void setHost(HostList &list, const std::string &host, nlohmann::json record, TimePoint now);

// Removes a host; shown after the lag.
void removeHost(HostList &list, const std::string &host, TimePoint now);

// The records that readers see at `now`, by host name.
const std::map<std::string, nlohmann::json> &visibleHosts(HostList &list, TimePoint now);

} // namespace Godwit::Standins
