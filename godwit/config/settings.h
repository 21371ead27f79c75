#pragma once

// One process's own settings file: its addresses, its data centre, the platform and its listeners.
//
// Settings are read once at the start and never shared; what operators change while the fleet runs is a
// ConfigDocument. Parsing is pure: text in, values or one error out. The error lists every fault found, each
// with file, line, key and remedy.
//
// Example:
//   LastReason reason;
//   const auto settings = parseSettings(text, "godwitd.toml", reason);
//   if (!settings) {
//       std::cerr << reason->message << '\n';
//   }
//
//   host = "entry-1"
//   data_centre = "salt-lake"
//   platform = ["127.0.0.1:7001"]
//   [caller]
//   listen = "127.0.0.1:8080"
//   plain_text = "allowed"
//   [peer]
//   listen = "127.0.0.1:8081"
//   [operator]
//   listen = "127.0.0.1:8082"

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{

// The certificate of one listener. Files are read by the daemon, again whenever they change.
struct TlsSettings
{
    std::string certificate; // PEM file; empty: the listener speaks plain text.
    std::string key;
    std::string ca; // Who may connect; required for peers, optional elsewhere.
    bool plainTextAllowed = false; // `plain_text = "allowed"` was written by name.

    bool enabled() const
    {
        return !certificate.empty();
    }
};

// The bounds of one process. Every queue that a peer can fill has one.
struct SettingsLimits
{
    std::size_t maxBodyBytes = 1024UL * 1024;
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxConnections = 4096;
    std::size_t maxQueuedCalls = 1024;
    std::size_t maxOperatorCalls = 64;
    std::size_t maxPeerMessageBytes = 32UL * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration bodyTimeout = std::chrono::seconds(30);
    Duration idleTimeout = std::chrono::seconds(120);
    Duration drainTimeout = std::chrono::seconds(600);
};

struct Settings
{
    HostId host;
    DataCentreId dataCentre;
    std::string callerListen; // "ip:port"; port 0 lets the system choose.
    std::string peerListen;
    std::string operatorListen;
    // What other processes connect to; equal to the listen address when the file leaves it out.
    std::string callerAdvertise;
    std::string peerAdvertise;
    TlsSettings callerTls;
    TlsSettings peerTls;
    TlsSettings operatorTls;
    std::vector<std::string> platform; // "ip:port" each, in order of preference.
    int trafficThreads = 2;
    std::string logLevel = "info"; // trace, debug, info, warning or error.
    SettingsLimits limits;
};

// Returns the settings in `text`, or fills `reason` with InvalidSettings. `fileName` only appears in messages.
std::optional<Settings> parseSettings(std::string_view text, std::string_view fileName, LastReason &reason);

// Returns true for "ip:port" with an IP number (an IPv6 one in brackets) and a port from 0 to 65535.
bool isIpAndPort(std::string_view address);

// Returns true when `address` ("ip:port") lies on the loopback interface.
bool isLoopback(std::string_view address);

} // namespace Godwit
