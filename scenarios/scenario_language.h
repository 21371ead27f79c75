#pragma once

// The scenario language: what a fleet looks like, what callers, operators and faults do, and what must hold.
//
// One statement a line, `#` begins a comment. Statements run in order; only `wait` and `start` let time pass.
//
//   seed 7
//   fleet salt-lake a1 a2                       # a data centre and its routers
//   customer dolna budget 5000 slice 0.2
//   model chat time 100ms                       # repeatable; costs what the call says
//   service booking price 10 time 50ms          # not repeatable
//   endpoint e1 salt-lake chat
//   start
//   load dolna chat 20/s for 5s cost 50..150 at a1 a2 retry 2
//   call r1 dolna booking at a1
//   kill a1
//   wait 5s
//   again r1 at a2                              # the caller sends the same id once more
//   expect run r1 1
//   expect one bill each
//
// Faults: kill, restart, pause, resume NAME; cut A B, heal (A and B are routers, data centres or `platform`);
// loss 10%; platform down | silent | up | slow 2s | lose 3 | late 2 1s | conflict 3; reject ENDPOINT, accept ENDPOINT;
// skew HOST 5s (wall clock). A call may carry `crashes` (it kills each endpoint that runs it). `without SAFEGUARD`
// takes a safeguard out of all routers; `red-without SAFEGUARD` declares that the scenario must fail without it.
//
// What goes wrong together: a `fault NAME` block holds statements up to `end`. A script with such blocks runs once for
// each block and once for each pair of them, also of a block with itself; the blocks of a run begin at the `strike`
// statement, the second one a little later than the first.
//
//   fault outage
//   platform silent
//   wait 4s
//   platform up
//   end
//   strike
//
// The oracle watches all the time for overspend, second runs, untrue refusals, foreign or partial answers and
// revisions that go back; `expect` adds what must hold at that moment.

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Godwit::Scenarios
{

struct HostSetup
{
    std::string host;
    std::string dataCentre;
};

struct CustomerSetup
{
    std::string name;
    Tokens prepaid = 0;
    double slice = 0.25;
};

struct RouteSetup
{
    std::string name;
    bool model = false;
    Tokens price = 0;
    Duration time{};
};

struct EndpointSetup
{
    std::string name;
    std::string dataCentre;
    std::string route;
    std::int64_t slots = 8;
};

struct Setup
{
    std::uint64_t seed = 1;
    std::vector<HostSetup> hosts;
    std::vector<CustomerSetup> customers;
    std::vector<RouteSetup> routes;
    std::vector<EndpointSetup> endpoints;
    // Safeguards whose absence the scenario must show.
    std::vector<std::string> redWithout;
};

struct Start
{
};

struct Load
{
    std::string customer;
    std::string route;
    double perSecond = 0;
    Duration length{};
    Tokens costLow = 100;
    Tokens costHigh = 100;
    std::vector<std::string> hosts;
    std::int64_t retries = 0;
};

struct OneCall
{
    std::string id;
    std::string customer;
    std::string route;
    std::string host;
    Tokens cost = 100;
    std::int64_t retries = 0;
    bool crashes = false;
};

struct SendAgain
{
    std::string id;
    std::string host;
};

struct HangUp
{
    std::string id;
};

enum class NodeFault {
    Kill,
    Restart,
    Pause,
    Resume,
    Reject,
    Accept,
    Leave,
};

struct NodeChange
{
    NodeFault fault = NodeFault::Kill;
    std::string name;
};

struct Cut
{
    std::string a;
    std::string b;
};

struct Heal
{
};

enum class PlatformState {
    Up,
    Down, // Refuses every command.
    Silent, // Takes none and answers none.
};

struct PlatformChange
{
    std::optional<PlatformState> state;
    std::optional<Duration> delay;
    // So many of the next writes take effect without an answer, take effect late, or meet a faster writer.
    std::int64_t loseAnswers = 0;
    std::int64_t lateWrites = 0;
    Duration lateBy{};
    std::int64_t conflicts = 0;
};

struct MessageLoss
{
    std::int64_t percent = 0;
};

struct ClockSkew
{
    std::string host;
    Duration ahead{};
};

struct BudgetChange
{
    std::string customer;
    Tokens amount = 0;
    bool up = true;
    std::string id;
};

struct Patch
{
    std::string id;
    std::string path;
    std::string value;
    std::string host;
    // The revision that its author saw; the one in force at `host` when absent.
    std::optional<std::int64_t> seen;
};

struct Drain
{
    std::string host;
};

struct Wait
{
    Duration length{};
};

// The faults of this run begin; the statement ends when the last of their statements is done.
struct Strike
{
};

struct Without
{
    std::string safeguard;
};

enum class ExpectKind {
    Overspend, // overspend 0
    OneBill, // one bill each
    AtMostOnce, // at most once
    RefusalsTrue, // refusals true
    AnswersWhole, // answers whole
    NoneCut, // none cut: no answer broke off and no caller was left without one
    Stranded, // stranded 0
    Answered, // answered ID | answered at least N
    Refused, // refused ID KIND | refused at most N | refused at least N
    Unknown, // unknown ID
    Run, // run ID N
    Revision, // revision N within D
    ChangeAccepted, // accepted ID
    ChangeRefused, // rejected ID
    Drained, // drained HOST
    Calm, // calm: no decision asks to be woken again and again at one moment
    Idle, // idle ENDPOINT for D
    Free, // free CUSTOMER N: so much is left in the platform's record
};

struct Expect
{
    ExpectKind kind = ExpectKind::Overspend;
    std::string name;
    std::string errorKind;
    std::int64_t count = 0;
    // For counts: how they may differ.
    enum class Bound {
        Exactly,
        AtLeast,
        AtMost,
    } bound = Bound::Exactly;
    Duration time{};
};

using Command = std::variant<Start,
                             Load,
                             OneCall,
                             SendAgain,
                             HangUp,
                             NodeChange,
                             Cut,
                             Heal,
                             PlatformChange,
                             MessageLoss,
                             ClockSkew,
                             BudgetChange,
                             Patch,
                             Drain,
                             Wait,
                             Strike,
                             Without,
                             Expect>;

struct Statement
{
    std::size_t line = 0;
    std::string text;
    Command command;
};

struct FaultBlock
{
    std::string name;
    std::vector<Statement> statements;
};

struct Scenario
{
    std::string name;
    Setup setup;
    std::vector<FaultBlock> faults;
    std::vector<Statement> statements;
};

// Reads a scenario. On failure returns nullopt; the message in `reason` names the line, the word and what would be
// right there.
std::optional<Scenario> parseScenario(const std::string &name, std::string_view text, LastReason &reason);

} // namespace Godwit::Scenarios
