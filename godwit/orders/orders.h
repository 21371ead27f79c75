#pragma once

// Orders to model engines: one holder for each engine group, a fencing number on each order, read back afterwards.
//
// The live router with the highest rendezvous weight claims a group's holder key, bound to its lease, and then a
// new fencing number by compare-and-swap. It gets engines to their targets: it orders what differs, and after each
// order it reads the engine back. Engines that check the number refuse a former holder by themselves. For engines
// that ignore it, three things stand in: no order goes out unless the lease outlives the order's own time limit; a
// new holder waits the length of a lease and a margin before its first order; and reading back repairs what an
// order that was held up for longer may still have done.
//
// Example:
//   OrdersAgent agent = makeOrdersAgent({self});
//   setEngines(agent, {{EndpointId("sl-1"), "salt-lake-models", false}});
//   setTarget(agent, EndpointId("sl-1"), {"shortlist-7b", "v3", "decode", {}});
//   for (auto &action : onTick(agent, now, wall)) { perform(action); }

#include "godwit/base/enum_names.h"
#include "godwit/base/ids.h"
#include "godwit/base/kv.h"
#include "godwit/base/time.h"
#include "godwit/membership/platform_lease.h"
#include "godwit/orders/weight_rate.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Godwit
{

// The top byte of every KvCommand tag of orders.
constexpr std::uint64_t OrdersTagBase = 0x05ULL << 56U;

enum class OrderKind {
    LoadModel,
    LoadVersion,
    LoadAdapter,
    ChangeRole,
};

constexpr EnumName<OrderKind> OrderKindNames[] = {
    {OrderKind::LoadModel, "load_model"},
    {OrderKind::LoadVersion, "load_version"},
    {OrderKind::LoadAdapter, "load_adapter"},
    {OrderKind::ChangeRole, "change_role"},
};

struct EngineOrder
{
    std::string id;
    EndpointId engine;
    OrderKind kind = OrderKind::LoadModel;
    std::string model;
    std::string version;
    std::string adapter;
    std::string role;
    std::uint64_t fencing = 0; // Refuse it when a higher number was seen.
    Duration timeLimit{}; // The sender closes the connection by then; the order must not arrive later.
};

enum class OrderOutcome {
    Taken,
    RefusedFencing, // The engine saw a higher number: this router holds the group no more.
    Failed,
    Unknown, // No answer within the time limit.
};

// What an engine serves, or should serve.
struct EngineState
{
    std::string model;
    std::string version;
    std::string role;
    std::set<std::string> adapters;
    bool loading = false; // Reports only: a load is under way towards these values.
};

struct EngineSpec
{
    EndpointId id;
    std::string group;
    bool checksFencing = false;
};

struct OrdersOptions
{
    Incarnation self;
    Duration timeToLive = std::chrono::seconds(15);
    Duration margin = std::chrono::seconds(2);
    Duration orderTimeLimit = std::chrono::seconds(3);
    Duration claimEvery = std::chrono::seconds(3);
    Duration retryEvery = std::chrono::seconds(2);
    // Between two looks at an engine that stands as it should.
    Duration readBackEvery = std::chrono::seconds(10);
    std::size_t maxOpenOrders = 8;
    double weightBytesPerSecond = 1e9;
    // Fault switches for tests: each takes one safeguard out.
    bool faultIgnoreLease = false;
    bool faultNoFencing = false;
    bool faultNoWait = false;
    bool faultNoReadBack = false;
};

// Carry it to the engine now: the lease was checked for this moment.
struct SendOrder
{
    EngineOrder order;
};

// Ask the engine what it serves; answer with onEngineReport() and the same number.
struct ReadEngine
{
    EndpointId engine;
    std::uint64_t number = 0;
};

struct GroupHeld
{
    std::string group;
    std::uint64_t fencing = 0;
};

struct GroupLost
{
    std::string group;
};

using OrdersAction = std::variant<KvCommand, SendOrder, ReadEngine, GroupHeld, GroupLost>;
using OrdersActions = std::vector<OrdersAction>;

enum class GroupStage {
    Foreign,
    Claiming, // The holder key.
    ReadingFence,
    WritingFence,
    Waiting, // For orders of a former holder to end.
    Active,
};

struct EngineGroup
{
    GroupStage stage = GroupStage::Foreign;
    bool firstChoice = false;
    std::uint64_t leaseGeneration = 0;
    std::uint64_t fencing = 0;
    std::uint64_t fenceVersion = 0;
    std::uint64_t holderVersion = 0;
    std::uint64_t openTag = 0;
    TimePoint nextStep{};
    TimePoint activeAt{};
};

struct EngineEntry
{
    EngineSpec spec;
    std::optional<EngineState> target;
    std::uint64_t weightBytes = 0; // Of a load towards the target.
    std::optional<EngineState> report; // The newest since the last order.
    std::string openOrder;
    OrderKind openKind = OrderKind::LoadModel;
    TimePoint openUntil{};
    TimePoint nextOrder{};
    TimePoint nextRead{};
    std::uint64_t readNumber = 0; // Of the newest read; raised by each order, which makes earlier reads worthless.
    std::uint64_t orderNumber = 0; // Makes ids and reservations unique.
};

struct OrdersCounters
{
    std::uint64_t sent = 0;
    std::uint64_t heldBack = 0; // The lease would not have outlived the order.
    std::uint64_t refusedFencing = 0;
    std::uint64_t repaired = 0; // Engines found off their target after they had reached it.
};

struct OrdersAgent
{
    OrdersOptions options;
    PlatformLease lease;
    WeightRate weights;
    std::map<std::string, EngineGroup> groups;
    std::map<EndpointId, EngineEntry> engines;
    bool draining = false; // Gives its groups back.
    std::uint64_t nextTag = 1;
    OrdersCounters counters;
};

OrdersAgent makeOrdersAgent(OrdersOptions options);

// The engines that take orders, from the configuration. Entries of engines that stay are kept.
void setEngines(OrdersAgent &agent, const std::vector<EngineSpec> &engines);

// What an engine should serve, and how many bytes a load of its model takes from the weight store. Only the
// holder of its group acts on it.
void setTarget(OrdersAgent &agent, const EndpointId &engine, EngineState target, std::uint64_t weightBytes);

// The live routers that aren't draining: decides who claims which group.
void onLiveRouters(OrdersAgent &agent, const std::vector<Incarnation> &live, bool selfDraining);

OrdersActions onKvReply(OrdersAgent &agent, const KvReply &reply, TimePoint now, WallTime wall);
OrdersActions onOrderOutcome(
    OrdersAgent &agent, const EndpointId &engine, const std::string &orderId, OrderOutcome outcome, TimePoint now);
// The answer to the ReadEngine with this number. One that was asked for before the last order is passed over: it
// shows the engine as it was, and the same load would be ordered again.
void onEngineReport(
    OrdersAgent &agent, const EndpointId &engine, std::uint64_t number, EngineState report, TimePoint now);
OrdersActions onTick(OrdersAgent &agent, TimePoint now, WallTime wall);
TimePoint nextWake(const OrdersAgent &agent, TimePoint now);

// True while this router may give orders to the group. Ask at the point of use.
bool holdsGroup(const OrdersAgent &agent, const std::string &group, TimePoint now);

// True when an order that may take `timeLimit` can be sent at this moment.
bool mayOrder(const OrdersAgent &agent, const EngineSpec &engine, Duration timeLimit, TimePoint now);

} // namespace Godwit
