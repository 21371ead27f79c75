#pragma once

// What the control thread hears and does besides calls: the platform, other routers, endpoints, operators.

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/kv.h"
#include "godwit/base/time.h"
#include "godwit/config/config_agent.h"
#include "godwit/kernel/call_messages.h"
#include "godwit/membership/membership.h"
#include "godwit/routing/load_report.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Godwit
{

// Both clocks at one moment. Only the wall clock's reading may leave the process.
struct Moment
{
    TimePoint now;
    WallTime wall;
};

// A link to another router stands.
struct PeerLinked
{
    Incarnation incarnation;
    HostId host;
    DataCentreId dataCentre;
    std::string callerAddress;
    bool dialledHere = false;
};

struct PeerUnlinked
{
    Incarnation incarnation;
};

struct PeerMessage
{
    Incarnation from;
    std::string topic;
    std::string body;
};

// A router or endpoint of the platform's host list.
struct ListedHost
{
    HostId host;
    DataCentreId dataCentre;
    bool router = false;
    std::string address; // For callers, or of the endpoint.
    std::string peerAddress; // Routers only.
    bool leaving = false;
};

struct HostsRead
{
    std::vector<ListedHost> hosts;
};

struct KeyChanged
{
    std::string key;
    std::uint64_t version = 0;
};

struct LoadReported
{
    EndpointId endpoint;
    LoadReport report;
};

// The endpoint itself said that it is leaving.
struct EndpointLeaves
{
    EndpointId endpoint;
};

// An operator's change. Answered by ChangeAnswered with the same ticket.
struct PatchSubmitted
{
    std::uint64_t ticket = 0;
    ConfigPatch patch;
};

// Stop: leave the address answers, finish everything, give everything back.
struct DrainRequested
{
};

struct Tick
{
};

using KernelEvent = std::variant<CallEvent,
                                 KvReply,
                                 PeerLinked,
                                 PeerUnlinked,
                                 PeerMessage,
                                 HostsRead,
                                 KeyChanged,
                                 LoadReported,
                                 EndpointLeaves,
                                 PatchSubmitted,
                                 DrainRequested,
                                 Tick>;

struct SendToPeer
{
    Incarnation to;
    std::string topic;
    std::string body;
};

struct LinkPeer
{
    HostId host;
    std::string address;
};

struct UnlinkPeer
{
    HostId host;
};

struct WatchConfig
{
    bool on = false;
};

struct ConfigInForce
{
    std::uint64_t revision = 0;
};

// The revision can't be resolved for this site; the one before stays in force.
struct ConfigRejected
{
    std::uint64_t revision = 0;
    Error error;
};

struct ChangeAnswered
{
    std::uint64_t ticket = 0;
    std::uint64_t revision = 0;
    std::optional<Error> error;
};

// A call has ended: figures for metrics.
struct CallFinished
{
    CallId call;
    CustomerId customer;
    RouteId route;
    int priority = 0;
    std::optional<ErrorKind> error; // Absent: answered whole.
    Execution execution = Execution::NotRun;
    Tokens billed = 0;
    bool forwarded = false;
    bool replayed = false;
    Duration total{};
    std::optional<Duration> firstToken;
    std::optional<Duration> untilDispatch;
    std::optional<Duration> billWait;
};

struct RouterStateChanged
{
    std::string_view what; // "live", "suspected", "gone" or "returned".
    Incarnation incarnation;
};

// Others closed this incarnation. All its calls were aborted; the process goes on as a new incarnation.
struct IncarnationLost
{
};

// Nothing of this router is left: the process may end.
struct DrainFinished
{
};

using KernelAction = std::variant<CallCommand,
                                  KvCommand,
                                  SendToPeer,
                                  LinkPeer,
                                  UnlinkPeer,
                                  WatchConfig,
                                  ConfigInForce,
                                  ConfigRejected,
                                  ChangeAnswered,
                                  CallFinished,
                                  RouterStateChanged,
                                  IncarnationLost,
                                  DrainFinished>;

} // namespace Godwit
