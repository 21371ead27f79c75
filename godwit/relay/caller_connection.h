#pragma once

// Server side of one caller connection: reads requests one after the other and writes the responses.
//
// While a request is in flight the connection watches for the caller disconnecting, so that the endpoint's work can be
// cancelled. A caller that reads nothing while bytes are queued for it is disconnected by a reset, which shows that its
// response is incomplete. At the limit of open connections, the one that matters least is closed for a new one; see
// connection_limits.h. Not thread-safe.

#include "godwit/gateway/body_senders.h"
#include "godwit/gateway/connection_limits.h"
#include "godwit/gateway/held_bytes.h"
#include "godwit/gateway/held_bytes_claim.h"
#include "godwit/relay/relay.h"
#include "godwit/relay/relay_call.h"
#include "platform/http_codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Godwit
{

class CallerConnection;
struct HeadRefusal;

// All open caller connections of a router.
struct CallerConnections
{
    std::set<CallerConnection *> open;
    std::size_t limit = 0; // 0: none.
};

// Serves a new connection. At the limit it takes the place of another, or is closed if all others are busy.
void acceptCaller(Relay &relay, CallerConnections &connections, boost::asio::ip::tcp::socket socket);

// Disconnects callers while the limit of held bytes is reached, the one that has read nothing for the longest time
// first.
void disconnectCallersAtLimit(Relay &relay, const CallerConnections &connections);

// Refuses unfinished requests whose senders have stopped, until `hasRoom` returns true or none is left.
void refuseStoppedSenders(const CallerConnections &connections, const std::function<bool()> &hasRoom);

class CallerConnection : public AnswerSink, public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(Relay &relay, CallerConnections &connections, boost::asio::ip::tcp::socket socket);
    ~CallerConnection() override;

    void start();

    // Starts a graceful close if no request is in flight or has arrived on the connection.
    void closeIfIdle();

    ConnectionActivity activity() const;

    // Closes a connection without a request in flight, to free its descriptor. Returns false if a request has arrived
    // on it that the event loop has not processed yet.
    bool closeForDescriptor();

    // Whether something is still due to the caller: the response to a request that it is sending or has sent, or bytes
    // of one that its host has not acknowledged.
    bool owesAnswer();

    // Logs the response that a close at this moment would truncate.
    void logOwedAnswer();

    // Disconnects the caller because it doesn't read.
    void disconnectReader(ReaderCutCause cause);

    // The request that is being received; holds no bytes if there is none.
    BodySender bodySender() const;

    // Refuses the request that is being received, for lack of room.
    void refuseUnfinishedRequest();

    // Progress of the caller's reading, as last noted.
    const ReaderProgress &progress() const
    {
        return m_progress;
    }

    void send(std::string bytes) override;
    std::size_t queuedBytes() const override;
    void finish() override;
    void abort() override;
    bool beginAnswer(ResponseFraming framing) override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    static constexpr std::size_t DrainBytes = 4096; // Largest read while waiting for the caller to close.

    void readRequest();
    void armReadTimeout();
    bool timerHasExpired() const;
    void beginReceiving();
    // Parses what has been received, and reads on until the request is complete.
    void parseReceived();
    // Handles the end of the head and of the request. Returns false if the request is complete or has been refused.
    bool onParsed();
    // Counts the bytes held for the request. Returns false if it has been refused for lack of room.
    bool holdReceived();
    void readMore();
    // Learns the customer of a large request. Returns false if the request has been refused, since it has none.
    bool identifyCustomer();
    // Answers a request that has not been received completely, and closes the connection.
    void sendRefusal(const HeadRefusal &refusal);
    // Decides before the body of a request is read. Returns false if the request has been answered instead.
    bool decideOnHead();
    void beginBody();
    void countRead(std::size_t bytes);
    void onMalformedRequest(const boost::system::error_code &error);
    void startCall();
    // Moves the received request into a call.
    std::shared_ptr<RelayCall> makeCall();
    bool hasDisconnected();
    void watchForDisconnect();
    void write();
    void writePart();
    void watchProgress();
    void onWritten(const boost::system::error_code &error);
    void setResetOnClose(bool wanted);
    void closeGracefully();
    void closeAfterTimeout();
    void drainUntilClosed();
    void continueDraining(std::size_t bytesRead);
    void drainAfterInterval();
    void close();

    Relay &m_relay;
    CallerConnections &m_connections;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_drainTimer; // Between reads while closing slowly.
    boost::asio::steady_timer m_progressTimer;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::size_t m_maxUnparsedBytes = 0; // Bound of m_buffer while a request is received.
    // The head of a chunked request, without the trailers that the parser adds to it.
    std::optional<RequestHead> m_headBeforeTrailers;
    std::optional<CustomerId> m_customer; // Of the request that is being received, if it is large.
    SenderProgress m_senderProgress;
    std::shared_ptr<RelayCall> m_call;
    std::string m_requestId; // Of the latest request.
    std::string m_writing;
    std::size_t m_writtenPart = 0; // Bytes of m_writing that the kernel has accepted.
    std::string m_queued;
    ReaderProgress m_progress;
    HeldBytesClaim m_heldQueue;
    HeldBytesClaim m_heldBody; // Of a request that is being received.
    TimePoint m_phaseSince; // When the current phase of the connection began; see ConnectionPhase.
    bool m_watchingProgress = false;
    bool m_writePending = false;
    bool m_answerDone = false;
    bool m_keepAlive = true;
    bool m_answerEndsWithConnection = false; // An orderly close tells the caller that its response is complete.
    bool m_closeAfterAnswer = false; // The current response was sent with "Connection: close".
    bool m_awaitingRequest = false; // Waiting for a request or reading one.
    bool m_receivingRequest = false; // The socket became readable; reading of the head has begun.
    bool m_receivingBody = false; // The head of the request is complete.
    bool m_closing = false; // The sending direction is shut down; waiting for the caller to close.
    bool m_drainSlowly = false; // The caller may still be sending a body that is not wanted.
    std::size_t m_drainAllowance = DrainBytes; // Bytes that may be read before the next wait of a slow close.
    bool m_closed = false;
};

} // namespace Godwit
