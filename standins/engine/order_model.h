#pragma once

// Orders to the engine: one at a time, each takes a while, with or without a check of the fencing number.
//
// Pure: the time is passed in.
//
// Example:
//   OrderModel model;
//   giveOrder(model, {OrderKind::LoadModel, "matcher-2", 7}, now);   // Accepted.
//   giveOrder(model, {OrderKind::LoadModel, "matcher-1", 6}, later); // StaleFencing when the check is on.

#include "godwit/base/enum_names.h"
#include "godwit/base/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Godwit::Standins
{

enum class OrderKind {
    LoadModel,
    LoadAdapter,
    ChangeRole,
};

constexpr EnumName<OrderKind> OrderKindNames[] = {
    {OrderKind::LoadModel, "load_model"},
    {OrderKind::LoadAdapter, "load_adapter"},
    {OrderKind::ChangeRole, "change_role"},
};

struct Order
{
    OrderKind kind = OrderKind::LoadModel;
    std::string model; // The model, adapter or role.
    std::uint64_t fencing = 0;
};

enum class OrderOutcome {
    Accepted,
    Busy, // Another order is being carried out.
    StaleFencing,
};

struct GivenOrder
{
    std::uint64_t id = 0;
    Order order;
    TimePoint finishes;
    bool stale = false; // Carried out though a higher number had been seen: only without the check.
};

struct OrderModel
{
    bool checkFencing = true;
    Duration takes = std::chrono::milliseconds(500);
    std::uint64_t highestFencing = 0;
    std::optional<GivenOrder> current;
    std::vector<GivenOrder> history; // Every accepted order.
    std::set<std::string> models;
    std::set<std::string> adapters;
    std::string role = "mixed";
};

OrderOutcome giveOrder(OrderModel &model, const Order &order, TimePoint now);

// Ends the order whose time is over. Call it before reading the model.
void finishOrders(OrderModel &model, TimePoint now);

// {"order": null or {"id", "kind", "model", "fencing"}, "models", "adapters", "role", "highest_fencing", "history"}
nlohmann::json toJson(const OrderModel &model);

} // namespace Godwit::Standins
