// godwitctl: the operators' tool.

#include "godwit/ctl/commands.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace
{

using namespace Godwit;

constexpr const char *TokenVariable = "GODWIT_TOKEN";
constexpr const char *OperatorVariable = "GODWIT_OPERATOR";
constexpr const char *DefaultOperator = "127.0.0.1:8082";

std::string environmentOr(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("godwitctl", "Operates a fleet of godwitd routers.\n");
    options.positional_help("COMMAND...");
    options.add_options()(
        "o,operator",
        "A router's operators' listener, ip:port.",
        cxxopts::value<std::string>()->default_value(environmentOr(OperatorVariable, DefaultOperator)));
    options.add_options()("token-file", "File with the operator's token.", cxxopts::value<std::string>());
    options.add_options()(
        "ca", "Speak TLS and trust this authority (PEM).", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("site",
                          "The overlay of this data centre instead of the base.",
                          cxxopts::value<std::string>()->default_value(""));
    options.add_options()("operation",
                          "The id of a write; repeating a write with its id counts once.",
                          cxxopts::value<std::string>()->default_value(""));
    options.add_options()("expected-revision",
                          "The revision that the change was made from.",
                          cxxopts::value<std::string>()->default_value(""));
    options.add_options()("key", "A customer's API key.", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("json", "Print answers as JSON.");
    options.add_options()("h,help", "Print this and end.");
    options.add_options()("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

void printHelp(const cxxopts::Options &options)
{
    std::cout
        << options.help() << "\nCommands:\n"
        << commandHelp() << "\nThe token comes from --token-file or " << TokenVariable << "; " << OperatorVariable
        << " replaces --operator."
        << "\nExit codes: 0 done, 1 refused by the router, 2 wrong usage, 3 no router answered, 4 'config diff' found "
           "a difference."
        << "\nExample:\n  godwitctl --operator 127.0.0.1:8082 budgets top-up desk-main 500000 --operation order-18\n";
}

} // namespace

int main(int argc, char **argv)
{
    auto options = makeOptions();
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            printHelp(options);
            return ExitOk;
        }
        if (arguments.count("words") == 0) {
            std::cerr << "godwitctl: name a command; --help lists them\n";
            return ExitUsage;
        }
        AdminClient client;
        client.address = arguments["operator"].as<std::string>();
        client.caFile = arguments["ca"].as<std::string>();
        client.token = environmentOr(TokenVariable, "");
        if (arguments.count("token-file") != 0) {
            std::ifstream in(arguments["token-file"].as<std::string>());
            if (!std::getline(in, client.token)) {
                std::cerr << "godwitctl: can't read a token from --token-file\n";
                return ExitUsage;
            }
        }
        CommandOptions command;
        command.json = arguments.count("json") != 0;
        command.site = arguments["site"].as<std::string>();
        command.operation = arguments["operation"].as<std::string>();
        command.expectedRevision = arguments["expected-revision"].as<std::string>();
        command.key = arguments["key"].as<std::string>();
        return runCommand(client, arguments["words"].as<std::vector<std::string>>(), command, std::cout, std::cerr);
    } catch (const std::exception &error) {
        std::cerr << "godwitctl: " << error.what() << "; --help tells more\n";
        return ExitUsage;
    }
}
