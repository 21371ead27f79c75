#pragma once

// The settings of a router that runs on the users' platform: its addresses, the store, and the bounds that it keeps.
//
// The file is TOML with a [gateway] table; docs/OPERATIONS.md lists the keys. Parsing is pure; the error names every
// fault with its place and remedy.
//
// Example:
//   LastReason reason;
//   if (hasGatewaySettings(text)) { const auto settings = parseGatewaySettings(text, "router.toml", reason); }

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

struct GatewaySettings
{
    HostId host;
    DataCentreId dataCentre;
    std::string callerListen; // "ip:port" each.
    std::string readyListen;
    std::string addressesListen; // Empty: this router does not answer where to connect.
    std::string peerListen;
    std::string lendingListen; // For connections lent to other routers; empty: a free port of the address `peerListen`.
    std::string metricsListen; // Empty: no metrics are served.
    std::string store;
    double cores = 1; // Share of a core that this host gives the router.
    double linkMbps = 1000; // Of this host's link.
    double memoryMb = 0; // That this host gives the router; 0: what is held for slow readers has no limit.
    std::uint64_t descriptors = 0; // That this host gives the router; 0: as many as the system allows the process.
    // Callers and endpoints that read nothing for this long are disconnected.
    Duration stalledReaderTimeout = std::chrono::seconds(4);
    Duration stopWithin = std::chrono::seconds(8); // From the signal to the end of the process.
    double repeatRatio = 0.2;
    double repeatSlack = 0;
    Duration repeatWindow = std::chrono::seconds(10);
    double hedgeRatio = 0; // Hedges per request of a service, in repeatWindow; 0: none are sent.
    double hedgeQuantile = 0.95; // Of the times to the first useful answer; a slower request is hedged.
    // What the fleet may send to a cold endpoint within a second: this multiple of the service's limit, and so many
    // requests besides.
    double coldOverrun = 1;
    double coldSlack = 0;
    // Whether large bodies of requests that can wait are deferred while the link is busy.
    bool admission = false;
    // Receive buffer of callers' connections if `admission` is set, so that less of a body is under way before its
    // request is admitted. 0: the system's default.
    int admissionWindowBytes = 0;
    bool shareSpeeds = false; // Whether the speeds of engines are observed, shared with other routers and used.
    // Of all data centres; needed where routes or customers are bound to regions.
    std::map<DataCentreId, RegionId> regions;
    Duration addressesFor = std::chrono::seconds(2); // How long callers keep an address answer.
};

bool hasGatewaySettings(std::string_view text);

std::optional<GatewaySettings> parseGatewaySettings(std::string_view text,
                                                    std::string_view fileName,
                                                    LastReason &reason);

} // namespace Godwit
