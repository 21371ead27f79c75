#pragma once

// Finds out whether the process of an endpoint outlived a response that ended with its connection.
//
// The kernel closes the connections of a process that ends, in order if it has read what arrived on them. So the close
// of one connection doesn't show whether a response was complete. A second connection to the same process does: it
// ends at the same moment. It is an idle one of the pool or a new one. One that ends at another moment, or that was
// established only after the response, shows less: an endpoint closes idle connections and resets those beyond its
// limit, and a restarted process accepts new ones. Then the process is asked for its id. An endpoint that has no place
// for the question is believed if the connection was established promptly. Not thread-safe.
//
// Example:
//   auto check = std::make_shared<LivenessCheck>(relay, endpoint, LivenessPath::Direct);
//   check->prepare();
//   ...
//   check->conclude(endedAt, [](const LivenessReport &report) {
//       if (report.liveness == EndpointLiveness::Alive) { ...the endpoint closed the connection itself... }
//   });

#include "godwit/base/time.h"
#include "godwit/gateway/endpoint_table.h"
#include "godwit/relay/connection_pool.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

class Relay;

enum class EndpointLiveness {
    Alive,
    Dead,
    Unknown,
};

std::string_view endpointLivenessName(EndpointLiveness liveness);

// What showed it.
enum class LivenessEvidence {
    KeptConnection, // An idle connection of the pool, open or closed.
    NewConnection,
    RefusedConnection,
    HealthCheck, // The id that the process states.
    OtherRouter, // A router that lends connections to the endpoint.
    None, // No connection was established in time, or nothing was received on it.
};

std::string_view livenessEvidenceName(LivenessEvidence evidence);

struct LivenessReport
{
    EndpointLiveness liveness = EndpointLiveness::Unknown;
    LivenessEvidence evidence = LivenessEvidence::None;
};

// How this router reaches the endpoint.
enum class LivenessPath {
    Direct,
    OtherRouters, // Over their connections, because this router is partitioned from the endpoint.
};

struct LivenessOptions
{
    // How long the second connection has to stay open. The kernel closes all connections of a process within
    // milliseconds, but not at the same instant.
    Duration settleTime = std::chrono::milliseconds(50);
    // Connections that ended within this time of each other ended together.
    Duration simultaneousTime = std::chrono::milliseconds(20);
    // Shorter than a process takes to be restarted and to become too busy for a health check. A connection that was
    // established later after the response than this may belong to another process.
    Duration minRestartTime = std::chrono::milliseconds(10);
    // For a new connection, and for a health check on it. Longer than one second, after which TCP retransmits a lost
    // SYN.
    Duration responseTimeout = std::chrono::milliseconds(1300);
};

class LivenessCheck : public std::enable_shared_from_this<LivenessCheck>
{
public:
    using Done = std::function<void(const LivenessReport &)>;

    LivenessCheck(Relay &relay, ListedEndpoint endpoint, LivenessPath path);

    // Obtains the second connection while the response still arrives. Optional.
    void prepare();

    // Judges the endpoint of a response whose connection ended at `endedAt`. Calls `done` once, never before this
    // returns, unless cancel() is called.
    void conclude(TimePoint endedAt, Done done);

    void cancel();

private:
    // The second connection.
    struct Witness
    {
        ConnectionPool::Connection connection;
        TimePoint establishedAt;
        LivenessEvidence evidence = LivenessEvidence::NewConnection;
    };

    bool takeKept();
    void connect();
    void onConnected(const boost::system::error_code &error);
    void judgeWitness();
    bool endedTogether(TimePoint closedAt) const;
    void onWitnessEnded(TimePoint closedAt);
    void connectAfterSettling();
    void watch();
    void onSettled();
    void askForId();
    void onHealthChecked(const boost::system::error_code &error);
    void onUnidentified();
    bool isPrompt() const;
    void askOtherRouters();
    void limitTime();
    void finish(EndpointLiveness liveness, LivenessEvidence evidence);
    void finishLater(EndpointLiveness liveness, LivenessEvidence evidence);
    void returnKept();

    Relay &m_relay;
    ListedEndpoint m_endpoint;
    LivenessPath m_path;
    Done m_done; // Set by conclude() until it is called.
    TimePoint m_endedAt;
    TimePoint m_settledAt; // Not to be concluded as alive before this.
    std::optional<Witness> m_witness;
    std::optional<ConnectionPool::Socket> m_connecting;
    bool m_reconnected = false; // After a second connection that showed nothing.
    boost::asio::steady_timer m_timer;
    std::string m_request;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::empty_body>> m_parser;
};

} // namespace Godwit
