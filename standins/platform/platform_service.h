#pragma once

// The platform stand-in's HTTP interface over the key-value store and the host list, with its faults.
//
// docs/STANDINS.md lists the calls. Single-threaded: use it from the thread that runs the io_context.

#include "standins/common/http_server.h"
#include "standins/common/url.h"
#include "standins/platform/call_counts.h"
#include "standins/platform/host_list.h"
#include "standins/platform/kv_store.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <list>
#include <random>
#include <set>
#include <string>

namespace Godwit::Standins
{

struct PlatformFaults
{
    bool down = false; // Closes every connection but those to /control.
    std::uint64_t delayMs = 0; // Wait after the call's effect, before the answer.
    std::uint64_t delayBeforeMs = 0; // Wait before the call's effect.
    double loseAnswers = 0; // Probability that a write's answer is lost after its effect.
    std::uint64_t loseNext = 0; // So many of the next writes lose their answers for certain.
    std::set<std::string> dropFrom; // Hosts (by their Godwit-Host header) whose calls are closed without effect.
};

class PlatformService
{
public:
    PlatformService(boost::asio::io_context &context, HostList hosts, std::uint64_t seed);

    void handle(HttpRequest &&request, const ResponderPtr &responder);

private:
    struct Answer
    {
        unsigned status = 200;
        std::string body;
        HttpHeaders headers;
    };

    struct Watch
    {
        std::string prefix;
        std::uint64_t after = 0;
        TimePoint until;
        ResponderPtr responder;
    };

    void handleControl(const HttpRequest &request, const Target &target, const ResponderPtr &responder);
    void handleCall(const HttpRequest &request, const Target &target, const ResponderPtr &responder);
    Answer handleKey(const HttpRequest &request, const Target &target, const std::string &key);
    Answer handleList(const HttpRequest &request, const Target &target);
    Answer handleLeases(const HttpRequest &request, std::string_view rest);
    Answer handleHosts(const HttpRequest &request, std::string_view rest);
    void handleWatch(const HttpRequest &request, const Target &target, const ResponderPtr &responder);

    void count(CallKind kind, const HttpRequest &request);
    bool losesAnswer(CallKind kind);
    void answer(Answer answer, CallKind kind, const ResponderPtr &responder);
    void wakeWatches();
    void armTimer();
    void setFaults(const nlohmann::json &json);

    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_timer;
    KvStore m_store;
    HostList m_hosts;
    CallCounts m_counts;
    PlatformFaults m_faults;
    std::list<Watch> m_watches;
    std::mt19937_64 m_random;
    CallKind m_kind = CallKind::Get; // Of the call that is being handled.
};

} // namespace Godwit::Standins
