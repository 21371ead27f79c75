#pragma once

// Where a call on a traffic thread waits for the control thread's commands.
//
// Example, on the traffic thread:
//   CallMailbox mailbox(io);
//   registry.add(call, &mailbox);
//   std::optional<CallCommand> command = mailbox.wait(yield);
//
// Not thread-safe: all functions run on the traffic thread; commands are posted to it.

#include "godwit/kernel/call_messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>

namespace Godwit
{

class CallMailbox
{
public:
    explicit CallMailbox(boost::asio::io_context &io);

    void deliver(CallCommand command);

    // The caller's connection closed. wait() returns nullopt from now on.
    void closeByCaller();

    // Waits for the next command; nullopt when the caller is gone.
    std::optional<CallCommand> wait(const boost::asio::yield_context &yield);

    bool callerGone() const
    {
        return m_callerGone;
    }
    bool hasCommand() const
    {
        return !m_commands.empty();
    }

    // Called when a command or the caller's leaving comes while the call is busy at an endpoint.
    std::function<void()> interrupt;

private:
    boost::asio::steady_timer m_wake;
    std::deque<CallCommand> m_commands;
    bool m_callerGone = false;
};

// The mailboxes of one traffic thread, by call. Commands for calls that have ended are dropped.
class CallRegistry
{
public:
    void add(CallId call, CallMailbox *mailbox);
    void remove(CallId call);
    void deliver(CallCommand command);
    std::size_t size() const
    {
        return m_mailboxes.size();
    }

private:
    std::unordered_map<std::uint64_t, CallMailbox *> m_mailboxes;
};

} // namespace Godwit
