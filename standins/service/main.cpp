// standin_service: a plain booking service that counts how often it executes each request.

#include "standins/common/program.h"
#include "standins/common/url.h"
#include "standins/service/booking_model.h"

#include <boost/asio/steady_timer.hpp>

#include <iostream>
#include <memory>
#include <random>

using namespace Godwit;
using namespace Godwit::Standins;

namespace
{

using Json = nlohmann::json;
using Verb = boost::beast::http::verb;

const HttpHeaders NotRunHeaders = {{"Godwit-Not-Run", "true"}};

class BookingService
{
public:
    BookingService(boost::asio::io_context &context, std::uint64_t seed)
        : m_context(context)
        , m_random(seed)
    {
    }

    void handle(const HttpRequest &request, const ResponderPtr &responder)
    {
        const Target target = parseTarget({request.target().data(), request.target().size()});
        try {
            route(request, target, responder);
        } catch (const Json::exception &error) {
            responder->reply(
                400, Json{{"error", {{"reason", "malformed_json"}, {"message", error.what()}}}}.dump(), NotRunHeaders);
        }
    }

private:
    void route(const HttpRequest &request, const Target &target, const ResponderPtr &responder)
    {
        if (request.method() == Verb::post && afterPrefix(target.path, "/call/")) {
            call(request, target, responder);
        } else if (target.path == "/control/executions") {
            responder->reply(200, toJson(m_model).dump());
        } else if (request.method() == Verb::post && target.path == "/control/faults") {
            setFaults(m_model.faults, Json::parse(request.body()));
            responder->reply(200, "{}");
        } else if (target.path == "/load") {
            responder->reply(200, Json{{"running", m_running}, {"queued", 0}, {"role", "service"}}.dump());
        } else {
            responder->reply(404, R"({"error":{"reason":"unknown_path"}})", NotRunHeaders);
        }
    }

    void call(const HttpRequest &request, const Target &target, const ResponderPtr &responder)
    {
        if (!Json::accept(request.body())) {
            responder->reply(400, R"({"error":{"reason":"malformed_json"}})", NotRunHeaders);
            return;
        }
        const CallPlan plan = planCall(m_model, std::uniform_real_distribution<>(0, 1)(m_random));
        if (!plan.executes) {
            refuse(plan, responder);
            return;
        }
        const std::string id = requestId(request);
        recordExecution(m_model, id);
        if (!plan.answers) {
            responder->reset();
            return;
        }
        const std::string body = Json{{"id", id}, {"result", "booked " + id + " at " + target.path}}.dump();
        answerLater(body, responder);
    }

    static void refuse(const CallPlan &plan, const ResponderPtr &responder)
    {
        if (plan.answers) {
            responder->reply(503, R"({"error":{"reason":"not_run"}})", NotRunHeaders);
        } else {
            responder->reset();
        }
    }

    void answerLater(const std::string &body, const ResponderPtr &responder)
    {
        if (m_model.faults.delayMs == 0) {
            responder->reply(200, body);
            return;
        }
        ++m_running;
        auto timer =
            std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(m_model.faults.delayMs));
        timer->async_wait([this, timer, body, responder](boost::system::error_code) {
            --m_running;
            responder->reply(200, body);
        });
    }

    std::string requestId(const HttpRequest &request)
    {
        for (const char *header : {"Godwit-Request-Id", "Idempotency-Key"}) {
            const auto found = request.find(header);
            if (found != request.end()) {
                return std::string(found->value());
            }
        }
        return "anonymous-" + std::to_string(++m_anonymous);
    }

    boost::asio::io_context &m_context;
    BookingModel m_model;
    std::mt19937_64 m_random;
    std::uint64_t m_anonymous = 0;
    std::uint64_t m_running = 0;
};

int run(const cxxopts::ParseResult &parsed)
{
    boost::asio::io_context context(1);
    BookingService service(context, parsed["seed"].as<std::uint64_t>());
    HttpServer server(
        context, listenAddress(parsed), {}, [&service](const HttpRequest &request, const ResponderPtr &responder) {
            service.handle(request, responder);
        });
    return serve(context, server);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin_service", "A plain booking service that counts each execution by request id.");
    addCommonOptions(options);
    const auto parsed = parseOptions(options, argc, argv);
    try {
        return run(parsed);
    } catch (const std::exception &error) {
        std::cerr << "standin_service: " << error.what() << '\n';
        return 1;
    }
}
