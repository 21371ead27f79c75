// Sessions over real sockets on the loopback: a scripted endpoint on one side, a plain socket as the caller on the
// other, and in place of the control thread a function that answers each event. Nothing waits by time; every step
// waits for the bytes or the event that it needs.

#include "godwit/caller/caller_server.h"
#include "godwit/http/address.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <sstream>

using namespace Godwit;

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

const tcp::endpoint AnyPort(asio::ip::address_v4::loopback(), 0);

// A queue that a test waits on.
template<typename Value>
class Waiting
{
public:
    void push(Value value)
    {
        const std::lock_guard lock(m_mutex);
        m_values.push_back(std::move(value));
        m_filled.notify_all();
    }

    Value pop()
    {
        std::unique_lock lock(m_mutex);
        m_filled.wait(lock, [this] {
            return !m_values.empty();
        });
        Value value = std::move(m_values.front());
        m_values.pop_front();
        return value;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_filled;
    std::deque<Value> m_values;
};

// A blocking connection with what is needed to speak HTTP by hand.
class Wire
{
public:
    explicit Wire(tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }

    void write(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    // Reads up to and with `mark`, or to the end of the connection.
    std::string readUntil(const std::string &mark)
    {
        boost::system::error_code error;
        const std::size_t size = asio::read_until(m_socket, asio::dynamic_buffer(m_buffer), mark, error);
        const std::size_t taken = error ? m_buffer.size() : size;
        std::string text = m_buffer.substr(0, taken);
        m_buffer.erase(0, taken);
        return text;
    }

    // Reads a request's or an answer's headers and body; its length must be stated.
    std::string readMessage()
    {
        std::string text = readUntil("\r\n\r\n");
        const std::size_t header = text.find("Content-Length: ");
        if (header == std::string::npos) {
            return text;
        }
        const std::size_t length = std::stoul(text.substr(header + 16));
        boost::system::error_code error;
        while (m_buffer.size() < length && !error) {
            std::string more(4096, '\0');
            more.resize(m_socket.read_some(asio::buffer(more), error));
            m_buffer += more;
        }
        text += m_buffer.substr(0, length);
        m_buffer.erase(0, std::min(length, m_buffer.size()));
        return text;
    }

    // Returns true when the other side has closed and nothing is left to read.
    bool closedByPeer()
    {
        char byte = 0;
        boost::system::error_code error;
        return m_buffer.empty() && m_socket.read_some(asio::buffer(&byte, 1), error) == 0 && error;
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

private:
    tcp::socket m_socket;
    std::string m_buffer;
};

class Bench
{
public:
    Bench()
        : m_endpoint(m_io, AnyPort)
        , m_endpointAddress(formatAddress(m_endpoint.local_endpoint()))
        , m_server(
              options(),
              [this](CallEvent event) {
                  m_events.push(std::move(event));
              },
              [] {
                  return true;
              })
    {
        LastReason reason;
        m_callers = *m_server.listen(AnyPort, reason);
        m_server.start();
    }

    static CallerServerOptions options()
    {
        CallerServerOptions options;
        options.caller.maxBodyBytes = 4096;
        return options;
    }

    Wire caller()
    {
        tcp::socket socket(m_io);
        socket.connect(m_callers);
        return Wire(std::move(socket));
    }

    // The router's next connection to the endpoint.
    Wire accept()
    {
        return Wire(m_endpoint.accept());
    }

    CallEvent nextEvent()
    {
        return m_events.pop();
    }

    template<typename Event>
    Event next()
    {
        CallEvent event = nextEvent();
        REQUIRE(std::holds_alternative<Event>(event));
        return std::get<Event>(std::move(event));
    }

    void dispatch(CallId call, bool repeatable, int attempt = 1)
    {
        DispatchCall command;
        command.call = call;
        command.attempt = attempt;
        command.address = m_endpointAddress;
        command.repeatable = repeatable;
        command.maxOutput = 9;
        command.requestId = "r1";
        command.timeLimit = std::chrono::seconds(20);
        m_server.deliver(command);
    }

    void closeEndpoint()
    {
        m_endpoint.close();
    }

    CallerServer &server()
    {
        return m_server;
    }

private:
    asio::io_context m_io;
    tcp::acceptor m_endpoint;
    std::string m_endpointAddress;
    Waiting<CallEvent> m_events;
    CallerServer m_server;
    tcp::endpoint m_callers;
};

std::string post(const std::string &target, const std::string &body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chat(bool streamed)
{
    return post("/v1/chat/completions",
                std::string(R"({"model":"m","messages":[{"role":"user","content":"hi"}],"stream":)")
                    + (streamed ? "true}" : "false}"));
}

std::string plainAnswer(const std::string &body, const std::string &extra = "")
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + extra
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string FirstEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
const std::string UsageEvent = "data: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\n";
const std::string DoneEvent = "data: [DONE]\n\n";
const std::string UsageBody = R"({"usage":{"prompt_tokens":3,"completion_tokens":4}})";

} // namespace

TEST_CASE("the end of a streamed answer waits for its bill")
{
    // The caller reads tokens as they come. The bill is not recorded yet; if the router died now, the caller must not
    // have a whole answer. The closing events come only after the release.
    Bench bench;
    Wire caller = bench.caller();
    caller.write(chat(true));
    const CallId call = bench.next<CallArrived>().call;
    bench.dispatch(call, true);
    Wire endpoint = bench.accept();
    endpoint.readMessage();
    endpoint.write(StreamHead + chunk(FirstEvent) + chunk(UsageEvent) + chunk(DoneEvent) + "0\r\n\r\n");
    bench.next<FirstToken>();
    const auto ended = bench.next<AttemptEnded>();
    CHECK(ended.result == AttemptResult::Completed);
    CHECK(ended.used == 4);
    const std::string before = caller.readUntil("\"a\"}}]}\n\n");
    CHECK(before.find("usage") == std::string::npos);
    CHECK(before.find("[DONE]") == std::string::npos);
    bench.server().deliver(ReleaseCall{call, 4});
    const std::string after = caller.readUntil("0\r\n\r\n");
    CHECK(after.find("usage") < after.find("[DONE]"));
}

TEST_CASE("an answer cut at any byte is never taken for whole")
{
    // The endpoint dies in the middle of its answer. Whatever the place of the cut, the router must report a broken
    // connection, so that nothing is billed and the caller is not given a part as the whole.
    const std::string streamed = StreamHead + chunk(FirstEvent) + chunk(UsageEvent) + chunk(DoneEvent) + "0\r\n\r\n";
    const std::size_t doneEnds = streamed.find(DoneEvent) + DoneEvent.size();
    const std::string plain = plainAnswer(UsageBody);
    Bench bench;
    for (const bool stream : {true, false}) {
        const std::string &answer = stream ? streamed : plain;
        const std::size_t whole = stream ? doneEnds : answer.size();
        for (std::size_t cut = 0; cut < whole; ++cut) {
            Wire caller = bench.caller();
            caller.write(chat(stream));
            const CallId call = bench.next<CallArrived>().call;
            bench.dispatch(call, false);
            Wire endpoint = bench.accept();
            endpoint.readMessage();
            endpoint.write(answer.substr(0, cut));
            endpoint.close();
            CallEvent event = bench.nextEvent();
            if (std::holds_alternative<FirstToken>(event)) {
                event = bench.nextEvent();
            }
            REQUIRE(std::holds_alternative<AttemptEnded>(event));
            CHECK(std::get<AttemptEnded>(event).result == AttemptResult::ConnectionBroken);
            bench.server().deliver(AbortCall{call, Error{ErrorKind::AnswerIncomplete, "cut"}});
            caller.readUntil("answer_incomplete");
        }
    }
}

TEST_CASE("an answer in one piece that only its connection ends is taken for whole if it shows that itself")
{
    // Guards against a cut body being billed, kept for repeats and handed out with a length as all of it.
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    Bench bench;
    for (const bool whole : {true, false}) {
        Wire caller = bench.caller();
        caller.write(chat(false));
        const CallId call = bench.next<CallArrived>().call;
        bench.dispatch(call, false);
        Wire endpoint = bench.accept();
        endpoint.readMessage();
        endpoint.write(head + (whole ? UsageBody : UsageBody.substr(0, UsageBody.size() / 2)));
        endpoint.close();
        const auto ended = bench.next<AttemptEnded>();
        CHECK(ended.result == (whole ? AttemptResult::Completed : AttemptResult::ConnectionBroken));
        bench.server().deliver(AbortCall{call, Error{ErrorKind::AnswerIncomplete, "cut"}});
        caller.readUntil("answer_incomplete");
    }
}

TEST_CASE("an answer whose status HTTP does not define is a broken connection")
{
    // Guards against a caller receiving, and paying for, the answer of an endpoint in trouble, whose status says
    // nothing.
    const std::string streamed = StreamHead + chunk(FirstEvent) + chunk(UsageEvent) + chunk(DoneEvent) + "0\r\n\r\n";
    const std::string service = post("/v1/services/booking/call/x", "{}");
    Bench bench;
    for (const std::string status : {"000", "099", "600", "999"}) {
        for (const auto &[request, answer] : {std::pair{chat(false), plainAnswer(UsageBody)},
                                              std::pair{chat(true), streamed},
                                              std::pair{service, plainAnswer("{}")}}) {
            INFO(status << " for " << request.substr(0, request.find('\r')));
            Wire caller = bench.caller();
            caller.write(request);
            const CallId call = bench.next<CallArrived>().call;
            bench.dispatch(call, false);
            Wire endpoint = bench.accept();
            endpoint.readMessage();
            endpoint.write(std::string(answer).replace(answer.find("200"), status.size(), status));
            CallEvent event = bench.nextEvent();
            CHECK_FALSE(std::holds_alternative<FirstToken>(event));
            if (std::holds_alternative<FirstToken>(event)) {
                event = bench.nextEvent();
            }
            REQUIRE(std::holds_alternative<AttemptEnded>(event));
            CHECK(std::get<AttemptEnded>(event).result == AttemptResult::ConnectionBroken);
            CHECK(std::get<AttemptEnded>(event).answer.empty());
            bench.server().deliver(AbortCall{call, Error{ErrorKind::AnswerIncomplete, "cut"}});
            caller.readUntil("answer_incomplete");
        }
    }
}

TEST_CASE("not run is only reported when no byte went out or the endpoint says so")
{
    Bench bench;
    {
        // The service refuses by its header: it did not run the request.
        Wire caller = bench.caller();
        caller.write(post("/v1/services/booking/call/x", "{}"));
        const CallId call = bench.next<CallArrived>().call;
        bench.dispatch(call, false);
        Wire endpoint = bench.accept();
        endpoint.readMessage();
        endpoint.write("HTTP/1.1 503 Unavailable\r\nGodwit-Not-Run: true\r\nContent-Length: 0\r\n\r\n");
        CHECK(bench.next<AttemptEnded>().result == AttemptResult::RejectedNotRun);
        bench.server().deliver(RefuseCall{call, Error{ErrorKind::EndpointFailed, "x"}});
        CHECK(caller.readMessage().find("\"not_run\":true") != std::string::npos);
    }
    {
        // Without the header a failing service may have run it: its answer goes to the caller as it is.
        Wire caller = bench.caller();
        caller.write(post("/v1/services/booking/call/x", "{}"));
        const CallId call = bench.next<CallArrived>().call;
        bench.dispatch(call, false);
        Wire endpoint = bench.accept();
        endpoint.readMessage();
        endpoint.write("HTTP/1.1 503 Unavailable\r\nContent-Length: 4\r\n\r\nbusy");
        CHECK(bench.next<AttemptEnded>().result == AttemptResult::Completed);
        bench.server().deliver(ReleaseCall{call, 0});
        CHECK(caller.readMessage().find("503") != std::string::npos);
    }
    bench.closeEndpoint();
    Wire caller = bench.caller();
    caller.write(post("/v1/services/booking/call/x", "{}"));
    const CallId call = bench.next<CallArrived>().call;
    bench.dispatch(call, false);
    CHECK(bench.next<AttemptEnded>().result == AttemptResult::ConnectFailed);
    bench.server().deliver(RefuseCall{call, Error{ErrorKind::NoEndpoint, "x"}});
    caller.readMessage();
}

TEST_CASE("a connection that was broken off never serves another caller")
{
    // The first caller leaves in the middle of its answer. Its endpoint connection still has bytes of that answer;
    // were it used again, the second caller would be given them. The second call must come on a new connection.
    Bench bench;
    Wire first = bench.caller();
    first.write(chat(true));
    const CallId firstCall = bench.next<CallArrived>().call;
    bench.dispatch(firstCall, true);
    Wire firstWire = bench.accept();
    firstWire.readMessage();
    firstWire.write(StreamHead + chunk(FirstEvent));
    bench.next<FirstToken>();
    first.readUntil("\"a\"");
    first.close();
    CHECK(bench.next<CallerGone>().call == firstCall);
    CHECK(firstWire.closedByPeer());

    Wire second = bench.caller();
    second.write(chat(false));
    const CallId secondCall = bench.next<CallArrived>().call;
    bench.dispatch(secondCall, true);
    Wire secondWire = bench.accept();
    secondWire.readMessage();
    secondWire.write(plainAnswer(UsageBody));
    CHECK(bench.next<AttemptEnded>().call == secondCall);
    bench.server().deliver(ReleaseCall{secondCall, 7});
    const std::string answer = second.readMessage();
    CHECK(answer.find(UsageBody) != std::string::npos);
    CHECK(answer.find("data:") == std::string::npos);
}

TEST_CASE("an idle connection that the endpoint closed costs a repeatable call nothing")
{
    // The endpoint answers, keeps the connection, and closes it later. The next call goes out on it and is lost; that
    // is no crash, and the call is sent again on a new connection without the control thread hearing of it.
    Bench bench;
    Wire caller = bench.caller();
    caller.write(chat(false));
    CallId call = bench.next<CallArrived>().call;
    bench.dispatch(call, true);
    {
        Wire endpoint = bench.accept();
        endpoint.readMessage();
        endpoint.write(plainAnswer(UsageBody));
        bench.next<AttemptEnded>();
        bench.server().deliver(ReleaseCall{call, 7});
        caller.readMessage();
    }
    caller.write(chat(false));
    call = bench.next<CallArrived>().call;
    bench.dispatch(call, true);
    Wire endpoint = bench.accept();
    endpoint.readMessage();
    endpoint.write(plainAnswer(UsageBody));
    CHECK(bench.next<AttemptEnded>().result == AttemptResult::Completed);
    bench.server().deliver(ReleaseCall{call, 7});
    CHECK(caller.readMessage().find(UsageBody) != std::string::npos);
}

TEST_CASE("a not-repeatable call runs on when its caller leaves")
{
    // The caller's connection breaks while the booking runs. Breaking it off would leave nobody who knows whether it
    // was made; the outcome is reported, so that the caller's next try with the id gets the answer.
    Bench bench;
    Wire caller = bench.caller();
    caller.write(post("/v1/services/booking/call/x", "{}"));
    const CallId call = bench.next<CallArrived>().call;
    bench.dispatch(call, false);
    Wire endpoint = bench.accept();
    endpoint.readMessage();
    caller.close();
    endpoint.write(plainAnswer("{\"booked\":1}"));
    const auto ended = bench.next<AttemptEnded>();
    CHECK(ended.result == AttemptResult::Completed);
    CHECK(ended.answer.find("booked") != std::string::npos);
    CHECK(bench.next<CallerGone>().call == call);
}

TEST_CASE("bad requests are answered with a typed error and harm nobody")
{
    Bench bench;
    const auto answerTo = [&bench](const std::string &bytes) {
        Wire caller = bench.caller();
        caller.write(bytes);
        return caller.readMessage();
    };
    CHECK(answerTo(post("/v1/chat/completions", std::string(5000, 'x'))).find("body_too_large") != std::string::npos);
    CHECK(answerTo("POST / HTTP/1.1\r\nA: " + std::string(40000, 'x') + "\r\n\r\n").find("body_too_large")
          != std::string::npos);
    CHECK(answerTo("nonsense\r\n\r\n").find("malformed_request") != std::string::npos);
    CHECK(answerTo(post("/v1/chat/completions", "{")).find("malformed_request") != std::string::npos);
    CHECK(answerTo("GET /nowhere HTTP/1.1\r\n\r\n").find("unknown_object") != std::string::npos);
    Wire half = bench.caller();
    half.write("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf");
    Wire caller = bench.caller();
    caller.write(chat(false));
    const CallId call = bench.next<CallArrived>().call;
    bench.server().deliver(RefuseCall{call, Error{ErrorKind::BudgetExhausted, "x"}});
    CHECK(caller.readMessage().find("budget_exhausted") != std::string::npos);
}

TEST_CASE("a trailer or a chunk extension without end is refused while it arrives")
{
    // Guards against a request filling the memory with what the limits of headers and body don't cover.
    const std::string start = GENERATE(std::string("0\r\nX-Field: "), std::string("5;"));
    Bench bench;
    Wire caller = bench.caller();
    caller.write("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + start
                 + std::string(64UL * 1024, 'x'));
    CHECK(caller.readMessage().find("HTTP/1.1 4") == 0);
}

TEST_CASE("a stream that ends in good form without its closing event was cut")
{
    // A proxy or a stopping engine closes the framing properly after some tokens. Taken for whole, a part of the answer
    // would be billed and handed out as all of it.
    Bench bench;
    Wire caller = bench.caller();
    caller.write(chat(true));
    const CallId call = bench.next<CallArrived>().call;
    bench.dispatch(call, false);
    Wire endpoint = bench.accept();
    endpoint.readMessage();
    endpoint.write(StreamHead + chunk(FirstEvent) + "0\r\n\r\n");
    bench.next<FirstToken>();
    const auto ended = bench.next<AttemptEnded>();
    CHECK(ended.result == AttemptResult::ConnectionBroken);
    CHECK(ended.answerBegun);
    bench.server().deliver(AbortCall{call, Error{ErrorKind::AnswerIncomplete, "cut"}});
    caller.readUntil("answer_incomplete");
    CHECK(caller.readUntil("never").find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("bytes behind a whole answer reach nobody")
{
    // An endpoint sends an answer twice. The second copy lies in the connection; used again, the next caller would be
    // given the first caller's answer. The connection is dropped instead.
    Bench bench;
    Wire first = bench.caller();
    first.write(chat(false));
    CallId call = bench.next<CallArrived>().call;
    bench.dispatch(call, true);
    Wire doubled = bench.accept();
    doubled.readMessage();
    const std::string secret = R"({"first":"caller's","usage":{"prompt_tokens":1,"completion_tokens":1}})";
    doubled.write(plainAnswer(secret) + plainAnswer(secret));
    bench.next<AttemptEnded>();
    bench.server().deliver(ReleaseCall{call, 2});
    first.readMessage();
    Wire second = bench.caller();
    second.write(chat(false));
    call = bench.next<CallArrived>().call;
    bench.dispatch(call, true);
    Wire endpoint = bench.accept();
    endpoint.readMessage();
    endpoint.write(plainAnswer(UsageBody));
    bench.next<AttemptEnded>();
    bench.server().deliver(ReleaseCall{call, 7});
    CHECK(second.readMessage().find("caller's") == std::string::npos);
}

TEST_CASE("a broken stream goes on where it broke, at the endpoint that made it")
{
    // The endpoint's connection breaks after the first token. The endpoint still has the stream: it is asked for the
    // rest from the second token on. The caller reads each token once, in order, and one end.
    Bench bench;
    Wire caller = bench.caller();
    caller.write(chat(true));
    const CallId call = bench.next<CallArrived>().call;
    bench.dispatch(call, true);
    {
        Wire endpoint = bench.accept();
        endpoint.readMessage();
        endpoint.write(StreamHead + chunk(FirstEvent));
        bench.next<FirstToken>();
        endpoint.close();
    }
    Wire resumed = bench.accept();
    const std::string request = resumed.readMessage();
    CHECK(request.find("POST /v1/resume") == 0);
    CHECK(request.find("\"from_token\":1") != std::string::npos);
    const std::string secondEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n";
    resumed.write(StreamHead + chunk(secondEvent) + chunk(UsageEvent) + chunk(DoneEvent) + "0\r\n\r\n");
    const auto ended = bench.next<AttemptEnded>();
    CHECK(ended.result == AttemptResult::Completed);
    CHECK(ended.used == 4);
    bench.server().deliver(ReleaseCall{call, 4});
    const std::string answer = caller.readUntil("0\r\n\r\n");
    CHECK(answer.find("\"a\"") < answer.find("\"b\""));
    CHECK(answer.find("\"a\"") == answer.rfind("\"a\""));
    CHECK(answer.find("\"b\"") == answer.rfind("\"b\""));
    CHECK(answer.find("[DONE]") != std::string::npos);
}

TEST_CASE("a stream that its endpoint no longer has is cut, not begun anew")
{
    // The endpoint lost the stream. Another run would make other tokens: joined to the first ones, the caller would
    // get an answer that no endpoint gave.
    Bench bench;
    Wire caller = bench.caller();
    caller.write(chat(true));
    const CallId call = bench.next<CallArrived>().call;
    bench.dispatch(call, true);
    {
        Wire endpoint = bench.accept();
        endpoint.readMessage();
        endpoint.write(StreamHead + chunk(FirstEvent));
        bench.next<FirstToken>();
        endpoint.close();
    }
    Wire resumed = bench.accept();
    resumed.readMessage();
    resumed.write("HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}");
    const auto ended = bench.next<AttemptEnded>();
    CHECK(ended.result == AttemptResult::ConnectionBroken);
    CHECK(ended.answerBegun);
    bench.server().deliver(AbortCall{call, Error{ErrorKind::AnswerIncomplete, "cut"}});
    caller.readUntil("answer_incomplete");
}

TEST_CASE("a request lost on an idle connection of a dead endpoint may have run")
{
    // The endpoint keeps its connection, reads the second request and dies; nothing listens any more. The request went
    // out and may have begun: to say that no byte reached the endpoint would make the refusal "not run" untrue.
    Bench bench;
    Wire caller = bench.caller();
    caller.write(chat(false));
    CallId call = bench.next<CallArrived>().call;
    bench.dispatch(call, true);
    Wire endpoint = bench.accept();
    endpoint.readMessage();
    endpoint.write(plainAnswer(UsageBody));
    bench.next<AttemptEnded>();
    bench.server().deliver(ReleaseCall{call, 7});
    caller.readMessage();
    caller.write(chat(false));
    call = bench.next<CallArrived>().call;
    bench.dispatch(call, true);
    endpoint.readMessage();
    bench.closeEndpoint();
    endpoint.close();
    CHECK(bench.next<AttemptEnded>().result == AttemptResult::ConnectionBroken);
    bench.server().deliver(RefuseCall{call, Error{ErrorKind::EndpointFailed, "x"}});
    caller.readMessage();
}
