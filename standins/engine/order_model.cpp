#include "standins/engine/order_model.h"

#include <algorithm>

namespace Godwit::Standins
{

namespace
{

void carryOut(OrderModel &model, const Order &order)
{
    switch (order.kind) {
    case OrderKind::LoadModel:
        model.models.insert(order.model);
        return;
    case OrderKind::LoadAdapter:
        model.adapters.insert(order.model);
        return;
    case OrderKind::ChangeRole:
        model.role = order.model;
        return;
    }
}

nlohmann::json toJson(const GivenOrder &given)
{
    return {
        {"id", given.id},
        {"kind", std::string(enumName(OrderKindNames, given.order.kind))},
        {"model", given.order.model},
        {"fencing", given.order.fencing},
        {"stale", given.stale},
    };
}

} // namespace

OrderOutcome giveOrder(OrderModel &model, const Order &order, TimePoint now)
{
    finishOrders(model, now);
    const bool stale = order.fencing < model.highestFencing;
    if (stale && model.checkFencing) {
        return OrderOutcome::StaleFencing;
    }
    model.highestFencing = std::max(model.highestFencing, order.fencing);
    if (model.current) {
        return OrderOutcome::Busy;
    }
    model.current = GivenOrder{model.history.size() + 1, order, now + model.takes, stale};
    model.history.push_back(*model.current);
    return OrderOutcome::Accepted;
}

void finishOrders(OrderModel &model, TimePoint now)
{
    if (model.current && model.current->finishes <= now) {
        carryOut(model, model.current->order);
        model.current.reset();
    }
}

nlohmann::json toJson(const OrderModel &model)
{
    nlohmann::json history = nlohmann::json::array();
    for (const auto &given : model.history) {
        history.push_back(toJson(given));
    }
    return {
        {"order", model.current ? toJson(*model.current) : nlohmann::json()},
        {"models", model.models},
        {"adapters", model.adapters},
        {"role", model.role},
        {"highest_fencing", model.highestFencing},
        {"history", history},
    };
}

} // namespace Godwit::Standins
