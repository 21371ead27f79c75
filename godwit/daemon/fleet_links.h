#pragma once

// What the routers tell each other over their links: that they live, which document they have, what they hold of
// each budget, and tokens that move from one to another.
//
// A message may be lost with its link; nothing here depends on one. Not thread-safe.

#include "godwit/base/time.h"
#include "godwit/relay/relay.h"
#include "godwit/router/router_mesh.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Godwit
{

struct FleetLinksOptions
{
    Hello own;
    std::string listenAddress;
    // With more peers than this, beats come less often.
    Duration beatInterval = std::chrono::milliseconds(400);
    int peersAtFullRate = 24;
    // Callers are sent to a router that was heard within so many beats.
    int freshBeats = 4;
    // A request for tokens asks for what it lacks, or for this much of the customer's recent demand here: the next
    // requests should not have to ask.
    Duration askFor = std::chrono::seconds(3);
    // How many routers are asked at once.
    int askAtMost = 3;
    // No second question about the same customer within this time.
    Duration askInterval = std::chrono::milliseconds(30);
    // A ledger up to this size is told to all others once it is written; a longer one costs more than the refused
    // writes that it saves.
    std::size_t maxSharedLedgerBytes = 12UL * 1024;
    // In a larger fleet only so many routers hold tokens ahead of their requests. Each part of a budget then still fits
    // a large request, and few write the ledger: with all 66 routers of a fleet doing so a third of the requests was
    // refused while their budgets were hardly used.
    std::size_t maxHolders = 12;
    // A router that is ready and knows no other one waits this long before it holds tokens ahead, and looks this often:
    // where the whole fleet starts at once it would be one of many that do, and their writes refuse each other's. The
    // others' entries take some 150 ms to arrive.
    Duration aloneFor = std::chrono::milliseconds(350);
    Duration aloneInterval = std::chrono::milliseconds(100);
    // A router whose beat names an older document than this one's gets it, once this one has had it for so long: most
    // find it by themselves within a few tens of milliseconds.
    Duration offerDocumentAfter = std::chrono::milliseconds(500);
    // Of the routers that have the newest document about so many offer it to each that lacks it. With 90 routers and
    // links of 10 Mbit/s a copy from each kept a host's link busy for seconds, and its requests failed.
    double documentOffers = 3;
    // Prompts that take an engine less time than this are not told to the other routers: a request behind one of them
    // is hardly later.
    Duration toldPromptFrom = std::chrono::milliseconds(12);
    // All routers together tell each other of this many prompts a second, counted at each that hears: each costs some
    // 40 us at both ends. In a large fleet only the longest are told.
    double promptsHeardPerSecond = 2500;
    // Customers in one beat at most.
    std::size_t maxCustomersInBeat = 64;
};

// A router as the platform lists it, or as its hello said.
struct FleetMember
{
    HostId host;
    Incarnation incarnation;
    DataCentreId dataCentre;
    std::string callerAddress;
    std::string peerAddress;
};

std::string encodeMember(const FleetMember &member);
std::optional<FleetMember> decodeMember(std::string_view text);

struct CallerAddress
{
    std::string address;
    DataCentreId dataCentre;
};

class FleetLinks
{
public:
    FleetLinks(boost::asio::io_context &io, Relay &relay, FleetLinksOptions options);
    ~FleetLinks();

    bool start(LastReason &reason);
    void stop();

    // The live routers as the platform lists them. Those that it no longer lists stay known while they are heard.
    void setListed(const std::vector<FleetMember> &members);

    // Asks routers that hold some of the customer's budget for what a request lacks. `again`: for a request that has
    // asked before.
    void askForTokens(const CustomerId &customer, Tokens lacking, bool again);

    // Tells all others the document in force.
    void shareDocument(std::uint64_t version, const std::string &text);

    // Says now what the next beat would say, such as that this router is leaving.
    void beat();

    // Where callers may connect, this router left out.
    std::vector<CallerAddress> callerAddresses() const;

    // Routers that take requests, this one included.
    int liveCount() const;

    // Tells all others that this router has read everything under `prefix`, and what it found.
    void tellReading(const std::string &prefix, std::uint64_t digest);

    // Tells all others how the ledger of prepaid totals stands since this router's write.
    void tellLedger(std::uint64_t revision, const std::string &ledger);

    // Tells all others that this router has sent a long prompt to an engine.
    void tellPrompt(const PromptSent &prompt, Duration reading);

    // Tells all others that the platform's store answers again.
    void tellStoreFound();

    // Another router has reached the platform's store.
    std::function<void()> onStoreFound;

    // Another router has read everything under the prefix.
    std::function<void(const std::string &prefix, std::uint64_t digest)> onReading;

    // Another router has a newer document than this one.
    std::function<void(const std::string &text)> onDocument;

private:
    struct Peer
    {
        FleetMember member;
        bool linked = false;
        bool listed = false;
        bool ready = false;
        bool holdsAhead = true;
        TimePoint heardAt;
        TimePoint linkedAt;
        std::uint64_t documentVersion = 0;
    };

    void armBeat();
    void chooseHolders();
    Peer *holderFor(const CustomerId &customer, Tokens lacking, TimePoint now);
    void ask(const Peer &peer, const CustomerId &customer, const TokenWish &wish);
    std::string beatBody() const;
    void onLinkUp(const Hello &hello);
    void onLinkDown(const Incarnation &incarnation);
    void onMessage(const Incarnation &from, const Envelope &envelope);
    void onBeat(Peer &peer, const std::string &body);
    void readHeld(const nlohmann::json &beat, const HolderId &holder);
    void onAsk(const Incarnation &from, const std::string &body);
    void onLedger(const std::string &body);
    void onReadingTold(const std::string &body);
    void onPromptTold(const std::string &body);
    void onGive(const Incarnation &from, const std::string &body);
    bool mayOfferDocument(const Peer &peer);
    void offerDocument(const Peer &peer);
    Duration beatInterval() const;
    bool isFresh(const Peer &peer, TimePoint now) const;
    void forgetSilent(TimePoint now);

    Relay &m_relay;
    FleetLinksOptions m_options;
    std::unique_ptr<RouterMesh> m_mesh;
    boost::asio::steady_timer m_timer;
    std::map<Incarnation, Peer> m_peers;
    std::map<CustomerId, TimePoint> m_askedAt;
    std::optional<TimePoint> m_readyAt;
    std::uint64_t m_documentVersion = 0;
    TimePoint m_documentAt; // Since when this router has it.
    std::string m_document;
    // The shortest prompt that is told now, as reading time in seconds; follows the bound on what is told.
    double m_toldFrom = 0;
    TimePoint m_promptToldAt;
};

} // namespace Godwit
