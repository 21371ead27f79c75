#include "godwit/daemon/gateway.h"

#include "godwit/daemon/budget_manager.h"
#include "godwit/daemon/endpoint_list.h"
#include "godwit/daemon/fleet_links.h"
#include "godwit/daemon/gateway_metrics.h"
#include "godwit/daemon/limit_share_manager.h"
#include "godwit/daemon/shared_prefix.h"
#include "godwit/daemon/stream_origin_search.h"
#include "godwit/daemon/suspect_coordinator.h"
#include "godwit/daemon/version_announcer.h"
#include "godwit/gateway/connection_limits.h"
#include "godwit/gateway/connection_pause.h"
#include "godwit/relay/caller_connection.h"
#include "godwit/relay/connection_lender.h"
#include "godwit/relay/listener.h"
#include "godwit/relay/simple_http_server.h"
#include "platform/http_codec.h"
#include "platform/site_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <sys/resource.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

namespace Godwit
{
namespace
{

using boost::system::error_code;

constexpr const char *LivePrefix = "godwit/live/";
// Below the routers' live entries, so that one range read returns both.
constexpr const char *SuspectPrefix = "godwit/live/suspect/";
// Likewise.
constexpr const char *AnnouncedVersionsKey = "godwit/live/announced-versions";
// Written by releases that did not announce versions.
constexpr const char *FormerVersionsKey = "godwit/live/versions";
// While fewer of the peers are connected, endpoint deaths are no evidence against a request.
constexpr double MinConnectedFraction = 0.5;
constexpr const char *MarkPrefix = "godwit/mark/";

// Addresses in one answer; callers use no more.
constexpr std::size_t MaxAddresses = 64;
// Interval of the periodic work, such as closing idle connections and checking the settings file.
constexpr auto SweepInterval = std::chrono::milliseconds(500);
// Interval of reading the live entries, for routers that are not known through links yet.
constexpr Duration LiveReadingInterval = std::chrono::seconds(2);
// A starting router waits no longer than this for the list of requests that crash endpoints.
constexpr Duration MaxSuspectWait = std::chrono::seconds(1);
// Minimum time between requests for a snapshot, which occupies the link of a small host for a
// while if the copy is large.
constexpr Duration ConfirmInterval = std::chrono::seconds(1);
// Successful fetches that are faster are not logged.
constexpr Duration SlowFetchThreshold = std::chrono::milliseconds(250);
// Fraction of this host's link for snapshots; the rest is left to callers.
constexpr double SnapshotBandwidthFraction = 0.5;
// Interval of the log line with the router's counters.
constexpr Duration LoadLogInterval = std::chrono::seconds(5);
// Fractions of the time that a shutdown may take. After the first, no new requests are accepted, so that those in
// flight can complete; after the second, the budgets are returned even if requests are still open; after the third, the
// process ends whatever is still open.
constexpr double AcceptRequestsFraction = 0.36;
constexpr double FinishRequestsFraction = 0.88;
constexpr double EndFraction = 0.97;

// Log lines about answers that the end of the process cuts.
constexpr std::size_t MaxCutAnswerLines = 32;
// Used if the system doesn't tell its limit; the usual one.
constexpr std::uint64_t DefaultDescriptors = 1024;

std::string randomSuffix()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << device() << device();
    return text.str();
}

std::string readFile(const std::string &name)
{
    std::ifstream in(name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::chrono::milliseconds clockNow(clockid_t hostClock)
{
    timespec time{};
    ::clock_gettime(hostClock, &time);
    return std::chrono::milliseconds(time.tv_sec * 1000 + time.tv_nsec / 1'000'000);
}

// The uptime includes time in which the host was suspended; only a reboot resets it.
HostTime hostTimeNow(const std::string &boot)
{
    return HostTime{clockNow(CLOCK_BOOTTIME), clockNow(CLOCK_REALTIME), boot};
}

// Identifies the current boot of the host; empty if the system doesn't provide it.
std::string bootId()
{
    std::string name;
    std::ifstream("/proc/sys/kernel/random/boot_id") >> name;
    return name;
}

RelayOptions relayOptions(const GatewaySettings &settings, const Incarnation &incarnation)
{
    RelayOptions options;
    options.host = settings.host;
    options.dataCentre = settings.dataCentre;
    options.regions = settings.regions;
    options.coldStart = ColdStartBounds{settings.coldOverrun, settings.coldSlack};
    options.shareSpeeds = settings.shareSpeeds;
    options.prepaid.self = HolderId{settings.callerListen};
    options.prepaid.incarnation = incarnation;
    options.prepaid.startedAt = hostTimeNow(bootId());
    options.retryRules.ratio = settings.repeatRatio;
    options.retryRules.slack = settings.repeatSlack;
    options.retryRules.window = settings.repeatWindow;
    options.callerAdmission.enabled = settings.admission;
    options.callerAdmission.linkBytesPerSecond = bytesPerSecond(settings.linkMbps);
    options.brittle.limitUnknown = true;
    options.announcedVersions.required = true;
    options.hedging.ratio = settings.hedgeRatio;
    options.hedging.quantile = settings.hedgeQuantile;
    options.hedging.window = settings.repeatWindow;
    return options;
}

BudgetManagerOptions budgetOptions(const GatewaySettings &settings, const FleetMember &self)
{
    BudgetManagerOptions options;
    options.markKey = MarkPrefix + settings.callerListen;
    options.liveKey = LivePrefix + settings.callerListen;
    options.liveValue = encodeMember(self);
    return options;
}

FleetLinksOptions linkOptions(const GatewaySettings &settings, const FleetMember &self, const ConnectionLimits &limits)
{
    FleetLinksOptions options;
    options.listenAddress = settings.peerListen;
    options.maxUnprovenPeers = limits.unprovenPeers;
    options.own.host = self.host;
    options.own.incarnation = self.incarnation;
    options.own.dataCentre = self.dataCentre;
    options.own.peerAddress = self.peerAddress;
    options.own.callerAddress = self.callerAddress;
    options.ownCapacity = self.capacity;
    options.snapshotRate.perSecond = SnapshotBandwidthFraction * bytesPerSecond(settings.linkMbps);
    return options;
}

SuspectCoordinatorOptions suspectOptions(const Incarnation &self)
{
    SuspectCoordinatorOptions options;
    options.self = self;
    options.prefix = SuspectPrefix;
    // The third death convicts. A wrong verdict lasts for seconds only: then one router tries the request again, and
    // only a further death leads to a long refusal.
    options.suspects.deathsToConvict = 3;
    options.suspects.convictionRequiresTrial = true;
    options.suspects.firstRefuseFor = std::chrono::seconds(15);
    return options;
}

LenderOptions lenderOptions(const ConnectionLimits &limits)
{
    LenderOptions options;
    options.secret = randomSuffix();
    options.maxConnections = limits.lent;
    return options;
}

// Without an address in the settings, a free port of the address that other routers connect to.
std::string lendingAddress(const GatewaySettings &settings)
{
    if (!settings.lendingListen.empty()) {
        return settings.lendingListen;
    }
    return settings.peerListen.substr(0, settings.peerListen.rfind(':')) + ":0";
}

// Descriptors that the process may use.
std::uint64_t descriptorsOf(const GatewaySettings &settings)
{
    if (settings.descriptors > 0) {
        return settings.descriptors;
    }
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : DefaultDescriptors;
}

FleetMember selfMember(const GatewaySettings &settings)
{
    return FleetMember{settings.host,
                       Incarnation{settings.host.value + '.' + randomSuffix()},
                       settings.dataCentre,
                       settings.callerListen,
                       settings.peerListen,
                       requestCapacity(settings.cores, settings.linkMbps, {})};
}

} // namespace

class Gateway::Impl
{
public:
    Impl(GatewaySettings settings, std::string settingsFile)
        : m_settings(std::move(settings))
        , m_settingsFile(std::move(settingsFile))
        , m_limits(connectionLimits(descriptorsOf(m_settings)))
        , m_self(selfMember(m_settings))
        , m_log(m_io, logOptions(m_settings))
        , m_relay(m_io, relayOptions(m_settings, m_self.incarnation), m_log)
        , m_store(m_io, m_settings.store)
        , m_budgets(m_io, m_relay, m_store, budgetOptions(m_settings, m_self), hostClock())
        , m_limitShares(m_relay, m_store, {m_settings.callerListen})
        , m_links(m_io, m_relay, linkOptions(m_settings, m_self, m_limits))
        , m_lender(m_relay, lenderOptions(m_limits))
        , m_endpoints(m_io, m_relay)
        , m_suspects(m_io, m_relay, m_store, suspectOptions(m_self.incarnation))
        , m_versions(m_relay, m_store, AnnouncedVersionsKey)
        , m_originSearch(m_relay, m_links, m_versions)
        , m_documents(m_io, m_store, std::string(SiteDocumentPrefix), {}, onDocuments(), reachabilityHandler())
        , m_endpointEntries(m_io, m_store, std::string(EndpointPrefix), {}, onEndpoints(), reachabilityHandler())
        , m_liveEntries(m_io, m_store, LivePrefix, liveOptions(), onLive(), reachabilityHandler())
        , m_callerListener(m_io)
        , m_pauseOptions{m_self.capacity}
        , m_entryServer(m_io, entryHandler(), m_limits.entry)
        , m_metricsServer(m_io, metricsHandler(), m_limits.metrics)
        , m_signals(m_io, SIGTERM, SIGINT)
        , m_reloadSignals(m_io, SIGHUP)
        , m_sweepTimer(m_io)
        , m_stopTimer(m_io)
    {
        m_relay.setHeldBytes(heldBytesLimit(m_settings.memoryMb), m_settings.stalledReaderTimeout);
        m_connections.limit = m_limits.callers;
        m_relay.onHeldLimit = [this] {
            disconnectCallersAtLimit(m_relay, m_connections);
        };
        m_relay.onTokensNeeded = [this](const CustomerId &customer, Tokens needed) {
            m_budgets.writeSoon();
            m_links.requestTokens(customer, needed);
        };
        m_relay.lendersFor = [this](const EndpointGroup &group) {
            return m_links.lendersFor(group);
        };
        m_relay.onTokensAdded = [this] {
            m_links.serveTransferRequests();
        };
        m_relay.onStreamsRecorded = [this](const std::vector<RecordedStream> &streams) {
            m_links.sendStreamRecords(streams);
        };
        m_relay.onStreamSought =
            [this](const std::string &attempt, const std::string &service, std::function<void()> done) {
                m_originSearch.start(attempt, service, std::move(done));
            };
        m_relay.onEndpointRejected = [this](const EndpointRejection &rejection) {
            m_links.announceRejection(rejection);
        };
        m_relay.onPromptSent = [this](const PromptSent &prompt, Duration reading) {
            m_links.announcePrompt(prompt, reading);
        };
        m_budgets.onStoreRegained = [this] {
            for (SharedPrefix *prefix : prefixes()) {
                prefix->reconnect();
            }
        };
        m_budgets.onLiveEntryWritten = [this] {
            // This read finds all routers whose entries were written earlier; those that
            // write later read this router's entry.
            if (!std::exchange(m_readAfterEntryWritten, true)) {
                m_liveEntries.readNow();
            }
        };
        m_endpointEntries.onStoreRecovery = [this](std::optional<TimePoint> at) {
            m_endpoints.onStoreReturn(at);
        };
        for (SharedPrefix *prefix : prefixes()) {
            connectPrefix(*prefix);
        }
        m_links.onUpdate = [this](const Incarnation &from, const PrefixUpdate &update) {
            if (SharedPrefix *prefix = findPrefix(update.state.prefix)) {
                prefix->onUpdate(update, [this, from, prefix] {
                    return m_links.requestSnapshot(from, prefix->request());
                });
                updateAgreement();
            }
        };
        m_links.onSnapshot = [this](const PrefixSnapshot &snapshot) {
            if (SharedPrefix *prefix = findPrefix(snapshot.state.prefix)) {
                prefix->onSnapshot(snapshot);
                updateAgreement();
            }
        };
        m_links.snapshotFor = [this](const SnapshotRequest &request) {
            const SharedPrefix *prefix = findPrefix(request.prefix);
            return prefix == nullptr ? std::nullopt : prefix->snapshotFor(request);
        };
        m_links.copyStates = [this] {
            std::vector<PrefixState> states;
            states.reserve(prefixes().size());
            for (const SharedPrefix *prefix : prefixes()) {
                states.push_back(prefix->state());
            }
            return states;
        };
        m_budgets.peerFractionWithoutStore = [this] {
            return m_links.storeUnreachableFraction();
        };
        m_budgets.onStoreFoundByProbe = [this] {
            m_links.broadcastStoreReachable();
        };
        m_budgets.onLedgerWritten = [this](std::uint64_t revision, const std::string &ledger) {
            m_links.broadcastLedger(revision, ledger);
        };
        m_suspects.broadcast = [this](const std::vector<SuspectNotice> &notices) {
            m_links.announceSuspects(notices);
        };
        m_suspects.isConnectedToFleet = [this] {
            return m_links.responsivePeerFraction() >= MinConnectedFraction;
        };
        m_suspects.firstDeaths().isWriter = [this] {
            return m_links.readerRankOf(m_liveEntries.prefix()) == 0;
        };
        m_versions.isWriter = [this] {
            return m_links.readerRankOf(m_liveEntries.prefix()) == 0;
        };
        m_versions.onWritten = [this](const StoreItem &item) {
            m_links.broadcastAnnouncedVersions(item);
        };
        m_links.onVersionsAnnounced = [this](const StoreItem &item) {
            m_versions.onItem(item);
        };
        m_links.onSuspects = [this](const std::vector<SuspectNotice> &notices) {
            m_suspects.onNotices(notices);
        };
        m_links.onLag = [this](Duration lag) {
            recordMessageLag(m_pauseState, lag, Relay::now());
            recordLag(m_relay.state().callerAdmission, lag, Relay::now());
            pauseIfOverloaded();
        };
        m_links.onStoreReachable = [this] {
            m_budgets.onStoreFoundByPeer();
        };
    }

    bool start(LastReason &reason)
    {
        m_log.write("start",
                    {{"uptime_ms", static_cast<std::int64_t>(m_relay.options().prepaid.startedAt.uptime.count())},
                     {"incarnation", std::string_view(m_self.incarnation.value)},
                     {"version", std::string_view(GODWIT_VERSION)},
                     {"callers", std::string_view(m_settings.callerListen)},
                     {"store", std::string_view(m_settings.store)}});
        if (!m_lender.listen(lendingAddress(m_settings), reason)) {
            return false;
        }
        m_links.offerLending(m_lender.address(), m_lender.secret());
        if (m_settings.admission) {
            m_callerListener.setReceiveBuffer(m_settings.admissionWindowBytes);
        }
        const bool listening = m_links.start(reason) && m_entryServer.listen(m_settings.readyListen, reason)
            && (m_settings.addressesListen.empty() || m_entryServer.listen(m_settings.addressesListen, reason))
            && (m_settings.metricsListen.empty() || m_metricsServer.listen(m_settings.metricsListen, reason))
            && m_callerListener.open(
                m_settings.callerListen,
                [this](Listener::Socket socket) {
                    acceptCaller(m_relay, m_connections, std::move(socket));
                },
                reason);
        if (!listening) {
            return false;
        }
        m_documents.start();
        m_endpointEntries.start();
        m_liveEntries.start();
        m_startedAt = Relay::now();
        m_budgets.start();
        waitForSignals();
        scheduleSweep();
        return true;
    }

    bool run()
    {
        m_io.run();
        m_log.flush();
        return m_relay.state().prepaid.returned;
    }

private:
    static DecisionLogOptions logOptions(const GatewaySettings &settings)
    {
        DecisionLogOptions options;
        options.host = settings.host.value;
        return options;
    }

    // The live entries are not watched: links and heartbeats report joining and leaving routers sooner.
    static SharedPrefixOptions liveOptions()
    {
        SharedPrefixOptions options;
        options.watched = false;
        options.readSchedule.interval = LiveReadingInterval;
        return options;
    }

    std::array<SharedPrefix *, 3> prefixes()
    {
        return {&m_documents, &m_endpointEntries, &m_liveEntries};
    }

    // Null if this version does not know the name.
    SharedPrefix *findPrefix(const std::string &name)
    {
        for (SharedPrefix *prefix : prefixes()) {
            if (prefix->prefix() == name) {
                return prefix;
            }
        }
        return nullptr;
    }

    void connectPrefix(SharedPrefix &prefix)
    {
        prefix.routerCount = [this] {
            return m_relay.state().liveRouters;
        };
        prefix.readerRank = [this, &prefix] {
            return m_links.readerRankOf(prefix.prefix());
        };
        prefix.storeReachable = [this] {
            return m_relay.state().platformInReach;
        };
        prefix.onWatchMissedChange = [this, &prefix] {
            m_log.write("watch_missed_change", {{"prefix", std::string_view(prefix.prefix())}});
        };
        prefix.onFetched = [this, &prefix](const CopyFetch &fetch) {
            logFetch(prefix.prefix(), fetch);
        };
        prefix.requestFromAnyPeer = [this, &prefix] {
            return m_links.requestSnapshotFromAny(prefix.request());
        };
        prefix.broadcastUpdate = [this](const PrefixUpdate &update) {
            m_links.sendUpdate(update);
        };
    }

    // Fast successful reads are frequent and not worth a line.
    void logFetch(const std::string &prefix, const CopyFetch &fetch)
    {
        if (fetch.succeeded && fetch.duration < SlowFetchThreshold) {
            return;
        }
        m_log.write("copy_fetched",
                    {{"prefix", std::string_view(prefix)},
                     {"from", fetchSourceName(fetch.source)},
                     {"answered", fetch.succeeded},
                     {"bytes", static_cast<std::int64_t>(fetch.bytes)},
                     {"took_ms", toSeconds(fetch.duration) * 1000}});
    }

    std::function<HostTime()> hostClock() const
    {
        return [boot = m_relay.options().prepaid.startedAt.boot] {
            return hostTimeNow(boot);
        };
    }

    std::function<void(bool)> reachabilityHandler()
    {
        return [this](bool ok) {
            m_budgets.onStoreReachability(ok);
        };
    }

    std::function<void(const SharedPrefix::Items &)> onDocuments()
    {
        return [this](const SharedPrefix::Items &items) {
            m_relay.state().documentAsOf = m_documents.asOf();
            applyEvacuations(items);
            const auto found = items.find(std::string(SiteDocumentKey));
            if (found != items.end() && found->second.revision != m_relay.state().documentRevision) {
                m_relay.state().documentRevision = found->second.revision;
                applyDocument(found->second.value);
            }
        };
    }

    void applyEvacuations(const SharedPrefix::Items &items)
    {
        std::set<DataCentreId> evacuated;
        for (const auto &[key, item] : items) {
            if (auto dataCentre = evacuatedDataCentre(key)) {
                evacuated.insert(std::move(*dataCentre));
            }
        }
        m_endpoints.setEvacuated(evacuated);
    }

    // The document specifies the services whose endpoints sustain only a low request rate while cold.
    void planColdStarts()
    {
        auto &plans = m_relay.state().endpoints.coldPlans;
        plans.clear();
        for (const GatewayService &service : m_relay.state().routes->document.services) {
            if (service.coldStart.requestsPerSecond > 0) {
                plans[service.name] = planColdStart(service.coldStart, m_relay.options().coldStart);
            }
        }
    }

    void applyDocument(const std::string &text)
    {
        LastReason reason;
        auto document = decodeSiteDocument(text, reason);
        if (!document) {
            m_relay.recordRefusedEntry(
                "document", std::string(SiteDocumentKey), m_relay.state().documentRevision, reason->message);
            return;
        }
        auto &state = m_relay.state();
        if (state.routes && document->version <= state.routes->document.version) {
            return;
        }
        const std::uint64_t version = document->version;
        m_log.write("document_in_force",
                    {{"document", static_cast<std::int64_t>(version)},
                     {"before", static_cast<std::int64_t>(state.routes ? state.routes->document.version : 0)},
                     {"routes", static_cast<std::int64_t>(document->routes.size())}});
        std::map<CustomerId, std::optional<Tokens>> totals;
        for (const PrepaidCustomer &customer : document->customers) {
            totals[customer.name] = customer.prepaid;
        }
        state.routes = makeRouteTable(std::move(*document));
        planColdStarts();
        applyTotals(state.prepaid, version, totals);
        updateStage();
        m_budgets.writeSoon();
    }

    std::function<void(const SharedPrefix::Items &)> onEndpoints()
    {
        return [this](const SharedPrefix::Items &items) {
            m_relay.state().endpointsAsOf = m_endpointEntries.asOf();
            m_endpoints.onEntriesChanged(items);
            m_versions.step();
            m_suspects.onEndpointsChanged();
            updateStage();
        };
    }

    std::function<void(const SharedPrefix::Items &)> onLive()
    {
        return [this](const SharedPrefix::Items &items) {
            std::vector<FleetMember> members;
            std::map<std::string, StoreItem> records;
            for (const auto &[key, item] : items) {
                if (key.rfind(SuspectPrefix, 0) == 0) {
                    records[key] = item;
                } else if (key == m_versions.key()) {
                    m_versions.onItem(item);
                } else if (key == FormerVersionsKey) {
                    continue;
                } else if (auto member = decodeMember(item.value)) {
                    members.push_back(std::move(*member));
                } else {
                    m_relay.recordRefusedEntry("member", key, item.revision, "not the entry of a router");
                }
            }
            m_links.setListed(members);
            m_suspects.onRecords(records);
            updateStage();
        };
    }

    void updateStage()
    {
        auto &state = m_relay.state();
        // The records of requests that crash endpoints are read together with the live entries.
        const bool knowsSuspects = m_liveEntries.isComplete() || Relay::now() >= m_startedAt + MaxSuspectWait;
        if (state.stage == RelayStage::Starting && state.routes && m_endpointEntries.isComplete() && knowsSuspects) {
            setStage(RelayStage::Serving, "serving");
            m_budgets.writeSoon();
        }
    }

    void setStage(RelayStage stage, std::string_view name)
    {
        m_relay.state().stage = stage;
        m_log.write("stage", {{"stage", name}});
    }

    SimpleHttpServer::Handler entryHandler()
    {
        return [this](const std::string &method, const std::string &target) {
            const PlatformQuery query = parsePlatformQuery(method, target);
            SimpleHttpResponse answer;
            if (query.kind == PlatformQueryKind::Ready) {
                answer.status = m_relay.isReady() ? 200 : 503;
                answer.body = "{}";
            } else if (query.kind == PlatformQueryKind::Addresses) {
                const auto addresses = findCallerAddresses(query);
                answer.status = addresses.empty() ? 503 : 200;
                answer.body = addresses.empty() ? "{}" : formatAddressList(addresses, m_settings.addressesFor);
            }
            return answer;
        };
    }

    std::vector<std::string> findCallerAddresses(const PlatformQuery &query)
    {
        const std::vector<EntryAddress> hosts = m_links.entryAddresses();
        std::vector<std::string> addresses = addressesForRegions(hosts, entryRegions(query));
        std::shuffle(addresses.begin(), addresses.end(), m_random);
        addresses.resize(std::min(addresses.size(), MaxAddresses));
        return addresses;
    }

    // For routes that are bound to regions: a router in another region would have to
    // forward their requests across regions.
    AllowedRegions entryRegions(const PlatformQuery &query)
    {
        const auto &routes = m_relay.state().routes;
        AllowedRegions allowed = routes ? regionsOfHost(*routes, query.host) : AllowedRegions();
        if (allowed) {
            allowed->insert(RegionId{query.region});
        }
        return allowed;
    }

    SimpleHttpServer::Handler metricsHandler()
    {
        return [this](const std::string &, const std::string &) {
            SimpleHttpResponse answer;
            answer.status = 200;
            answer.contentType = "text/plain; version=0.0.4";
            answer.body = renderGatewayMetrics(m_relay, m_store.counters());
            return answer;
        };
    }

    void waitForSignals()
    {
        m_signals.async_wait([this](const error_code &error, int signal) {
            if (!error) {
                beginStop(signal);
            }
        });
        waitForReload();
    }

    void waitForReload()
    {
        m_reloadSignals.async_wait([this](const error_code &error, int) {
            if (!error) {
                reloadSettings("signal");
                waitForReload();
            }
        });
    }

    // Only limits can change at run time; addresses are fixed at the start.
    void reloadSettings(std::string_view cause)
    {
        const std::string text = readFile(m_settingsFile);
        if (text == m_settingsText && cause == "file") {
            return;
        }
        m_settingsText = text;
        LastReason reason;
        const auto settings = parseGatewaySettings(text, m_settingsFile, reason);
        if (!settings) {
            m_log.write("settings_refused", {{"cause", std::string_view(reason->message)}});
            return;
        }
        m_settings.stopWithin = settings->stopWithin;
        m_settings.addressesFor = settings->addressesFor;
        m_relay.setRetryRules(settings->repeatRatio, settings->repeatSlack, settings->repeatWindow);
        m_relay.setHedging(settings->hedgeRatio, settings->hedgeQuantile, settings->repeatWindow);
        m_relay.setColdStartBounds({settings->coldOverrun, settings->coldSlack});
        m_relay.setCallerAdmission(settings->admission);
        m_relay.setHeldBytes(heldBytesLimit(settings->memoryMb), settings->stalledReaderTimeout);
        if (m_relay.state().routes) {
            planColdStarts();
        }
        m_log.write("reload", {{"cause", cause}});
    }

    void scheduleSweep()
    {
        m_sweepTimer.expires_after(SweepInterval);
        m_sweepTimer.async_wait([this](const error_code &error) {
            if (error) {
                return;
            }
            m_relay.pool().closeExpired(Relay::now());
            for (SharedPrefix *prefix : prefixes()) {
                prefix->checkRole();
            }
            refreshCopiesIfBehind();
            updateLinkRates(m_relay.state().callerAdmission, m_relay.options().callerAdmission, Relay::now());
            pauseIfOverloaded();
            if (const LastReason failure = m_callerListener.takeFailure()) {
                m_log.write("listen_failed", {{"message", std::string_view(failure->message)}});
            }
            compareCopies();
            m_limitShares.step();
            m_suspects.step();
            m_versions.step();
            shareStreamRecordsIfStoreLost();
            updateStage();
            logLoad();
            if (m_settingsText.empty()) {
                m_settingsText = readFile(m_settingsFile);
            }
            reloadSettings("file");
            scheduleSweep();
        });
    }

    void shareStreamRecordsIfStoreLost()
    {
        const bool inReach = m_relay.state().platformInReach;
        if (std::exchange(m_storeWasInReach, inReach) && !inReach) {
            m_relay.shareStreamRecords();
        }
    }

    // Periodically logs the load, which is the first thing to check when a host answers late.
    void logLoad()
    {
        if (Relay::now() < m_nextLoadLog) {
            return;
        }
        m_nextLoadLog = Relay::now() + LoadLogInterval;
        const StoreCounters &store = m_store.counters();
        const auto calls = [&store](StoreCallKind kind) {
            return static_cast<std::int64_t>(store.byKind[static_cast<std::size_t>(kind)]);
        };
        m_log.write("load",
                    {{"requests", static_cast<std::int64_t>(m_relay.counters().requests)},
                     {"calls_open", static_cast<std::int64_t>(m_relay.callsOpen)},
                     {"attempts", static_cast<std::int64_t>(m_relay.counters().attempts)},
                     {"entry", m_links.isAdvertised()},
                     {"live_routers", static_cast<std::int64_t>(m_relay.state().liveRouters)},
                     {"store_gets", calls(StoreCallKind::Get)},
                     {"store_probes", calls(StoreCallKind::Probe)},
                     {"store_ranges", calls(StoreCallKind::Range)},
                     {"store_watches", calls(StoreCallKind::Watch)},
                     {"store_writes", calls(StoreCallKind::Write)},
                     {"store_leases", calls(StoreCallKind::Lease)}});
    }

    // A host that has enough tokens sends no requests to its peers. Without this periodic comparison it
    // would not detect that its link is congested, and would send requests to endpoints that have left
    // while the update was still queued.
    void compareCopies()
    {
        const std::uint64_t requests = m_relay.counters().requests;
        if (requests != std::exchange(m_requestsAtSweep, requests)) {
            m_links.compareCopies({m_endpointEntries.request(), m_documents.request()});
        }
    }

    void updateAgreement()
    {
        RelayState &state = m_relay.state();
        state.endpointsFreshness = m_endpointEntries.freshness();
        state.documentFreshness = m_documents.freshness();
        const bool outdated = m_relay.hasOutdatedCopy(Relay::now());
        if (outdated && !m_copiesOutdated) {
            m_log.write("copies_outdated",
                        {{"endpoints_ms", agreementAgeMs(state.endpointsFreshness)},
                         {"document_ms", agreementAgeMs(state.documentFreshness)}});
        }
        m_copiesOutdated = outdated;
    }

    // Handles updates that were lost or are delayed by a congested link: requests a snapshot if a copy is stale.
    void confirmIfOutdated()
    {
        const TimePoint now = Relay::now();
        if (now < m_nextConfirm) {
            return;
        }
        for (SharedPrefix *prefix : {&m_documents, &m_endpointEntries}) {
            if (isStale(prefix->freshness(), m_relay.options().agreement, now)) {
                m_nextConfirm = now + ConfirmInterval;
                prefix->verifyFreshness();
            }
        }
    }

    static double agreementAgeMs(const CopyFreshness &agreement)
    {
        return toSeconds(Relay::now() - agreement.currentAsOf) * 1000;
    }

    void pauseIfOverloaded()
    {
        if (m_stopping) {
            return;
        }
        const TimePoint now = Relay::now();
        recordRequestCount(m_pauseState, m_relay.counters().requests, now);
        const Duration lag = m_pauseState.lag;
        m_pauseOptions.defersRequests = m_relay.defersRequests();
        const auto pause = computePause(m_pauseState, m_relay.mayBeStale(now), m_pauseOptions, now);
        m_relay.state().closeAfterAnswer = shouldCloseConnections(m_pauseState, m_pauseOptions, now);
        if (!pause) {
            return;
        }
        m_log.write("connections_paused",
                    {{"for_ms", toSeconds(*pause) * 1000},
                     {"lag_ms", toSeconds(lag) * 1000},
                     {"requests_per_second", m_pauseState.requestsPerSecond},
                     {"capacity", m_pauseOptions.capacity}});
        ++m_relay.counters().connectionPauses;
        m_callerListener.pause(*pause);
    }

    void refreshCopiesIfBehind()
    {
        updateAgreement();
        confirmIfOutdated();
        RelayState &state = m_relay.state();
        state.endpointsAsOf = m_endpointEntries.asOf();
        state.documentAsOf = m_documents.asOf();
        const bool queueEmpty = Relay::now() >= state.congestedAt + m_relay.options().congestionHoldOff;
        if (state.congestedAt == TimePoint{} || !queueEmpty || !m_relay.mayBeStale(Relay::now())) {
            return;
        }
        if (state.endpointsAsOf < state.congestedAt) {
            m_endpointEntries.verifyFreshness();
        }
        if (state.documentAsOf < state.congestedAt) {
            m_documents.verifyFreshness();
        }
    }

    void beginStop(int signal)
    {
        if (m_stopping) {
            return;
        }
        m_stopping = true;
        m_stopStartedAt = Relay::now();
        m_log.write("stop", {{"signal", static_cast<std::int64_t>(signal)}, {"calls", m_relay.callsOpen}});
        setStage(RelayStage::Leaving, "leaving");
        m_links.sendHeartbeat();
        m_budgets.removeLiveEntry();
        continueStop();
    }

    // Callers cache address answers for a while, so new requests still arrive and are served in the first phase, unless
    // the end of the process is expected to cut them.
    void continueStop()
    {
        m_relay.state().endsAt =
            m_stopStartedAt + std::chrono::duration_cast<Duration>(m_settings.stopWithin * EndFraction);
        m_relay.refuseRequestsEndingLate();
        const double passed = toSeconds(Relay::now() - m_stopStartedAt) / toSeconds(m_settings.stopWithin);
        if (passed >= AcceptRequestsFraction && m_relay.state().stage == RelayStage::Leaving) {
            setStage(RelayStage::Stopping, "stopping");
        }
        if (m_relay.state().stage == RelayStage::Stopping) {
            closeIdleConnections();
            const bool callsEnded = m_relay.callsOpen == 0 && m_lender.openConnections() == 0;
            if (callsEnded || passed >= FinishRequestsFraction) {
                returnBudgets();
            }
            const bool finished = callsEnded && m_budgetsReturned && countOwedAnswers() == 0;
            if (finished || passed >= EndFraction) {
                end();
                return;
            }
        }
        m_stopTimer.expires_after(std::chrono::milliseconds(100));
        m_stopTimer.async_wait([this](const error_code &error) {
            if (!error) {
                continueStop();
            }
        });
    }

    void closeIdleConnections()
    {
        const auto open = m_connections.open;
        for (CallerConnection *connection : open) {
            connection->closeIfIdle();
        }
    }

    std::int64_t countOwedAnswers() const
    {
        return std::count_if(m_connections.open.begin(), m_connections.open.end(), [](CallerConnection *connection) {
            return connection->owesAnswer();
        });
    }

    // The budgets are not needed once no request is open, while slow readers may still be receiving their answers.
    void returnBudgets()
    {
        if (std::exchange(m_returningBudgets, true)) {
            return;
        }
        m_log.write("stopping",
                    {{"calls_open", m_relay.callsOpen},
                     {"lent_open", static_cast<std::int64_t>(m_lender.openConnections())},
                     {"answers_owed", countOwedAnswers()}});
        m_budgets.returnAll([this] {
            m_budgetsReturned = true;
        });
    }

    void logCutAnswers()
    {
        std::size_t lines = MaxCutAnswerLines;
        for (CallerConnection *connection : m_connections.open) {
            if (lines > 0 && connection->owesAnswer()) {
                connection->logOwedAnswer();
                --lines;
            }
        }
    }

    void end()
    {
        logCutAnswers();
        m_log.write("end",
                    {{"returned", m_relay.state().prepaid.returned},
                     {"calls_cut", m_relay.callsOpen},
                     {"lent_cut", static_cast<std::int64_t>(m_lender.openConnections())},
                     {"answers_cut", countOwedAnswers()}});
        m_log.flush();
        m_io.stop();
    }

    // Declared before m_io and thus destroyed after it: handlers that are still queued in m_io own connections, and
    // each of these removes itself from this list on destruction. In the reverse order, a shutdown with a connected
    // caller corrupted the heap.
    CallerConnections m_connections;
    boost::asio::io_context m_io{1};
    GatewaySettings m_settings;
    std::string m_settingsFile;
    std::string m_settingsText;
    ConnectionLimits m_limits;
    FleetMember m_self;
    DecisionLog m_log;
    Relay m_relay;
    StoreClient m_store;
    BudgetManager m_budgets;
    LimitShareManager m_limitShares;
    FleetLinks m_links;
    ConnectionLender m_lender;
    EndpointList m_endpoints;
    SuspectCoordinator m_suspects;
    VersionAnnouncer m_versions;
    StreamOriginSearch m_originSearch;
    SharedPrefix m_documents;
    SharedPrefix m_endpointEntries;
    SharedPrefix m_liveEntries;
    Listener m_callerListener;
    ConnectionPauseOptions m_pauseOptions;
    ConnectionPauseState m_pauseState;
    SimpleHttpServer m_entryServer;
    SimpleHttpServer m_metricsServer;
    boost::asio::signal_set m_signals;
    boost::asio::signal_set m_reloadSignals;
    boost::asio::steady_timer m_sweepTimer;
    boost::asio::steady_timer m_stopTimer;
    std::mt19937_64 m_random{std::random_device{}()};
    TimePoint m_nextLoadLog;
    std::uint64_t m_requestsAtSweep = 0;
    bool m_copiesOutdated = false;
    TimePoint m_nextConfirm;
    TimePoint m_startedAt;
    bool m_readAfterEntryWritten =
        false; // Whether the live entries were read since this router's own was first written.
    bool m_storeWasInReach = false;
    bool m_stopping = false;
    bool m_returningBudgets = false;
    bool m_budgetsReturned = false;
    TimePoint m_stopStartedAt;
};

Gateway::Gateway(GatewaySettings settings, std::string settingsFile)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(settingsFile)))
{
}

Gateway::~Gateway() = default;

bool Gateway::start(LastReason &reason)
{
    return m_impl->start(reason);
}

bool Gateway::run()
{
    return m_impl->run();
}

} // namespace Godwit
