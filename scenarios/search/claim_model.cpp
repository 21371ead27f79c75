#include "scenarios/search/claim_model.h"

#include "godwit/base/enum_names.h"

#include <algorithm>

namespace Godwit::Scenarios
{
namespace
{

// The routers that the caller tries, in this order.
constexpr std::size_t Script[] = {0, 1, 0};
constexpr int MostTicks = 8;
constexpr int CompletionSteps = 300;

constexpr EnumName<ClaimEvent::Kind> KindNames[] = {
    {ClaimEvent::Kind::Reply, "reply"},
    {ClaimEvent::Kind::Apply, "apply"},
    {ClaimEvent::Kind::Send, "send"},
    {ClaimEvent::Kind::Finish, "finish"},
    {ClaimEvent::Kind::Start, "start"},
    {ClaimEvent::Kind::Tick, "tick"},
    {ClaimEvent::Kind::LoseReply, "lose-reply"},
    {ClaimEvent::Kind::GiveUp, "give-up"},
    {ClaimEvent::Kind::ApplyLate, "apply-late"},
    {ClaimEvent::Kind::LoseAnswer, "lose-answer"},
    {ClaimEvent::Kind::Gone, "gone"},
    {ClaimEvent::Kind::Kill, "kill"},
};

WallTime wallAt(TimePoint now)
{
    return WallTime(std::chrono::hours(498'960)
                    + std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()));
}

} // namespace

ClaimModel::ClaimModel(const ClaimOptions &options)
    : m_agents{makeClaimAgent(Incarnation{"a.1"}, options), makeClaimAgent(Incarnation{"b.1"}, options)}
    , m_now(std::chrono::seconds(10))
{
    for (ClaimAgent &agent : m_agents) {
        setLiveRouters(agent, {Incarnation{"a.1"}, Incarnation{"b.1"}});
    }
}

std::string ClaimModel::describe(const ClaimEvent &event) const
{
    return std::string(enumName(KindNames, event.kind)) + " " + std::to_string(event.index);
}

std::optional<TimePoint> ClaimModel::earliestWake() const
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

bool ClaimModel::quiet() const
{
    return m_tries.size() == std::size(Script) && m_platform.flights.empty()
        && std::none_of(m_tries.begin(), m_tries.end(), [](const Try &one) {
               return one.granted || one.running;
           });
}

std::vector<ClaimEvent> ClaimModel::enabled() const
{
    using Kind = ClaimEvent::Kind;
    std::vector<ClaimEvent> expected;
    std::vector<ClaimEvent> faults;
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
        const bool alive = !m_dead[m_tries[i].router];
        if (alive && m_tries[i].granted) {
            expected.push_back({Kind::Send, i});
        } else if (alive && m_tries[i].running) {
            expected.push_back({Kind::Finish, i});
            faults.push_back({Kind::LoseAnswer, i});
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
    // Faults alone keep no path going.
    if (!expected.empty()) {
        expected.insert(expected.end(), faults.begin(), faults.end());
    }
    return expected;
}

void ClaimModel::apply(const ClaimEvent &event)
{
    ++m_step;
    m_now += std::chrono::microseconds(10);
    std::vector<ClaimAction> actions;
    switch (event.kind) {
    case ClaimEvent::Kind::Reply:
        reply(event.index, KvStatus::Ok);
        break;
    case ClaimEvent::Kind::LoseReply:
    case ClaimEvent::Kind::GiveUp:
        reply(event.index, KvStatus::Unknown);
        break;
    case ClaimEvent::Kind::Apply: {
        Flight &flight = m_platform.flights[event.index];
        flight.reply = m_platform.carryOut(flight.command);
        flight.stage = FlightStage::Applied;
        break;
    }
    case ClaimEvent::Kind::ApplyLate:
        m_platform.carryOut(m_platform.flights[event.index].command);
        m_platform.flights.erase(m_platform.flights.begin() + static_cast<std::ptrdiff_t>(event.index));
        break;
    case ClaimEvent::Kind::Send:
        sendOut(event.index);
        break;
    case ClaimEvent::Kind::Finish:
        finish(event.index, ClaimOutcome::Ran);
        break;
    case ClaimEvent::Kind::LoseAnswer:
        finish(event.index, ClaimOutcome::Unknown);
        break;
    case ClaimEvent::Kind::Start:
        start();
        break;
    case ClaimEvent::Kind::Tick:
        tick();
        break;
    case ClaimEvent::Kind::Gone:
        m_gone[event.index] = true;
        onRouterGone(m_agents[1 - event.index], m_agents[event.index].self, m_now, actions);
        take(1 - event.index, actions);
        break;
    case ClaimEvent::Kind::Kill:
        m_dead[event.index] = true;
        break;
    }
}

void ClaimModel::reply(std::size_t index, KvStatus status)
{
    Flight &flight = m_platform.flights[index];
    const std::size_t router = flight.router;
    KvReply answer = flight.reply;
    const bool stillOnItsWay = flight.stage == FlightStage::Sent;
    if (status == KvStatus::Unknown) {
        answer = KvReply{flight.command.tag, KvStatus::Unknown, 0, {}};
    }
    if (stillOnItsWay) {
        flight.stage = FlightStage::Late;
    } else {
        m_platform.flights.erase(m_platform.flights.begin() + static_cast<std::ptrdiff_t>(index));
    }
    std::vector<ClaimAction> actions;
    if (!m_dead[router]) {
        onKvReply(m_agents[router], answer, m_now, actions);
        take(router, actions);
    }
}

void ClaimModel::start()
{
    const std::size_t router = Script[m_tries.size()];
    Try one;
    one.router = router;
    one.startedAt = m_step;
    m_tries.push_back(one);
    if (m_dead[router]) {
        return;
    }
    ClaimRequest request;
    request.call = CallId{m_tries.size()};
    request.key = RequestKey{CustomerId{"c"}, "r1"};
    request.bodyDigest = 7;
    request.createdAt = wallAt(TimePoint(std::chrono::seconds(9)));
    request.wallNow = wallAt(m_now);
    request.giveUpAt = m_now + std::chrono::seconds(10);
    std::vector<ClaimAction> actions;
    claim(m_agents[router], request, m_now, actions);
    take(router, actions);
}

void ClaimModel::sendOut(std::size_t number)
{
    Try &one = m_tries[number];
    one.granted = false;
    if (!claimStillValid(m_agents[one.router], CallId{number + 1}, m_now)) {
        finish(number, ClaimOutcome::NotRun);
        return;
    }
    one.running = true;
    if (++m_runs > 1) {
        m_violation = "r1 ran twice";
    }
    if (m_toldNotRunAt > 0 && one.startedAt <= m_toldNotRunAt) {
        m_violation = "the caller was told \"not run\", and an earlier try ran";
    }
}

void ClaimModel::finish(std::size_t number, ClaimOutcome outcome)
{
    Try &one = m_tries[number];
    one.running = false;
    std::vector<ClaimAction> actions;
    finishClaim(m_agents[one.router], CallId{number + 1}, outcome, "answer", wallAt(m_now), m_now, actions);
    take(one.router, actions);
}

void ClaimModel::tick()
{
    ++m_ticks;
    m_now = std::max(m_now, *earliestWake());
    for (std::size_t i = 0; i < RouterCount; ++i) {
        std::vector<ClaimAction> actions;
        if (!m_dead[i]) {
            onTick(m_agents[i], m_now, actions);
            take(i, actions);
        }
    }
}

void ClaimModel::onRefused(const ClaimRefused &refused)
{
    if (refused.error.execution == Execution::NotRun) {
        m_toldNotRunAt = m_step;
        if (m_runs > 0) {
            m_violation = "the caller was told \"not run\" after it ran";
        }
    }
}

void ClaimModel::take(std::size_t router, std::vector<ClaimAction> &actions)
{
    for (const ClaimAction &action : actions) {
        if (const auto *command = std::get_if<KvCommand>(&action)) {
            m_platform.flights.push_back({router, *command, FlightStage::Sent, {}});
        } else if (const auto *granted = std::get_if<ClaimGranted>(&action)) {
            m_tries[granted->call.value - 1].granted = true;
        } else if (const auto *refused = std::get_if<ClaimRefused>(&action)) {
            onRefused(*refused);
        }
    }
}

std::string ClaimModel::completeAndCheck()
{
    m_ticks = 0;
    for (int i = 0; i < CompletionSteps && m_violation.empty() && !quiet(); ++i) {
        const auto events = enabled();
        if (events.empty()) {
            break;
        }
        apply(events.front());
    }
    return m_violation;
}

} // namespace Godwit::Scenarios
