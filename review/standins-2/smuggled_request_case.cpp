// A client sends a request with a transfer coding that is not `chunked` at its end, and a second request as its body.
// No replica may run that second request, which nobody sent as a request of its own.
//
//   smuggled_request_case DIRECTORY

#include "endpoint.h"
#include "record.h"
#include "router.h"
#include "site.h"
#include "store.h"

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <thread>

using namespace Review;
using std::chrono::milliseconds;

namespace
{

constexpr int TimeoutMs = 4000;
constexpr int AnswerTimeoutMs = 1500;
constexpr auto WorkTime = milliseconds(20);

const char *const Codings[] = {"identity", "gzip", "chunked, identity", "chunked, gzip", "xchunked"};

std::string innerRequest(const std::string &attempt)
{
    return requestHead("POST", "/book/voucher", attempt) + "Content-Length: 9\r\n\r\nvoucher 1";
}

std::string outerRequest(const std::string &attempt, const std::string &coding, const std::string &body)
{
    return requestHead("POST", "/book/upload", attempt) + "Transfer-Encoding: " + coding + "\r\n\r\n" + body;
}

std::string inOneChunk(const std::string &body)
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
    return size + body + "\r\n0\r\n\r\n";
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
        std::this_thread::sleep_for(WorkTime);
        return sendAll(socket, sealedResponse(request, "done: " + fieldOf(request, "X-Attempt-Id")));
    });
    endpoint.start();
    Store store;
    store.put("op/config", siteDocument(7, TimeoutMs));
    store.put(endpoint.key(), endpoint.entry());
    store.start();
    Router router("router-1", store.address(), temporary);
    router.start();
    if (!router.waitUntilReady()) {
        return record.end(Verdict::NotRun, "the router did not become ready");
    }
    std::this_thread::sleep_for(milliseconds(1000));

    int smuggled = 0;
    int number = 0;
    for (const std::string coding : Codings) {
        ++number;
        const std::string outer = "outer-" + std::to_string(number);
        const std::string inner = "inner-" + std::to_string(number);
        Socket client = connectTo(router.callers());
        // Without the disruption, the same body is sent in chunks.
        sendAll(client,
                trouble ? outerRequest(outer, coding, innerRequest(inner))
                        : outerRequest(outer, "chunked", inOneChunk(innerRequest(inner))));
        record.line(outer + " sent, Transfer-Encoding: " + (trouble ? coding : "chunked") + "; its body holds "
                    + inner);
        while (const auto response = readResponse(client, AnswerTimeoutMs)) {
            record.line("answer: " + response->startLine + ", id " + fieldOf(*response, "X-Attempt-Id"));
        }
        smuggled += endpoint.runs(inner);
        if (!trouble && endpoint.runs(outer) != 1) {
            router.kill();
            return record.end(Verdict::NotRun, "without the disruption the outer request did not run");
        }
    }
    for (const std::string &run : endpoint.ran()) {
        record.line("the replica ran " + run);
    }
    router.kill();
    std::filesystem::remove_all(temporary);
    return smuggled > 0
        ? record.end(Verdict::Broken,
                     std::to_string(smuggled) + " requests ran that were sent inside the body of another (UNASKED)")
        : record.end(Verdict::Held, "no request ran that was sent inside the body of another");
}
