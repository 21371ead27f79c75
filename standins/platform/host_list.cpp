#include "standins/platform/host_list.h"

#include <utility>

namespace Godwit::Standins
{

void setHost(HostList &list, const std::string &host, nlohmann::json record, TimePoint now)
{
    record["host"] = host;
    list.pending.push_back({now + list.lag, host, std::move(record)});
}

void removeHost(HostList &list, const std::string &host, TimePoint now)
{
    list.pending.push_back({now + list.lag, host, nullptr});
}

const std::map<std::string, nlohmann::json> &visibleHosts(HostList &list, TimePoint now)
{
    while (!list.pending.empty() && list.pending.front().due <= now) {
        HostList::Change change = std::move(list.pending.front());
        list.pending.pop_front();
        if (change.record.is_null()) {
            list.visible.erase(change.host);
        } else {
            list.visible[change.host] = std::move(change.record);
        }
    }
    return list.visible;
}

} // namespace Godwit::Standins
