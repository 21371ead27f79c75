#include "godwit/membership/platform_lease.h"

#include <algorithm>

namespace Godwit
{

PlatformLease makePlatformLease(PlatformLeaseOptions options)
{
    PlatformLease lease;
    lease.options = options;
    return lease;
}

bool leaseHeld(const PlatformLease &lease, TimePoint now)
{
    return !lease.id.empty() && now < lease.validUntil;
}

Duration leaseRemaining(const PlatformLease &lease, TimePoint now)
{
    return leaseHeld(lease, now) ? lease.validUntil - now : Duration::zero();
}

std::vector<KvCommand> onTick(PlatformLease &lease, TimePoint now)
{
    std::vector<KvCommand> commands;
    if (lease.openTag != 0 || now < lease.nextAttempt) {
        return commands;
    }
    KvCommand command;
    command.tag = lease.options.tagBase + lease.nextTag++;
    if (lease.id.empty()) {
        const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(lease.options.timeToLive);
        command.verb = KvVerb::GrantLease;
        command.value = std::to_string(length.count());
    } else {
        command.verb = KvVerb::RenewLease;
        command.key = lease.id;
    }
    lease.openTag = command.tag;
    lease.sentAt = now;
    commands.push_back(std::move(command));
    return commands;
}

bool onKvReply(PlatformLease &lease, const KvReply &reply, TimePoint now)
{
    if (lease.openTag == 0 || reply.tag != lease.openTag) {
        return false;
    }
    lease.openTag = 0;
    if (reply.status == KvStatus::Ok) {
        if (lease.id.empty()) {
            lease.id = reply.value;
            ++lease.generation;
        }
        // From the sending, not from the answer: the platform may have started the time at once and the answer may
        // have been held up, and a holder that counts from the answer would believe longer than the platform.
        const TimePoint until = lease.sentAt + lease.options.timeToLive - lease.options.margin;
        lease.validUntil = std::max(lease.validUntil, until);
        lease.nextAttempt = lease.sentAt + lease.options.renewEvery;
        return true;
    }
    if (reply.status == KvStatus::NotFound) {
        lease.id.clear();
        lease.validUntil = {};
        lease.nextAttempt = now;
        return true;
    }
    lease.nextAttempt = now + lease.options.retryEvery;
    return true;
}

TimePoint nextWake(const PlatformLease &lease)
{
    return lease.openTag != 0 ? TimePoint::max() : lease.nextAttempt;
}

} // namespace Godwit
