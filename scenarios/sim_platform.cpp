#include "scenarios/sim_platform.h"

#include <nlohmann/json.hpp>

namespace Godwit::Scenarios
{
namespace
{

// When a client stops waiting for an answer.
constexpr Duration ClientTimeout = std::chrono::seconds(1);

constexpr Duration NormalDelay = std::chrono::milliseconds(2);

bool isWrite(const KvCommand &command)
{
    return command.verb == KvVerb::CompareAndSwap || command.verb == KvVerb::Delete;
}

bool takeOne(std::int64_t &count)
{
    const bool some = count > 0;
    count -= some ? 1 : 0;
    return some;
}

} // namespace

std::string SimPlatform::listing(const std::string &prefix) const
{
    auto keys = nlohmann::json::array();
    for (auto it = m_values.lower_bound(prefix); it != m_values.end() && it->first.rfind(prefix, 0) == 0; ++it) {
        keys.push_back({{"key", it->first}, {"version", it->second.version}});
    }
    return keys.dump();
}

KvReply SimPlatform::write(const KvCommand &command)
{
    KvReply reply;
    reply.tag = command.tag;
    const auto found = m_values.find(command.key);
    const std::uint64_t version = found == m_values.end() ? 0 : found->second.version;
    if (version != command.expectedVersion || takeOne(m_conflicts)) {
        reply.status = KvStatus::Conflict;
        reply.version = version;
        reply.value = version == 0 ? "" : found->second.value;
        return reply;
    }
    reply.status = KvStatus::Ok;
    if (command.verb == KvVerb::Delete) {
        m_values.erase(command.key);
    } else {
        reply.version = version + 1;
        m_values[command.key] = {reply.version, command.value};
    }
    if (onWrite) {
        onWrite(command.key, reply.version);
    }
    return reply;
}

KvReply SimPlatform::applied(const KvCommand &command)
{
    if (isWrite(command)) {
        return write(command);
    }
    KvReply reply;
    reply.tag = command.tag;
    reply.status = KvStatus::Ok;
    if (command.verb == KvVerb::List) {
        reply.value = listing(command.key);
    } else if (command.verb == KvVerb::Get) {
        const auto found = m_values.find(command.key);
        if (found == m_values.end()) {
            reply.status = KvStatus::NotFound;
        } else {
            reply.version = found->second.version;
            reply.value = found->second.value;
        }
    }
    return reply;
}

void SimPlatform::execute(const KvCommand &command, bool reachable, const Reply &reply)
{
    KvReply failed;
    failed.tag = command.tag;
    failed.status = m_state == PlatformState::Down ? KvStatus::Rejected : KvStatus::Unknown;
    const auto answer = [this, reply](Duration delay, const KvReply &answered) {
        m_clock.at(delay, [reply, answered] {
            reply(answered);
        });
    };
    if (!reachable || m_state == PlatformState::Silent) {
        failed.status = KvStatus::Unknown;
        answer(ClientTimeout, failed);
        return;
    }
    if (m_state == PlatformState::Down) {
        answer(m_delay, failed);
        return;
    }
    const bool lateWrite = isWrite(command) && takeOne(m_lateWrites);
    const bool lost = lateWrite || (isWrite(command) && takeOne(m_loseAnswers));
    const Duration until = lateWrite ? m_lateBy : m_delay / 2;
    if (lost || m_delay > ClientTimeout) {
        answer(ClientTimeout, failed);
        m_clock.at(until, [this, command] {
            applied(command);
        });
        return;
    }
    m_clock.at(until, [this, command, answer] {
        answer(m_delay / 2, applied(command));
    });
}

void SimPlatform::change(const std::string &key, const std::function<bool(std::string &value)> &edit)
{
    StoredValue &stored = m_values[key];
    if (edit(stored.value)) {
        ++stored.version;
    }
}

void SimPlatform::apply(const PlatformChange &change)
{
    if (change.state) {
        m_state = *change.state;
    }
    if (change.state == PlatformState::Up) {
        m_delay = NormalDelay;
        m_loseAnswers = 0;
        m_lateWrites = 0;
        m_conflicts = 0;
    }
    m_delay = change.delay.value_or(m_delay);
    m_loseAnswers += change.loseAnswers;
    m_lateWrites += change.lateWrites;
    m_lateBy = change.lateWrites > 0 ? change.lateBy : m_lateBy;
    m_conflicts += change.conflicts;
}

} // namespace Godwit::Scenarios
