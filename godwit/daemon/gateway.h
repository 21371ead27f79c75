#pragma once

// One router process of the fleet on the users' platform: connects callers, endpoints, the
// platform's store and the other routers.
//
// Single-threaded. run() returns after the graceful shutdown that SIGTERM or SIGINT starts.
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
    // `settingsFile` is reloaded on SIGHUP and when its content has changed.
    Gateway(GatewaySettings settings, std::string settingsFile);
    ~Gateway();

    // Opens the listeners and starts to read the store. Returns false, with `reason` set,
    // if a listener can't be opened.
    bool start(LastReason &reason);

    // Runs the event loop. Returns true if all tokens that this router held were returned to the ledger.
    bool run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Godwit
