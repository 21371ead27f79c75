// SuspectCoordinator: records in the platform's store.

#include "godwit/daemon/suspect_coordinator.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// Number of deaths from which on a request is recorded, since its next run is a trial.
std::size_t deathsToRecord(const SuspectTracker &tracker)
{
    return tracker.options.deathsToConvict - 1;
}

} // namespace

void SuspectCoordinator::updateRecord(std::uint64_t fingerprint)
{
    const SuspectTracker &tracker = m_relay.state().suspects;
    const auto found = m_records.find(fingerprint);
    const bool recorded = found != m_records.end() && found->second.revision != 0;
    const bool worthRecording = attributableDeaths(tracker, fingerprint).size() >= deathsToRecord(tracker);
    if (!recorded && !worthRecording) {
        return;
    }
    const SuspectRecord record = recordOf(fingerprint);
    if (!recorded && !hasRoomFor(record.label)) {
        ++m_relay.counters().suspectsUnrecorded;
        return;
    }
    if (m_records[fingerprint].writeInFlight) {
        m_pendingWrites.insert(fingerprint);
        return;
    }
    write(fingerprint, record, [this, fingerprint](StoreStatus status) {
        if (status != StoreStatus::Ok) {
            m_pendingWrites.insert(fingerprint);
        }
    });
}

bool SuspectCoordinator::hasRoomFor(const SuspectLabel &label) const
{
    const auto ofCustomer = std::count_if(m_records.begin(), m_records.end(), [&label](const auto &entry) {
        return entry.second.record.label.customer == label.customer;
    });
    return m_records.size() < m_options.maxRecords
        && static_cast<std::size_t>(ofCustomer) < m_options.maxRecordsPerCustomer;
}

SuspectRecord SuspectCoordinator::recordOf(std::uint64_t fingerprint)
{
    const SuspectTracker &tracker = m_relay.state().suspects;
    SuspectRecord record;
    const auto known = m_records.find(fingerprint);
    if (known != m_records.end() && known->second.revision != 0) {
        record = known->second.record;
    } else if (const auto label = m_labels.find(fingerprint); label != m_labels.end()) {
        record.label = label->second;
    }
    record.deaths.clear();
    for (const EndpointDeath *death : attributableDeaths(tracker, fingerprint)) {
        record.deaths.push_back({death->endpoint,
                                 runTime(*death, fingerprint).value_or(Duration::zero()),
                                 isIsolatedTrial(tracker, *death, fingerprint)});
    }
    record.convicted = remainingRefusal(tracker, fingerprint, Relay::now()) > Duration::zero();
    const auto own = m_ownTrials.find(fingerprint);
    if (own != m_ownTrials.end()) {
        record.trial = SuspectTrial{m_options.self, own->second};
    } else if (record.trial) {
        const auto &counted = record.deaths;
        const bool ended = record.trial->router == m_options.self
            || std::any_of(counted.begin(), counted.end(), [&record](const SuspectDeath &death) {
                               return death.endpoint == record.trial->endpoint;
                           });
        if (ended) {
            record.trial.reset();
        }
    }
    return record;
}

void SuspectCoordinator::write(std::uint64_t fingerprint,
                               const SuspectRecord &record,
                               std::function<void(StoreStatus)> done)
{
    KnownRecord &known = m_records[fingerprint];
    known.writeInFlight = true;
    StoreTransaction transaction;
    transaction.conditions.push_back({keyOf(fingerprint), known.revision});
    transaction.puts.push_back({keyOf(fingerprint), encodeSuspectRecord(record), 0});
    m_store.transact(transaction, [this, fingerprint, record, done = std::move(done)](const StoreWriteReply &reply) {
        KnownRecord &written = m_records[fingerprint];
        written.writeInFlight = false;
        if (reply.status == StoreStatus::Ok) {
            written.record = record;
            written.revision = reply.revision;
            written.firstSeenAt = Relay::now();
            written.inCopy = false;
            written.writtenHere = true;
        } else if (reply.status == StoreStatus::ConditionFailed) {
            adoptCurrentRecord(fingerprint, reply);
        }
        done(reply.status);
    });
}

void SuspectCoordinator::remove(std::uint64_t fingerprint)
{
    KnownRecord &known = m_records[fingerprint];
    if (known.writeInFlight) {
        m_pendingRemovals.insert(fingerprint);
        return;
    }
    known.writeInFlight = true;
    StoreTransaction transaction;
    transaction.conditions.push_back({keyOf(fingerprint), known.revision});
    transaction.removals.push_back(keyOf(fingerprint));
    m_store.transact(transaction, [this, fingerprint](const StoreWriteReply &reply) {
        m_records[fingerprint].writeInFlight = false;
        if (reply.status == StoreStatus::Ok) {
            forgetRecord(fingerprint, reply.revision);
            return;
        }
        if (reply.status == StoreStatus::ConditionFailed) {
            adoptCurrentRecord(fingerprint, reply);
        }
        if (m_records.count(fingerprint) != 0) {
            m_pendingRemovals.insert(fingerprint);
        }
    });
}

void SuspectCoordinator::adoptCurrentRecord(std::uint64_t fingerprint, const StoreWriteReply &reply)
{
    if (!reply.currentItems) {
        return;
    }
    for (const StoreItem &item : *reply.currentItems) {
        if (item.key == keyOf(fingerprint)) {
            adoptRecord(fingerprint, item);
            return;
        }
    }
    m_records[fingerprint].revision = 0;
}

void SuspectCoordinator::adoptRecord(std::uint64_t fingerprint, const StoreItem &item)
{
    const auto removed = m_removedRevisions.find(fingerprint);
    if (removed != m_removedRevisions.end() && item.revision <= removed->second) {
        return;
    }
    const auto known = m_records.find(fingerprint);
    if (known != m_records.end() && item.revision <= known->second.revision) {
        return;
    }
    const auto record = decodeSuspectRecord(item.value);
    if (!record) {
        m_relay.log().write("suspect_unreadable", {{"key", std::string_view(item.key)}});
        return;
    }
    const TimePoint now = Relay::now();
    KnownRecord &taken = m_records[fingerprint];
    taken.record = *record;
    taken.revision = item.revision;
    taken.firstSeenAt = now;
    taken.writtenHere = false;
    SuspectTracker &tracker = m_relay.state().suspects;
    // The recorded deaths are dated before any that follow, one after another and
    // outside of each other's coincidence window.
    TimePoint at = now - tracker.options.coincidenceWindow;
    for (auto death = record->deaths.rbegin(); death != record->deaths.rend(); ++death) {
        at -= std::chrono::seconds(1);
        InFlightRun run;
        run.alwaysAttributed = true;
        run.trial = death->trial;
        if (death->ranFor > Duration::zero()) {
            run.sentAt = at - death->ranFor;
        }
        if (!wasInFlightAtDeathOf(tracker, fingerprint, death->endpoint, {})) {
            recordSuspect(tracker, {death->endpoint, {}, {}, at, {}}, fingerprint, run);
        }
        at -= death->ranFor;
    }
    if (record->convicted && remainingRefusal(tracker, fingerprint, now) == Duration::zero()) {
        recordConviction(tracker, fingerprint, now + refusalDurationFor(tracker, fingerprint));
        noteConviction(fingerprint);
    }
}

void SuspectCoordinator::onRecords(const std::map<std::string, StoreItem> &items)
{
    std::map<std::uint64_t, std::uint64_t> revisions;
    for (const auto &[key, item] : items) {
        m_firstDeaths.onItem(item);
        if (const auto fingerprint = parseFingerprint(key.substr(std::min(key.size(), m_options.prefix.size())))) {
            revisions[*fingerprint] = item.revision;
            if (!wasRecentlyCleared(*fingerprint)) {
                adoptRecord(*fingerprint, item);
            }
        }
    }
    std::vector<std::uint64_t> removed;
    for (auto &[fingerprint, known] : m_records) {
        const auto found = revisions.find(fingerprint);
        if (found != revisions.end()) {
            known.inCopy = found->second == known.revision;
        } else if (known.inCopy && !known.writeInFlight) {
            removed.push_back(fingerprint);
        }
    }
    for (const std::uint64_t fingerprint : removed) {
        // An operator or another router has removed the record.
        logSuspect("suspect_lifted", fingerprint);
        clearAllEvidence(m_relay.state().suspects, fingerprint);
        forgetRecord(fingerprint, m_records.at(fingerprint).revision);
    }
    updateTrialEndpoints();
}

// The copy of the store may still contain the record of a request that another router has just cleared.
bool SuspectCoordinator::wasRecentlyCleared(std::uint64_t fingerprint) const
{
    const auto found = m_clearedByPeerAt.find(fingerprint);
    return found != m_clearedByPeerAt.end() && Relay::now() < found->second + m_options.maxCopyLag;
}

void SuspectCoordinator::forgetRecord(std::uint64_t fingerprint, std::uint64_t revision)
{
    m_records.erase(fingerprint);
    m_deathsAtConviction.erase(fingerprint);
    m_pendingWrites.erase(fingerprint);
    m_pendingRemovals.erase(fingerprint);
    if (m_removedRevisions.size() >= m_options.maxRecords) {
        m_removedRevisions.erase(m_removedRevisions.begin());
    }
    m_removedRevisions[fingerprint] = revision;
}

std::string SuspectCoordinator::keyOf(std::uint64_t fingerprint) const
{
    return m_options.prefix + formatFingerprint(fingerprint);
}

} // namespace Godwit
