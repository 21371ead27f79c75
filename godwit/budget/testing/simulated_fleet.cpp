#include "godwit/budget/testing/simulated_fleet.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// More events than this at one point in time are an agent that asks to be woken without end.
constexpr unsigned MostEventsAtOnce = 100'000;

} // namespace

SimulatedFleet::SimulatedFleet(BudgetOptions opts, std::uint64_t seed)
    : options(std::move(opts))
    , m_random(seed)
{
}

std::uint64_t SimulatedFleet::random()
{
    m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
    return m_random >> 33U;
}

SimulatedRouter &SimulatedFleet::addRouter(const std::string &host, const std::string &dataCentre)
{
    auto added = std::make_unique<SimulatedRouter>();
    added->host = host;
    BudgetOptions own = options;
    own.dataCentre = DataCentreId{dataCentre};
    own.seed = random();
    added->agent = makeBudgetAgent(Incarnation{host + "." + std::to_string(++m_incarnations)}, own);
    m_routers.push_back(std::move(added));
    return *m_routers.back();
}

SimulatedRouter &SimulatedFleet::router(const std::string &host)
{
    // The last one: earlier incarnations of a host keep their entries.
    const auto found = std::find_if(m_routers.rbegin(), m_routers.rend(), [&](const auto &router) {
        return router->host == host;
    });
    return **found;
}

SimulatedRouter *SimulatedFleet::findIncarnation(const Incarnation &incarnation)
{
    for (const auto &router : m_routers) {
        if (router->agent.self == incarnation) {
            return router.get();
        }
    }
    return nullptr;
}

void SimulatedFleet::announcePeers()
{
    for (const auto &router : m_routers) {
        std::vector<BudgetPeer> peers;
        for (const auto &peer : m_routers) {
            if (!peer->dead && !peer->closed && !budgetsDrained(peer->agent) && peer->side == router->side) {
                peers.push_back({peer->agent.self, peer->agent.options.dataCentre});
            }
        }
        deliver(*router, [this, peers](BudgetAgent &agent, auto &out) {
            setPeers(agent, peers, now, out);
        });
    }
}

void SimulatedFleet::declareGone(const std::string &host)
{
    declareIncarnation(router(host).agent.self);
}

void SimulatedFleet::declareDead()
{
    for (const auto &router : m_routers) {
        if (router->dead || router->closed) {
            declareIncarnation(router->agent.self);
        }
    }
}

void SimulatedFleet::declareIncarnation(const Incarnation &gone)
{
    for (const auto &other : m_routers) {
        if (other->agent.self != gone) {
            deliver(*other, [this, gone](BudgetAgent &agent, auto &out) {
                onRouterGone(agent, gone, now, out);
            });
        }
    }
}

void SimulatedFleet::kill(const std::string &host)
{
    router(host).dead = true;
}

void SimulatedFleet::pause(const std::string &host)
{
    router(host).paused = true;
}

void SimulatedFleet::resume(const std::string &host)
{
    SimulatedRouter &resumed = router(host);
    resumed.paused = false;
    std::vector<Event> inbox;
    inbox.swap(resumed.inbox);
    for (const Event &event : inbox) {
        event();
    }
}

void SimulatedFleet::cut(const std::set<std::string> &hosts)
{
    for (const auto &router : m_routers) {
        router->side = hosts.count(router->host) > 0 ? 1 : 0;
    }
}

void SimulatedFleet::heal()
{
    cut({});
}

void SimulatedFleet::restart(const std::string &host)
{
    const std::string dataCentre = router(host).agent.options.dataCentre.value;
    router(host).dead = true;
    addRouter(host, dataCentre);
}

void SimulatedFleet::drain(const std::string &host)
{
    deliver(router(host), [this](BudgetAgent &agent, auto &out) {
        drainBudgets(agent, now, out);
    });
}

void SimulatedFleet::createBudget(const std::string &budget, Tokens prepaid)
{
    m_budgets.insert(budget);
    change(budget, [&](ShardRecord &shard, LastReason &reason) {
        return Godwit::createBudget(shard, BudgetId{budget}, CustomerId{"c"}, prepaid, "create", reason);
    });
}

bool SimulatedFleet::change(const std::string &budget, const std::function<bool(ShardRecord &, LastReason &)> &apply)
{
    FakeKvEntry &entry = kv.entries[budgetShardKey(BudgetId{budget}, options.shardCount)];
    LastReason reason;
    auto shard = decodeShard(entry.value, reason);
    if (!shard || !apply(*shard, reason)) {
        return false;
    }
    entry.value = encodeShard(*shard);
    ++entry.version;
    return true;
}

bool SimulatedFleet::resolve(const Incarnation &incarnation)
{
    FakeKvEntry &entry = kv.entries[ledgerKey(incarnation)];
    LastReason reason;
    auto record = decodeLedger(entry.value, reason);
    if (!record || !resolveDoubt(*record, reason)) {
        return false;
    }
    entry.value = encodeLedger(*record);
    ++entry.version;
    return true;
}

void SimulatedFleet::call(const std::string &host, const SimulatedCall &call)
{
    costs[call.id] = call.actual;
    SimulatedRouter &target = router(host);
    const CallId id{++m_lastCall};
    deliver(target, [this, &target, id, call](BudgetAgent &agent, auto &out) {
        target.calls.emplace(id, call);
        const RequestKey key{CustomerId{"c"}, call.id};
        reserve(agent, {id, key, BudgetId{call.budget}, call.worstCase, now + call.patience}, now, out);
    });
}

void SimulatedFleet::at(Duration delay, std::function<void()> event)
{
    m_events.emplace(now + delay, std::move(event));
}

void SimulatedFleet::runFor(Duration duration)
{
    const TimePoint end = now + duration;
    while (!m_events.empty() && m_events.begin()->first <= end && m_eventsNow < MostEventsAtOnce) {
        m_eventsNow = m_events.begin()->first == now ? m_eventsNow + 1 : 0;
        now = m_events.begin()->first;
        const Event event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    now = end;
}

void SimulatedFleet::deliver(SimulatedRouter &router, const Input &input)
{
    if (router.dead) {
        return;
    }
    if (router.paused) {
        router.inbox.push_back([this, &router, input] {
            deliver(router, input);
        });
        return;
    }
    std::vector<BudgetAction> out;
    input(router.agent, out);
    for (const BudgetAction &action : out) {
        perform(router, action);
    }
    scheduleWake(router);
}

void SimulatedFleet::scheduleWake(SimulatedRouter &router)
{
    const auto wake = nextWake(router.agent);
    if (!wake || (router.wakeAt && *router.wakeAt <= *wake)) {
        return;
    }
    router.wakeAt = std::max(*wake, now);
    const TimePoint at = *router.wakeAt;
    m_events.emplace(at, [this, &router, at] {
        if (router.wakeAt != at) {
            return;
        }
        router.wakeAt.reset();
        deliver(router, [this](BudgetAgent &agent, auto &out) {
            onTick(agent, now, out);
        });
    });
}

void SimulatedFleet::perform(SimulatedRouter &router, const BudgetAction &action)
{
    if (const auto *command = std::get_if<KvCommand>(&action)) {
        execute(router, *command);
    } else if (const auto *message = std::get_if<PeerSend>(&action)) {
        send(router, *message);
    } else if (const auto *grantedCall = std::get_if<ReservationGranted>(&action)) {
        onGranted(router, grantedCall->call);
    } else if (const auto *refusal = std::get_if<ReservationRefused>(&action)) {
        onRefusedCall(router, *refusal);
    } else if (const auto *bill = std::get_if<BillDurable>(&action)) {
        onDurable(router, *bill);
    } else if (const auto *lostBill = std::get_if<BillLost>(&action)) {
        ++lost;
        router.calls.erase(lostBill->call);
    } else {
        router.closed = true;
    }
}

void SimulatedFleet::send(SimulatedRouter &from, const PeerSend &message)
{
    ++messages;
    messageBytes += message.cbor.size();
    SimulatedRouter *to = findIncarnation(message.to);
    if (to == nullptr || to->side != from.side || random() % 100 < lossPercent) {
        return;
    }
    at(linkDelay, [this, to, sender = from.agent.self, cbor = message.cbor] {
        deliver(*to, [this, sender, cbor](BudgetAgent &agent, auto &out) {
            onPeerMessage(agent, sender, cbor, now, out);
        });
    });
}

void SimulatedFleet::reply(SimulatedRouter &router, const KvReply &reply, Duration delay)
{
    at(delay, [this, &router, reply] {
        deliver(router, [this, reply](BudgetAgent &agent, auto &out) {
            onKvReply(agent, reply, now, out);
        });
    });
}

void SimulatedFleet::execute(SimulatedRouter &router, const KvCommand &command)
{
    KvReply failed;
    failed.tag = command.tag;
    if (kv.down) {
        failed.status = KvStatus::Rejected;
        reply(router, failed, serviceDelay);
        return;
    }
    failed.status = KvStatus::Unknown;
    if (kv.silent || router.serviceAway || router.side != 0) {
        reply(router, failed, serviceTimeout);
        return;
    }
    const bool write = command.verb != KvVerb::Get;
    if (write && kv.delayWrites > 0) {
        --kv.delayWrites;
        at(kv.delay, [this, command] {
            applyCommand(kv, command);
        });
        reply(router, failed, serviceTimeout);
        return;
    }
    const bool loseAnswer = write && kv.loseAnswers > 0;
    kv.loseAnswers -= loseAnswer ? 1 : 0;
    at(serviceDelay, [this, &router, command, loseAnswer, failed] {
        const KvReply done = applyCommand(kv, command);
        if (loseAnswer) {
            reply(router, failed, serviceTimeout);
        } else {
            reply(router, done, serviceDelay);
        }
    });
}

void SimulatedFleet::onGranted(SimulatedRouter &router, CallId call)
{
    ++granted;
    const SimulatedCall simulated = router.calls.at(call);
    truth[simulated.budget].reserved += simulated.worstCase;
    at(simulated.runTime, [this, &router, call, simulated] {
        truth[simulated.budget].reserved -= simulated.worstCase;
        truth[simulated.budget].settled += simulated.actual;
        deliver(router, [this, call, simulated](BudgetAgent &agent, auto &out) {
            settle(agent, call, simulated.actual, now, out);
        });
    });
}

void SimulatedFleet::onRefusedCall(SimulatedRouter &router, const ReservationRefused &refusal)
{
    SimulatedCall simulated = router.calls.at(refusal.call);
    router.calls.erase(refusal.call);
    if (simulated.forwards > 0) {
        for (const Incarnation &holder : refusal.holders) {
            SimulatedRouter *to = findIncarnation(holder);
            if (to != nullptr && !to->dead && to->side == router.side) {
                --simulated.forwards;
                at(linkDelay, [this, host = to->host, simulated] {
                    call(host, simulated);
                });
                return;
            }
        }
    }
    ++refused;
    ++refusals[refusal.error.kind];
    if (simulated.onRefused) {
        simulated.onRefused(refusal);
    }
}

void SimulatedFleet::onDurable(SimulatedRouter &router, const BillDurable &bill)
{
    const auto found = router.calls.find(bill.call);
    ReleasedAnswer &answer = answers[found->second.id];
    answer.budget = found->second.budget;
    answer.amount = found->second.actual;
    ++answer.times;
    router.calls.erase(found);
}

ShardRecord SimulatedFleet::shardOf(const std::string &budget) const
{
    const auto entry = kv.entries.find(budgetShardKey(BudgetId{budget}, options.shardCount));
    LastReason reason;
    return entry == kv.entries.end() ? ShardRecord() : decodeShard(entry->second.value, reason).value_or(ShardRecord());
}

bool SimulatedFleet::isGone(const Incarnation &incarnation) const
{
    return std::none_of(m_routers.begin(), m_routers.end(), [&](const auto &router) {
        return router->agent.self == incarnation && !router->dead && !router->closed;
    });
}

BudgetView SimulatedFleet::view(const std::string &budget) const
{
    LastReason reason;
    return showBudget(shardOf(budget), BudgetId{budget}, reason).value_or(BudgetView());
}

std::optional<LedgerRecord> SimulatedFleet::ledger(const Incarnation &incarnation) const
{
    const auto entry = kv.entries.find(ledgerKey(incarnation));
    LastReason reason;
    return entry == kv.entries.end() ? std::nullopt : decodeLedger(entry->second.value, reason);
}

Tokens SimulatedFleet::released(const std::string &budget) const
{
    Tokens sum = 0;
    for (const auto &[id, answer] : answers) {
        sum += answer.budget == budget ? answer.amount : 0;
    }
    return sum;
}

std::string SimulatedFleet::violations(bool complete) const
{
    std::string found = m_eventsNow < MostEventsAtOnce ? "" : "an agent is woken without end; ";
    for (const std::string &budget : m_budgets) {
        const BudgetView shown = view(budget);
        if (shown.budget.value.empty()) {
            found += budget + ": the record breaks its invariant or is gone; ";
        } else if (released(budget) > shown.prepaid) {
            found += budget + ": overspent; ";
        }
        if (complete && (!shown.held.empty() || shown.free + shown.billed + shown.reduction != shown.prepaid)) {
            found += budget + ": " + std::to_string(shown.prepaid - shown.billed - shown.free) + " stranded; ";
        }
    }
    return complete ? found + billViolations() : found;
}

std::string SimulatedFleet::billViolations() const
{
    std::set<std::uint32_t> shards;
    std::map<std::uint64_t, unsigned> bills;
    Tokens total = 0;
    for (const std::string &budget : m_budgets) {
        total += view(budget).billed;
        if (shards.insert(budgetShard(BudgetId{budget}, options.shardCount)).second) {
            for (const std::uint64_t key : shardOf(budget).billedKeys) {
                ++bills[key];
            }
        }
    }
    std::string found;
    for (const auto &[id, cost] : costs) {
        const auto count = bills.find(requestKeyHash({CustomerId{"c"}, id}));
        const unsigned times = count == bills.end() ? 0 : count->second;
        if (times > 1 || (answers.count(id) > 0 && times == 0)) {
            found += id + ": " + std::to_string(times) + " bills; ";
        }
        total -= times * cost;
    }
    return total == 0 ? found : found + "bills and billed totals differ by " + std::to_string(total) + "; ";
}

} // namespace Godwit
