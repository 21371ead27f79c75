#pragma once

// Three routers that spend from one budget, as a model for search.h.

#include "godwit/budget/budget_agent.h"
#include "scenarios/search/model_platform.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace Godwit::Scenarios
{

struct BudgetEvent
{
    enum class Kind {
        Deliver, // A message between routers arrives.
        Reply,
        Apply,
        Settle, // A granted call's answer is whole.
        Start,
        Tick,
        Drop, // A message is lost.
        LoseReply,
        GiveUp,
        ApplyLate,
        Gone, // A router is taken for dead by the others, and may not be.
        Kill,
    } kind = Kind::Tick;
    std::size_t index = 0;
};

class BudgetModel
{
public:
    using Event = BudgetEvent;

    explicit BudgetModel(const BudgetOptions &options);

    bool quiet() const;
    std::vector<BudgetEvent> enabled() const;
    void apply(const BudgetEvent &event);
    const std::string &violation() const
    {
        return m_violation;
    }
    std::string completeAndCheck();
    std::string describe(const BudgetEvent &event) const;

private:
    static constexpr std::size_t RouterCount = 3;

    struct Try
    {
        std::size_t router = 0;
        bool granted = false;
    };

    struct Message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::string cbor;
    };

    std::array<BudgetAgent, RouterCount> m_agents;
    std::array<bool, RouterCount> m_dead{};
    std::array<bool, RouterCount> m_gone{};
    ModelPlatform m_platform;
    std::vector<Message> m_messages;
    TimePoint m_now;
    std::vector<Try> m_tries;
    int m_ticks = 0;
    std::map<std::string, Tokens> m_settled; // What may have been billed, by request.
    std::map<std::string, Tokens> m_released; // What callers got, by request.
    std::string m_violation;

    void take(std::size_t router, std::vector<BudgetAction> &actions);
    void announcePeers();
    void reply(std::size_t flight, bool lost);
    void start();
    void tick();
    void declareGone(std::size_t router);
    void release(const BillDurable &bill);
    void checkRecord();
    std::optional<TimePoint> earliestWake() const;
};

} // namespace Godwit::Scenarios
