#pragma once

// An in-memory key-value service for tests, with its faults as switches.
//
// Example:
//   FakeKv kv;
//   KvCommand get;
//   get.key = "budgets/0";
//   KvReply reply = applyCommand(kv, get);

#include "godwit/base/kv.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace Godwit
{

struct FakeKvEntry
{
    std::uint64_t version = 0;
    std::string value;
};

struct FakeKv
{
    std::map<std::string, FakeKvEntry> entries;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0; // Compare-and-swaps and deletes, also those that conflict.
    std::uint64_t conflicts = 0;
    std::uint64_t bytesWritten = 0;

    // Faults.
    bool down = false; // Refuses all commands.
    bool silent = false; // Takes no command and gives no answer.
    unsigned loseAnswers = 0; // So many of the next writes take effect, but their answers are lost.
    unsigned delayWrites = 0; // So many of the next writes take effect after `delay`, long after the caller gave up.
    unsigned refuseWrites = 0; // So many of the next writes conflict as if another writer had been faster.
    Duration delay = std::chrono::seconds(2);
};

// Carries out a command as a service without faults does.
inline KvReply applyCommand(FakeKv &kv, const KvCommand &command)
{
    KvReply reply;
    reply.tag = command.tag;
    const auto found = kv.entries.find(command.key);
    const std::uint64_t version = found == kv.entries.end() ? 0 : found->second.version;
    if (command.verb == KvVerb::Get) {
        ++kv.reads;
        reply.status = version == 0 ? KvStatus::NotFound : KvStatus::Ok;
        reply.version = version;
        reply.value = version == 0 ? "" : found->second.value;
        return reply;
    }
    ++kv.writes;
    const bool refused = kv.refuseWrites > 0;
    if (version != command.expectedVersion || refused) {
        kv.refuseWrites -= refused ? 1 : 0;
        ++kv.conflicts;
        reply.status = KvStatus::Conflict;
        reply.version = version;
        reply.value = version == 0 ? "" : found->second.value;
        return reply;
    }
    reply.status = KvStatus::Ok;
    if (command.verb == KvVerb::Delete) {
        kv.entries.erase(command.key);
        return reply;
    }
    kv.bytesWritten += command.value.size();
    kv.entries[command.key] = {version + 1, command.value};
    reply.version = version + 1;
    return reply;
}

} // namespace Godwit
