#pragma once

// Calls of the operators' interface, one at a time.
//
// Example:
//   AdminClient client({"127.0.0.1:8201", token});
//   LastReason reason;
//   const auto answer = call(client, "GET", "/admin/v1/status", "", reason);

#include "godwit/base/error.h"

#include <optional>
#include <string>

namespace Godwit
{

struct AdminClient
{
    std::string address; // "ip:port"
    std::string token;
    std::string caFile; // Speak TLS and trust this authority; empty for plain text.
    Duration timeout = std::chrono::seconds(15); // For a whole call.
    int tries = 3; // Every write carries its id, so repeating one after a lost answer counts once.
};

// The answer of a call that the router took. A refusal has a status of 400 or more.
struct AdminAnswer
{
    unsigned status = 0;
    std::string body;
};

// nullopt with a reason when no router answered.
std::optional<AdminAnswer> call(const AdminClient &client,
                                const std::string &method,
                                const std::string &target,
                                const std::string &body,
                                LastReason &reason);

} // namespace Godwit
