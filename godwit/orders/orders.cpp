#include "godwit/orders/orders.h"

#include "godwit/base/hash.h"

#include <algorithm>
#include <charconv>

namespace Godwit
{
namespace
{

// Tags of lease, weight record and groups differ in these bits.
constexpr std::uint64_t LeaseTagBits = 1ULL << 48U;
constexpr std::uint64_t WeightTagBits = 2ULL << 48U;
// How often nextWake() lets work be looked at that waits for the wall clock or for an answer.
constexpr Duration WorkInterval = std::chrono::milliseconds(250);

std::string holderKey(const std::string &group)
{
    return "orders/holder/" + group;
}

std::string fenceKey(const std::string &group)
{
    return "orders/fence/" + group;
}

std::string holderValue(const OrdersAgent &agent)
{
    return agent.options.self.value + ' ' + agent.lease.id;
}

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

KvCommand openCommand(OrdersAgent &agent, EngineGroup &group, KvVerb verb, std::string key)
{
    KvCommand command;
    command.tag = OrdersTagBase + agent.nextTag++;
    command.verb = verb;
    command.key = std::move(key);
    group.openTag = command.tag;
    return command;
}

bool wantsLease(const OrdersAgent &agent)
{
    return std::any_of(agent.groups.begin(), agent.groups.end(), [](const auto &entry) {
        return entry.second.firstChoice || entry.second.stage != GroupStage::Foreign;
    });
}

void loseGroup(EngineGroup &group, const std::string &name, OrdersActions &actions)
{
    if (group.stage != GroupStage::Foreign && group.stage != GroupStage::Claiming) {
        actions.emplace_back(GroupLost{name});
    }
    group.stage = GroupStage::Foreign;
    group.fencing = 0;
}

bool hasIgnorers(const OrdersAgent &agent, const std::string &group)
{
    return std::any_of(agent.engines.begin(), agent.engines.end(), [&](const auto &entry) {
        return entry.second.spec.group == group && !entry.second.spec.checksFencing;
    });
}

// The former holder may have been paused between its last look at its lease and the socket, and its order may
// still be under way. Engines that ignore the number would obey it after ours. The former lease ended before ours
// could begin, so after one more lease and a margin every order that kept its time limit has ended.
Duration waitBeforeFirst(const OrdersAgent &agent, const std::string &group)
{
    if (agent.options.faultNoWait || !hasIgnorers(agent, group)) {
        return Duration::zero();
    }
    return agent.options.timeToLive + agent.options.margin;
}

// A holder that stops gives the group back, so that the next one need not wait for the lease to lapse.
void giveBack(OrdersAgent &agent, const std::string &name, EngineGroup &group, OrdersActions &actions)
{
    loseGroup(group, name, actions);
    KvCommand command = openCommand(agent, group, KvVerb::Delete, holderKey(name));
    command.expectedVersion = group.holderVersion;
    actions.emplace_back(std::move(command));
}

void stepGroup(OrdersAgent &agent, const std::string &name, EngineGroup &group, TimePoint now, OrdersActions &actions)
{
    if (group.openTag != 0 || now < group.nextStep) {
        return;
    }
    if (agent.draining && group.stage != GroupStage::Foreign) {
        giveBack(agent, name, group, actions);
        return;
    }
    switch (group.stage) {
    case GroupStage::Foreign:
        if (group.firstChoice && leaseHeld(agent.lease, now)) {
            KvCommand command = openCommand(agent, group, KvVerb::CompareAndSwap, holderKey(name));
            command.value = holderValue(agent);
            command.lease = agent.lease.id;
            group.leaseGeneration = agent.lease.generation;
            group.stage = GroupStage::Claiming;
            actions.emplace_back(std::move(command));
        }
        break;
    case GroupStage::ReadingFence:
        actions.emplace_back(openCommand(agent, group, KvVerb::Get, fenceKey(name)));
        break;
    case GroupStage::WritingFence: {
        KvCommand command = openCommand(agent, group, KvVerb::CompareAndSwap, fenceKey(name));
        command.expectedVersion = group.fenceVersion;
        command.value = std::to_string(group.fencing + 1);
        actions.emplace_back(std::move(command));
        break;
    }
    case GroupStage::Waiting:
        if (now >= group.activeAt) {
            group.stage = GroupStage::Active;
        }
        break;
    case GroupStage::Claiming:
    case GroupStage::Active:
        break;
    }
}

void onClaimed(OrdersAgent &agent, EngineGroup &group, const KvReply &reply, TimePoint now)
{
    const bool own = reply.status == KvStatus::Conflict && reply.value == holderValue(agent);
    const bool current = group.leaseGeneration == agent.lease.generation;
    if (current && (reply.status == KvStatus::Ok || own)) {
        group.holderVersion = reply.version;
        group.stage = GroupStage::ReadingFence;
        return;
    }
    group.stage = GroupStage::Foreign;
    group.nextStep = now + agent.options.claimEvery;
}

void onFenceRead(OrdersAgent &agent, EngineGroup &group, const KvReply &reply, TimePoint now)
{
    if (reply.status != KvStatus::Ok && reply.status != KvStatus::NotFound) {
        group.nextStep = now + agent.options.retryEvery;
        return;
    }
    group.fencing = parseNumber(reply.value);
    group.fenceVersion = reply.version;
    group.stage = GroupStage::WritingFence;
}

void onFenceWritten(OrdersAgent &agent,
                    const std::string &name,
                    EngineGroup &group,
                    const KvReply &reply,
                    TimePoint now,
                    OrdersActions &actions)
{
    if (reply.status != KvStatus::Ok) {
        // Conflict, or no answer: a number that may be another's must not be used. Numbers may be skipped.
        group.stage = GroupStage::ReadingFence;
        group.nextStep = reply.status == KvStatus::Conflict ? now : now + agent.options.retryEvery;
        return;
    }
    ++group.fencing;
    group.stage = GroupStage::Waiting;
    group.activeAt = now + waitBeforeFirst(agent, name);
    actions.emplace_back(GroupHeld{name, group.fencing});
}

void onGroupReply(OrdersAgent &agent,
                  const std::string &name,
                  EngineGroup &group,
                  const KvReply &reply,
                  TimePoint now,
                  OrdersActions &actions)
{
    group.openTag = 0;
    switch (group.stage) {
    case GroupStage::Claiming:
        onClaimed(agent, group, reply, now);
        break;
    case GroupStage::ReadingFence:
        onFenceRead(agent, group, reply, now);
        break;
    case GroupStage::WritingFence:
        onFenceWritten(agent, name, group, reply, now, actions);
        break;
    case GroupStage::Foreign:
    case GroupStage::Waiting:
    case GroupStage::Active:
        break;
    }
}

void dropLapsed(OrdersAgent &agent, OrdersActions &actions)
{
    for (auto &[name, group] : agent.groups) {
        const bool bound = group.stage != GroupStage::Foreign && group.stage != GroupStage::Claiming;
        if (bound && (agent.lease.id.empty() || group.leaseGeneration != agent.lease.generation)) {
            loseGroup(group, name, actions);
        }
    }
}

// The one order that brings the engine nearer to its target, or nothing when it stands there.
std::optional<EngineOrder> nextOrder(const EngineState &target, const EngineState &report)
{
    EngineOrder order;
    order.model = target.model;
    order.version = target.version;
    order.role = target.role;
    if (report.model != target.model) {
        order.kind = OrderKind::LoadModel;
        return order;
    }
    if (report.version != target.version) {
        order.kind = OrderKind::LoadVersion;
        return order;
    }
    for (const std::string &adapter : target.adapters) {
        if (report.adapters.count(adapter) == 0) {
            order.kind = OrderKind::LoadAdapter;
            order.adapter = adapter;
            return order;
        }
    }
    if (report.role != target.role) {
        order.kind = OrderKind::ChangeRole;
        return order;
    }
    return std::nullopt;
}

bool takesWeights(OrderKind kind)
{
    return kind != OrderKind::ChangeRole;
}

std::string orderId(const OrdersAgent &agent, const EngineEntry &entry)
{
    return agent.options.self.value + '/' + entry.spec.id.value + '/' + std::to_string(entry.orderNumber);
}

std::size_t openOrders(const OrdersAgent &agent)
{
    return static_cast<std::size_t>(std::count_if(agent.engines.begin(), agent.engines.end(), [](const auto &entry) {
        return !entry.second.openOrder.empty();
    }));
}

void endOrder(OrdersAgent &agent, EngineEntry &entry, TimePoint now)
{
    cancel(agent.weights, entry.openOrder);
    entry.openOrder.clear();
    entry.nextOrder = now + agent.options.retryEvery;
    entry.nextRead = now;
    if (agent.options.faultNoReadBack) {
        entry.report = entry.target;
    } else {
        entry.report.reset();
    }
}

void sendOrder(OrdersAgent &agent, EngineEntry &entry, EngineOrder order, TimePoint now, OrdersActions &actions)
{
    // Time may have passed since the decision to order (a long answer from the weight record, a pause): the lease
    // is looked at again here, where the order leaves.
    if (!mayOrder(agent, entry.spec, agent.options.orderTimeLimit, now)) {
        ++agent.counters.heldBack;
        return;
    }
    order.id = orderId(agent, entry);
    order.engine = entry.spec.id;
    order.fencing = agent.options.faultNoFencing ? 0 : agent.groups.at(entry.spec.group).fencing;
    order.timeLimit = agent.options.orderTimeLimit;
    entry.openOrder = order.id;
    entry.openKind = order.kind;
    entry.openUntil = now + order.timeLimit;
    ++entry.orderNumber;
    ++entry.readNumber;
    ++agent.counters.sent;
    actions.emplace_back(SendOrder{std::move(order)});
}

void tryOrder(OrdersAgent &agent, EngineEntry &entry, TimePoint now, WallTime wall, OrdersActions &actions)
{
    if (entry.report->loading) {
        return;
    }
    auto order = nextOrder(*entry.target, *entry.report);
    if (!order || now < entry.nextOrder || openOrders(agent) >= agent.options.maxOpenOrders) {
        return;
    }
    const std::string id = orderId(agent, entry);
    if (isVoid(agent.weights, id, wall)) {
        cancel(agent.weights, id);
        ++entry.orderNumber;
        return;
    }
    if (takesWeights(order->kind) && entry.weightBytes > 0) {
        reserve(agent.weights, id, entry.weightBytes);
        if (!mayLoad(agent.weights, id, wall)) {
            return;
        }
    }
    sendOrder(agent, entry, std::move(*order), now, actions);
}

void stepEngine(OrdersAgent &agent, EngineEntry &entry, TimePoint now, WallTime wall, OrdersActions &actions)
{
    if (!entry.openOrder.empty()) {
        if (now >= entry.openUntil) {
            endOrder(agent, entry, now);
        }
        return;
    }
    if (!entry.target || !holdsGroup(agent, entry.spec.group, now)) {
        cancel(agent.weights, orderId(agent, entry));
        return;
    }
    const bool readDue = !entry.report || !agent.options.faultNoReadBack;
    if (readDue && now >= entry.nextRead) {
        const bool known = entry.report && !entry.report->loading;
        entry.nextRead = now + (known ? agent.options.readBackEvery : agent.options.retryEvery);
        actions.emplace_back(ReadEngine{entry.spec.id, ++entry.readNumber});
    }
    if (entry.report) {
        tryOrder(agent, entry, now, wall, actions);
    }
}

void work(OrdersAgent &agent, TimePoint now, WallTime wall, OrdersActions &actions)
{
    if (wantsLease(agent)) {
        for (KvCommand &command : onTick(agent.lease, now)) {
            actions.emplace_back(std::move(command));
        }
    }
    dropLapsed(agent, actions);
    for (auto &[name, group] : agent.groups) {
        stepGroup(agent, name, group, now, actions);
    }
    for (auto &[id, entry] : agent.engines) {
        stepEngine(agent, entry, now, wall, actions);
    }
    for (KvCommand &command : onTick(agent.weights, now, wall)) {
        actions.emplace_back(std::move(command));
    }
}

} // namespace

OrdersAgent makeOrdersAgent(OrdersOptions options)
{
    OrdersAgent agent;
    PlatformLeaseOptions lease;
    lease.tagBase = OrdersTagBase | LeaseTagBits;
    lease.timeToLive = options.timeToLive;
    lease.renewEvery = options.timeToLive / 3;
    agent.lease = makePlatformLease(lease);
    WeightRateOptions weights;
    weights.tagBase = OrdersTagBase | WeightTagBits;
    weights.bytesPerSecond = options.weightBytesPerSecond;
    agent.weights = makeWeightRate(weights);
    agent.options = std::move(options);
    return agent;
}

void setEngines(OrdersAgent &agent, const std::vector<EngineSpec> &engines)
{
    std::map<EndpointId, EngineEntry> kept;
    std::map<std::string, EngineGroup> groups;
    for (const EngineSpec &spec : engines) {
        const auto known = agent.engines.find(spec.id);
        EngineEntry entry = known == agent.engines.end() ? EngineEntry{} : std::move(known->second);
        entry.spec = spec;
        kept.emplace(spec.id, std::move(entry));
        const auto group = agent.groups.find(spec.group);
        groups.emplace(spec.group, group == agent.groups.end() ? EngineGroup{} : group->second);
    }
    agent.engines = std::move(kept);
    agent.groups = std::move(groups);
}

void setTarget(OrdersAgent &agent, const EndpointId &engine, EngineState target, std::uint64_t weightBytes)
{
    const auto entry = agent.engines.find(engine);
    if (entry == agent.engines.end()) {
        return;
    }
    entry->second.target = std::move(target);
    entry->second.weightBytes = weightBytes;
}

void onLiveRouters(OrdersAgent &agent, const std::vector<Incarnation> &live, bool selfDraining)
{
    for (auto &[name, group] : agent.groups) {
        const std::string key = holderKey(name);
        const std::uint64_t own = rendezvousWeight(key, agent.options.self.value);
        const bool beaten = std::any_of(live.begin(), live.end(), [&](const Incarnation &router) {
            return rendezvousWeight(key, router.value) > own;
        });
        group.firstChoice = !beaten && !selfDraining;
    }
    agent.draining = selfDraining;
}

OrdersActions onKvReply(OrdersAgent &agent, const KvReply &reply, TimePoint now, WallTime wall)
{
    OrdersActions actions;
    if (!onKvReply(agent.lease, reply, now) && !onKvReply(agent.weights, reply, now)) {
        for (auto &[name, group] : agent.groups) {
            if (group.openTag == reply.tag && reply.tag != 0) {
                onGroupReply(agent, name, group, reply, now, actions);
                break;
            }
        }
    }
    work(agent, now, wall, actions);
    return actions;
}

OrdersActions onOrderOutcome(
    OrdersAgent &agent, const EndpointId &engine, const std::string &orderId, OrderOutcome outcome, TimePoint now)
{
    OrdersActions actions;
    const auto found = agent.engines.find(engine);
    if (found == agent.engines.end() || found->second.openOrder != orderId) {
        return actions;
    }
    endOrder(agent, found->second, now);
    if (outcome == OrderOutcome::RefusedFencing) {
        ++agent.counters.refusedFencing;
        const std::string &name = found->second.spec.group;
        EngineGroup &group = agent.groups.at(name);
        loseGroup(group, name, actions);
        group.nextStep = now + agent.options.claimEvery;
    }
    return actions;
}

void onEngineReport(
    OrdersAgent &agent, const EndpointId &engine, std::uint64_t number, EngineState report, TimePoint now)
{
    const auto found = agent.engines.find(engine);
    if (found == agent.engines.end() || found->second.readNumber != number) {
        return;
    }
    EngineEntry &entry = found->second;
    const bool stood = entry.report && entry.target && !nextOrder(*entry.target, *entry.report);
    if (stood && !report.loading && nextOrder(*entry.target, report)) {
        ++agent.counters.repaired;
    }
    entry.report = std::move(report);
    if (!entry.report->loading) {
        entry.nextRead = std::max(entry.nextRead, now + agent.options.readBackEvery);
    }
}

OrdersActions onTick(OrdersAgent &agent, TimePoint now, WallTime wall)
{
    OrdersActions actions;
    work(agent, now, wall, actions);
    return actions;
}

TimePoint nextWake(const OrdersAgent &agent, TimePoint now)
{
    if (!wantsLease(agent)) {
        return now + agent.options.claimEvery;
    }
    return std::min(now + WorkInterval, std::max(nextWake(agent.lease), now + std::chrono::milliseconds(1)));
}

bool holdsGroup(const OrdersAgent &agent, const std::string &group, TimePoint now)
{
    const auto found = agent.groups.find(group);
    if (found == agent.groups.end() || found->second.stage != GroupStage::Active) {
        return false;
    }
    const bool bound = found->second.leaseGeneration == agent.lease.generation && leaseHeld(agent.lease, now);
    return agent.options.faultIgnoreLease || bound;
}

bool mayOrder(const OrdersAgent &agent, const EngineSpec &engine, Duration timeLimit, TimePoint now)
{
    if (!holdsGroup(agent, engine.group, now)) {
        return false;
    }
    if (agent.options.faultIgnoreLease || engine.checksFencing) {
        return true;
    }
    // An order that outlives the lease could arrive after a new holder's first one, and this engine would obey.
    return leaseRemaining(agent.lease, now) > timeLimit;
}

} // namespace Godwit
