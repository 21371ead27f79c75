#include "standins/loadtool/ground_truth.h"

#include "standins/common/program.h"
#include "standins/loadtool/http_client.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <stdexcept>

namespace Godwit::Standins
{

namespace
{

constexpr Duration FetchTimeout = std::chrono::seconds(20);
constexpr Duration PollPeriod = std::chrono::milliseconds(200);
constexpr Duration LateBillPause = std::chrono::seconds(2);

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

// Waits for `pause`; false once `deadline` is over.
bool pauseUntil(Duration pause, TimePoint deadline)
{
    boost::asio::io_context context(1);
    boost::asio::steady_timer(context, pause).wait();
    return monotonicNow() < deadline;
}

// The budgets as they stand, with what they were billed before the run.
std::vector<BudgetFigures> readBudgets(const TruthSources &sources, const std::vector<BudgetFigures> &before)
{
    auto budgets = fetchBudgets(sources);
    for (std::size_t i = 0; i < before.size(); ++i) {
        budgets.at(i).billedBefore = before[i].billed;
    }
    return budgets;
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

GroundTruth fetchTruth(const TruthSources &sources, const std::vector<BudgetFigures> &before, std::int64_t spent)
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
        const TimePoint start = monotonicNow();
        const TimePoint deadline = start + sources.settleTime;
        do {
            truth.budgets = readBudgets(sources, before);
            truth.settledAfter = monotonicNow() - start;
        } while (billedInRun(*truth.budgets) < spent && pauseUntil(PollPeriod, deadline));
        // A second bill for an answer would come after the first: look again once that had time to come.
        pauseUntil(LateBillPause, deadline);
        truth.budgets = readBudgets(sources, before);
    }
    return truth;
}

} // namespace Godwit::Standins
