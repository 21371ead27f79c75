#pragma once

// Lends connections to endpoints to the other routers of the fleet, as in lending_protocol.h. A router that is
// partitioned from endpoints serves its callers over the connections of a router that is not.
//
// Passes bytes and decides nothing about requests: reservations, retries and suspects remain with the borrower. An end
// of one side is passed on as it is: an orderly close as one, anything else as a reset, also when this process is
// killed. Not thread-safe.
//
// Example:
//   ConnectionLender lender(relay, options);
//   LastReason reason;
//   if (!lender.listen("10.0.0.4:7215", reason)) { ... }

#include "godwit/base/error.h"
#include "godwit/base/time.h"
#include "godwit/relay/lending_protocol.h"
#include "godwit/relay/listener.h"
#include "godwit/relay/relay.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace Godwit
{

struct LenderOptions
{
    std::string secret; // Requests with another secret are denied.
    // Open at a time, requests that are not answered yet included. At this number a new connection takes the place of
    // one that has not sent its request.
    std::size_t maxConnections = 512;
    std::size_t bufferBytes = 8UL * 1024; // Per direction of a connection.
    // A borrower sends its request at once.
    Duration requestTimeout = std::chrono::seconds(1);
    // A group of endpoints that has not answered this router for so long is probed before a connection is lent: an idle
    // router does not notice that it is partitioned from them.
    Duration maxAnswerAge = std::chrono::seconds(1);
    Duration probeTimeout = std::chrono::milliseconds(250);
    // Same as for the router's own connections.
    Duration connectTimeout = std::chrono::milliseconds(400);
    // A connection that has carried nothing for so long is reset. Longer than any pause within a response.
    Duration idleTimeout = std::chrono::seconds(60);
    // See DirectConnectionEvent::Silent.
    Duration silenceLimit = std::chrono::milliseconds(300);
    Duration tcpUserTimeout = std::chrono::seconds(3);
};

class ConnectionLender
{
public:
    ConnectionLender(Relay &relay, LenderOptions options);
    ~ConnectionLender();

    bool listen(const std::string &address, LastReason &reason);

    // The bound address.
    std::string address() const
    {
        return m_listener.address();
    }
    const std::string &secret() const
    {
        return m_options.secret;
    }

    // Connections that are lent now, requests that are not answered yet included.
    std::size_t openConnections() const
    {
        return *m_openConnections;
    }

private:
    class Loan;

    void accept(Listener::Socket socket);
    // Closes the oldest connection whose request has not arrived. Returns false if there is none.
    bool closeUnrequested();
    // Returns Connected if the request may be granted.
    LendingReply check(const LendingRequest &request) const;
    bool hasRecentAnswer(const EndpointGroup &group) const;
    void recordReply(LendingReply reply, const LendingRequest &request);

    Relay &m_relay;
    LenderOptions m_options;
    Listener m_listener;
    // Shared with the loans, which handlers that are still queued may keep alive for longer than this object.
    std::shared_ptr<std::size_t> m_openConnections = std::make_shared<std::size_t>(0);
    std::deque<std::weak_ptr<Loan>> m_unrequested; // In the order of their arrival; some may have a request by now.
};

} // namespace Godwit
