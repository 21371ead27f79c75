// standin_platform: the key-value service and host list that godwitcroft's processes share, for tests and demos.

#include "standins/common/program.h"
#include "standins/platform/platform_service.h"

#include <fstream>
#include <iostream>

using namespace Godwit;
using namespace Godwit::Standins;

namespace
{

// Hosts of the file are visible at once; later changes are shown after the lag.
void loadHosts(HostList &list, const std::string &file)
{
    std::ifstream in(file);
    const nlohmann::json hosts = nlohmann::json::parse(in);
    for (const auto &record : hosts.at("hosts")) {
        setHost(list, record.at("host").get<std::string>(), record, monotonicNow() - list.lag);
    }
}

int run(const cxxopts::ParseResult &parsed)
{
    boost::asio::io_context context(1);
    HostList hosts;
    hosts.lag = std::chrono::milliseconds(parsed["host-lag-ms"].as<std::int64_t>());
    if (parsed.count("hosts") > 0) {
        loadHosts(hosts, parsed["hosts"].as<std::string>());
    }
    PlatformService service(context, std::move(hosts), parsed["seed"].as<std::uint64_t>());
    HttpServer server(
        context, listenAddress(parsed), {}, [&service](HttpRequest &&request, const ResponderPtr &responder) {
            service.handle(std::move(request), responder);
        });
    return serve(context, server);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin_platform", "Key-value service with leases and watches, and a host list.");
    addCommonOptions(options);
    options.add_options()("host-lag-ms",
                          "How late a change of the host list is shown.",
                          cxxopts::value<std::int64_t>()->default_value("0"))(
        "hosts", "JSON file of the hosts shown from the start.", cxxopts::value<std::string>());
    const auto parsed = parseOptions(options, argc, argv);
    try {
        return run(parsed);
    } catch (const std::exception &error) {
        std::cerr << "standin_platform: " << error.what() << '\n';
        return 1;
    }
}
