#include "godwit/daemon/control.h"

#include "godwit/caller/caller_server.h"
#include "godwit/daemon/event_log.h"
#include "godwit/daemon/load_poller.h"
#include "godwit/daemon/tls_contexts.h"
#include "godwit/http/address.h"
#include "godwit/kernel/kernel.h"
#include "godwit/operators/admin_api.h"
#include "godwit/operators/admin_server.h"
#include "godwit/operators/metrics.h"
#include "godwit/platform/http_platform.h"
#include "godwit/router/router_mesh.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <random>
#include <set>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto HostListPeriod = std::chrono::seconds(1);
// The interval grows with the fleet, so that all routers together make fewer than 50 reads per second.
constexpr auto HostListPeriodPerRouter = std::chrono::milliseconds(20);
constexpr auto CertificatePeriod = std::chrono::seconds(5);
constexpr std::size_t MaxLoggedRefusals = 256;
constexpr auto FinishPoll = std::chrono::milliseconds(20);

Moment currentMoment()
{
    return Moment{std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()),
                  std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now())};
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

Incarnation makeIncarnation(const HostId &host)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string suffix;
    for (std::uint64_t bits = randomSeed(); bits != 0; bits >>= 4U) {
        suffix.push_back(digits[bits & 15U]);
    }
    return Incarnation{host.value + "." + suffix};
}

// Replaces a configured port 0 by the port that the listener was given.
std::string advertised(const std::string &configured, const tcp::endpoint &actual)
{
    LastReason reason;
    auto address = parseAddress(configured, reason);
    if (!address) {
        return formatAddress(actual);
    }
    if (address->port() == 0) {
        address->port(actual.port());
    }
    return formatAddress(*address);
}

Hello helloOf(const KernelOptions &options)
{
    Hello hello;
    hello.host = options.host;
    hello.incarnation = options.self;
    hello.dataCentre = options.dataCentre;
    hello.peerAddress = options.peerAddress;
    hello.callerAddress = options.callerAddress;
    return hello;
}

} // namespace

class Control::Impl
{
public:
    Impl(Settings settings, ControlOptions options)
        : m_settings(std::move(settings))
        , m_options(std::move(options))
        , m_wake(m_io)
        , m_hostTimer(m_io)
        , m_certificateTimer(m_io)
        , m_finishTimer(m_io)
        , m_drainTimer(m_io)
        , m_signals(m_io, SIGTERM, SIGINT)
        , m_callerFiles(m_settings.callerTls)
        , m_operatorFiles(m_settings.operatorTls)
    {
    }

    bool start(LastReason &reason)
    {
        std::signal(SIGPIPE, SIG_IGN); // Writing to a closed connection must fail that write, not end the process.
        HttpPlatformOptions platform;
        platform.addresses = m_settings.platform;
        platform.host = m_settings.host.value;
        m_platform = std::make_unique<HttpPlatform>(m_io, std::move(platform));
        if (!startCallers(reason) || !startOperators(reason) || !startRouter(reason)) {
            return false;
        }
        m_poller = std::make_unique<LoadPoller>(
            m_io, LoadPollerOptions{}, [this](const EndpointId &endpoint, const LoadReport &report) {
                handle(LoadReported{endpoint, report});
            });
        readHosts();
        watchCertificates();
        m_signals.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                beginDrain();
            }
        });
        for (auto &server : m_callers) {
            server->start();
        }
        logEvent(LogLevel::Info,
                 "started",
                 {{"incarnation", m_kernel.options.self.value},
                  {"callers", m_callerAddress},
                  {"peers", m_kernel.options.peerAddress},
                  {"operators", m_operatorAddress}});
        return true;
    }

    bool run()
    {
        const auto work = asio::make_work_guard(m_io);
        m_io.run();
        for (auto &server : m_callers) {
            server->stop();
        }
        return m_drained;
    }

    void drain()
    {
        asio::post(m_io, [this] {
            beginDrain();
        });
    }

    std::string m_callerAddress;
    std::string m_operatorAddress;
    Kernel m_kernel;

private:
    bool startCallers(LastReason &reason)
    {
        const auto configured = parseAddress(m_settings.callerListen, reason);
        if (!configured) {
            return false;
        }
        tcp::endpoint address = *configured;
        const auto threads = static_cast<std::uint64_t>(std::max(1, m_settings.trafficThreads));
        for (std::uint64_t i = 0; i < threads; ++i) {
            m_callers.push_back(std::make_unique<CallerServer>(
                callerOptions(i, threads),
                [this](CallEvent event) {
                    postCall(std::move(event));
                },
                [this] {
                    return m_ready.load();
                }));
            const auto listening = m_callers.back()->listen(address, reason);
            if (!listening) {
                return false;
            }
            address = *listening; // The other threads share the port assigned to the first one.
        }
        m_callerAddress = advertised(m_settings.callerAdvertise, address);
        return loadCertificates(m_callerFiles, reason, [this](const auto &context) {
            for (auto &server : m_callers) {
                server->setTls(context);
            }
        });
    }

    CallerServerOptions callerOptions(std::uint64_t thread, std::uint64_t threads) const
    {
        CallerServerOptions options;
        options.thread = thread;
        options.threads = threads;
        options.caller.maxBodyBytes = m_settings.limits.maxBodyBytes;
        options.caller.maxHeaderBytes = m_settings.limits.maxHeaderBytes;
        options.caller.maxConnections = m_settings.limits.maxConnections;
        options.caller.headerTimeout = m_settings.limits.headerTimeout;
        return options;
    }

    bool startOperators(LastReason &reason)
    {
        const auto address = parseAddress(m_settings.operatorListen, reason);
        if (!address) {
            return false;
        }
        AdminEnvironment environment{
            *m_platform,
            [this]() -> const Kernel & {
                return m_kernel;
            },
            [this](KernelEvent event) {
                if (std::holds_alternative<DrainRequested>(event)) {
                    drain();
                    return;
                }
                asio::post(m_io, [this, event = std::move(event)] {
                    handle(event);
                });
            },
            [this] {
                return renderMetrics(m_metrics, gauges());
            },
            [](const std::string &who, const std::string &what, const std::string &outcome) {
                logEvent(LogLevel::Info, "operator_change", {{"who", who}, {"what", what}, {"outcome", outcome}});
            },
            m_options.bootstrapDigest,
        };
        m_api = std::make_unique<AdminApi>(std::move(environment));
        m_operators = std::make_unique<AdminServer>(
            m_io, AdminServerOptions{}, [this](const AdminRequest &request, const AdminReply &reply) {
                m_api->handle(request, reply);
            });
        const auto listening = m_operators->listen(*address, reason);
        if (!listening) {
            return false;
        }
        m_operatorAddress = formatAddress(*listening);
        return loadCertificates(m_operatorFiles, reason, [this](const auto &context) {
            m_operators->setTls(context);
        });
    }

    template<typename Install>
    static bool loadCertificates(CertificateFiles &files, LastReason &reason, Install install)
    {
        if (!files.enabled()) {
            return true;
        }
        const auto context = files.load(reason);
        if (!context) {
            return false;
        }
        install(context);
        return true;
    }

    // Starts the kernel and the mesh under a new incarnation.
    bool startRouter(LastReason &reason)
    {
        ++m_generation;
        KernelOptions options;
        options.self = makeIncarnation(m_settings.host);
        options.host = m_settings.host;
        options.dataCentre = m_settings.dataCentre;
        options.callerAddress = m_callerAddress;
        options.seed = randomSeed();
        options.routing.maxQueued = m_settings.limits.maxQueuedCalls;
        // The mesh listens before the kernel starts, since the kernel publishes its address.
        options.peerAddress = m_settings.peerAdvertise;
        m_mesh = makeMesh(options);
        if (!m_mesh->start(reason)) {
            return false;
        }
        LastReason ignored;
        if (const auto listen = parseAddress(m_settings.peerListen, ignored)) {
            options.peerAddress =
                advertised(m_settings.peerAdvertise, tcp::endpoint(listen->address(), m_mesh->listenPort()));
        }
        const Moment moment = currentMoment();
        m_kernel = makeKernel(std::move(options), moment);
        std::vector<KernelAction> actions;
        Godwit::start(m_kernel, moment, actions);
        perform(actions);
        return true;
    }

    std::unique_ptr<RouterMesh> makeMesh(const KernelOptions &options)
    {
        RouterMeshOptions mesh;
        mesh.listenAddress = m_settings.peerListen;
        mesh.allowPlainText = m_settings.peerTls.plainTextAllowed;
        if (m_settings.peerTls.enabled()) {
            mesh.tls = MeshTls{m_settings.peerTls.certificate, m_settings.peerTls.key, m_settings.peerTls.ca};
        }
        RouterMeshCallbacks callbacks;
        callbacks.onLinkUp = [this](const Hello &hello) {
            onLinkUp(hello);
        };
        callbacks.onLinkDown = [this](const Incarnation &peer) {
            logEvent(LogLevel::Info, "router_unlinked", {{"incarnation", peer.value}});
            handle(PeerUnlinked{peer});
        };
        callbacks.onMessage = [this](const Incarnation &from, Envelope envelope) {
            handle(PeerMessage{from, std::move(envelope.topic), std::move(envelope.body)});
        };
        callbacks.onRefusal = [this](const std::string &address, const Refusal &refusal) {
            // A refused router keeps reconnecting; each refusal is logged once until a link is established.
            if (m_loggedRefusals.size() >= MaxLoggedRefusals || !m_loggedRefusals.insert(refusal.message).second) {
                return;
            }
            logEvent(
                LogLevel::Warning,
                "router_refused",
                {{"address", address}, {"kind", std::string(refusalName(refusal.kind))}, {"message", refusal.message}});
        };
        return std::make_unique<RouterMesh>(m_io, std::move(mesh), helloOf(options), std::move(callbacks));
    }

    void onLinkUp(const Hello &hello)
    {
        const auto links = m_mesh->links();
        const bool dialledHere = std::any_of(links.begin(), links.end(), [&hello](const LinkStatus &link) {
            return link.remote.incarnation == hello.incarnation && link.dialledHere;
        });
        m_loggedRefusals.clear();
        logEvent(LogLevel::Info,
                 "router_linked",
                 {{"incarnation", hello.incarnation.value}, {"address", hello.peerAddress}});
        handle(PeerLinked{hello.incarnation, hello.host, hello.dataCentre, hello.callerAddress, dialledHere});
    }

    // Called on traffic threads; forwards to the control thread.
    void postCall(CallEvent event)
    {
        asio::post(m_io, [this, event = std::move(event)]() mutable {
            handle(KernelEvent(std::move(event)));
        });
    }

    void handle(const KernelEvent &event)
    {
        std::vector<KernelAction> actions;
        step(m_kernel, event, currentMoment(), actions);
        perform(actions);
        schedule();
    }

    void perform(std::vector<KernelAction> &actions)
    {
        for (auto &action : actions) {
            std::visit(
                [this](auto &one) {
                    performOne(one);
                },
                action);
        }
        m_ready = isReady(m_kernel);
    }

    // Arms the timer for the kernel's next tick.
    void schedule()
    {
        const auto wake = nextWake(m_kernel);
        if (!wake || (m_wakeAt && *m_wakeAt <= *wake && m_wakeAt >= currentMoment().now)) {
            return;
        }
        m_wakeAt = wake;
        m_wake.expires_at(*wake);
        m_wake.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                m_wakeAt.reset();
                handle(Tick{});
            }
        });
    }

    void performOne(CallCommand &command)
    {
        const auto thread = CallerServer::threadOf(callOf(command), m_callers.size());
        m_callers[thread]->deliver(std::move(command));
    }

    void performOne(KvCommand &command)
    {
        m_platform->execute(std::move(command), [this, generation = m_generation](const KvReply &reply) {
            // Commands of an earlier incarnation may still be answered; their tags are invalid now.
            if (generation == m_generation) {
                handle(reply);
            }
        });
    }

    void performOne(SendToPeer &message)
    {
        m_mesh->send(message.to, Envelope{std::move(message.topic), std::move(message.body)});
    }

    void performOne(const LinkPeer &peer)
    {
        m_mesh->connectTo(peer.host, peer.address);
    }

    void performOne(const UnlinkPeer &peer)
    {
        m_mesh->dropPeer(peer.host);
    }

    void performOne(const WatchConfig &watch)
    {
        m_watchConfig = watch.on;
        if (!watch.on || m_watchStarted) {
            return;
        }
        m_watchStarted = true;
        m_platform->watch(std::string(ConfigHeadKey), [this](const std::vector<KeyChange> &changes) {
            if (!m_watchConfig) {
                return;
            }
            if (changes.empty()) {
                handle(KeyChanged{std::string(ConfigHeadKey), 0});
            }
            for (const auto &change : changes) {
                handle(KeyChanged{change.key, change.version});
            }
        });
    }

    void performOne(const ConfigInForce &inForce)
    {
        logEvent(LogLevel::Info, "config_in_force", {{"revision", std::to_string(inForce.revision)}});
        std::vector<PollTarget> targets;
        for (const auto &[id, endpoint] : m_kernel.site->endpoints) {
            for (const auto &[spec, address] : m_kernel.endpointAddresses) {
                const bool model =
                    std::any_of(endpoint.routes.begin(), endpoint.routes.end(), [this](const RouteId &route) {
                        const auto *config = findRoute(*m_kernel.site, route);
                        return config != nullptr && config->kind == RouteKind::Model;
                    });
                if (model && address == endpoint.address) {
                    targets.push_back(PollTarget{spec, address});
                }
            }
        }
        if (m_poller) {
            m_poller->setEndpoints(std::move(targets));
        }
    }

    static void performOne(const ConfigRejected &rejected)
    {
        logEvent(LogLevel::Error,
                 "config_rejected",
                 {{"revision", std::to_string(rejected.revision)}, {"reason", rejected.error.message}});
    }

    void performOne(const ChangeAnswered &answered)
    {
        m_api->onChangeAnswered(answered);
    }

    void performOne(const CallFinished &finished)
    {
        record(m_metrics, finished);
    }

    static void performOne(const RouterStateChanged &changed)
    {
        logEvent(LogLevel::Info,
                 "router_state",
                 {{"state", std::string(changed.what)}, {"incarnation", changed.incarnation.value}});
    }

    void performOne(const IncarnationLost &)
    {
        logEvent(LogLevel::Warning, "incarnation_lost", {{"incarnation", m_kernel.options.self.value}});
        // Deferred, since the kernel that emitted this action is still on the stack.
        asio::post(m_io, [this] {
            m_mesh->stop();
            m_oldMeshes.push_back(std::move(m_mesh));
            LastReason reason;
            if (!startRouter(reason)) {
                logEvent(LogLevel::Error, "restart_failed", {{"reason", reason ? reason->message : ""}});
                m_io.stop();
                return;
            }
            logEvent(LogLevel::Info, "restarted", {{"incarnation", m_kernel.options.self.value}});
            if (m_draining) {
                handle(DrainRequested{});
            }
            schedule();
        });
    }

    void performOne(const DrainFinished &)
    {
        m_drained = true;
        for (auto &server : m_callers) {
            server->stopAccepting();
        }
        waitForWrites();
    }

    // All calls have ended in the kernel, but the last bytes of responses may still be in transit to callers.
    void waitForWrites()
    {
        const bool busy = std::any_of(m_callers.begin(), m_callers.end(), [](const auto &server) {
            return server->activeCalls() != 0;
        });
        if (!busy) {
            logEvent(LogLevel::Info, "drained");
            m_io.stop();
            return;
        }
        m_finishTimer.expires_after(FinishPoll);
        m_finishTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                waitForWrites();
            }
        });
    }

    void beginDrain()
    {
        if (m_draining) {
            return;
        }
        m_draining = true;
        logEvent(LogLevel::Info, "draining", {{"calls", std::to_string(m_kernel.calls.size())}});
        for (auto &server : m_callers) {
            server->closeAfterAnswers();
        }
        m_drainTimer.expires_after(m_settings.limits.drainTimeout);
        m_drainTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                logEvent(LogLevel::Error, "drain_timed_out", {{"calls", std::to_string(m_kernel.calls.size())}});
                m_io.stop();
            }
        });
        handle(DrainRequested{});
    }

    void readHosts()
    {
        m_platform->readHosts([this](const std::optional<std::vector<HostListEntry>> &listed) {
            if (listed) {
                handle(hostsRead(*listed));
            }
            const auto routers = static_cast<int>(m_kernel.membership.members.size()) + 1;
            m_hostTimer.expires_after(std::max<Duration>(HostListPeriod, routers * HostListPeriodPerRouter));
            m_hostTimer.async_wait([this](const boost::system::error_code &error) {
                if (!error) {
                    readHosts();
                }
            });
        });
    }

    static HostsRead hostsRead(const std::vector<HostListEntry> &listed)
    {
        HostsRead read;
        for (const auto &entry : listed) {
            ListedHost host;
            host.host = HostId{entry.host};
            host.dataCentre = DataCentreId{entry.dataCentre};
            host.router = entry.role == "router";
            host.address = entry.address;
            host.peerAddress = entry.peerAddress;
            host.leaving = entry.leaving;
            read.hosts.push_back(std::move(host));
        }
        return read;
    }

    void watchCertificates()
    {
        m_certificateTimer.expires_after(CertificatePeriod);
        m_certificateTimer.async_wait([this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            reloadIfChanged(m_callerFiles, "callers", [this](const auto &context) {
                for (auto &server : m_callers) {
                    server->setTls(context);
                }
            });
            reloadIfChanged(m_operatorFiles, "operators", [this](const auto &context) {
                m_operators->setTls(context);
            });
            watchCertificates();
        });
    }

    template<typename Install>
    static void reloadIfChanged(CertificateFiles &files, const std::string &listener, Install install)
    {
        if (!files.changed()) {
            return;
        }
        LastReason reason;
        const bool loaded = loadCertificates(files, reason, install);
        logEvent(loaded ? LogLevel::Info : LogLevel::Error,
                 loaded ? "certificate_reloaded" : "certificate_rejected",
                 {{"listener", listener}, {"reason", reason ? reason->message : ""}});
    }

    std::vector<Gauge> gauges() const
    {
        const auto &platform = m_platform->counters();
        const auto &mesh = m_mesh->counters();
        const auto &calls = m_kernel.counters;
        return {
            {"godwit_ready", "1 if this router accepts calls.", m_ready ? 1.0 : 0.0},
            {"godwit_calls_in_flight", "Calls that have not ended.", static_cast<double>(m_kernel.calls.size())},
            {"godwit_calls_queued",
             "Calls waiting for an endpoint.",
             static_cast<double>(queuedCalls(m_kernel.routing))},
            {"godwit_routers_linked",
             "Routers with an open link to this one.",
             static_cast<double>(m_kernel.linked.size())},
            {"godwit_config_revision",
             "Configuration in force here.",
             static_cast<double>(configRevision(m_kernel.config))},
            {"godwit_calls_arrived_total", "Calls read from callers.", static_cast<double>(calls.arrived), true},
            {"godwit_calls_refused_total", "Calls refused.", static_cast<double>(calls.refused), true},
            {"godwit_calls_aborted_total",
             "Calls whose response was aborted.",
             static_cast<double>(calls.aborted),
             true},
            {"godwit_late_events_total",
             "Events received for calls that had already ended.",
             static_cast<double>(calls.lateEvents),
             true},
            {"godwit_platform_reads_total",
             "Reads of the platform's service.",
             static_cast<double>(platform.reads),
             true},
            {"godwit_platform_writes_total",
             "Writes to the platform's service.",
             static_cast<double>(platform.writes),
             true},
            {"godwit_platform_watches_total", "Long-poll watches opened.", static_cast<double>(platform.watches), true},
            {"godwit_platform_unknown_total",
             "Platform calls without a response.",
             static_cast<double>(platform.unknown),
             true},
            {"godwit_platform_rejected_total",
             "Platform calls that did not reach it.",
             static_cast<double>(platform.rejected),
             true},
            {"godwit_router_messages_sent_total",
             "Messages sent to other routers.",
             static_cast<double>(mesh.sent),
             true},
            {"godwit_router_messages_dropped_total",
             "Messages dropped at a bound.",
             static_cast<double>(mesh.dropped),
             true},
            {"godwit_router_messages_received_total",
             "Messages received from other routers.",
             static_cast<double>(mesh.received),
             true},
        };
    }

    Settings m_settings;
    ControlOptions m_options;
    asio::io_context m_io{1};
    asio::steady_timer m_wake;
    std::optional<TimePoint> m_wakeAt;
    asio::steady_timer m_hostTimer;
    asio::steady_timer m_certificateTimer;
    asio::steady_timer m_finishTimer;
    asio::steady_timer m_drainTimer;
    asio::signal_set m_signals;
    CertificateFiles m_callerFiles;
    CertificateFiles m_operatorFiles;
    std::unique_ptr<HttpPlatform> m_platform;
    std::unique_ptr<RouterMesh> m_mesh;
    std::vector<std::unique_ptr<RouterMesh>> m_oldMeshes; // Stopped meshes whose last handlers may still run.
    std::unique_ptr<AdminApi> m_api;
    std::unique_ptr<AdminServer> m_operators;
    std::unique_ptr<LoadPoller> m_poller;
    std::vector<std::unique_ptr<CallerServer>> m_callers;
    Metrics m_metrics;
    std::set<std::string> m_loggedRefusals;
    std::uint64_t m_generation = 0;
    std::atomic<bool> m_ready{false};
    bool m_watchConfig = false;
    bool m_watchStarted = false;
    bool m_draining = false;
    bool m_drained = false;
};

Control::Control(Settings settings, ControlOptions options)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(options)))
{
}

Control::~Control() = default;

bool Control::start(LastReason &reason)
{
    return m_impl->start(reason);
}

bool Control::run()
{
    return m_impl->run();
}

void Control::drain()
{
    m_impl->drain();
}

std::string Control::callerAddress() const
{
    return m_impl->m_callerAddress;
}

std::string Control::peerAddress() const
{
    return m_impl->m_kernel.options.peerAddress;
}

std::string Control::operatorAddress() const
{
    return m_impl->m_operatorAddress;
}

} // namespace Godwit
