#include "standins/common/program.h"

#include <boost/asio/signal_set.hpp>

#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace Godwit::Standins
{

namespace
{

constexpr int UsageExitCode = 2;

[[noreturn]] void failUsage(const std::string &message)
{
    std::cerr << message << "\n(--help lists the options)\n";
    std::exit(UsageExitCode);
}

} // namespace

void addCommonOptions(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("listen",
        "Address to listen on, IP:PORT; port 0 takes any.",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("seed", "Seed of everything random.", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("help", "Prints this text.");
}

cxxopts::ParseResult parseOptions(cxxopts::Options &options, int argc, char **argv)
{
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            std::exit(0);
        }
        return parsed;
    } catch (const cxxopts::exceptions::exception &error) {
        failUsage(error.what());
    }
}

boost::asio::ip::tcp::endpoint parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(text.substr(0, colon), error);
    char *end = nullptr;
    const unsigned long port = colon == std::string::npos ? 0 : std::strtoul(text.c_str() + colon + 1, &end, 10);
    if (error || colon == std::string::npos || *end != '\0' || port > 65535) {
        throw std::runtime_error("'" + text + "' is no address; write IP:PORT, such as 127.0.0.1:8080");
    }
    return {ip, static_cast<unsigned short>(port)};
}

std::string addressText(const boost::asio::ip::tcp::endpoint &address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

boost::asio::ip::tcp::endpoint listenAddress(const cxxopts::ParseResult &parsed)
{
    try {
        return parseAddress(parsed["listen"].as<std::string>());
    } catch (const std::runtime_error &error) {
        failUsage(error.what());
    }
}

int serve(boost::asio::io_context &context, const HttpServer &server)
{
    std::cout << "listening " << addressText(server.address()) << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) {
        context.stop();
    });
    context.run();
    return 0;
}

TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace Godwit::Standins
