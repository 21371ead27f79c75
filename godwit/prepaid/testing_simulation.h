#pragma once

// A small world for tests of PrepaidShare: routers that die, freeze and come back, a store that loses answers and does
// writes late, and an oracle that counts what was really spent.
//
// Example:
//   World world(4, {{customer, 100'000}});
//   world.request(0, customer, 900);
//   world.kill(0);
//   REQUIRE(world.spent(customer) <= 100'000);

#include "godwit/prepaid/prepaid_share.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Godwit::Testing
{

// What becomes of one write.
enum class WriteOutcome {
    Done,
    Refused, // The store did nothing and said so.
    AnswerLost, // Done, and the router hears nothing.
    Late, // The router hears nothing; done some time later if its conditions still hold.
};

struct StoredValue
{
    std::string bytes;
    std::uint64_t revision = 0;
};

struct LateWrite
{
    std::size_t router = 0;
    ShareWrite write;
};

struct Reservation
{
    CustomerId customer;
    Tokens reserved = 0;
};

struct Router
{
    std::optional<PrepaidShare> share; // Absent while it is dead.
    std::vector<Reservation> open;
    int starts = 0;
    std::chrono::milliseconds uptimeOffset{}; // Changes with each restart of its host.
};

class PrepaidSimulation
{
public:
    PrepaidSimulation(std::size_t routers, std::map<CustomerId, Tokens> totals);

    void advance(Duration time);
    // The time of day of all hosts jumps; the uptime goes on.
    void stepClock(std::chrono::milliseconds by);

    void start(std::size_t router);
    // What was reserved counts as spent: the endpoint may have run it to the end.
    void kill(std::size_t router);
    // The same, and the uptime of its host starts anew.
    void losePower(std::size_t router);

    // Reads, plans and writes once, if the router has something to write.
    void sync(std::size_t router, WriteOutcome outcome);
    void applyLateWrites();
    // Gives all back, as at a planned stop. Open requests end first. Returns whether the router knows that it has.
    bool returnGrants(std::size_t router, WriteOutcome outcome = WriteOutcome::Done);

    bool request(std::size_t router, const CustomerId &customer, Tokens tokens);
    // Ends the oldest open request; `used` is cut to what was reserved.
    void finish(std::size_t router, Tokens used);
    // `lost`: the message never arrives. `lacking`: of the wanted ones, what a waiting request needs.
    void moveTokens(
        std::size_t from, std::size_t to, const CustomerId &customer, Tokens wanted, bool lost, Tokens shortfall = 0);
    // Router `to` asks `from` for what a request needs; the wish waits there if it must. `lost`: the gift never
    // arrives.
    void requestTokens(std::size_t from, std::size_t to, const CustomerId &customer, Tokens needed, bool lost);
    void serveTransferRequests(std::size_t from, bool lost);
    // Whether routers tell each other the ledger that they have written; at first they don't.
    void setLedgerBroadcast(bool enabled)
    {
        m_ledgerBroadcast = enabled;
    }

    void setTotal(const CustomerId &customer, Tokens total);

    // All that was really used or may have been, by requests that have ended or whose router has died.
    Tokens spent(const CustomerId &customer) const;
    PrepaidShare &share(std::size_t router);
    bool isAlive(std::size_t router) const;
    TimePoint now() const
    {
        return m_now;
    }
    HostTime hostTime(std::size_t router) const;

private:
    std::map<CustomerId, std::optional<Tokens>> documentTotals() const;
    void readRecords(std::size_t router);
    void deliver(const TokenTransfer &transfer);
    void broadcastLedger(std::size_t writer, const ShareWrite &write, std::uint64_t revision);
    void performWrite(std::size_t index, const ShareWrite &write, WriteOutcome outcome);
    std::optional<std::uint64_t> apply(std::size_t router, const ShareWrite &write);

    std::map<CustomerId, Tokens> m_totals;
    std::uint64_t m_documentVersion = 1;
    std::vector<Router> m_routers;
    StoredValue m_ledger;
    std::vector<StoredValue> m_marks;
    std::uint64_t m_revision = 0;
    bool m_ledgerBroadcast = false;
    std::deque<LateWrite> m_late;
    std::map<CustomerId, Tokens> m_spent;
    TimePoint m_now{std::chrono::seconds(100)};
    std::chrono::milliseconds m_wallOffset{1'700'000'000'000};
};

} // namespace Godwit::Testing
