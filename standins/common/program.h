#pragma once

// What every stand-in program does alike: the common options, the first line of output and a clean exit.
//
// Example:
//   int main(int argc, char **argv)
//   {
//       cxxopts::Options options("standin_service", "A booking service.");
//       addCommonOptions(options);
//       const auto parsed = parseOptions(options, argc, argv);
//       boost::asio::io_context context;
//       HttpServer server(context, listenAddress(parsed), {}, handler);
//       return serve(context, server);
//   }

#include "standins/common/http_server.h"

#include "godwit/base/time.h"

#include <cxxopts.hpp>

#include <cstdint>

namespace Godwit::Standins
{

// Adds --listen, --seed and --help.
void addCommonOptions(cxxopts::Options &options);

// Exits with 0 after --help, with 2 and the reason on stderr after a bad option.
cxxopts::ParseResult parseOptions(cxxopts::Options &options, int argc, char **argv);

// The address given by --listen. Exits with 2 when it is not IP:PORT.
boost::asio::ip::tcp::endpoint listenAddress(const cxxopts::ParseResult &parsed);

// Parses "IP:PORT". Throws std::runtime_error with the remedy.
boost::asio::ip::tcp::endpoint parseAddress(const std::string &text);

std::string addressText(const boost::asio::ip::tcp::endpoint &address);

// Prints the address and runs until SIGTERM or SIGINT; returns the exit code.
int serve(boost::asio::io_context &context, const HttpServer &server);

// The monotonic clock, for the programs that pass time to their models.
TimePoint monotonicNow();

} // namespace Godwit::Standins
