#include "scenarios/search/budget_model.h"

#include "godwit/base/enum_names.h"
#include "godwit/budget/budget_records.h"
#include "scenarios/oracle.h"

#include <algorithm>
#include <iterator>

namespace Godwit::Scenarios
{
namespace
{

constexpr Tokens Prepaid = 230;
constexpr int MostTicks = 10;
constexpr int CompletionSteps = 2000;
constexpr Duration CompletionTime = std::chrono::minutes(8);

struct ScriptedCall
{
    std::size_t router;
    const char *request;
    Tokens worstCase;
    Tokens actual;
};

// Two requests at two routers, and the second again at the first router.
constexpr ScriptedCall Script[] = {{0, "r1", 80, 70}, {1, "r2", 80, 60}, {0, "r2", 80, 60}};

const BudgetId Budget{"b"};

constexpr EnumName<BudgetEvent::Kind> KindNames[] = {
    {BudgetEvent::Kind::Deliver, "deliver"},
    {BudgetEvent::Kind::Reply, "reply"},
    {BudgetEvent::Kind::Apply, "apply"},
    {BudgetEvent::Kind::Settle, "settle"},
    {BudgetEvent::Kind::Start, "start"},
    {BudgetEvent::Kind::Tick, "tick"},
    {BudgetEvent::Kind::Drop, "drop"},
    {BudgetEvent::Kind::LoseReply, "lose-reply"},
    {BudgetEvent::Kind::GiveUp, "give-up"},
    {BudgetEvent::Kind::ApplyLate, "apply-late"},
    {BudgetEvent::Kind::Gone, "gone"},
    {BudgetEvent::Kind::Kill, "kill"},
};

BudgetAgent makeAgent(const BudgetOptions &options, const char *incarnation, const char *dataCentre)
{
    BudgetOptions own = options;
    own.dataCentre = DataCentreId{dataCentre};
    return makeBudgetAgent(Incarnation{incarnation}, own);
}

Tokens sumOf(const std::map<std::string, Tokens> &amounts)
{
    Tokens sum = 0;
    for (const auto &[request, amount] : amounts) {
        sum += amount;
    }
    return sum;
}

template<typename Container>
void eraseAt(Container &container, std::size_t index)
{
    container.erase(container.begin() + static_cast<std::ptrdiff_t>(index));
}

} // namespace

BudgetModel::BudgetModel(const BudgetOptions &options)
    : m_agents{makeAgent(options, "a.1", "north"),
               makeAgent(options, "b.1", "south"),
               makeAgent(options, "c.1", "west")}
    , m_now(std::chrono::seconds(10))
{
    ShardRecord shard;
    LastReason reason;
    createBudget(shard, Budget, CustomerId{"c"}, Prepaid, "create", reason);
    m_platform.values[budgetShardKey(Budget, options.shardCount)] = {1, encodeShard(shard)};
    announcePeers();
}

std::string BudgetModel::describe(const BudgetEvent &event) const
{
    return std::string(enumName(KindNames, event.kind)) + " " + std::to_string(event.index);
}

void BudgetModel::announcePeers()
{
    std::vector<BudgetPeer> peers;
    for (std::size_t i = 0; i < RouterCount; ++i) {
        if (!m_gone[i]) {
            peers.push_back({m_agents[i].self, m_agents[i].options.dataCentre});
        }
    }
    for (std::size_t i = 0; i < RouterCount; ++i) {
        std::vector<BudgetAction> actions;
        if (!m_dead[i]) {
            setPeers(m_agents[i], peers, m_now, actions);
            take(i, actions);
        }
    }
}

std::optional<TimePoint> BudgetModel::earliestWake() const
{
    std::optional<TimePoint> earliest;
    for (std::size_t i = 0; i < RouterCount; ++i) {
        const auto wake = m_dead[i] ? std::nullopt : nextWake(m_agents[i]);
        if (wake && (!earliest || *wake < *earliest)) {
            earliest = wake;
        }
    }
    return earliest;
}

bool BudgetModel::quiet() const
{
    return m_ticks >= MostTicks;
}

std::vector<BudgetEvent> BudgetModel::enabled() const
{
    using Kind = BudgetEvent::Kind;
    std::vector<BudgetEvent> expected;
    std::vector<BudgetEvent> faults;
    for (std::size_t i = 0; i < m_messages.size(); ++i) {
        expected.push_back({Kind::Deliver, i});
        faults.push_back({Kind::Drop, i});
    }
    for (std::size_t i = 0; i < m_platform.flights.size(); ++i) {
        const FlightStage stage = m_platform.flights[i].stage;
        if (stage == FlightStage::Applied) {
            expected.push_back({Kind::Reply, i});
            faults.push_back({Kind::LoseReply, i});
        } else if (stage == FlightStage::Sent) {
            expected.push_back({Kind::Apply, i});
            faults.push_back({Kind::GiveUp, i});
        } else {
            faults.push_back({Kind::ApplyLate, i});
        }
    }
    for (std::size_t i = 0; i < m_tries.size(); ++i) {
        if (m_tries[i].granted && !m_dead[m_tries[i].router]) {
            expected.push_back({Kind::Settle, i});
        }
    }
    if (m_tries.size() < std::size(Script)) {
        expected.push_back({Kind::Start, m_tries.size()});
    }
    if (m_ticks < MostTicks && earliestWake()) {
        expected.push_back({Kind::Tick, 0});
    }
    for (std::size_t i = 0; i < RouterCount; ++i) {
        if (!m_gone[i]) {
            faults.push_back({Kind::Gone, i});
        }
        if (!m_dead[i]) {
            faults.push_back({Kind::Kill, i});
        }
    }
    if (!expected.empty()) {
        expected.insert(expected.end(), faults.begin(), faults.end());
    }
    return expected;
}

void BudgetModel::apply(const BudgetEvent &event)
{
    m_now += std::chrono::microseconds(10);
    std::vector<BudgetAction> actions;
    switch (event.kind) {
    case BudgetEvent::Kind::Deliver: {
        const Message message = m_messages[event.index];
        eraseAt(m_messages, event.index);
        if (!m_dead[message.to]) {
            onPeerMessage(m_agents[message.to], m_agents[message.from].self, message.cbor, m_now, actions);
            take(message.to, actions);
        }
        break;
    }
    case BudgetEvent::Kind::Drop:
        eraseAt(m_messages, event.index);
        break;
    case BudgetEvent::Kind::Reply:
        reply(event.index, false);
        break;
    case BudgetEvent::Kind::LoseReply:
    case BudgetEvent::Kind::GiveUp:
        reply(event.index, true);
        break;
    case BudgetEvent::Kind::Apply: {
        Flight &flight = m_platform.flights[event.index];
        flight.reply = m_platform.carryOut(flight.command);
        flight.stage = FlightStage::Applied;
        checkRecord();
        break;
    }
    case BudgetEvent::Kind::ApplyLate:
        m_platform.carryOut(m_platform.flights[event.index].command);
        eraseAt(m_platform.flights, event.index);
        checkRecord();
        break;
    case BudgetEvent::Kind::Settle: {
        Try &one = m_tries[event.index];
        one.granted = false;
        const ScriptedCall &call = Script[event.index];
        m_settled[call.request] = call.actual;
        settle(m_agents[one.router], CallId{event.index + 1}, call.actual, m_now, actions);
        take(one.router, actions);
        break;
    }
    case BudgetEvent::Kind::Start:
        start();
        break;
    case BudgetEvent::Kind::Tick:
        tick();
        break;
    case BudgetEvent::Kind::Gone:
        declareGone(event.index);
        break;
    case BudgetEvent::Kind::Kill:
        m_dead[event.index] = true;
        break;
    }
}

void BudgetModel::declareGone(std::size_t router)
{
    m_gone[router] = true;
    announcePeers();
    for (std::size_t i = 0; i < RouterCount; ++i) {
        std::vector<BudgetAction> actions;
        if (i != router && !m_dead[i]) {
            onRouterGone(m_agents[i], m_agents[router].self, m_now, actions);
            take(i, actions);
        }
    }
}

void BudgetModel::reply(std::size_t index, bool lost)
{
    Flight &flight = m_platform.flights[index];
    const std::size_t router = flight.router;
    const KvReply answer = lost ? KvReply{flight.command.tag, KvStatus::Unknown, 0, {}} : flight.reply;
    if (flight.stage == FlightStage::Sent) {
        flight.stage = FlightStage::Late;
    } else {
        eraseAt(m_platform.flights, index);
    }
    std::vector<BudgetAction> actions;
    if (!m_dead[router]) {
        onKvReply(m_agents[router], answer, m_now, actions);
        take(router, actions);
    }
}

void BudgetModel::start()
{
    const ScriptedCall &call = Script[m_tries.size()];
    m_tries.push_back({call.router, false});
    if (m_dead[call.router]) {
        return;
    }
    std::vector<BudgetAction> actions;
    const Reservation reservation{CallId{m_tries.size()},
                                  RequestKey{CustomerId{"c"}, call.request},
                                  Budget,
                                  call.worstCase,
                                  m_now + std::chrono::seconds(2)};
    reserve(m_agents[call.router], reservation, m_now, actions);
    take(call.router, actions);
}

void BudgetModel::tick()
{
    ++m_ticks;
    m_now = std::max(m_now, *earliestWake());
    for (std::size_t i = 0; i < RouterCount; ++i) {
        std::vector<BudgetAction> actions;
        if (!m_dead[i]) {
            onTick(m_agents[i], m_now, actions);
            take(i, actions);
        }
    }
}

void BudgetModel::release(const BillDurable &bill)
{
    const ScriptedCall &call = Script[bill.call.value - 1];
    m_released[call.request] = call.actual;
    if (sumOf(m_released) > Prepaid) {
        m_violation = "answers worth more than was prepaid";
    }
}

void BudgetModel::take(std::size_t router, std::vector<BudgetAction> &actions)
{
    for (const BudgetAction &action : actions) {
        if (const auto *command = std::get_if<KvCommand>(&action)) {
            m_platform.flights.push_back({router, *command, FlightStage::Sent, {}});
        } else if (const auto *message = std::get_if<PeerSend>(&action)) {
            const auto to = std::find_if(m_agents.begin(), m_agents.end(), [&](const BudgetAgent &agent) {
                return agent.self == message->to;
            });
            if (to != m_agents.end()) {
                m_messages.push_back({router, static_cast<std::size_t>(to - m_agents.begin()), message->cbor});
            }
        } else if (const auto *granted = std::get_if<ReservationGranted>(&action)) {
            m_tries[granted->call.value - 1].granted = true;
        } else if (const auto *bill = std::get_if<BillDurable>(&action)) {
            release(*bill);
        }
    }
}

void BudgetModel::checkRecord()
{
    for (const auto &[key, stored] : m_platform.values) {
        for (const auto &[name, figures] : readBudgetFigures(stored.value)) {
            if (figures.billed + figures.held > figures.prepaid) {
                m_violation = "the record has more billed and held than prepaid";
            }
            if (figures.billed > sumOf(m_settled)) {
                m_violation = "billed more than the calls cost";
            }
        }
    }
}

std::string BudgetModel::completeAndCheck()
{
    // The faults end: what is dead is known to be, and the rest runs in the ordinary order.
    for (std::size_t i = 0; i < RouterCount; ++i) {
        if (m_dead[i] && !m_gone[i]) {
            declareGone(i);
        }
    }
    const TimePoint end = m_now + CompletionTime;
    for (int i = 0; i < CompletionSteps && m_violation.empty() && m_now < end; ++i) {
        m_ticks = 0;
        const auto events = enabled();
        if (events.empty()) {
            break;
        }
        apply(events.front());
    }
    const auto alive = std::count(m_dead.begin(), m_dead.end(), false);
    for (const auto &[key, stored] : m_platform.values) {
        for (const auto &[name, figures] : readBudgetFigures(stored.value)) {
            // With most routers dead the bills on their witnesses wait for an operator.
            if (m_violation.empty() && alive >= 2 && figures.held == 0 && figures.billed < sumOf(m_released)) {
                m_violation = "an answer was released and is not billed";
            }
        }
    }
    return m_violation;
}

} // namespace Godwit::Scenarios
