#pragma once

// The platform of a searched model: its values, and the commands between the routers and it.

#include "godwit/base/kv.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Godwit::Scenarios
{

enum class FlightStage {
    Sent, // Not carried out yet.
    Applied, // Carried out; its answer is on the way.
    Late, // Its sender was told Unknown; it may still be carried out.
};

struct Flight
{
    std::size_t router = 0;
    KvCommand command;
    FlightStage stage = FlightStage::Sent;
    KvReply reply;
};

struct ModelValue
{
    std::uint64_t version = 0;
    std::string value;
};

struct ModelPlatform
{
    std::map<std::string, ModelValue> values;
    std::vector<Flight> flights;

    KvReply carryOut(const KvCommand &command)
    {
        KvReply reply;
        reply.tag = command.tag;
        const auto found = values.find(command.key);
        const std::uint64_t version = found == values.end() ? 0 : found->second.version;
        reply.version = version;
        reply.value = version == 0 ? "" : found->second.value;
        if (command.verb == KvVerb::Get) {
            reply.status = version == 0 ? KvStatus::NotFound : KvStatus::Ok;
        } else if (version != command.expectedVersion) {
            reply.status = KvStatus::Conflict;
        } else {
            reply.status = KvStatus::Ok;
            reply.value.clear();
            reply.version = version + 1;
            if (command.verb == KvVerb::Delete) {
                values.erase(command.key);
            } else {
                values[command.key] = {version + 1, command.value};
            }
        }
        return reply;
    }
};

} // namespace Godwit::Scenarios
