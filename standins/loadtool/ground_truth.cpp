#include "standins/loadtool/ground_truth.h"

#include "standins/loadtool/http_client.h"

#include <boost/asio/detached.hpp>

#include <stdexcept>

namespace Godwit::Standins
{

namespace
{

constexpr Duration FetchTimeout = std::chrono::seconds(20);

nlohmann::json fetch(const std::string &address, const std::string &target, const std::string &token)
{
    namespace http = boost::beast::http;
    boost::asio::io_context context(1);
    HttpClient client(context);
    Exchange exchange;
    ClientRequest request(http::verb::get, target, 11);
    request.set(http::field::host, address);
    if (!token.empty()) {
        request.set(http::field::authorization, "Bearer " + token);
    }
    boost::asio::spawn(
        context,
        [&](const boost::asio::yield_context &yield) {
            exchange = client.send(address, request, FetchTimeout, nullptr, yield);
        },
        boost::asio::detached);
    context.run();
    auto body = nlohmann::json::parse(exchange.body, nullptr, false);
    if (!exchange.complete || exchange.status != 200 || body.is_discarded()) {
        throw std::runtime_error("GET " + target + " at " + address + " failed with status "
                                 + std::to_string(exchange.status) + ": " + exchange.body);
    }
    return body;
}

} // namespace

std::vector<BudgetFigures> fetchBudgets(const TruthSources &sources)
{
    std::vector<BudgetFigures> budgets;
    if (sources.operators.empty()) {
        return budgets;
    }
    for (const auto &id : sources.budgets) {
        const auto body = fetch(sources.operators, "/admin/v1/budgets/" + id, sources.token);
        const auto billed = body.at("billed").get<std::int64_t>();
        budgets.push_back({id, body.at("prepaid").get<std::int64_t>(), billed, billed});
    }
    return budgets;
}

GroundTruth fetchTruth(const TruthSources &sources, const std::vector<BudgetFigures> &before)
{
    GroundTruth truth;
    truth.bookingCost = sources.bookingCost;
    for (const auto &engine : sources.engines) {
        addEngineExecutions(truth, fetch(engine, "/control/executions", {}));
    }
    for (const auto &service : sources.services) {
        addServiceExecutions(truth, fetch(service, "/control/executions", {}));
    }
    if (!sources.operators.empty()) {
        truth.budgets = fetchBudgets(sources);
        for (std::size_t i = 0; i < before.size(); ++i) {
            truth.budgets->at(i).billedBefore = before[i].billed;
        }
    }
    return truth;
}

} // namespace Godwit::Standins
