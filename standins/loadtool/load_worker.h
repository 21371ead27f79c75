#pragma once

// One thread of callers: makes calls as the spec says and keeps the tally of what they saw.
//
// Example:
//   LoadWorker worker(spec, 0);
//   worker.run();   // Returns once the last call has ended.
//   merge(total, worker.takeTally());

#include "standins/loadtool/answer_check.h"
#include "standins/loadtool/http_client.h"
#include "standins/loadtool/load_spec.h"
#include "standins/loadtool/tally.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace Godwit::Standins
{

class LoadWorker
{
public:
    // `spec` outlives the worker. `index` is the worker's place among spec.threads.
    LoadWorker(const LoadSpec &spec, std::size_t index);

    void run();
    Tally takeTally();

private:
    struct Addresses
    {
        std::vector<std::string> list;
        TimePoint refreshAt;
    };

    // One call with what all its attempts share.
    struct Call
    {
        CallRecord record;
        ClientRequest request;
        TimePoint planned;
        Duration latency{};
    };

    // How one attempt ended and whether another may follow.
    struct AttemptEnd
    {
        CallOutcome outcome = CallOutcome::Unknown;
        std::string reason;
        std::string message;
        bool notRun = false;
        bool mayRepeat = false;
        Duration wait{};
    };

    void openLoop(const boost::asio::yield_context &yield);
    void closedLoop(const boost::asio::yield_context &yield);
    Call planCall(TimePoint planned);
    void makeCall(Call call, const boost::asio::yield_context &yield);
    AttemptEnd attempt(Call &call, const std::string &address, const boost::asio::yield_context &yield);
    AttemptEnd judge(Call &call, const Exchange &exchange, const ChatAnswer &answer) const;
    std::string chooseAddress(const Call &call, const boost::asio::yield_context &yield);
    void refreshAddresses(Addresses &addresses, const LoadCustomer &customer, const boost::asio::yield_context &yield);
    static bool readAddresses(const std::string &text, Addresses &addresses);
    void wait(TimePoint until, const boost::asio::yield_context &yield);
    std::string newId();
    std::string bodyOf(const Call &call);
    std::size_t draw(const std::vector<double> &weights);

    const LoadSpec &m_spec;
    std::size_t m_index;
    boost::asio::io_context m_context{1};
    HttpClient m_client;
    std::mt19937_64 m_random;
    Tally m_tally;
    std::map<std::size_t, Addresses> m_addresses; // By customer.
    std::vector<double> m_customerWeights;
    std::vector<double> m_kindWeights;
    std::size_t m_inFlight = 0;
    TimePoint m_end;
};

} // namespace Godwit::Standins
