#include "godwit/relay/relay.h"

#include "godwit/base/enum_names.h"
#include "godwit/base/milliseconds.h"
#include "godwit/relay/relay_call.h"

#include <time.h>

#include <algorithm>

namespace Godwit
{
namespace
{

constexpr EnumName<RetryOutcome> RetryOutcomeNames[] = {
    {RetryOutcome::Taken, "taken"},
    {RetryOutcome::Denied, "denied"},
    {RetryOutcome::Free, "free"},
};

constexpr EnumName<PlaceWaitOutcome> PlaceWaitOutcomeNames[] = {
    {PlaceWaitOutcome::Served, "served"},
    {PlaceWaitOutcome::Refused, "refused"},
    {PlaceWaitOutcome::Expired, "expired"},
};

// Bounds of what is remembered and logged of items of the store that can't be used.
constexpr std::size_t MaxRefusedEntries = 4096;
constexpr std::size_t MaxLoggedEntryBytes = 300;

// Interval at which waiting requests are looked at besides when a place becomes free.
constexpr Duration PlaceQueueInterval = std::chrono::milliseconds(10);

} // namespace

std::string_view placeWaitOutcomeName(PlaceWaitOutcome outcome)
{
    return enumName(PlaceWaitOutcomeNames, outcome);
}

std::string_view retryOutcomeName(RetryOutcome outcome)
{
    return enumName(RetryOutcomeNames, outcome);
}

Relay::Relay(boost::asio::io_context &io, RelayOptions options, DecisionLog &log)
    : m_io(io)
    , m_options(std::move(options))
    , m_log(log)
    , m_reachMonitor(*this, {})
    , m_placeTimer(io)
    , m_random(std::random_device{}())
{
    m_state.prepaid = makePrepaidShare(m_options.prepaid);
    m_state.endpoints.shareSpeeds = m_options.shareSpeeds;
    m_state.endpoints.brittleOptions = m_options.brittle;
}

Duration Relay::uptime()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

bool Relay::isReady() const
{
    if (m_state.stage != RelayStage::Serving) {
        return false;
    }
    const auto &accounts = m_state.prepaid.accounts;
    const bool bounded = std::any_of(accounts.begin(), accounts.end(), [](const auto &entry) {
        return entry.second.bounded;
    });
    return !bounded || m_state.prepaid.predecessorSettled;
}

bool Relay::mayBeStale(TimePoint now) const
{
    const bool copiesAreOld = std::min(m_state.endpointsAsOf, m_state.documentAsOf) < m_state.congestedAt;
    return now < m_state.congestedAt + (copiesAreOld ? m_options.copyRefreshTimeout : m_options.congestionHoldOff)
        || hasOutdatedCopy(now);
}

bool Relay::defersRequests() const
{
    return m_options.callerAdmission.enabled && m_state.routes && m_state.routes->hasDeferrableRoutes;
}

bool Relay::hasOutdatedCopy(TimePoint now) const
{
    return isStale(m_state.endpointsFreshness, m_options.agreement, now)
        || isStale(m_state.documentFreshness, m_options.agreement, now);
}

bool Relay::hasConfirmedDocument() const
{
    return isConfirmedCurrent(m_state.documentFreshness, m_options.agreement, bootTimeNow());
}

void Relay::enforceHeldLimit()
{
    if (onHeldLimit && mustDisconnectCaller(*m_state.held, m_options.held)) {
        onHeldLimit();
    }
}

void Relay::recordReaderCut(const ReaderCut &cut, std::string_view requestId, const ReaderProgress &reader)
{
    ++m_counters.readersCut[cut];
    m_log.write("reader_cut",
                {{"side", heldSideName(cut.side)},
                 {"id", requestId},
                 {"queued_bytes", static_cast<std::int64_t>(reader.queuedBytes)},
                 {"still_ms", toMilliseconds(now() - reader.lastProgressAt)},
                 {"cause", readerCutCauseName(cut.cause)}});
}

std::vector<Lender> Relay::lendersToAsk(const EndpointGroup &group) const
{
    constexpr std::size_t maxConnectionAttempts = 3; // For one attempt of a request, a direct one included.
    const std::size_t most = maxConnectionAttempts - (isPartitioned(m_state.reach, group) ? 0 : 1);
    std::vector<Lender> lenders = lendersFor ? lendersFor(group) : std::vector<Lender>();
    lenders.resize(std::min(lenders.size(), most));
    return lenders;
}

std::vector<DataCentreId> Relay::unreachableDataCentres(const std::string &service) const
{
    std::vector<DataCentreId> dataCentres;
    for (const EndpointGroup &group : partitionedGroups(m_state.reach)) {
        if (group.service == service && lendersToAsk(group).empty()) {
            dataCentres.push_back(group.dataCentre);
        }
    }
    return dataCentres;
}

void Relay::recordResponse(const std::string &service, const ResponseMetadata &response)
{
    EndpointTable &table = m_state.endpoints;
    if (Godwit::recordResponse(table.brittle, table.brittleOptions, service, response.maxRejections, now())) {
        logBrittle(service, "endpoint", response.malformedMaxRejections);
    }
}

void Relay::setListedVersions(std::map<std::string, std::set<std::string>> listed)
{
    const TimePoint now = Relay::now();
    auto &versions = m_state.streamVersions;
    for (const std::string &service :
         Godwit::setListedVersions(versions, m_options.streamVersions, std::move(listed), now)) {
        const auto streams = recordedStreams(versions, service, now);
        m_log.write("several_versions",
                    {{"service", std::string_view(service)},
                     {"versions", static_cast<std::int64_t>(versions.listed[service].size())},
                     {"recorded_streams", static_cast<std::int64_t>(streams.size())}});
        if (onStreamsRecorded) {
            onStreamsRecorded(streams);
        }
    }
}

std::optional<std::string> Relay::soleVersion(const std::string &service) const
{
    if (m_options.announcedVersions.required) {
        return Godwit::soleVersion(m_state.announcedVersions, m_options.announcedVersions, service, bootTimeNow());
    }
    const auto known = knownVersions(m_state.streamVersions, m_options.streamVersions, service, now());
    return known.size() == 1 ? std::optional(*known.begin()) : std::nullopt;
}

std::optional<std::set<std::string>> Relay::usableVersions(const std::string &service) const
{
    if (!m_options.announcedVersions.required) {
        return std::nullopt;
    }
    return Godwit::usableVersions(m_state.announcedVersions, service, bootTimeNow());
}

// While there is one version, a router that has no record reads from the store that it is the only one.
bool Relay::sharesStreamRecords(const std::string &service) const
{
    return !m_state.platformInReach
        || hasSeveralVersions(m_state.streamVersions, m_options.streamVersions, service, now());
}

void Relay::shareStreamRecords()
{
    if (onStreamsRecorded) {
        for (const auto &[service, names] : m_state.streamVersions.listed) {
            onStreamsRecorded(recordedStreams(m_state.streamVersions, service, now()));
        }
    }
}

void Relay::recordRefusedEntry(std::string_view kind,
                               const std::string &key,
                               std::uint64_t revision,
                               std::string_view cause)
{
    if (m_refusedEntries.size() >= MaxRefusedEntries) {
        m_refusedEntries.clear();
    }
    if (std::exchange(m_refusedEntries[key], revision) == revision) {
        return;
    }
    ++m_counters.entriesRefused[std::string(kind)];
    const std::string event = std::string(kind) + "_refused";
    m_log.write(event,
                {{"key", std::string_view(key).substr(0, MaxLoggedEntryBytes)},
                 {"revision", static_cast<std::int64_t>(revision)},
                 {"cause", cause.substr(0, MaxLoggedEntryBytes)}});
}

void Relay::applyBrittleReport(const BrittleReport &report)
{
    EndpointTable &table = m_state.endpoints;
    if (Godwit::applyBrittleReport(table.brittle, table.brittleOptions, report, now())) {
        logBrittle(report.service, "router", false);
    }
}

void Relay::logBrittle(const std::string &service, std::string_view source, bool malformed)
{
    const EndpointTable &table = m_state.endpoints;
    m_log.write("service_brittle",
                {{"service", std::string_view(service)},
                 {"source", source},
                 {"max_rejections", static_cast<std::int64_t>(table.brittle.services.at(service).maxRejections)},
                 {"malformed", malformed},
                 {"places", static_cast<std::int64_t>(countPlaces(table, service, now()))},
                 {"routers", static_cast<std::int64_t>(table.position.routers)}});
}

bool Relay::waitForPlace(const std::shared_ptr<RelayCall> &call, const std::string &service, const PlaceWaiter &waiter)
{
    PlaceQueue &queue = m_state.placeQueues[service];
    if (!join(queue, waiter, countPlaces(m_state.endpoints, service, now()), now())) {
        return false;
    }
    m_waitingForPlace[waiter.id] = call;
    if (m_waitingForPlace.size() == 1) {
        servePlaceQueuesIn(PlaceQueueInterval);
    }
    return true;
}

void Relay::stopWaitingForPlace(const std::string &service, std::uint64_t waiter)
{
    m_waitingForPlace.erase(waiter);
    leave(m_state.placeQueues[service], waiter);
}

// Not served at once, since the caller is handling another request.
void Relay::onPlaceFreed()
{
    if (!m_waitingForPlace.empty() && !std::exchange(m_servesPlacesSoon, true)) {
        servePlaceQueuesIn(Duration::zero());
    }
}

void Relay::servePlaceQueuesIn(Duration delay)
{
    m_placeTimer.expires_after(delay);
    m_placeTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_servesPlacesSoon = false;
        servePlaceQueues();
        if (!m_waitingForPlace.empty()) {
            servePlaceQueuesIn(PlaceQueueInterval);
        }
    });
}

void Relay::servePlaceQueues()
{
    for (auto &[service, queue] : m_state.placeQueues) {
        if (!queue.waiting.empty()) {
            servePlaceQueue(service, queue);
        }
    }
}

void Relay::servePlaceQueue(const std::string &service, PlaceQueue &queue)
{
    // A request without a place may be restricted to some of the endpoints, so a few of those behind it are tried too.
    constexpr int maxFailures = 3;
    int failures = 0;
    const auto waiting = queue.waiting;
    for (const PlaceWaiter &waiter : waiting) {
        const auto found = m_waitingForPlace.find(waiter.id);
        if (found == m_waitingForPlace.end()) {
            continue;
        }
        const auto call = found->second;
        failures += call->tryPlace() ? 0 : 1;
        if (failures >= maxFailures) {
            break;
        }
    }
    for (const PlaceWaiter &waiter : takeHopeless(queue, countPlaces(m_state.endpoints, service, now()), now())) {
        const auto found = m_waitingForPlace.find(waiter.id);
        if (found != m_waitingForPlace.end()) {
            const auto call = found->second;
            m_waitingForPlace.erase(found);
            call->onNoPlace(now() >= waiter.giveUpAt ? PlaceWaitOutcome::Expired : PlaceWaitOutcome::Refused);
        }
    }
}

void Relay::waitForTokens(const std::shared_ptr<RelayCall> &call)
{
    m_waiting.push_back(call);
    if (onTokensNeeded) {
        onTokensNeeded(call->customer(), localTokenDemand()[call->customer()]);
    }
}

void Relay::stopWaiting(const std::shared_ptr<RelayCall> &call)
{
    m_waiting.erase(std::remove(m_waiting.begin(), m_waiting.end(), call), m_waiting.end());
}

void Relay::refuseRequestsEndingLate()
{
    std::vector<std::shared_ptr<RelayCall>> waiting = m_waiting;
    for (const auto &[id, call] : m_waitingForPlace) {
        waiting.push_back(call);
    }
    for (const auto &call : waiting) {
        call->refuseIfEndingLate();
    }
}

void Relay::retryReservations()
{
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &call : waiting) {
        if (!call->tryReserve()) {
            m_waiting.push_back(call);
        }
    }
    requestNeededTokens();
    if (onTokensAdded) {
        onTokensAdded();
    }
}

void Relay::requestNeededTokens()
{
    for (const auto &[customer, tokens] : localTokenDemand()) {
        if (onTokensNeeded) {
            onTokensNeeded(customer, tokens);
        }
    }
}

void Relay::updateTokenDemand()
{
    std::map<CustomerId, Tokens> needed = localTokenDemand();
    for (const TransferRequest &ask : m_state.prepaid.transferRequests) {
        needed[ask.customer] += ask.needed;
    }
    for (const auto &[customer, tokens] : needed) {
        noteShortfall(m_state.prepaid, customer, tokens);
    }
}

std::map<CustomerId, Tokens> Relay::localTokenDemand() const
{
    std::map<CustomerId, Tokens> needed;
    for (const auto &call : m_waiting) {
        needed[call->customer()] += call->worstCase();
    }
    return needed;
}

} // namespace Godwit
