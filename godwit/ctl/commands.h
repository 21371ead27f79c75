#pragma once

// The commands of godwitctl.
//
// Example:
//   return runCommand(client, {"budgets", "show", "main"}, options, out, err);

#include "godwit/ctl/admin_client.h"

#include <ostream>
#include <string>
#include <vector>

namespace Godwit
{

constexpr int ExitOk = 0;
constexpr int ExitRefused = 1; // The router answered with a typed error.
constexpr int ExitUsage = 2;
constexpr int ExitUnreachable = 3;
constexpr int ExitDiffers = 4; // "config diff" found a difference.

struct CommandOptions
{
    bool json = false;
    std::string site; // Empty for the base.
    std::string operation; // The id of a write; a random one when empty.
    std::string key; // A customer's API key, for "addresses".
    std::string expectedRevision; // Empty when not given.
};

// What godwitctl can do, one command a line, for --help.
std::string commandHelp();

// Runs one command; returns an exit code from above.
int runCommand(const AdminClient &client,
               const std::vector<std::string> &words,
               const CommandOptions &options,
               std::ostream &out,
               std::ostream &err);

} // namespace Godwit
