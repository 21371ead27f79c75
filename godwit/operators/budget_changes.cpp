#include "godwit/operators/budget_changes.h"

#include <memory>

namespace Godwit
{
namespace
{

constexpr int MaxTries = 12;
constexpr Duration AwayRetry = std::chrono::seconds(2);

Error platformAway()
{
    Error error{ErrorKind::PlatformAway, "the platform's service did not answer; nothing is known to have changed"};
    error.execution = Execution::Unknown;
    error.retryAfter = AwayRetry;
    return error;
}

KvCommand getCommand(const std::string &key)
{
    KvCommand command;
    command.verb = KvVerb::Get;
    command.key = key;
    return command;
}

// One change on its way through reads and writes.
struct ShardEdit
{
    Platform &platform;
    std::string key;
    ShardChange change;
    ShardChanged done;
    int tries = 0;
};

void readAndApply(const std::shared_ptr<ShardEdit> &edit);

void writeBack(const std::shared_ptr<ShardEdit> &edit, std::uint64_t version, ShardRecord shard)
{
    KvCommand command;
    command.verb = KvVerb::CompareAndSwap;
    command.key = edit->key;
    command.expectedVersion = version;
    command.value = encodeShard(shard);
    if (command.value.size() > MaxRecordBytes) {
        edit->done(std::nullopt,
                   Error{ErrorKind::Overloaded, "the shard of this budget is full; raise the number of shards"});
        return;
    }
    edit->platform.execute(std::move(command), [edit, shard = std::move(shard)](const KvReply &reply) mutable {
        if (reply.status == KvStatus::Ok) {
            edit->done(std::move(shard), std::nullopt);
            return;
        }
        // A conflict or a lost answer: look at what stands now. The operation's id keeps a change that did take
        // effect from being applied again.
        readAndApply(edit);
    });
}

void applyTo(const std::shared_ptr<ShardEdit> &edit, const KvReply &reply)
{
    LastReason reason;
    auto shard =
        decodeShard(reply.status == KvStatus::NotFound ? std::string_view() : std::string_view(reply.value), reason);
    if (!shard) {
        edit->done(std::nullopt, reason);
        return;
    }
    const std::string before = encodeShard(*shard);
    if (!edit->change(*shard, reason)) {
        edit->done(std::nullopt, reason);
        return;
    }
    if (encodeShard(*shard) == before) {
        edit->done(std::move(*shard), std::nullopt);
        return;
    }
    writeBack(edit, reply.status == KvStatus::NotFound ? 0 : reply.version, std::move(*shard));
}

void readAndApply(const std::shared_ptr<ShardEdit> &edit)
{
    if (++edit->tries > MaxTries) {
        edit->done(std::nullopt, platformAway());
        return;
    }
    edit->platform.execute(getCommand(edit->key), [edit](const KvReply &reply) {
        if (reply.status == KvStatus::Ok || reply.status == KvStatus::NotFound) {
            applyTo(edit, reply);
        } else {
            edit->done(std::nullopt, platformAway());
        }
    });
}

} // namespace

void changeShard(Platform &platform, const std::string &key, ShardChange change, ShardChanged done)
{
    readAndApply(std::make_shared<ShardEdit>(ShardEdit{platform, key, std::move(change), std::move(done)}));
}

void readShard(Platform &platform, const std::string &key, ShardChanged done)
{
    changeShard(
        platform,
        key,
        [](ShardRecord &, LastReason &) {
            return true;
        },
        std::move(done));
}

void resolveDoubtOf(Platform &platform, const Incarnation &incarnation, std::function<void(LastReason)> done)
{
    const std::string key = ledgerKey(incarnation);
    platform.execute(getCommand(key), [&platform, key, done = std::move(done)](const KvReply &reply) {
        LastReason reason;
        if (reply.status == KvStatus::NotFound) {
            done(Error{ErrorKind::UnknownObject, "no ledger '" + key + "'"});
            return;
        }
        auto ledger = reply.status == KvStatus::Ok ? decodeLedger(reply.value, reason) : std::nullopt;
        if (!ledger) {
            done(reason ? reason : LastReason(platformAway()));
            return;
        }
        if (!resolveDoubt(*ledger, reason)) {
            done(reason);
            return;
        }
        KvCommand command;
        command.verb = KvVerb::CompareAndSwap;
        command.key = key;
        command.expectedVersion = reply.version;
        command.value = encodeLedger(*ledger);
        platform.execute(std::move(command), [done](const KvReply &written) {
            if (written.status == KvStatus::Ok) {
                done(std::nullopt);
            } else {
                done(platformAway());
            }
        });
    });
}

} // namespace Godwit
