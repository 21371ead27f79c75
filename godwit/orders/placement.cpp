#include "godwit/orders/placement.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{
namespace
{

struct Balance
{
    std::string model;
    double have = 0.0; // Engines that serve or load it.
    double need = 0.0; // In engines.
};

void smooth(PlacementState &state,
            const PlacementOptions &options,
            const std::vector<ModelDemand> &demand,
            TimePoint now)
{
    const double passed = state.lastPlan ? toSeconds(now - *state.lastPlan) : 0.0;
    const double weight = 1.0 - std::exp(-passed / toSeconds(options.smoothing));
    for (const ModelDemand &wanted : demand) {
        const auto [record, fresh] = state.models.try_emplace(wanted.model);
        double &smoothed = record->second.smoothed;
        const double share = fresh || options.faultNoHysteresis ? 1.0 : weight;
        smoothed += (wanted.demand - smoothed) * share;
    }
    state.lastPlan = now;
}

double meanCapacity(const std::vector<EngineOfGroup> &engines)
{
    double sum = 0.0;
    for (const EngineOfGroup &engine : engines) {
        sum += engine.capacity;
    }
    return engines.empty() ? 1.0 : std::max(sum / static_cast<double>(engines.size()), 1e-9);
}

std::vector<Balance> balances(const PlacementState &state,
                              const PlacementOptions &options,
                              const std::vector<EngineOfGroup> &engines)
{
    const double capacity = meanCapacity(engines);
    std::vector<Balance> rows;
    for (const auto &[model, record] : state.models) {
        Balance row;
        row.model = model;
        row.need = std::max(record.smoothed * options.headroom / capacity, static_cast<double>(options.leastPerModel));
        for (const EngineOfGroup &engine : engines) {
            row.have += engine.usable && engine.model == model ? engine.capacity / capacity : 0.0;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

// Notes since when each model lacks or has too many. A need that comes and goes moves nothing.
void noteSince(PlacementState &state, const PlacementOptions &options, const std::vector<Balance> &rows, TimePoint now)
{
    const auto note = [&](std::optional<TimePoint> &since, bool holds) {
        if (!holds) {
            since.reset();
        } else if (!since) {
            since = now;
        }
    };
    const double margin = options.faultNoHysteresis ? 0.0 : options.surplusMargin;
    for (const Balance &row : rows) {
        ModelRecord &record = state.models[row.model];
        note(record.lackSince, row.have < row.need);
        note(record.surplusSince, row.have >= row.need + 1.0 + margin);
    }
}

bool lasted(const std::optional<TimePoint> &since, Duration least, const PlacementOptions &options, TimePoint now)
{
    return since && (options.faultNoHysteresis || now - *since >= least);
}

// The model that lacks most, relative to its need: a small model without any engine goes before a large one.
Balance *pickTaker(PlacementState &state, const PlacementOptions &options, std::vector<Balance> &rows, TimePoint now)
{
    Balance *taker = nullptr;
    for (Balance &row : rows) {
        const bool lacks =
            row.have < row.need && lasted(state.models[row.model].lackSince, options.lackFor, options, now);
        if (lacks && (taker == nullptr || row.have / row.need < taker->have / taker->need)) {
            taker = &row;
        }
    }
    return taker;
}

// Who gives: a model with a lasting surplus; else, when all lack, one that is much better off than the taker.
Balance *pickGiver(PlacementState &state,
                   const PlacementOptions &options,
                   std::vector<Balance> &rows,
                   const Balance &taker,
                   TimePoint now)
{
    Balance *giver = nullptr;
    for (Balance &row : rows) {
        const double rest = row.have - 1.0;
        const bool surplus =
            rest >= row.need && lasted(state.models[row.model].surplusSince, options.surplusFor, options, now);
        const bool betterOff =
            rest >= static_cast<double>(options.leastPerModel) && rest / row.need > (taker.have + 1.0) / taker.need;
        if (row.model != taker.model && (surplus || betterOff)
            && (giver == nullptr || row.have - row.need > giver->have - giver->need)) {
            giver = &row;
        }
    }
    return giver;
}

const EngineOfGroup *pickEngine(const PlacementState &state,
                                const PlacementOptions &options,
                                const std::vector<EngineOfGroup> &engines,
                                const std::string &model,
                                const std::vector<EngineMove> &moves,
                                TimePoint now)
{
    for (const EngineOfGroup &engine : engines) {
        const auto moved = state.movedAt.find(engine.id);
        const bool stays =
            moved != state.movedAt.end() && now - moved->second < options.stayFor && !options.faultNoHysteresis;
        const bool taken = std::any_of(moves.begin(), moves.end(), [&](const EngineMove &move) {
            return move.engine == engine.id;
        });
        if (engine.usable && !engine.loading && engine.model == model && !stays && !taken) {
            return &engine;
        }
    }
    return nullptr;
}

// An engine whose model nobody asks for is free for anyone.
const EngineOfGroup *pickFree(const PlacementState &state,
                              const std::vector<EngineOfGroup> &engines,
                              const std::vector<EngineMove> &moves)
{
    for (const EngineOfGroup &engine : engines) {
        const bool taken = std::any_of(moves.begin(), moves.end(), [&](const EngineMove &move) {
            return move.engine == engine.id;
        });
        if (engine.usable && !engine.loading && state.models.count(engine.model) == 0 && !taken) {
            return &engine;
        }
    }
    return nullptr;
}

std::size_t loadsAllowed(const PlacementOptions &options, const std::vector<EngineOfGroup> &engines)
{
    const auto loading = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [](const auto &engine) {
        return engine.loading;
    }));
    const double share = options.movingShare * static_cast<double>(engines.size());
    const std::size_t most = std::max<std::size_t>(1, static_cast<std::size_t>(share));
    return most > loading ? most - loading : 0;
}

} // namespace

std::vector<EngineMove> planMoves(PlacementState &state,
                                  const PlacementOptions &options,
                                  const std::vector<ModelDemand> &demand,
                                  const std::vector<EngineOfGroup> &engines,
                                  TimePoint now)
{
    smooth(state, options, demand, now);
    std::vector<Balance> rows = balances(state, options, engines);
    noteSince(state, options, rows, now);
    std::vector<EngineMove> moves;
    const std::size_t allowed = loadsAllowed(options, engines);
    while (moves.size() < allowed) {
        Balance *taker = pickTaker(state, options, rows, now);
        if (taker == nullptr) {
            break;
        }
        const EngineOfGroup *engine = pickFree(state, engines, moves);
        if (engine == nullptr) {
            Balance *giver = pickGiver(state, options, rows, *taker, now);
            engine = giver == nullptr ? nullptr : pickEngine(state, options, engines, giver->model, moves, now);
            if (engine == nullptr) {
                break;
            }
            giver->have -= 1.0;
        }
        taker->have += 1.0;
        moves.push_back({engine->id, engine->model, taker->model});
        state.movedAt[engine->id] = now;
    }
    return moves;
}

} // namespace Godwit
