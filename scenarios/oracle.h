#pragma once

// What the promises say of a run, and nothing else: no decision's code is used here.
//
// The world tells it what really happened (tries, executions, answers, refusals, revisions); it answers with what
// was broken. Budgets' records are read as plain CBOR, so that a fault in the product's codec can't hide itself.

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Godwit::Scenarios
{

// One request of a caller, however often it is sent.
struct RequestFacts
{
    std::string customer;
    bool repeatable = true;
    Tokens cost = 0;
    std::map<int, TimePoint> tries;
    std::vector<int> runs; // The try of each execution.
    int answers = 0;
    // The last moment at which the caller was told that it had not run, if ever.
    std::optional<TimePoint> toldNotRunAt;
};

struct BudgetFigures
{
    Tokens prepaid = 0;
    Tokens billed = 0;
    Tokens reduction = 0;
    Tokens held = 0;
};

// Reads the budgets of a stored shard; nothing when the bytes are no shard.
std::map<std::string, BudgetFigures> readBudgetFigures(const std::string &bytes);

class Oracle
{
public:
    void declareBudget(const std::string &customer, Tokens prepaid);
    // An operator changed what may be spent; a reduction counts once the record shows it.
    void changePrepaid(const std::string &customer, Tokens amount);

    void request(const std::string &id, const std::string &customer, bool repeatable, Tokens cost);
    void tryStarts(const std::string &id, int tryNumber, TimePoint now);
    void runs(const std::string &id, int tryNumber, TimePoint now);
    // `text` is what the caller got; `whole` whether its end came.
    void answers(const std::string &id, const std::string &text, bool whole);
    void refuses(const std::string &id, int tryNumber, Execution execution, TimePoint now);
    void adopts(const std::string &host, std::uint64_t revision);

    // What the one true answer to a request is.
    static std::string answerOf(const std::string &id, Tokens cost);

    // Each checks one promise now and adds to violations().
    void checkOverspend(const std::string &customer, const std::optional<BudgetFigures> &record);
    void checkOneBill(const std::string &customer, const BudgetFigures &record);

    const std::map<std::string, RequestFacts> &requests() const
    {
        return m_requests;
    }
    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }

private:
    std::map<std::string, RequestFacts> m_requests;
    std::map<std::string, Tokens> m_prepaid;
    std::map<std::string, Tokens> m_answered; // The cost of the answered requests of each customer.
    std::map<std::string, std::uint64_t> m_revisions;
    std::vector<std::string> m_violations;

    void broken(const std::string &what);
};

} // namespace Godwit::Scenarios
