#include "godwit/daemon/prefix_messages.h"

#include "godwit/daemon/fleet_messages.h"

#include <nlohmann/json.hpp>

namespace Godwit
{
namespace
{

using nlohmann::json;
using namespace internal;

constexpr std::int64_t NoOutage = -1;
constexpr std::int64_t OutageUnknown = -2;

std::int64_t toMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

json encodeItems(const std::vector<StoreItem> &items)
{
    json rows = json::array();
    for (const StoreItem &item : items) {
        rows.push_back(json::array({item.key, item.value, item.revision, item.removed}));
    }
    return rows;
}

std::vector<StoreItem> decodeItems(const json &rows)
{
    std::vector<StoreItem> items;
    items.reserve(rows.size());
    for (const json &row : rows) {
        items.push_back(StoreItem{row.at(0).get<std::string>(),
                                  row.at(1).get<std::string>(),
                                  row.at(2).get<std::uint64_t>(),
                                  row.at(3).get<bool>()});
    }
    return items;
}

// Parts in one flat array: offset and length for a range of the base, a string for new bytes.
json encodeDelta(const ItemDelta &delta)
{
    json parts = json::array();
    for (const ValueDelta::Part &part : delta.value.parts) {
        if (part.length > 0) {
            parts.push_back(part.offset);
            parts.push_back(part.length);
        } else {
            parts.push_back(part.bytes);
        }
    }
    return json::array({delta.key, delta.revision, delta.value.hash, std::move(parts)});
}

ItemDelta decodeDelta(const json &row)
{
    ItemDelta delta;
    delta.key = row.at(0).get<std::string>();
    delta.revision = row.at(1).get<std::uint64_t>();
    delta.value.hash = row.at(2).get<std::uint64_t>();
    const json &parts = row.at(3);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (parts.at(i).is_string()) {
            delta.value.parts.push_back({0, 0, parts.at(i).get<std::string>()});
        } else {
            delta.value.parts.push_back({parts.at(i).get<std::uint64_t>(), parts.at(i + 1).get<std::uint64_t>(), {}});
            ++i;
        }
    }
    return delta;
}

std::int64_t encodeRecovery(const StoreRecovery &storeRecovery)
{
    if (!storeRecovery.known) {
        return OutageUnknown;
    }
    return storeRecovery.ago ? toMilliseconds(*storeRecovery.ago) : NoOutage;
}

StoreRecovery decodeRecovery(std::int64_t value)
{
    StoreRecovery storeRecovery;
    storeRecovery.known = value != OutageUnknown;
    if (value >= 0) {
        storeRecovery.ago = std::chrono::milliseconds(value);
    }
    return storeRecovery;
}

// Times are encoded in microseconds; 0 if not set.
std::int64_t encodeTime(const std::optional<TimePoint> &time)
{
    return time ? time->time_since_epoch().count() : 0;
}

// Decodes the time at `index`, which messages of earlier versions lack.
std::optional<TimePoint> decodeTime(const json &message, std::size_t index)
{
    const std::int64_t value = index < message.size() ? message.at(index).get<std::int64_t>() : 0;
    return value == 0 ? std::nullopt : std::optional(TimePoint(Duration(value)));
}

// Calls `read` with the parsed message; an exception from it means that the message is malformed.
template<typename Message, typename Read>
std::optional<Message> decode(const std::string &bytes, Read read)
{
    const json message = decodeFleetMessage(bytes);
    if (!message.is_array()) {
        return std::nullopt;
    }
    try {
        return read(message);
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

json encodeState(const PrefixState &state)
{
    return json::array({state.prefix, state.completeTo, state.digest, state.newestRevision});
}

PrefixState decodeState(const json &row)
{
    return PrefixState{row.at(0).get<std::string>(),
                       row.at(1).get<std::uint64_t>(),
                       row.at(2).get<std::uint64_t>(),
                       row.at(3).get<std::uint64_t>()};
}

std::string encodeUpdate(const PrefixUpdate &update)
{
    json deltas = json::array();
    for (const ItemDelta &delta : update.deltas) {
        deltas.push_back(encodeDelta(delta));
    }
    return encodeFleetMessage(json::array({encodeState(update.state),
                                           update.fromFullRead,
                                           update.truncated,
                                           encodeRecovery(update.storeRecovery),
                                           encodeItems(update.changes),
                                           std::move(deltas),
                                           encodeTime(update.readStartedAt)}));
}

std::optional<PrefixUpdate> decodeUpdate(const std::string &bytes)
{
    return decode<PrefixUpdate>(bytes, [](const json &message) {
        PrefixUpdate update;
        update.state = decodeState(message.at(0));
        update.fromFullRead = message.at(1).get<bool>();
        update.truncated = message.at(2).get<bool>();
        update.storeRecovery = decodeRecovery(message.at(3).get<std::int64_t>());
        update.changes = decodeItems(message.at(4));
        for (const json &row : message.at(5)) {
            update.deltas.push_back(decodeDelta(row));
        }
        update.readStartedAt = decodeTime(message, 6);
        return update;
    });
}

std::string encodeSnapshot(const PrefixSnapshot &snapshot)
{
    return encodeFleetMessage(json::array({encodeState(snapshot.state),
                                           toMilliseconds(snapshot.age),
                                           snapshot.timestamp,
                                           snapshot.items ? encodeItems(*snapshot.items) : json(),
                                           toMilliseconds(snapshot.aheadFor),
                                           snapshot.deferred,
                                           encodeTime(snapshot.askedAt),
                                           encodeTime(snapshot.answeredAt),
                                           encodeTime(snapshot.confirmedAt)}));
}

std::optional<PrefixSnapshot> decodeSnapshot(const std::string &bytes)
{
    return decode<PrefixSnapshot>(bytes, [](const json &message) {
        PrefixSnapshot snapshot;
        snapshot.state = decodeState(message.at(0));
        snapshot.age = std::chrono::milliseconds(message.at(1).get<std::int64_t>());
        snapshot.timestamp = message.at(2).get<std::int64_t>();
        if (!message.at(3).is_null()) {
            snapshot.items = decodeItems(message.at(3));
        }
        snapshot.aheadFor = std::chrono::milliseconds(message.at(4).get<std::int64_t>());
        // Absent in messages of earlier versions.
        snapshot.deferred = message.size() > 5 && message.at(5).get<bool>();
        snapshot.askedAt = decodeTime(message, 6);
        snapshot.answeredAt = decodeTime(message, 7);
        snapshot.confirmedAt = decodeTime(message, 8);
        return snapshot;
    });
}

std::string encodeSnapshotRequest(const SnapshotRequest &request)
{
    return encodeFleetMessage(json::array({request.prefix,
                                           request.timestamp,
                                           request.digest,
                                           request.stateOnly,
                                           request.newestRevision,
                                           encodeTime(request.askedAt)}));
}

std::optional<SnapshotRequest> decodeSnapshotRequest(const std::string &bytes)
{
    return decode<SnapshotRequest>(bytes, [](const json &message) {
        return SnapshotRequest{message.at(0).get<std::string>(),
                               message.at(1).get<std::int64_t>(),
                               message.at(2).get<std::uint64_t>(),
                               message.at(3).get<bool>(),
                               message.at(4).get<std::uint64_t>(),
                               decodeTime(message, 5)};
    });
}

} // namespace Godwit
