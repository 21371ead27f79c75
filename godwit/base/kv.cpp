#include "godwit/base/kv.h"

#include "godwit/base/enum_names.h"

namespace Godwit
{
namespace
{

constexpr EnumName<KvStatus> KvStatusNames[] = {
    {KvStatus::Ok, "ok"},
    {KvStatus::NotFound, "not_found"},
    {KvStatus::Conflict, "conflict"},
    {KvStatus::Rejected, "rejected"},
    {KvStatus::Unknown, "unknown"},
};

} // namespace

std::string_view kvStatusName(KvStatus status)
{
    return enumName(KvStatusNames, status);
}

} // namespace Godwit
