#pragma once

// One router of the fleet on the users' platform: joins callers, endpoints, the store and the other routers.
//
// Runs on one thread. run() returns when the router has stopped after SIGTERM or SIGINT.
//
// Example:
//   Gateway gateway(settings);
//   LastReason reason;
//   if (!gateway.start(reason)) { ... }
//   gateway.run();

#include "godwit/base/error.h"
#include "godwit/config/gateway_settings.h"

#include <memory>
#include <string>

namespace Godwit
{

class Gateway
{
public:
    // `settingsFile` is read again on SIGHUP and when it has changed.
    Gateway(GatewaySettings settings, std::string settingsFile);
    ~Gateway();

    bool start(LastReason &reason);

    // True when everything held was given back.
    bool run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Godwit
