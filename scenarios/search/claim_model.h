#pragma once

// Two routers that are asked for the same not-repeatable request, as a model for search.h.

#include "godwit/claims/claim_agent.h"
#include "scenarios/search/model_platform.h"

#include <array>
#include <string>
#include <vector>

namespace Godwit::Scenarios
{

struct ClaimEvent
{
    enum class Kind {
        Reply, // An answer of the platform arrives.
        Apply, // The platform carries a command out.
        Send, // A granted request goes out and runs.
        Finish, // Its answer arrives.
        Start, // The caller sends the request, to the next router of the script.
        Tick,
        LoseReply, // The platform's answer is lost.
        GiveUp, // A command's sender hears nothing; the command is still on its way.
        ApplyLate, // And it is carried out after all.
        LoseAnswer, // The endpoint's answer is lost.
        Gone, // A router is taken for dead, and may not be.
        Kill,
    } kind = Kind::Tick;
    std::size_t index = 0;
};

class ClaimModel
{
public:
    using Event = ClaimEvent;

    explicit ClaimModel(const ClaimOptions &options);

    bool quiet() const;
    std::vector<ClaimEvent> enabled() const;
    void apply(const ClaimEvent &event);
    const std::string &violation() const
    {
        return m_violation;
    }
    std::string completeAndCheck();
    std::string describe(const ClaimEvent &event) const;

private:
    static constexpr std::size_t RouterCount = 2;

    struct Try
    {
        std::size_t router = 0;
        bool granted = false;
        bool running = false;
        int startedAt = 0;
    };

    std::array<ClaimAgent, RouterCount> m_agents;
    std::array<bool, RouterCount> m_dead{};
    std::array<bool, RouterCount> m_gone{};
    ModelPlatform m_platform;
    TimePoint m_now;
    std::vector<Try> m_tries; // Call ids are their places, from 1.
    int m_step = 0;
    int m_ticks = 0;
    int m_runs = 0;
    int m_toldNotRunAt = 0; // 0: never.
    std::string m_violation;

    void take(std::size_t router, std::vector<ClaimAction> &actions);
    void onRefused(const ClaimRefused &refused);
    void reply(std::size_t flight, KvStatus status);
    void start();
    void sendOut(std::size_t number);
    void finish(std::size_t number, ClaimOutcome outcome);
    void tick();
    std::optional<TimePoint> earliestWake() const;
};

} // namespace Godwit::Scenarios
