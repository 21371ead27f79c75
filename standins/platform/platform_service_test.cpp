#include "standins/common/loop_test.h"
#include "standins/platform/platform_service.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace Godwit;
using namespace Godwit::Standins;

namespace
{

using Json = nlohmann::json;
using Yield = boost::asio::yield_context;

struct Platform
{
    boost::asio::io_context context{1};
    PlatformService service{context, HostList{}, 1};
    HttpServer server{
        context, parseAddress("127.0.0.1:0"), {}, [this](HttpRequest &&request, const ResponderPtr &responder) {
            service.handle(std::move(request), responder);
        }};
};

} // namespace

TEST_CASE("a write whose answer is lost has taken effect")
{
    // The writer's connection closes without an answer. It can't know whether the value stands; only a read tells,
    // and a blind repeat would meet its own write as a conflict.
    Platform platform;
    runOnLoop(platform.context, [&](HttpClient &client, const Yield &yield) {
        ask(client, platform.server, makeRequest("POST", "/control/faults", R"({"lose_next":1})"), yield);
        const auto lost = ask(client, platform.server, makeRequest("PUT", "/v1/kv/k?expect=0", "one"), yield);
        CHECK(lost.connected);
        CHECK(lost.status == 0);
        const auto read = ask(client, platform.server, makeRequest("GET", "/v1/kv/k"), yield);
        CHECK(read.status == 200);
        CHECK(read.body == "one");
        CHECK(ask(client, platform.server, makeRequest("PUT", "/v1/kv/k?expect=0", "one"), yield).status == 409);
    });
}

TEST_CASE("an outage closes everything but the control calls, and ends")
{
    Platform platform;
    runOnLoop(platform.context, [&](HttpClient &client, const Yield &yield) {
        ask(client, platform.server, makeRequest("POST", "/control/faults", R"({"down":true})"), yield);
        CHECK(ask(client, platform.server, makeRequest("PUT", "/v1/kv/k?expect=0", "one"), yield).status == 0);
        CHECK(ask(client, platform.server, makeRequest("GET", "/control/stats"), yield).status == 200);
        ask(client, platform.server, makeRequest("POST", "/control/faults", R"({"down":false})"), yield);
        CHECK(ask(client, platform.server, makeRequest("GET", "/v1/kv/k"), yield).status == 404);
    });
}

TEST_CASE("a cut strikes only the hosts that it names")
{
    Platform platform;
    runOnLoop(platform.context, [&](HttpClient &client, const Yield &yield) {
        ask(client, platform.server, makeRequest("POST", "/control/faults", R"({"drop_from":["r1"]})"), yield);
        auto fromFirst = makeRequest("GET", "/v1/hosts");
        fromFirst.set("Godwit-Host", "r1");
        CHECK(ask(client, platform.server, fromFirst, yield).status == 0);
        auto fromSecond = makeRequest("GET", "/v1/hosts");
        fromSecond.set("Godwit-Host", "r2");
        CHECK(ask(client, platform.server, fromSecond, yield).status == 200);
    });
}

TEST_CASE("a watch answers when a lease lapses, without any further call")
{
    Platform platform;
    runOnLoop(platform.context, [&](HttpClient &client, const Yield &yield) {
        const auto lease = ask(client, platform.server, makeRequest("POST", "/v1/leases", R"({"ttl_ms":50})"), yield);
        const std::string id = Json::parse(lease.body).at("lease").get<std::string>();
        ask(client, platform.server, makeRequest("PUT", "/v1/kv/m%2Fr1?expect=0&lease=" + id, "up"), yield);
        const auto watched =
            ask(client, platform.server, makeRequest("GET", "/v1/watch?prefix=m%2F&after=1&wait_ms=4000"), yield);
        const Json changes = Json::parse(watched.body).at("changes");
        REQUIRE(changes.size() == 1);
        CHECK(changes[0]["key"] == "m/r1");
        CHECK(changes[0]["deleted"] == true);
        CHECK(ask(client, platform.server, makeRequest("POST", "/v1/leases/" + id + "/renew"), yield).status == 404);
        CHECK(ask(client, platform.server, makeRequest("PUT", "/v1/kv/x?expect=0&lease=" + id, "v"), yield).status
              == 410);
    });
}

TEST_CASE("a watch without changes answers at its time limit")
{
    Platform platform;
    runOnLoop(platform.context, [&](HttpClient &client, const Yield &yield) {
        const auto watched =
            ask(client, platform.server, makeRequest("GET", "/v1/watch?prefix=m&after=0&wait_ms=30"), yield);
        CHECK(watched.status == 200);
        CHECK(Json::parse(watched.body).at("changes").empty());
    });
}

TEST_CASE("values above the limit, malformed JSON and unknown calls get an error and cost no one else")
{
    Platform platform;
    runOnLoop(platform.context, [&](HttpClient &client, const Yield &yield) {
        const std::string tooLarge(1024UL * 1024 + 1, 'x');
        CHECK(ask(client, platform.server, makeRequest("PUT", "/v1/kv/k?expect=0", tooLarge), yield).status == 413);
        const std::string largest(1024UL * 1024, 'x');
        CHECK(ask(client, platform.server, makeRequest("PUT", "/v1/kv/k?expect=0", largest), yield).status == 200);
        CHECK(ask(client, platform.server, makeRequest("PUT", "/v1/kv/k", "x"), yield).status == 400);
        CHECK(ask(client, platform.server, makeRequest("POST", "/v1/leases", "{"), yield).status == 400);
        CHECK(ask(client, platform.server, makeRequest("GET", "/nothing"), yield).status == 404);
    });
}

TEST_CASE("a half-sent request holds up no other caller")
{
    Platform platform;
    runOnLoop(platform.context, [&](HttpClient &client, const Yield &yield) {
        boost::asio::ip::tcp::socket half(platform.context);
        half.async_connect(platform.server.address(), yield);
        const std::string text = "PUT /v1/kv/k?expect=0 HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc";
        boost::asio::async_write(half, boost::asio::buffer(text), yield);
        CHECK(ask(client, platform.server, makeRequest("PUT", "/v1/kv/k?expect=0", "one"), yield).status == 200);
    });
}
