#include "godwit/orders/weight_rate.h"

#include "godwit/base/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Godwit
{
namespace
{

// The newest reservations stay in the record so that their makers recognise them after a lost answer.
constexpr std::size_t MaxRemembered = 64;

struct Reservation
{
    std::string id;
    WallTime start{};
};

struct Record
{
    WallTime freeAt{};
    std::vector<Reservation> reservations; // Oldest first.
};

WallTime wallFrom(const nlohmann::json &json)
{
    return WallTime(std::chrono::milliseconds(json.get<std::int64_t>()));
}

// An unreadable record counts as an empty one: the rate may be exceeded once, loads don't stop for ever.
Record decodeRecord(const std::string &text)
{
    Record record;
    try {
        const auto json = parseJson(text);
        record.freeAt = wallFrom(json.at("free_at"));
        for (const auto &row : json.at("reservations")) {
            record.reservations.push_back({row.at(0).get<std::string>(), wallFrom(row.at(1))});
        }
    } catch (const nlohmann::json::exception &) {
        record = {};
    }
    return record;
}

std::string encodeRecord(const Record &record)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const Reservation &reservation : record.reservations) {
        rows.push_back({reservation.id, reservation.start.time_since_epoch().count()});
    }
    const nlohmann::json json = {{"free_at", record.freeAt.time_since_epoch().count()},
                                 {"reservations", std::move(rows)}};
    return json.dump();
}

// A write whose answer got lost may stand. Reserving again would waste the store's time and delay every load.
void recogniseOwn(WeightRate &rate)
{
    for (const Reservation &reservation : decodeRecord(rate.record).reservations) {
        if (rate.wanted.erase(reservation.id) > 0) {
            rate.granted[reservation.id] = reservation.start;
        }
    }
}

Record reserveWanted(WeightRate &rate, WallTime wall)
{
    Record record = decodeRecord(rate.record);
    record.freeAt = std::max(record.freeAt, wall);
    rate.asked.clear();
    for (const auto &[id, bytes] : rate.wanted) {
        if (record.freeAt - wall > rate.options.maxAhead || rate.asked.size() >= MaxRemembered / 2) {
            break;
        }
        record.reservations.push_back({id, record.freeAt});
        const double seconds = static_cast<double>(bytes) / rate.options.bytesPerSecond;
        const std::chrono::duration<double> needed(seconds);
        record.freeAt += std::chrono::duration_cast<std::chrono::milliseconds>(needed) + std::chrono::milliseconds(1);
        rate.asked.push_back(id);
    }
    if (record.reservations.size() > MaxRemembered) {
        const auto excess = static_cast<std::ptrdiff_t>(record.reservations.size() - MaxRemembered);
        record.reservations.erase(record.reservations.begin(), record.reservations.begin() + excess);
    }
    return record;
}

KvCommand makeCommand(WeightRate &rate, KvVerb verb)
{
    KvCommand command;
    command.tag = rate.options.tagBase + rate.nextTag++;
    command.verb = verb;
    command.key = std::string(WeightRateKey);
    rate.openTag = command.tag;
    return command;
}

} // namespace

WeightRate makeWeightRate(WeightRateOptions options)
{
    WeightRate rate;
    rate.options = options;
    return rate;
}

bool reserve(WeightRate &rate, const std::string &id, std::uint64_t bytes)
{
    if (rate.granted.count(id) > 0 || rate.wanted.count(id) > 0) {
        return true;
    }
    if (rate.wanted.size() >= rate.options.maxWanted) {
        return false;
    }
    rate.wanted.emplace(id, bytes);
    return true;
}

void cancel(WeightRate &rate, const std::string &id)
{
    rate.wanted.erase(id);
    rate.granted.erase(id);
}

bool isVoid(const WeightRate &rate, const std::string &id, WallTime wall)
{
    const auto found = rate.granted.find(id);
    return found != rate.granted.end() && wall - found->second > rate.options.usableFor;
}

bool mayLoad(const WeightRate &rate, const std::string &id, WallTime wall)
{
    if (rate.options.faultNoSharing) {
        return true;
    }
    const auto found = rate.granted.find(id);
    return found != rate.granted.end() && found->second <= wall && !isVoid(rate, id, wall);
}

std::vector<KvCommand> onTick(WeightRate &rate, TimePoint now, WallTime wall)
{
    std::vector<KvCommand> commands;
    if (rate.openTag != 0 || rate.wanted.empty() || now < rate.nextAttempt) {
        return commands;
    }
    if (!rate.known) {
        commands.push_back(makeCommand(rate, KvVerb::Get));
        return commands;
    }
    const Record record = reserveWanted(rate, wall);
    if (rate.asked.empty()) {
        // The store is busy for long: look again later, others may have written since.
        rate.known = false;
        rate.nextAttempt = now + rate.options.retryEvery;
        return commands;
    }
    KvCommand command = makeCommand(rate, KvVerb::CompareAndSwap);
    command.expectedVersion = rate.version;
    command.value = encodeRecord(record);
    rate.record = command.value;
    commands.push_back(std::move(command));
    return commands;
}

bool onKvReply(WeightRate &rate, const KvReply &reply, TimePoint now)
{
    if (rate.openTag == 0 || reply.tag != rate.openTag) {
        return false;
    }
    rate.openTag = 0;
    const bool succeeded = !rate.asked.empty() && reply.status == KvStatus::Ok;
    rate.asked.clear();
    switch (reply.status) {
    case KvStatus::Ok:
    case KvStatus::Conflict:
    case KvStatus::NotFound:
        rate.known = true;
        rate.version = reply.version;
        if (!succeeded) {
            rate.record = reply.value;
        }
        if (succeeded || !rate.options.faultForgetOwnIds) {
            recogniseOwn(rate);
        }
        return true;
    case KvStatus::Rejected:
    case KvStatus::Unknown:
        rate.known = false;
        rate.nextAttempt = now + rate.options.retryEvery;
        return true;
    }
    return true;
}

} // namespace Godwit
