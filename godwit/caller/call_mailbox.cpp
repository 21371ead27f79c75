#include "godwit/caller/call_mailbox.h"

namespace Godwit
{

CallMailbox::CallMailbox(boost::asio::io_context &io)
    : m_wake(io)
{
    m_wake.expires_at(boost::asio::steady_timer::time_point::max());
}

void CallMailbox::deliver(CallCommand command)
{
    m_commands.push_back(std::move(command));
    m_wake.cancel();
    if (interrupt) {
        interrupt();
    }
}

void CallMailbox::closeByCaller()
{
    m_callerGone = true;
    m_wake.cancel();
    if (interrupt) {
        interrupt();
    }
}

std::optional<CallCommand> CallMailbox::wait(const boost::asio::yield_context &yield)
{
    while (m_commands.empty() && !m_callerGone) {
        boost::system::error_code cancelled;
        m_wake.async_wait(yield[cancelled]);
    }
    if (m_callerGone) {
        return std::nullopt;
    }
    CallCommand command = std::move(m_commands.front());
    m_commands.pop_front();
    return command;
}

void CallRegistry::add(CallId call, CallMailbox *mailbox)
{
    m_mailboxes[call.value] = mailbox;
}

void CallRegistry::remove(CallId call)
{
    m_mailboxes.erase(call.value);
}

void CallRegistry::deliver(CallCommand command)
{
    const auto found = m_mailboxes.find(callOf(command).value);
    if (found != m_mailboxes.end()) {
        found->second->deliver(std::move(command));
    }
}

} // namespace Godwit
