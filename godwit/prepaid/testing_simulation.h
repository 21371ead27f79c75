#pragma once

// Simulation of several routers and the store for tests of PrepaidShare: routers crash, pause and restart, the store
// loses responses and applies writes late, and an oracle counts what was really spent.
//
// Example:
//   PrepaidSimulation sim(4, {{customer, 100'000}});
//   sim.request(0, customer, 900);
//   sim.kill(0);
//   REQUIRE(sim.spent(customer) <= 100'000);

#include "godwit/prepaid/prepaid_share.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Godwit::Testing
{

// Outcome of one write.
enum class WriteOutcome {
    Done,
    Refused, // Not applied, and the router gets the refusal.
    AnswerLost, // Applied, but the router gets no response.
    Late, // The router gets no response; applied later if its conditions still hold.
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
    std::optional<PrepaidShare> share; // Unset while the router is dead.
    std::vector<Reservation> open;
    int starts = 0;
    std::chrono::milliseconds uptimeOffset{}; // Changes with each reboot of its host.
};

class PrepaidSimulation
{
public:
    PrepaidSimulation(std::size_t routers, std::map<CustomerId, Tokens> totals);

    void advance(Duration time);
    // Steps the time of day of all hosts; the uptime is not affected.
    void stepClock(std::chrono::milliseconds by);

    void start(std::size_t router);
    // Open reservations count as spent: the endpoint may have completed the request.
    void kill(std::size_t router);
    // Like kill(), and the host's uptime restarts.
    void losePower(std::size_t router);

    // Reads the records if needed, plans a write and performs it if one is due.
    void sync(std::size_t router, WriteOutcome outcome);
    void applyLateWrites();
    // Ends the open requests and returns all grants, as in a planned stop. Returns whether the router knows that the
    // return took effect.
    bool returnGrants(std::size_t router, WriteOutcome outcome = WriteOutcome::Done);

    bool request(std::size_t router, const CustomerId &customer, Tokens tokens);
    // Ends the oldest open request; `used` is capped at the reserved amount.
    void finish(std::size_t router, Tokens used);
    // Transfers tokens as one router's answer to another. `lost`: the message never arrives. `shortfall`: the part of
    // `wanted` that waiting requests need.
    void moveTokens(
        std::size_t from, std::size_t to, const CustomerId &customer, Tokens wanted, bool lost, Tokens shortfall = 0);
    // Router `to` requests from `from` the tokens that a call needs; the request is queued there if they are not
    // available. `lost`: the transfer never arrives.
    void requestTokens(std::size_t from, std::size_t to, const CustomerId &customer, Tokens needed, bool lost);
    void serveTransferRequests(std::size_t from, bool lost);
    // Whether routers send each other the ledger after a write; off by default.
    void setLedgerBroadcast(bool enabled)
    {
        m_ledgerBroadcast = enabled;
    }

    void setTotal(const CustomerId &customer, Tokens total);

    // Tokens that were or may have been used by requests that have ended or whose router has died.
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
