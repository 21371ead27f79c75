#include "godwit/relay/lending_protocol.h"

#include "godwit/base/enum_names.h"

#include <array>

namespace Godwit
{
namespace
{

constexpr EnumName<LendingPurpose> PurposeNames[] = {
    {LendingPurpose::Lend, "LEND"},
    {LendingPurpose::Probe, "PROBE"},
};

constexpr EnumName<LendingReply> ReplyNames[] = {
    {LendingReply::Connected, "connected"},
    {LendingReply::Refused, "refused"},
    {LendingReply::Unreachable, "unreachable"},
    {LendingReply::Partitioned, "partitioned"},
    {LendingReply::NotListed, "not_listed"},
    {LendingReply::Busy, "busy"},
    {LendingReply::Leaving, "leaving"},
    {LendingReply::Denied, "denied"},
    {LendingReply::NoReply, "no_reply"},
};

} // namespace

std::string_view lendingReplyName(LendingReply reply)
{
    return enumName(ReplyNames, reply);
}

std::string encodeLendingRequest(const LendingRequest &request)
{
    std::string line(enumName(PurposeNames, request.purpose));
    for (const std::string_view field : {std::string_view(request.secret),
                                         std::string_view(request.endpoint.value),
                                         std::string_view(request.address)}) {
        line.append(1, ' ').append(field);
    }
    return line.append(1, '\n');
}

std::optional<LendingRequest> decodeLendingRequest(std::string_view line)
{
    if (!line.empty() && line.back() == '\n') {
        line.remove_suffix(1);
    }
    std::array<std::string_view, 4> fields;
    for (std::size_t i = 0; i < fields.size(); ++i) {
        const std::size_t end = line.find(' ');
        const bool last = i + 1 == fields.size();
        if (last != (end == std::string_view::npos)) {
            return std::nullopt;
        }
        fields[i] = line.substr(0, end);
        line.remove_prefix(last ? line.size() : end + 1);
    }
    const auto purpose = enumFromName(PurposeNames, fields[0]);
    if (!purpose || fields[1].empty() || fields[2].empty() || fields[3].empty()) {
        return std::nullopt;
    }
    return LendingRequest{*purpose, std::string(fields[1]), EndpointId{std::string(fields[2])}, std::string(fields[3])};
}

LendingReply decodeLendingReply(char byte)
{
    for (const auto &entry : ReplyNames) {
        if (static_cast<char>(entry.value) == byte) {
            return entry.value;
        }
    }
    return LendingReply::NoReply;
}

} // namespace Godwit
