// standin_engine: a model engine with a continuous batch, for tests and demos. It computes nothing.

#include "standins/common/program.h"
#include "standins/engine/engine_service.h"

#include <iostream>

using namespace Godwit;
using namespace Godwit::Standins;

namespace
{

void addOptions(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("slots", "Sequences in the batch.", cxxopts::value<std::size_t>()->default_value("16"));
    add("max-waiting",
        "Requests beyond the batch that wait; more are refused.",
        cxxopts::value<std::size_t>()->default_value("1000"));
    add("step-us", "A step's base time, in microseconds.", cxxopts::value<std::int64_t>()->default_value("2000"));
    add("step-per-sequence-us",
        "Added to a step for each sequence.",
        cxxopts::value<std::int64_t>()->default_value("100"));
    add("prefill-us",
        "Prefill of one prompt token that is not cached.",
        cxxopts::value<std::int64_t>()->default_value("20"));
    add("longest-answer",
        "Tokens of the longest answer that no limit cuts.",
        cxxopts::value<std::int64_t>()->default_value("64"));
    add("cache-blocks",
        "Blocks of 16 tokens in the prefix cache.",
        cxxopts::value<std::size_t>()->default_value("4096"));
    add("report-lag-ms", "How late /load is.", cxxopts::value<std::int64_t>()->default_value("200"));
    add("event-lag-ms", "How late a cache event is.", cxxopts::value<std::int64_t>()->default_value("500"));
    add("event-gap", "Probability that a cache event is lost.", cxxopts::value<double>()->default_value("0.01"));
    add("resume-ms",
        "How long an ended stream can be resumed.",
        cxxopts::value<std::int64_t>()->default_value("30000"));
    add("check-fencing",
        "Refuse orders with an old fencing number: on or off.",
        cxxopts::value<std::string>()->default_value("on"));
    add("order-ms", "How long an order takes.", cxxopts::value<std::int64_t>()->default_value("500"));
    add("models",
        "Models that are loaded from the start.",
        cxxopts::value<std::vector<std::string>>()->default_value(""));
    add("crash-word", "A prompt with this word ends the process.", cxxopts::value<std::string>()->default_value(""));
}

BatchModel batchOf(const cxxopts::ParseResult &parsed)
{
    BatchModel batch;
    batch.options.slots = parsed["slots"].as<std::size_t>();
    batch.options.stepBase = std::chrono::microseconds(parsed["step-us"].as<std::int64_t>());
    batch.options.stepPerSequence = std::chrono::microseconds(parsed["step-per-sequence-us"].as<std::int64_t>());
    batch.options.prefillPerToken = std::chrono::microseconds(parsed["prefill-us"].as<std::int64_t>());
    batch.options.longestAnswer = std::max<std::int64_t>(1, parsed["longest-answer"].as<std::int64_t>());
    batch.options.resumeKept = std::chrono::milliseconds(parsed["resume-ms"].as<std::int64_t>());
    batch.options.reportLag = std::chrono::milliseconds(parsed["report-lag-ms"].as<std::int64_t>());
    batch.options.crashWord = parsed["crash-word"].as<std::string>();
    batch.cache.capacity = parsed["cache-blocks"].as<std::size_t>();
    batch.cache.eventLag = std::chrono::milliseconds(parsed["event-lag-ms"].as<std::int64_t>());
    batch.cache.eventGap = parsed["event-gap"].as<double>();
    return batch;
}

OrderModel ordersOf(const cxxopts::ParseResult &parsed)
{
    OrderModel orders;
    orders.checkFencing = parsed["check-fencing"].as<std::string>() != "off";
    orders.takes = std::chrono::milliseconds(parsed["order-ms"].as<std::int64_t>());
    for (const auto &model : parsed["models"].as<std::vector<std::string>>()) {
        if (!model.empty()) {
            orders.models.insert(model);
        }
    }
    return orders;
}

int run(const cxxopts::ParseResult &parsed)
{
    boost::asio::io_context context(1);
    EngineService service(context,
                          batchOf(parsed),
                          ordersOf(parsed),
                          parsed["max-waiting"].as<std::size_t>(),
                          parsed["seed"].as<std::uint64_t>());
    HttpServer server(
        context, listenAddress(parsed), {}, [&service](const HttpRequest &request, const ResponderPtr &responder) {
            service.handle(request, responder);
        });
    return serve(context, server);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin_engine", "A model engine with a continuous batch that computes nothing.");
    addCommonOptions(options);
    addOptions(options);
    const auto parsed = parseOptions(options, argc, argv);
    try {
        return run(parsed);
    } catch (const std::exception &error) {
        std::cerr << "standin_engine: " << error.what() << '\n';
        return 1;
    }
}
