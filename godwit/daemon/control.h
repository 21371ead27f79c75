#pragma once

// The control thread: runs the kernel on real time and carries out what it decides.
//
// Traffic threads post call events to it; platform, routers and operators are reached from its io_context. All state
// of the kernel lives on this one thread, so no decision needs a lock.
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
    // SHA-256 of the token that opens a fleet without an owner; empty for none.
    std::string bootstrapDigest;
};

class Control
{
public:
    Control(Settings settings, ControlOptions options);
    ~Control();

    // Opens all listeners and starts the traffic threads.
    bool start(LastReason &reason);

    // Runs until a drain has finished or stopNow(). Returns whether everything was finished and given back.
    bool run();

    // Starts a drain. Safe on any thread and in a signal handler's continuation.
    void drain();

    // Where the listeners are, once started.
    std::string callerAddress() const;
    std::string peerAddress() const;
    std::string operatorAddress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Godwit
