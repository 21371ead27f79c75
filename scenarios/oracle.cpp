#include "scenarios/oracle.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Godwit::Scenarios
{

std::map<std::string, BudgetFigures> readBudgetFigures(const std::string &bytes)
{
    std::map<std::string, BudgetFigures> all;
    const auto record = nlohmann::json::from_cbor(bytes, true, false);
    if (!record.is_object() || !record.contains("b") || !record["b"].is_object()) {
        return all;
    }
    for (const auto &[name, fields] : record["b"].items()) {
        BudgetFigures figures;
        figures.prepaid = fields.at(1).get<Tokens>();
        figures.billed = fields.at(2).get<Tokens>();
        figures.reduction = fields.at(3).get<Tokens>();
        const auto &held = fields.at(5);
        // Each holder has its number, its amount and its demand.
        constexpr std::size_t heldFields = 3;
        for (std::size_t i = 0; i < held.size(); i += heldFields) {
            figures.held += held.at(i + 1).get<Tokens>();
        }
        all[name] = figures;
    }
    return all;
}

void Oracle::broken(const std::string &what)
{
    if (std::find(m_violations.begin(), m_violations.end(), what) == m_violations.end()) {
        m_violations.push_back(what);
    }
}

void Oracle::declareBudget(const std::string &customer, Tokens prepaid)
{
    m_prepaid[customer] = prepaid;
}

void Oracle::changePrepaid(const std::string &customer, Tokens amount)
{
    m_prepaid[customer] += amount;
}

void Oracle::request(const std::string &id, const std::string &customer, bool repeatable, Tokens cost)
{
    RequestFacts &facts = m_requests[id];
    facts.customer = customer;
    facts.repeatable = repeatable;
    facts.cost = cost;
}

void Oracle::tryStarts(const std::string &id, int tryNumber, TimePoint now)
{
    m_requests.at(id).tries[tryNumber] = now;
}

void Oracle::runs(const std::string &id, int tryNumber, TimePoint now)
{
    RequestFacts &facts = m_requests.at(id);
    facts.runs.push_back(tryNumber);
    if (facts.repeatable) {
        return;
    }
    if (facts.runs.size() > 1) {
        broken(id + " may not be repeated and ran " + std::to_string(facts.runs.size()) + " times");
    }
    // Only a try that the caller made after it was told "not run" may still run.
    if (facts.toldNotRunAt && facts.tries.at(tryNumber) <= *facts.toldNotRunAt && now >= *facts.toldNotRunAt) {
        broken(id + ": its caller was told \"not run\", and it ran afterwards by an earlier try");
    }
}

std::string Oracle::answerOf(const std::string &id, Tokens cost)
{
    return "answer to " + id + ", " + std::to_string(cost) + " tokens.";
}

void Oracle::answers(const std::string &id, const std::string &text, bool whole)
{
    RequestFacts &facts = m_requests.at(id);
    if (!whole || text != answerOf(id, facts.cost)) {
        broken(id + ": its caller got \"" + text + "\"" + (whole ? "" : ", not whole"));
    }
    if (facts.runs.empty()) {
        broken(id + ": answered and never run");
    }
    if (facts.answers++ == 0) {
        m_answered[facts.customer] += facts.cost;
    }
    checkOverspend(facts.customer, std::nullopt);
}

void Oracle::refuses(const std::string &id, int tryNumber, Execution execution, TimePoint now)
{
    RequestFacts &facts = m_requests.at(id);
    if (execution == Execution::Run && facts.runs.empty()) {
        broken(id + ": refused as run, and it never ran");
    }
    if (execution != Execution::NotRun) {
        return;
    }
    // A repeatable request's refusal speaks of this try alone: an earlier one may have run, and did no harm.
    const bool thisTryRan = std::find(facts.runs.begin(), facts.runs.end(), tryNumber) != facts.runs.end();
    if (facts.repeatable ? thisTryRan : !facts.runs.empty()) {
        broken(id + ": its caller was told \"not run\", and it had run");
    }
    facts.toldNotRunAt = now;
}

void Oracle::adopts(const std::string &host, std::uint64_t revision)
{
    std::uint64_t &highest = m_revisions[host];
    if (revision < highest) {
        broken(host + " went back from revision " + std::to_string(highest) + " to " + std::to_string(revision));
    }
    highest = std::max(highest, revision);
}

void Oracle::checkOverspend(const std::string &customer, const std::optional<BudgetFigures> &record)
{
    const Tokens prepaid = m_prepaid.at(customer);
    if (m_answered[customer] > prepaid) {
        broken(customer + " prepaid " + std::to_string(prepaid) + " and got answers worth "
               + std::to_string(m_answered[customer]));
    }
    if (record && record->billed + record->held > record->prepaid) {
        broken(customer + ": the record has more billed and held than prepaid");
    }
    if (record && record->prepaid > prepaid) {
        broken(customer + ": the record shows " + std::to_string(record->prepaid) + " prepaid instead of "
               + std::to_string(prepaid));
    }
}

void Oracle::checkOneBill(const std::string &customer, const BudgetFigures &record)
{
    // An answered request is billed once. One that ran and whose caller got no answer may or may not be.
    Tokens doubtful = 0;
    for (const auto &[id, facts] : m_requests) {
        if (facts.customer == customer && facts.answers == 0 && !facts.runs.empty()) {
            doubtful += facts.cost;
        }
    }
    const Tokens answered = m_answered[customer];
    if (record.billed < answered || record.billed > answered + doubtful) {
        broken(customer + ": billed " + std::to_string(record.billed) + " for answers worth " + std::to_string(answered)
               + ", with " + std::to_string(doubtful) + " in doubt");
    }
}

} // namespace Godwit::Scenarios
