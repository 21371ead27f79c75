#include "godwit/membership/simulated_platform.h"

namespace Godwit::Simulation
{

void SimulatedPlatform::lapse(TimePoint now)
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.until > now) {
            ++lease;
            continue;
        }
        for (auto stored = m_store.begin(); stored != m_store.end();) {
            stored = stored->second.lease == lease->first ? m_store.erase(stored) : std::next(stored);
        }
        lease = m_leases.erase(lease);
    }
}

KvReply SimulatedPlatform::write(const KvCommand &command, KvReply reply)
{
    const auto found = m_store.find(command.key);
    const std::uint64_t version = found == m_store.end() ? 0 : found->second.version;
    if (version != command.expectedVersion) {
        reply.status = KvStatus::Conflict;
        reply.version = version;
        reply.value = found == m_store.end() ? std::string() : found->second.value;
        return reply;
    }
    if (command.verb == KvVerb::Delete) {
        m_store.erase(command.key);
        return reply;
    }
    if (!command.lease.empty() && m_leases.count(command.lease) == 0) {
        reply.status = KvStatus::Rejected;
        return reply;
    }
    reply.version = m_nextVersion++;
    m_store[command.key] = {reply.version, command.value, command.lease};
    return reply;
}

KvReply SimulatedPlatform::apply(const KvCommand &command, TimePoint now)
{
    ++calls;
    lapse(now);
    KvReply reply;
    reply.tag = command.tag;
    reply.status = KvStatus::Ok;
    if (command.verb == KvVerb::GrantLease) {
        const Duration length = std::chrono::milliseconds(std::stol(command.value));
        reply.value = "lease-" + std::to_string(m_nextVersion++);
        m_leases[reply.value] = {now + length, length};
        return reply;
    }
    if (command.verb == KvVerb::RenewLease) {
        const auto lease = m_leases.find(command.key);
        if (lease == m_leases.end()) {
            reply.status = KvStatus::NotFound;
        } else {
            lease->second.until = now + lease->second.length;
        }
        return reply;
    }
    if (command.verb != KvVerb::Get) {
        return write(command, std::move(reply));
    }
    const auto found = m_store.find(command.key);
    if (found == m_store.end()) {
        reply.status = KvStatus::NotFound;
        return reply;
    }
    reply.version = found->second.version;
    reply.value = found->second.value;
    return reply;
}

std::uint64_t SimulatedPlatform::versionOf(const std::string &key, TimePoint now)
{
    KvCommand read;
    read.key = key;
    return apply(read, now).version;
}

} // namespace Godwit::Simulation
