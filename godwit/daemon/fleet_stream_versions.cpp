// The part of FleetLinks that keeps records of the versions at which streams began, for routers to which their callers
// come back.

#include "godwit/base/hash.h"
#include "godwit/daemon/fleet_links.h"
#include "godwit/daemon/fleet_messages.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Godwit
{

using nlohmann::json;
using namespace internal;

std::vector<Incarnation> FleetLinks::streamKeepers(const std::string &attempt, bool linkedOnly) const
{
    const TimePoint now = Relay::now();
    std::vector<std::pair<std::uint64_t, Incarnation>> ranked;
    for (const auto &[incarnation, peer] : m_peers) {
        const bool included = linkedOnly ? peer.linked : peer.linked || peer.listed || isResponsive(peer, now);
        if (included && isAdvertised(peer)) {
            ranked.emplace_back(rendezvousWeight(attempt, peer.member.callerAddress), incarnation);
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return right.first < left.first;
    });
    std::vector<Incarnation> keepers;
    keepers.reserve(ranked.size());
    for (auto &entry : ranked) {
        keepers.push_back(std::move(entry.second));
    }
    return keepers;
}

void FleetLinks::sendStreamRecords(const std::vector<RecordedStream> &streams)
{
    std::map<Incarnation, std::vector<RecordedStream>> byKeeper;
    const auto flush = [this](const Incarnation &keeper, std::vector<RecordedStream> &records) {
        m_mesh->send(keeper, {StreamRecordsTopic, encodeFleetMessage(encodeStreamRecords(records))});
        records.clear();
    };
    for (const RecordedStream &stream : streams) {
        auto keepers = streamKeepers(stream.attempt, true);
        keepers.resize(std::min(keepers.size(), m_options.streamRecordCopies));
        for (const Incarnation &keeper : keepers) {
            auto &records = byKeeper[keeper];
            records.push_back(stream);
            if (records.size() >= MaxStreamRecords) {
                flush(keeper, records);
            }
        }
    }
    for (auto &[keeper, records] : byKeeper) {
        if (!records.empty()) {
            flush(keeper, records);
        }
    }
}

void FleetLinks::onStreamRecords(const std::string &body)
{
    RelayState &state = m_relay.state();
    for (const RecordedStream &stream : decodeStreamRecords(decodeFleetMessage(body))) {
        recordStream(
            state.streamVersions, m_relay.options().streamVersions, stream.attempt, stream.origin, Relay::now());
    }
}

void FleetLinks::seekStream(const std::string &attempt, std::function<void()> done)
{
    const auto found = m_streamSearches.find(attempt);
    if (found != m_streamSearches.end()) {
        found->second.done.push_back(std::move(done));
        return;
    }
    auto keepers = streamKeepers(attempt, false);
    keepers.resize(std::min(keepers.size(), m_options.streamSearchWidth));
    if (keepers.empty() || attempt.size() > MaxStreamNameBytes) {
        done();
        return;
    }
    StreamSearch &search = m_streamSearches[attempt];
    search.done.push_back(std::move(done));
    search.awaited.insert(keepers.begin(), keepers.end());
    search.timer = std::make_unique<boost::asio::steady_timer>(m_relay.io(), m_options.streamSearchTimeout);
    search.timer->async_wait([this, attempt](const boost::system::error_code &error) {
        if (!error) {
            endSearch(attempt);
        }
    });
    const std::string query = encodeFleetMessage(json::array({attempt}));
    for (const Incarnation &keeper : keepers) {
        m_mesh->send(keeper, {StreamQueryTopic, query});
    }
}

// A query that could not be sent, because the link was down, is sent once it is up.
void FleetLinks::askForSoughtStreams(const Incarnation &peer)
{
    for (const auto &[attempt, search] : m_streamSearches) {
        if (search.awaited.count(peer) > 0) {
            m_mesh->send(peer, {StreamQueryTopic, encodeFleetMessage(json::array({attempt}))});
        }
    }
}

void FleetLinks::onStreamQuery(const Incarnation &from, const std::string &body)
{
    const json message = decodeFleetMessage(body);
    if (!message.is_array() || message.size() != 1 || !message[0].is_string()) {
        return;
    }
    const auto attempt = message[0].get<std::string>();
    std::vector<RecordedStream> streams;
    if (const StreamOrigin *origin = findStream(m_relay.state().streamVersions, attempt, Relay::now())) {
        streams.push_back({attempt, *origin});
    }
    m_mesh->send(from, {StreamReplyTopic, encodeFleetMessage(json::array({attempt, encodeStreamRecords(streams)}))});
}

void FleetLinks::onStreamReply(const Incarnation &from, const std::string &body)
{
    const json message = decodeFleetMessage(body);
    if (!message.is_array() || message.size() != 2 || !message[0].is_string()) {
        return;
    }
    const auto attempt = message[0].get<std::string>();
    const auto found = m_streamSearches.find(attempt);
    if (found == m_streamSearches.end()) {
        return;
    }
    const auto streams = decodeStreamRecords(message[1]);
    const bool hasRecord = !streams.empty() && streams.front().attempt == attempt;
    if (hasRecord) {
        recordStream(m_relay.state().streamVersions,
                     m_relay.options().streamVersions,
                     attempt,
                     streams.front().origin,
                     Relay::now());
    }
    found->second.awaited.erase(from);
    if (hasRecord || found->second.awaited.empty()) {
        endSearch(attempt);
    }
}

void FleetLinks::endSearch(const std::string &attempt)
{
    const auto found = m_streamSearches.find(attempt);
    if (found == m_streamSearches.end()) {
        return;
    }
    const auto waiting = std::move(found->second.done);
    m_streamSearches.erase(found);
    for (const auto &done : waiting) {
        done();
    }
}

void FleetLinks::broadcastAnnouncedVersions(const StoreItem &item)
{
    m_mesh->broadcast({AnnouncedVersionsTopic, encodeFleetMessage(json::array({item.key, item.revision, item.value}))});
}

void FleetLinks::onAnnouncedVersions(const std::string &body)
{
    const json message = decodeFleetMessage(body);
    const bool wellFormed = message.is_array() && message.size() == 3 && message[0].is_string()
        && message[1].is_number_unsigned() && message[2].is_string();
    if (wellFormed && onVersionsAnnounced) {
        onVersionsAnnounced(
            {message[0].get<std::string>(), message[2].get<std::string>(), message[1].get<std::uint64_t>()});
    }
}

} // namespace Godwit
