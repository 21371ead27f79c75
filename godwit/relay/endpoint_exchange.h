#pragma once

// One request to one endpoint, and its answer as it arrives.
//
// Decides nothing: it reports what happened, and whether the request may have reached the endpoint. Answers that
// belong to another attempt are read and dropped. After onEnd or onFailed, or after cancel(), no callback follows.
// Not thread-safe.
//
// Example:
//   auto exchange = std::make_shared<EndpointExchange>(io, pool, options, handlers);
//   exchange->start(endpoint, address, bytes, attemptId);

#include "godwit/base/time.h"
#include "godwit/gateway/request_facts.h"
#include "godwit/relay/connection_pool.h"
#include "platform/http_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

enum class ExchangeFailure {
    NotConnected, // No byte of the request was sent.
    Withdrawn, // Nor here: the endpoint may not get it any more.
    Unanswered, // The endpoint ended the connection in order without a byte of an answer: the request may have run.
    Broken, // The connection ended before the answer did: the request may have run.
    Malformed, // The endpoint sent bytes that are no answer: the request may have run.
};

std::string_view exchangeFailureName(ExchangeFailure failure);

// What a request that was withdrawn after it was sent turned out to be.
enum class WithdrawalOutcome {
    NotRun, // No byte of it was sent, or the endpoint says that it did not run it.
    Unanswered, // The endpoint closed the connection in order and had sent no byte of an answer.
    Answered, // The endpoint had begun to answer.
    Unknown, // The connection broke, or the endpoint kept it open for too long.
};

std::string_view withdrawalOutcomeName(WithdrawalOutcome outcome);

struct ExchangeHandlers
{
    // Asked before the first byte goes out on a new connection; unset: it may.
    std::function<bool()> maySend;
    // Called before the first byte goes out on any connection; unset: nobody is told.
    std::function<void()> onSending;
    std::function<void(const ResponseHead &, const AnswerFacts &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onEnd;
    std::function<void(ExchangeFailure)> onFailed;
};

struct ExchangeOptions
{
    // Endpoints accept within a few milliseconds; a lost opening packet is repeated after a second at the earliest.
    Duration connectTimeout = std::chrono::milliseconds(400);
    // Idle connections are kept this long unless the endpoint names less.
    Duration keepIdle = std::chrono::seconds(4);
    // An endpoint's own limit is given in whole seconds; it may close this much earlier than that.
    Duration keepMargin = std::chrono::milliseconds(600);
    Duration acknowledgementLimit = std::chrono::seconds(3);
    std::size_t readBytes = 16UL * 1024;
};

class EndpointExchange : public std::enable_shared_from_this<EndpointExchange>
{
public:
    EndpointExchange(boost::asio::io_context &io,
                     ConnectionPool &pool,
                     ExchangeOptions options,
                     ExchangeHandlers handlers);

    void start(const EndpointId &endpoint, const std::string &address, std::string bytes, std::string attemptId);

    // Stops and closes the connection: the endpoint sees that nobody waits any more.
    void cancel();

    // Stops like cancel(), but learns what became of the request: ends only its own direction of the connection, and
    // reads what the endpoint had sent until then. `done` is called once, within `limit`, perhaps before this returns.
    // The handlers are called no more.
    void withdraw(Duration limit, std::function<void(WithdrawalOutcome)> done);

    // Stops reading until resume(): the caller does not keep up.
    void pause();
    void resume();

    bool connectionIsNew() const
    {
        return m_newConnection;
    }

    // What had become of the connection at onEnd or onFailed.
    ConnectionEnd connectionEnd() const
    {
        return m_connectionEnd;
    }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    // How far the request has come. It only moves forward.
    enum class Phase {
        Connecting, // No byte of the request has gone out.
        Sent, // Bytes may have reached the endpoint.
        Over,
    };

    void connect(const std::string &address);
    void onConnected(const boost::system::error_code &error);
    void giveUpConnecting(ExchangeFailure failure);
    void send();
    void read();
    void onRead(const boost::system::error_code &error, std::size_t count);
    bool parse();
    bool takeHead();
    void passBody();
    void answerEnds();
    void finish();
    void fail(ExchangeFailure failure);
    void closeConnection();
    void clearHandlers();
    bool answerHasBegun() const;
    bool endsUnanswered(const boost::system::error_code &error) const;
    void endWithdrawal(WithdrawalOutcome outcome);
    void startParser();
    bool isOver() const
    {
        return m_phase == Phase::Over;
    }

    boost::asio::io_context &m_io;
    ConnectionPool &m_pool;
    ExchangeOptions m_options;
    ExchangeHandlers m_handlers;
    std::function<void(WithdrawalOutcome)> m_withdrawn; // Set once the request has been withdrawn.
    std::optional<ConnectionPool::Socket> m_socket;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    AnswerFacts m_facts;
    EndpointId m_endpoint;
    std::string m_bytes;
    std::string m_attemptId;
    bool m_newConnection = false;
    bool m_written = false;
    bool m_headTaken = false;
    bool m_skipping = false; // The answer that is being read belongs to another attempt.
    bool m_paused = false;
    bool m_reading = false;
    ConnectionEnd m_connectionEnd = ConnectionEnd::Open;
    Phase m_phase = Phase::Connecting;
};

} // namespace Godwit
