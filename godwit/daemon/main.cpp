// godwitd: one router of the fleet.

#include "godwit/config/gateway_settings.h"
#include "godwit/config/settings.h"
#include "godwit/daemon/control.h"
#include "godwit/daemon/event_log.h"
#include "godwit/daemon/gateway.h"
#include "godwit/http/key_digest.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

using namespace Godwit;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr int ExitUnfinished = 3;

constexpr const char *BootstrapVariable = "GODWIT_BOOTSTRAP_TOKEN";

cxxopts::Options makeOptions()
{
    cxxopts::Options options("godwitd", "One router of a godwitcroft fleet.\n");
    options.add_options()(
        "s,settings", "Settings file (TOML); docs/OPERATING.md lists its keys.", cxxopts::value<std::string>());
    options.add_options()("c,check-config", "Check the settings file, report errors, and exit.");
    options.add_options()("version", "Print the version and exit.");
    options.add_options()("h,help", "Print this help and exit.");
    return options;
}

std::optional<std::string> readText(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        std::cerr << "godwitd: can't read " << file << "; pass a readable settings file with --settings\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

void printReason(const Error &reason)
{
    std::cerr << "godwitd: " << reason.message << '\n' << errorRemedy(reason.kind) << '\n';
}

// Runs a router with gateway settings.
int runGateway(const std::string &text, const std::string &file, bool checkOnly)
{
    LastReason reason;
    const auto settings = parseGatewaySettings(text, file, reason);
    if (!settings) {
        printReason(*reason);
        return ExitUsage;
    }
    if (checkOnly) {
        std::cout << "settings are valid\n";
        return ExitOk;
    }
    Gateway gateway(*settings, file);
    if (!gateway.start(reason)) {
        printReason(*reason);
        return ExitFailed;
    }
    return gateway.run() ? ExitOk : ExitUnfinished;
}

int runDaemon(const Settings &settings)
{
    startLog(settings.logLevel, settings.host.value);
    ControlOptions options;
    if (const char *token = std::getenv(BootstrapVariable)) {
        options.bootstrapDigest = sha256Hex(token);
    }
    Control control(settings, std::move(options));
    LastReason reason;
    if (!control.start(reason)) {
        std::cerr << "godwitd: " << (reason ? reason->message : "can't start") << '\n';
        return ExitFailed;
    }
    std::cout << "callers " << control.callerAddress() << "\npeers " << control.peerAddress() << "\noperators "
              << control.operatorAddress() << std::endl;
    return control.run() ? ExitOk : ExitUnfinished;
}

} // namespace

int main(int argc, char **argv)
{
    auto options = makeOptions();
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout
                << options.help() << "\nThe token in " << BootstrapVariable
                << " authorizes access to a fleet whose configuration has no owner yet."
                << "\nOn SIGTERM the router drains: it is no longer advertised, finishes its calls and returns "
                   "its budgets."
                << "\nExit codes: 0 drained, 1 failed to start, 2 invalid usage or settings, 3 stopped before all "
                   "calls had finished and all budgets were returned.\n";
            return ExitOk;
        }
        if (arguments.count("version") != 0) {
            std::cout << "godwitd " << GODWIT_VERSION << '\n';
            return ExitOk;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "godwitd: a settings file is required: --settings FILE; see --help\n";
            return ExitUsage;
        }
        const auto file = arguments["settings"].as<std::string>();
        const auto text = readText(file);
        if (!text) {
            return ExitUsage;
        }
        const bool checkOnly = arguments.count("check-config") != 0;
        if (hasGatewaySettings(*text)) {
            return runGateway(*text, file, checkOnly);
        }
        LastReason reason;
        const auto settings = parseSettings(*text, file, reason);
        if (!settings) {
            printReason(*reason);
            return ExitUsage;
        }
        if (checkOnly) {
            std::cout << "settings are valid\n";
            return ExitOk;
        }
        return runDaemon(*settings);
    } catch (const std::exception &error) {
        std::cerr << "godwitd: " << error.what() << '\n';
        return ExitUsage;
    }
}
