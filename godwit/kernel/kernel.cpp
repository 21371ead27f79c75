#include "godwit/kernel/kernel.h"

#include "godwit/kernel/call_flow.h"
#include "godwit/kernel/call_state.h"
#include "godwit/suspects/suspect_codec.h"

#include <algorithm>

namespace Godwit
{
namespace
{

using Actions = std::vector<KernelAction>;
using internal::withBudget;
using internal::withClaims;
using internal::withRouting;

// Topics of messages between routers.
constexpr std::string_view BudgetTopic = "budget";
constexpr std::string_view HeartbeatTopic = "heartbeat";
constexpr std::string_view ConfigTopic = "config";
constexpr std::string_view SuspectTopic = "suspect";

void performConfig(Kernel &kernel, ConfigActions actions, const Moment &moment, Actions &out);
void performMembership(Kernel &kernel, MembershipActions actions, const Moment &moment, Actions &out);

// An endpoint with several routes is one choice in each of them.
EndpointId specId(const EndpointConfig &endpoint, const RouteId &route)
{
    return endpoint.routes.size() == 1 ? endpoint.id : EndpointId{endpoint.id.value + "/" + route.value};
}

// Leaving says the last host list, or an endpoint that it showed before and shows no more.
bool isLeaving(const Kernel &kernel, const std::string &address)
{
    const auto listed = kernel.endpointLeaving.find(address);
    if (listed != kernel.endpointLeaving.end()) {
        return listed->second;
    }
    return kernel.listedEndpoints.count(address) != 0;
}

void refreshEndpoints(Kernel &kernel, const Moment &moment, Actions &out)
{
    if (!kernel.site) {
        return;
    }
    std::vector<EndpointSpec> specs;
    kernel.endpointAddresses.clear();
    for (const auto &[id, endpoint] : kernel.site->endpoints) {
        if (!endpoint.enabled) {
            continue;
        }
        for (const auto &route : endpoint.routes) {
            EndpointSpec spec;
            spec.id = specId(endpoint, route);
            spec.route = route;
            spec.process = endpoint.id;
            spec.host = HostId{endpoint.address.substr(0, endpoint.address.rfind(':'))};
            spec.dataCentre = endpoint.dataCentre;
            spec.slots = endpoint.slots;
            const auto *routeConfig = findRoute(*kernel.site, route);
            spec.modelEngine = routeConfig != nullptr && routeConfig->kind == RouteKind::Model;
            spec.leaving = isLeaving(kernel, endpoint.address);
            kernel.endpointAddresses[spec.id] = endpoint.address;
            specs.push_back(std::move(spec));
        }
    }
    withRouting(kernel, moment, out, [&](auto &actions) {
        setEndpoints(kernel.routing, std::move(specs), moment.now, actions);
    });
}

void applyBudgetRules(Kernel &kernel)
{
    for (const auto &[id, customer] : kernel.site->customers) {
        if (customer.defaultBudget) {
            setBudgetRule(kernel.budget, *customer.defaultBudget, BudgetRule{customer.sliceFraction});
        }
    }
}

void adopt(Kernel &kernel, const ConfigDocument &document, const Moment &moment, Actions &out)
{
    LastReason reason;
    auto site = resolveAcceptedSite(document, kernel.options.dataCentre, reason, kernel.site.get());
    setConfigRevision(kernel.membership, document.revision);
    if (!site) {
        // The revision was valid for the sites that existed when it was accepted. This site keeps what it has.
        out.emplace_back(ConfigRejected{document.revision, *reason});
        return;
    }
    kernel.site = std::make_shared<const SiteConfig>(std::move(*site));
    applyBudgetRules(kernel);
    refreshEndpoints(kernel, moment, out);
    out.emplace_back(ConfigInForce{document.revision});
}

void onConfigAction(Kernel &, const KvCommand &command, const Moment &, Actions &out)
{
    out.emplace_back(command);
}

void onConfigAction(Kernel &kernel, const ConfigAdopted &adopted, const Moment &moment, Actions &out)
{
    adopt(kernel, *adopted.document, moment, out);
}

void onConfigAction(Kernel &, SendDocument &document, const Moment &, Actions &out)
{
    out.emplace_back(SendToPeer{document.to, std::string(ConfigTopic), std::move(document.cbor)});
}

void onConfigAction(Kernel &, const SetHeadWatch &watch, const Moment &, Actions &out)
{
    out.emplace_back(WatchConfig{watch.on});
}

void answerChange(Kernel &kernel, ChangeId id, std::uint64_t revision, std::optional<Error> error, Actions &out)
{
    const auto found = kernel.changeTickets.find(id.value);
    if (found == kernel.changeTickets.end()) {
        return;
    }
    out.emplace_back(ChangeAnswered{found->second, revision, std::move(error)});
    kernel.changeTickets.erase(found);
}

void onConfigAction(Kernel &kernel, const ChangeAccepted &accepted, const Moment &, Actions &out)
{
    answerChange(kernel, accepted.id, accepted.revision, std::nullopt, out);
}

void onConfigAction(Kernel &kernel, const ChangeRefused &refused, const Moment &, Actions &out)
{
    answerChange(kernel, refused.id, 0, refused.error, out);
}

void performConfig(Kernel &kernel, ConfigActions actions, const Moment &moment, Actions &out)
{
    for (auto &action : actions) {
        std::visit(
            [&](auto &one) {
                onConfigAction(kernel, one, moment, out);
            },
            action);
    }
}

// Tells every package who is live.
void refreshRouters(Kernel &kernel, const Moment &moment, Actions &out)
{
    std::vector<BudgetPeer> budgetPeers;
    std::vector<ConfigPeer> configPeers;
    std::vector<Incarnation> live{kernel.options.self};
    budgetPeers.push_back(BudgetPeer{kernel.options.self, kernel.options.dataCentre});
    configPeers.push_back(ConfigPeer{kernel.options.self, kernel.options.dataCentre});
    for (const auto &member : liveRouters(kernel.membership, true)) {
        budgetPeers.push_back(BudgetPeer{member.incarnation, member.dataCentre});
        configPeers.push_back(ConfigPeer{member.incarnation, member.dataCentre});
        live.push_back(member.incarnation);
    }
    setRouterCount(kernel.routing, static_cast<int>(live.size()));
    setClaimWriteRate(kernel.claims, kernel.options.fleetClaimWritesPerSecond / static_cast<double>(live.size()));
    setLiveRouters(kernel.claims, std::move(live));
    withBudget(kernel, moment, out, [&](auto &actions) {
        setPeers(kernel.budget, std::move(budgetPeers), moment.now, actions);
    });
    performConfig(kernel, onLiveRouters(kernel.config, configPeers, moment.now), moment, out);
}

void onMembershipAction(Kernel &, const SendHeartbeat &heartbeat, const Moment &, Actions &out)
{
    out.emplace_back(SendToPeer{heartbeat.to, std::string(HeartbeatTopic), encodeHeartbeat(heartbeat.body)});
}

void onMembershipAction(Kernel &kernel, const RouterLive &live, const Moment &moment, Actions &out)
{
    out.emplace_back(RouterStateChanged{"live", live.member.incarnation});
    refreshRouters(kernel, moment, out);
}

void onMembershipAction(Kernel &, const RouterSuspected &suspected, const Moment &, Actions &out)
{
    out.emplace_back(RouterStateChanged{"suspected", suspected.incarnation});
}

void onMembershipAction(Kernel &kernel, const RouterGone &gone, const Moment &moment, Actions &out)
{
    out.emplace_back(RouterStateChanged{"gone", gone.incarnation});
    refreshRouters(kernel, moment, out);
    withBudget(kernel, moment, out, [&](auto &actions) {
        onRouterGone(kernel.budget, gone.incarnation, moment.now, actions);
    });
    withClaims(kernel, moment, out, [&](auto &actions) {
        onRouterGone(kernel.claims, gone.incarnation, moment.now, actions);
    });
}

void onMembershipAction(Kernel &kernel, const RouterReturned &returned, const Moment &moment, Actions &out)
{
    out.emplace_back(RouterStateChanged{"returned", returned.member.incarnation});
    refreshRouters(kernel, moment, out);
}

void onMembershipAction(Kernel &, const ConnectPeer &connect, const Moment &, Actions &out)
{
    out.emplace_back(LinkPeer{connect.host, connect.address});
}

void onMembershipAction(Kernel &kernel, const DropPeer &drop, const Moment &, Actions &out)
{
    const auto known = kernel.linked.find(drop.incarnation);
    if (known != kernel.linked.end()) {
        out.emplace_back(UnlinkPeer{known->second.host});
    }
}

void performMembership(Kernel &kernel, MembershipActions actions, const Moment &moment, Actions &out)
{
    for (auto &action : actions) {
        std::visit(
            [&](auto &one) {
                onMembershipAction(kernel, one, moment, out);
            },
            action);
    }
}

void onEvent(Kernel &kernel, const CallEvent &event, const Moment &moment, Actions &out)
{
    internal::onCallEvent(kernel, event, moment, out);
}

void onEvent(Kernel &kernel, const KvReply &reply, const Moment &moment, Actions &out)
{
    // Each package's tags have their own top byte.
    constexpr std::uint64_t spaceMask = 0xFFULL << 56U;
    const std::uint64_t space = reply.tag & spaceMask;
    if (space == BudgetTagSpace) {
        withBudget(kernel, moment, out, [&](auto &actions) {
            onKvReply(kernel.budget, reply, moment.now, actions);
        });
    } else if (space == ClaimTagSpace) {
        withClaims(kernel, moment, out, [&](auto &actions) {
            onKvReply(kernel.claims, reply, moment.now, actions);
        });
    } else if (space == ConfigTagBase) {
        performConfig(kernel, onKvReply(kernel.config, reply, moment.now), moment, out);
    }
}

void onEvent(Kernel &kernel, const PeerLinked &peer, const Moment &moment, Actions &out)
{
    const KnownRouter router{peer.host, peer.dataCentre, peer.callerAddress};
    kernel.linked[peer.incarnation] = router;
    kernel.routersByHost[peer.host] = router;
    performMembership(
        kernel, onPeerLinkUp(kernel.membership, peer.incarnation, peer.dialledHere, moment.now), moment, out);
    performConfig(kernel, onPeerUp(kernel.config, peer.incarnation, moment.now), moment, out);
}

void onEvent(Kernel &kernel, const PeerUnlinked &peer, const Moment &moment, Actions &out)
{
    kernel.linked.erase(peer.incarnation);
    onPeerDown(kernel.config, peer.incarnation);
    performMembership(kernel, onPeerLinkDown(kernel.membership, peer.incarnation, moment.now), moment, out);
}

void onHeartbeatBytes(Kernel &kernel, const PeerMessage &message, const Moment &moment, Actions &out)
{
    const auto body = decodeHeartbeat(message.body);
    if (!body) {
        return;
    }
    performMembership(kernel, onHeartbeat(kernel.membership, message.from, *body, moment.now), moment, out);
    performConfig(kernel, onPeerRevision(kernel.config, message.from, body->configRevision, moment.now), moment, out);
}

void onEvent(Kernel &kernel, const PeerMessage &message, const Moment &moment, Actions &out)
{
    if (message.topic == BudgetTopic) {
        withBudget(kernel, moment, out, [&](auto &actions) {
            onPeerMessage(kernel.budget, message.from, message.body, moment.now, actions);
        });
    } else if (message.topic == HeartbeatTopic) {
        onHeartbeatBytes(kernel, message, moment, out);
    } else if (message.topic == ConfigTopic) {
        performConfig(kernel, onPeerDocument(kernel.config, message.from, message.body, moment.now), moment, out);
    } else if (message.topic == SuspectTopic) {
        if (const auto notice = decodeSuspectNotice(message.body)) {
            withRouting(kernel, moment, out, [&](auto &actions) {
                onSuspectNotice(kernel.routing, *notice, moment.now, actions);
            });
        }
    }
}

void onEvent(Kernel &kernel, const HostsRead &read, const Moment &moment, Actions &out)
{
    std::vector<HostEntry> routers;
    kernel.endpointLeaving.clear();
    for (const auto &listed : read.hosts) {
        if (!listed.router) {
            kernel.endpointLeaving[listed.address] = listed.leaving;
            kernel.listedEndpoints.insert(listed.address);
        } else if (listed.host != kernel.options.host) {
            routers.push_back(HostEntry{listed.host, listed.dataCentre, listed.peerAddress, listed.leaving});
            kernel.routersByHost[listed.host] = KnownRouter{listed.host, listed.dataCentre, listed.address};
        }
    }
    performMembership(kernel, onHostList(kernel.membership, routers, moment.now), moment, out);
    refreshEndpoints(kernel, moment, out);
}

void onEvent(Kernel &kernel, const KeyChanged &changed, const Moment &moment, Actions &out)
{
    performConfig(kernel, onKeyChanged(kernel.config, changed.key, changed.version, moment.now), moment, out);
}

void onEvent(Kernel &kernel, const LoadReported &reported, const Moment &moment, Actions &out)
{
    withRouting(kernel, moment, out, [&](auto &actions) {
        onLoadReport(kernel.routing, reported.endpoint, reported.report, moment.now, actions);
    });
}

void onEvent(Kernel &kernel, const EndpointLeaves &leaves, const Moment &moment, Actions &)
{
    markEndpointLeaving(kernel.routing, leaves.endpoint, moment.now);
}

void onEvent(Kernel &kernel, const PatchSubmitted &submitted, const Moment &moment, Actions &out)
{
    ConfigActions actions;
    const ChangeId id = submitPatch(kernel.config, submitted.patch, moment.now, actions);
    kernel.changeTickets[id.value] = submitted.ticket;
    performConfig(kernel, std::move(actions), moment, out);
}

void onEvent(Kernel &kernel, const DrainRequested &, const Moment &moment, Actions &out)
{
    if (kernel.stage != RouterStage::Serving) {
        return;
    }
    kernel.stage = RouterStage::Leaving;
    const double keptSeconds = kernel.site ? kernel.site->limits.addressTtlSeconds : 0;
    kernel.leavingUntil = moment.now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(keptSeconds))
        + kernel.options.drainMargin;
    performMembership(kernel, setDraining(kernel.membership, moment.now), moment, out);
}

// Moves a stopping router on when its stage has done its part.
void advanceDrain(Kernel &kernel, const Moment &moment, Actions &out)
{
    if (kernel.stage == RouterStage::Leaving && moment.now >= kernel.leavingUntil) {
        kernel.stage = RouterStage::Draining;
        withClaims(kernel, moment, out, [&](auto &actions) {
            drainClaims(kernel.claims, moment.now, actions);
        });
        withBudget(kernel, moment, out, [&](auto &actions) {
            drainBudgets(kernel.budget, moment.now, actions);
        });
    }
    if (kernel.stage == RouterStage::Draining && kernel.calls.empty() && budgetsDrained(kernel.budget)
        && claimsDrained(kernel.claims)) {
        kernel.stage = RouterStage::Drained;
        out.emplace_back(DrainFinished{});
    }
}

void onEvent(Kernel &kernel, const Tick &, const Moment &moment, Actions &out)
{
    withBudget(kernel, moment, out, [&](auto &actions) {
        onTick(kernel.budget, moment.now, actions);
    });
    withClaims(kernel, moment, out, [&](auto &actions) {
        onTick(kernel.claims, moment.now, actions);
    });
    withRouting(kernel, moment, out, [&](auto &actions) {
        onTick(kernel.routing, moment.now, actions);
    });
    performConfig(kernel, onTick(kernel.config, moment.now), moment, out);
    performMembership(kernel, onTick(kernel.membership, moment.now), moment, out);
}

void takeEarlier(std::optional<TimePoint> &earliest, const std::optional<TimePoint> &candidate)
{
    if (candidate && (!earliest || *candidate < *earliest)) {
        earliest = candidate;
    }
}

} // namespace

Kernel makeKernel(KernelOptions options, const Moment &moment)
{
    options.budget.dataCentre = options.dataCentre;
    options.budget.seed = options.seed;
    options.routing.dataCentre = options.dataCentre;
    options.routing.seed = options.seed;
    options.config.self = options.self;
    options.config.dataCentre = options.dataCentre;
    options.membership.self = options.self;
    options.membership.host = options.host;
    options.membership.dataCentre = options.dataCentre;
    options.membership.address = options.peerAddress;
    Kernel kernel;
    kernel.config = makeConfigAgent(options.config);
    kernel.membership = makeMembership(options.membership, moment.now);
    kernel.budget = makeBudgetAgent(options.self, options.budget);
    kernel.claims = makeClaimAgent(options.self, options.claims);
    kernel.routing = makeRoutingState(options.routing);
    kernel.options = std::move(options);
    return kernel;
}

void start(Kernel &kernel, const Moment &moment, Actions &out)
{
    performConfig(kernel, onStart(kernel.config, moment.now), moment, out);
    refreshRouters(kernel, moment, out);
}

void step(Kernel &kernel, const KernelEvent &event, const Moment &moment, Actions &out)
{
    std::visit(
        [&](const auto &one) {
            onEvent(kernel, one, moment, out);
        },
        event);
    advanceDrain(kernel, moment, out);
}

std::optional<TimePoint> nextWake(const Kernel &kernel)
{
    std::optional<TimePoint> earliest = nextWake(kernel.membership);
    takeEarlier(earliest, nextWake(kernel.budget));
    takeEarlier(earliest, nextWake(kernel.claims));
    takeEarlier(earliest, nextWake(kernel.routing));
    takeEarlier(earliest, nextWake(kernel.config));
    if (kernel.stage == RouterStage::Leaving) {
        takeEarlier(earliest, kernel.leavingUntil);
    }
    return earliest;
}

bool isReady(const Kernel &kernel)
{
    return kernel.site != nullptr && kernel.stage == RouterStage::Serving;
}

} // namespace Godwit
