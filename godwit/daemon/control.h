#pragma once

// The control thread: runs the kernel in real time and executes its actions.
//
// Traffic threads post call events to it; platform, routers and operators are handled on its io_context. All kernel
// state belongs to this thread, so decisions need no locks.
//
// Example:
//   Control control(settings, "bootstrap token's digest");
//   LastReason reason;
//   if (!control.start(reason)) { ... }
//   control.run();  // Until drained.

#include "godwit/base/error.h"
#include "godwit/config/settings.h"

#include <memory>
#include <string>

namespace Godwit
{

struct ControlOptions
{
    // SHA-256 of the token that authorizes access to a fleet without a configured owner; empty for none.
    std::string bootstrapDigest;
};

class Control
{
public:
    Control(Settings settings, ControlOptions options);
    ~Control();

    // Opens all listeners and starts the traffic threads.
    bool start(LastReason &reason);

    // Runs until a drain has finished or timed out. Returns whether all calls were finished and all budgets returned.
    bool run();

    // Starts a drain. Thread-safe; may also be called from the completion handler of a signal.
    void drain();

    // Addresses of the listeners, valid after start().
    std::string callerAddress() const;
    std::string peerAddress() const;
    std::string operatorAddress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Godwit
