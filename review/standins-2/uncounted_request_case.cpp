// A client of a prepaid tenant leaves out the field that states the size of its requests. The tenant must not get more
// tokens than it paid for by that.
//
//   uncounted_request_case DIRECTORY

#include "endpoint.h"
#include "record.h"
#include "router.h"
#include "site.h"
#include "store.h"

#include <nlohmann/json.hpp>

#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <thread>

using namespace Review;
using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

constexpr int TimeoutMs = 4000;
constexpr int Prepaid = 20'000;
constexpr int Requests = 100;
constexpr int PromptTokens = 40;
// What the engine produces for a request that states no maximum.
constexpr int DefaultOutputTokens = 320;
constexpr int TokensPerEvent = 5;
constexpr const char *Report =
    R"({"Stage":"combined","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Sequence":1,"Waiting":0,)"
    R"("Running":0,"KvUsed":0,"KvTotal":90000,"Handles":0})";

// A site with one engine, and one tenant that paid for `Prepaid` tokens.
std::string engineSiteDocument()
{
    json document = json::parse(siteDocument(7, TimeoutMs));
    json &route = document["Routes"][1];
    route["Kind"] = "streaming";
    route["Sticky"] = true;
    route["GapTargetMs"] = 200;
    document["Services"][0]["Engine"] = {{"Slots", 96}, {"KvCapacityTokens", 90000}, {"Stride", TokensPerEvent}};
    document["Tenants"][0]["Prepaid"] = Prepaid;
    return document.dump();
}

// Output tokens that a request may have: the second number of its field, or what the engine sets if there is none.
int outputTokens(const HttpMessage &request)
{
    const std::string counts = fieldOf(request, "X-Token-Counts");
    const auto comma = counts.find(',');
    return comma == std::string::npos ? DefaultOutputTokens : std::atoi(counts.c_str() + comma + 1);
}

std::string stream(int tokens)
{
    std::string events;
    for (int id = 1; id * TokensPerEvent <= tokens; ++id) {
        events += "id: " + std::to_string(id) + "\ndata: t\n\n";
    }
    return events;
}

int eventsOf(const HttpMessage &response)
{
    int events = 0;
    for (auto at = response.body.find("id: "); at != std::string::npos; at = response.body.find("id: ", at + 1)) {
        ++events;
    }
    return events;
}

} // namespace

int main(int, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    const std::string directory = argv[1];
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
    Record record(directory + "/record.txt");
    std::string temporary = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    temporary = ::mkdtemp(temporary.data());

    Endpoint endpoint("i-7f3a91c2", "booking", [](Socket &socket, const HttpMessage &request) {
        return sendAll(
            socket,
            sealedResponse(request, stream(outputTokens(request)), "200 OK", "Content-Type: text/event-stream\r\n"));
    });
    endpoint.setReport(Report);
    endpoint.start();
    Store store;
    store.put("op/config", engineSiteDocument());
    store.put(endpoint.key(), endpoint.entry());
    store.start();
    Router router("router-1", store.address(), temporary);
    router.start();
    if (!router.waitUntilReady()) {
        return record.end(Verdict::NotRun, "the router did not become ready");
    }
    std::this_thread::sleep_for(milliseconds(4000));

    int input = 0;
    int output = 0;
    int served = 0;
    int refused = 0;
    Socket client = connectTo(router.callers());
    for (int number = 0; number < Requests; ++number) {
        const std::string attempt = "draft-" + std::to_string(number);
        // Without the disruption, the request states the same size that it has with it.
        const std::string counts =
            "X-Token-Counts: " + std::to_string(PromptTokens) + ',' + std::to_string(DefaultOutputTokens) + "\r\n";
        sendAll(client,
                requestHead("POST", "/book/draft", attempt) + "X-Model: m\r\nX-Prompt-Prefix: " + std::to_string(number)
                    + "a:" + std::to_string(PromptTokens) + "\r\n" + (trouble ? "" : counts)
                    + "Content-Length: 4\r\n\r\ntext");
        const auto response = readResponse(client, TimeoutMs + 1000);
        if (!response) {
            record.line(attempt + " got no answer");
            client = connectTo(router.callers());
            continue;
        }
        if (statusOf(*response) == 200) {
            ++served;
            input += PromptTokens;
            output += eventsOf(*response) * TokensPerEvent;
        } else {
            ++refused;
        }
        record.line(attempt + (trouble ? " without X-Token-Counts: " : " with X-Token-Counts: ") + response->startLine
                    + ", " + std::to_string(eventsOf(*response)) + " events; in all " + std::to_string(output)
                    + " output tokens delivered, " + std::to_string(Prepaid) + " tokens paid");
        if (fieldOf(*response, "Connection") == "close") {
            client = connectTo(router.callers());
        }
        if (statusOf(*response) != 200) {
            std::this_thread::sleep_for(milliseconds(200));
        }
    }
    router.kill();
    std::filesystem::remove_all(temporary);
    record.line(std::to_string(served) + " served, " + std::to_string(refused) + " refused; " + std::to_string(output)
                + " output tokens delivered, and " + std::to_string(input) + " input tokens");
    if (!trouble && served == 0) {
        return record.end(Verdict::NotRun, "without the disruption no request was served");
    }
    // The input counts too, but what is delivered is enough.
    return output > Prepaid ? record.end(Verdict::Broken,
                                         "the tenant got " + std::to_string(output) + " output tokens; it had paid for "
                                             + std::to_string(Prepaid) + " (BUDGET)")
                            : record.end(Verdict::Held, "the tenant got no more than it had paid for");
}
