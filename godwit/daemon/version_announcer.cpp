#include "godwit/daemon/version_announcer.h"

#include "godwit/base/json_number.h"
#include "godwit/base/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Godwit
{
namespace
{

using nlohmann::json;

// By service, rows of a version's name and number.
std::string encodeAnnouncements(const VersionAnnouncements &announcements)
{
    json services = json::object();
    for (const auto &[service, versions] : announcements) {
        json rows = json::array();
        for (const AnnouncedVersion &version : versions) {
            rows.push_back(json::array({version.name, version.number}));
        }
        services[service] = std::move(rows);
    }
    return services.dump();
}

std::optional<VersionAnnouncements> decodeAnnouncements(const std::string &text)
{
    try {
        VersionAnnouncements announcements;
        const json value = parseJson(text);
        for (const auto &[service, rows] : value.get_ref<const json::object_t &>()) {
            for (const json &row : rows.get_ref<const json::array_t &>()) {
                announcements[service].push_back({row.at(0).get<std::string>(), naturalNumber(row.at(1))});
            }
        }
        return announcements;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

VersionAnnouncer::VersionAnnouncer(Relay &relay, StoreClient &store, std::string key, VersionAnnouncerOptions options)
    : m_relay(relay)
    , m_store(store)
    , m_key(std::move(key))
    , m_options(options)
    , m_takeOverTimer(relay.io())
{
}

void VersionAnnouncer::step()
{
    const RelayState &state = m_relay.state();
    if (m_writeInFlight || !state.platformInReach) {
        return;
    }
    const TimePoint now = Relay::now();
    const VersionAnnouncements stored = announcementsOf(state.announcedVersions);
    // The store's value is unreadable, or was removed.
    const bool needsRewrite = m_writeRevision != state.announcedVersions.revision;
    const bool removes = isWriter && isWriter();
    const VersionAnnouncements wanted = updatedAnnouncements(
        stored, state.streamVersions, m_relay.options().streamVersions, m_writeRevision, removes, now);
    if (wanted == stored && !needsRewrite) {
        m_takeOverAt.reset();
        m_takeOverTimer.cancel();
    } else if (removes || mayTakeOver(now)) {
        write(wanted);
    }
}

bool VersionAnnouncer::mayTakeOver(TimePoint now)
{
    if (!m_takeOverAt) {
        constexpr std::uint64_t steps = 1024;
        const double random = static_cast<double>(m_relay.random() % steps) / steps;
        const Duration spread = m_options.takeOverSpread * m_relay.state().liveRouters;
        m_takeOverAt = now + m_options.takeOverDelay + std::chrono::duration_cast<Duration>(spread * random);
        m_takeOverTimer.expires_at(*m_takeOverAt);
        m_takeOverTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                step();
            }
        });
    }
    return now >= *m_takeOverAt;
}

void VersionAnnouncer::write(const VersionAnnouncements &announcements)
{
    m_writeInFlight = true;
    StoreItem item;
    item.key = m_key;
    item.value = encodeAnnouncements(announcements);
    StoreTransaction transaction;
    transaction.conditions.push_back({m_key, m_writeRevision});
    transaction.puts.push_back({m_key, item.value, 0});
    m_store.transact(transaction,
                     [this, announcements, item, expected = m_writeRevision](const StoreWriteReply &reply) {
                         m_writeInFlight = false;
                         if (reply.status == StoreStatus::Ok) {
                             apply(announcements, reply.revision);
                             m_relay.log().write("versions_announced",
                                                 {{"services", static_cast<std::int64_t>(announcements.size())},
                                                  {"revision", static_cast<std::int64_t>(reply.revision)}});
                             if (onWritten) {
                                 StoreItem written = item;
                                 written.revision = reply.revision;
                                 onWritten(written);
                             }
                         } else if (reply.status == StoreStatus::ConditionFailed && reply.currentItems) {
                             if (reply.currentItems->empty()) {
                                 m_writeRevision = 0;
                             }
                             for (const StoreItem &item : *reply.currentItems) {
                                 onItem(item);
                             }
                             if (m_writeRevision != expected) {
                                 step();
                             }
                         }
                     });
}

void VersionAnnouncer::onItem(const StoreItem &item)
{
    if (item.key != m_key || item.revision <= m_relay.state().announcedVersions.revision) {
        return;
    }
    if (auto announcements = decodeAnnouncements(item.value)) {
        apply(*announcements, item.revision);
    } else {
        m_writeRevision = item.revision;
        m_relay.recordRefusedEntry("versions", m_key, item.revision, "not the announced versions; written again");
    }
}

void VersionAnnouncer::apply(const VersionAnnouncements &announcements, std::uint64_t revision)
{
    RelayState &state = m_relay.state();
    VersionAnnouncements before = announcementsOf(state.announcedVersions);
    if (!applyAnnouncements(state.announcedVersions,
                            m_relay.options().announcedVersions,
                            announcements,
                            revision,
                            Relay::bootTimeNow())) {
        return;
    }
    m_writeRevision = revision;
    // Versions that are not listed here may have been in use until now.
    const TimePoint now = Relay::now();
    for (const auto &[service, versions] : announcements) {
        const auto &known = before[service];
        for (const AnnouncedVersion &version : versions) {
            if (std::find(known.begin(), known.end(), version) == known.end()) {
                applyEarlierVersion(state.streamVersions, {service, version.name, Duration::zero()}, now);
            }
        }
    }
}

void VersionAnnouncer::confirm(std::function<void()> done)
{
    if (m_readers) {
        m_readers->push_back(std::move(done));
        return;
    }
    const auto readers = std::make_shared<Waiters>();
    readers->push_back(std::move(done));
    m_readers = readers;
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_relay.io(), m_options.confirmationTimeout);
    const auto finish = [this, readers, timer] {
        timer->cancel();
        if (m_readers == readers) {
            m_readers = nullptr;
        }
        for (const auto &waiting : std::exchange(*readers, {})) {
            waiting();
        }
    };
    timer->async_wait([finish](const boost::system::error_code &error) {
        if (!error) {
            finish();
        }
    });
    m_store.get(m_key, [this, finish, startedAt = Relay::bootTimeNow()](const StoreItemReply &reply) {
        onRead(reply, startedAt);
        finish();
    });
}

void VersionAnnouncer::onRead(const StoreItemReply &reply, TimePoint startedAt)
{
    AnnouncedVersions &known = m_relay.state().announcedVersions;
    if (reply.status == StoreStatus::Ok) {
        onItem(reply.item);
        // An unreadable value confirms nothing.
        if (reply.item.revision <= known.revision) {
            confirmAnnouncements(known, startedAt);
        }
    } else if (reply.status == StoreStatus::NotFound) {
        m_writeRevision = 0;
    }
}

} // namespace Godwit
