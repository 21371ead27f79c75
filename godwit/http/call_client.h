#pragma once

// HTTP/1.1 calls to one outside service over a few kept connections.
//
// Calls wait in line until a connection is free. Each ends with exactly one callback, on the io_context's thread.
// A call whose answer did not come is Lost: the service may have done what it asks. Not thread-safe.
//
// Example:
//   CallClientOptions options;
//   options.addresses = {"10.0.0.7:7001"};
//   CallClient client(io, options);
//   client.call(HttpRequest{http::verb::get, "/v1/hosts", 11}, {std::chrono::seconds(1), true},
//               [](CallOutcome outcome, HttpResponse &response) { ... });

#include "godwit/base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Godwit
{

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

enum class CallOutcome {
    Answered,
    NotSent, // No byte reached the service.
    Lost, // Sent, and no answer.
};

struct CallClientOptions
{
    std::vector<std::string> addresses; // "ip:port", tried in order from the last one that answered.
    int connections = 1; // Calls in flight at most.
    // A service in the same region accepts within milliseconds; one lost opening packet is sent again after a second.
    Duration connectTimeout = std::chrono::milliseconds(500);
    std::uint64_t maxAnswerBytes = 16ULL * 1024 * 1024;
    // Bytes of the answers now being read, of all clients that share this count; null: of this client. An answer that
    // exceeds 1 MiB while the sum exceeds its bound of 32 MiB is lost.
    std::shared_ptr<std::size_t> keptBytes;
    // From the first byte of an answer to its last one, however steadily it comes.
    Duration longestAnswer = std::chrono::seconds(10);
    // Whether an answer without a length or chunks counts as lost, since its connection may have ended before it. False
    // only where every body that is read shows its own end.
    bool needsDeclaredEnd = true;
};

struct CallRules
{
    // From the sending to the first byte of the answer, and between two of its pieces. A large answer over a narrow
    // link takes longer than a silence that means a dead connection.
    Duration timeout;
    // True for calls that may be sent again at once when a kept connection turns out to be closed.
    bool idempotent = false;
};

class CallClient
{
public:
    using Done = std::function<void(CallOutcome, HttpResponse &)>;

    // `io` outlives this object. Calls still open when it ends get no callback.
    CallClient(boost::asio::io_context &io, CallClientOptions options);
    ~CallClient();

    // Fills in length and keep-alive; the caller sets method, target, body and other fields.
    void call(HttpRequest request, CallRules rules, Done done);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace Godwit
