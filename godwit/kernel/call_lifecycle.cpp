#include "godwit/kernel/call_lifecycle.h"

#include "godwit/base/enum_names.h"

// The table below has more rows than the default limit of Boost.MPL's vectors.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 30
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Godwit
{
namespace
{

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

template<CallStep step>
struct On
{
};

template<CallStage stage>
struct In : msm::front::state<>
{
};

struct CallMachineDef : msm::front::state_machine_def<CallMachineDef>
{
    using initial_state = In<CallStage::Reserving>; // NOLINT(readability-identifier-naming): the library's name.
    using no_message_queue = int; // NOLINT(readability-identifier-naming)
    using no_exception_thrown = int; // NOLINT(readability-identifier-naming)

    bool refused = false;

    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
        Row<In<CallStage::Reserving>, On<CallStep::Reserved>, In<CallStage::Queued>, none, none>,
        Row<In<CallStage::Reserving>, On<CallStep::Forwarded>, In<CallStage::Forwarding>, none, none>,
        Row<In<CallStage::Forwarding>, On<CallStep::ForwardFailed>, In<CallStage::Reserving>, none, none>,
        Row<In<CallStage::Queued>, On<CallStep::Dispatched>, In<CallStage::Running>, none, none>,
        Row<In<CallStage::Queued>, On<CallStep::ClaimAsked>, In<CallStage::Claiming>, none, none>,
        Row<In<CallStage::Claiming>, On<CallStep::ClaimGranted>, In<CallStage::Running>, none, none>,
        Row<In<CallStage::Claiming>, On<CallStep::ClaimReplayed>, In<CallStage::Settling>, none, none>,
        Row<In<CallStage::Running>, On<CallStep::AttemptFailed>, In<CallStage::Queued>, none, none>,
        Row<In<CallStage::Running>, On<CallStep::Answered>, In<CallStage::Settling>, none, none>
    > {};
    // clang-format on

    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &machine, int) // NOLINT(readability-identifier-naming)
    {
        machine.refused = true;
    }
};

using CallMachine = msm::back::state_machine<CallMachineDef>;

// The library numbers states in the order of the table; this is that order in terms of CallStage.
template<CallStage stage>
constexpr int stateNumber()
{
    return msm::back::get_state_id<CallMachine::stt, In<stage>>::value;
}

constexpr CallStage AllStages[] = {
    CallStage::Reserving,
    CallStage::Queued,
    CallStage::Claiming,
    CallStage::Running,
    CallStage::Settling,
    CallStage::Forwarding,
};

int stateNumberOf(CallStage stage)
{
    switch (stage) {
    case CallStage::Reserving:
        return stateNumber<CallStage::Reserving>();
    case CallStage::Queued:
        return stateNumber<CallStage::Queued>();
    case CallStage::Claiming:
        return stateNumber<CallStage::Claiming>();
    case CallStage::Running:
        return stateNumber<CallStage::Running>();
    case CallStage::Settling:
        return stateNumber<CallStage::Settling>();
    case CallStage::Forwarding:
        return stateNumber<CallStage::Forwarding>();
    }
    return 0;
}

CallStage stageOf(int number)
{
    for (const CallStage stage : AllStages) {
        if (stateNumberOf(stage) == number) {
            return stage;
        }
    }
    return CallStage::Reserving;
}

// Restores a machine to a stage: the library's own serialization hook, so that a call stores one byte.
struct StateLoader
{
    int number;

    template<typename Value>
    void operator&(Value &value) const
    {
        load(value, number);
    }

    static void load(int (&states)[1], int number)
    {
        states[0] = number;
    }
    template<typename Value>
    static void load(Value &, int)
    {
    }
};

bool process(CallMachine &machine, CallStep step)
{
    switch (step) {
    case CallStep::Reserved:
        machine.process_event(On<CallStep::Reserved>());
        break;
    case CallStep::Forwarded:
        machine.process_event(On<CallStep::Forwarded>());
        break;
    case CallStep::ForwardFailed:
        machine.process_event(On<CallStep::ForwardFailed>());
        break;
    case CallStep::Dispatched:
        machine.process_event(On<CallStep::Dispatched>());
        break;
    case CallStep::ClaimAsked:
        machine.process_event(On<CallStep::ClaimAsked>());
        break;
    case CallStep::ClaimGranted:
        machine.process_event(On<CallStep::ClaimGranted>());
        break;
    case CallStep::ClaimReplayed:
        machine.process_event(On<CallStep::ClaimReplayed>());
        break;
    case CallStep::AttemptFailed:
        machine.process_event(On<CallStep::AttemptFailed>());
        break;
    case CallStep::Answered:
        machine.process_event(On<CallStep::Answered>());
        break;
    }
    return !machine.refused;
}

constexpr EnumName<CallStage> CallStageNames[] = {
    {CallStage::Reserving, "reserving"},
    {CallStage::Queued, "queued"},
    {CallStage::Claiming, "claiming"},
    {CallStage::Running, "running"},
    {CallStage::Settling, "settling"},
    {CallStage::Forwarding, "forwarding"},
};

} // namespace

bool advance(CallLifecycle &lifecycle, CallStep step)
{
    CallMachine machine;
    machine.start();
    StateLoader loader{stateNumberOf(lifecycle.stage)};
    machine.serialize(loader, 0);
    if (!process(machine, step)) {
        return false;
    }
    lifecycle.stage = stageOf(machine.current_state()[0]);
    return true;
}

std::string_view callStageName(CallStage stage)
{
    return enumName(CallStageNames, stage);
}

} // namespace Godwit
