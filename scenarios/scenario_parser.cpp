#include "scenarios/scenario_language.h"

#include "godwit/base/enum_names.h"
#include "scenarios/scenario_words.h"

#include <algorithm>
#include <cstdlib>

namespace Godwit::Scenarios
{
namespace
{

constexpr EnumName<NodeFault> NodeFaultNames[] = {
    {NodeFault::Kill, "kill"},
    {NodeFault::Restart, "restart"},
    {NodeFault::Pause, "pause"},
    {NodeFault::Resume, "resume"},
    {NodeFault::Reject, "reject"},
    {NodeFault::Accept, "accept"},
    {NodeFault::Leave, "leave"},
};

// What went wrong at which word. Thrown and caught inside this file only.
struct Mistake
{
    std::size_t line = 0;
    std::string message;
};

// Walks over the words of one statement.
class Cursor
{
public:
    explicit Cursor(const WordLine &words)
        : m_words(words)
    {
    }

    bool done() const
    {
        return m_next == m_words.size();
    }

    [[noreturn]] void fail(const std::string &expected) const
    {
        const std::string where = done() ? "after '" + m_words.back().text + "'"
                                         : "word " + std::to_string(m_next + 1) + " '" + m_words[m_next].text + "'";
        throw Mistake{m_words.front().line, where + ": expected " + expected};
    }

    // Takes the next word if it is `text`.
    bool take(std::string_view text)
    {
        const bool found = !done() && m_words[m_next].kind == WordKind::Name && m_words[m_next].text == text;
        m_next += found ? 1 : 0;
        return found;
    }

    void need(std::string_view text)
    {
        if (!take(text)) {
            fail("'" + std::string(text) + "'");
        }
    }

    std::string name(const std::string &what)
    {
        return word(WordKind::Name, what).text;
    }

    std::string text(const std::string &what)
    {
        return word(WordKind::Text, what + " in quotes").text;
    }

    std::int64_t count()
    {
        const Word &number = word(WordKind::Number, "a number");
        return std::strtoll(number.text.c_str(), nullptr, 10);
    }

    double decimal()
    {
        return std::strtod(word(WordKind::Number, "a number").text.c_str(), nullptr);
    }

    double rate()
    {
        return std::strtod(word(WordKind::Rate, "a rate such as 20/s").text.c_str(), nullptr);
    }

    std::int64_t percent()
    {
        return std::strtoll(word(WordKind::Percent, "a part such as 10%").text.c_str(), nullptr, 10);
    }

    Duration span()
    {
        const std::string &text = word(WordKind::Span, "a time such as 5s, 200ms or 2m").text;
        char *unit = nullptr;
        const double amount = std::strtod(text.c_str(), &unit);
        const std::string_view suffix(unit);
        const double microseconds = suffix == "us" ? 1 : suffix == "ms" ? 1e3 : suffix == "s" ? 1e6 : 60e6;
        return Duration(static_cast<std::int64_t>(amount * microseconds));
    }

    void range(Tokens &low, Tokens &high)
    {
        if (!done() && m_words[m_next].kind == WordKind::Number) {
            low = high = count();
            return;
        }
        const std::string &text = word(WordKind::Range, "an amount such as 100 or 50..150").text;
        low = std::strtoll(text.c_str(), nullptr, 10);
        high = std::strtoll(text.c_str() + text.find("..") + 2, nullptr, 10);
        if (high < low) {
            --m_next;
            fail("the smaller amount first");
        }
    }

    // The kind of the word that comes next, if there is one.
    std::optional<WordKind> kind() const
    {
        return done() ? std::nullopt : std::optional(m_words[m_next].kind);
    }

    void back()
    {
        --m_next;
    }

private:
    const WordLine &m_words;
    std::size_t m_next = 0;

    const Word &word(WordKind kind, const std::string &what)
    {
        if (done() || m_words[m_next].kind != kind) {
            fail(what);
        }
        return m_words[m_next++];
    }
};

// Names that the setup has declared, so that a misspelt one is found at its line.
struct Names
{
    const Setup &setup;
    std::vector<std::string> ids;

    bool isHost(const std::string &name) const
    {
        return std::any_of(setup.hosts.begin(), setup.hosts.end(), [&](const auto &host) {
            return host.host == name;
        });
    }
    bool isDataCentre(const std::string &name) const
    {
        return std::any_of(setup.hosts.begin(), setup.hosts.end(), [&](const auto &host) {
            return host.dataCentre == name;
        });
    }
    bool isCustomer(const std::string &name) const
    {
        return std::any_of(setup.customers.begin(), setup.customers.end(), [&](const auto &customer) {
            return customer.name == name;
        });
    }
    bool isRoute(const std::string &name) const
    {
        return std::any_of(setup.routes.begin(), setup.routes.end(), [&](const auto &route) {
            return route.name == name;
        });
    }
    bool isEndpoint(const std::string &name) const
    {
        return std::any_of(setup.endpoints.begin(), setup.endpoints.end(), [&](const auto &endpoint) {
            return endpoint.name == name;
        });
    }
    bool isId(const std::string &name) const
    {
        return std::find(ids.begin(), ids.end(), name) != ids.end();
    }
};

template<typename Known>
std::string takeKnown(Cursor &cursor, const std::string &what, Known known)
{
    std::string name = cursor.name(what);
    if (!known(name)) {
        cursor.back();
        cursor.fail(what);
    }
    return name;
}

std::string takeHost(Cursor &cursor, const Names &names)
{
    return takeKnown(cursor, "a router of the fleet", [&](const auto &name) {
        return names.isHost(name);
    });
}

std::string takeCustomer(Cursor &cursor, const Names &names)
{
    return takeKnown(cursor, "a customer that is declared above", [&](const auto &name) {
        return names.isCustomer(name);
    });
}

std::string takeRoute(Cursor &cursor, const Names &names)
{
    return takeKnown(cursor, "a model or service that is declared above", [&](const auto &name) {
        return names.isRoute(name);
    });
}

std::string takeEndpoint(Cursor &cursor, const Names &names)
{
    return takeKnown(cursor, "an endpoint that is declared above", [&](const auto &name) {
        return names.isEndpoint(name);
    });
}

std::string takeId(Cursor &cursor, const Names &names)
{
    return takeKnown(cursor, "the id of a call or change above", [&](const auto &name) {
        return names.isId(name);
    });
}

std::string takeSide(Cursor &cursor, const Names &names)
{
    return takeKnown(cursor, "a router, a data centre or 'platform'", [&](const auto &name) {
        return names.isHost(name) || names.isDataCentre(name) || name == "platform";
    });
}

// Reads a declaration into `setup`; returns false when the verb is none.
bool readSetup(const std::string &verb, Cursor &cursor, Setup &setup, const Names &names)
{
    if (verb == "seed") {
        setup.seed = static_cast<std::uint64_t>(cursor.count());
    } else if (verb == "fleet") {
        const std::string dataCentre = cursor.name("a data centre");
        do {
            setup.hosts.push_back({cursor.name("a router"), dataCentre});
        } while (!cursor.done());
    } else if (verb == "customer") {
        CustomerSetup customer;
        customer.name = cursor.name("a customer");
        cursor.need("budget");
        customer.prepaid = cursor.count();
        if (cursor.take("slice")) {
            customer.slice = cursor.decimal();
        }
        setup.customers.push_back(customer);
    } else if (verb == "model" || verb == "service") {
        RouteSetup route;
        route.model = verb == "model";
        route.name = cursor.name("a name");
        if (!route.model) {
            cursor.need("price");
            route.price = cursor.count();
        }
        cursor.need("time");
        route.time = cursor.span();
        setup.routes.push_back(route);
    } else if (verb == "endpoint") {
        EndpointSetup endpoint;
        endpoint.name = cursor.name("an endpoint");
        endpoint.dataCentre = takeKnown(cursor, "a data centre of the fleet", [&](const auto &name) {
            return names.isDataCentre(name);
        });
        endpoint.route = takeRoute(cursor, names);
        if (cursor.take("slots")) {
            endpoint.slots = cursor.count();
        }
        setup.endpoints.push_back(endpoint);
    } else if (verb == "red-without") {
        setup.redWithout.push_back(cursor.name("a safeguard"));
    } else {
        return false;
    }
    return true;
}

Load readLoad(Cursor &cursor, const Names &names)
{
    Load load;
    load.customer = takeCustomer(cursor, names);
    load.route = takeRoute(cursor, names);
    load.perSecond = cursor.rate();
    cursor.need("for");
    load.length = cursor.span();
    if (cursor.take("cost")) {
        cursor.range(load.costLow, load.costHigh);
    }
    cursor.need("at");
    load.hosts.push_back(takeHost(cursor, names));
    while (!cursor.done() && !cursor.take("retry")) {
        load.hosts.push_back(takeHost(cursor, names));
    }
    if (!cursor.done()) {
        load.retries = cursor.count();
    }
    return load;
}

OneCall readCall(Cursor &cursor, Names &names)
{
    OneCall call;
    call.id = cursor.name("an id");
    call.customer = takeCustomer(cursor, names);
    call.route = takeRoute(cursor, names);
    cursor.need("at");
    call.host = takeHost(cursor, names);
    if (cursor.take("cost")) {
        call.cost = cursor.count();
    }
    if (cursor.take("retry")) {
        call.retries = cursor.count();
    }
    call.crashes = cursor.take("crashes");
    names.ids.push_back(call.id);
    return call;
}

NodeChange readNodeChange(NodeFault fault, Cursor &cursor, const Names &names)
{
    const bool endpointOnly = fault == NodeFault::Reject || fault == NodeFault::Accept || fault == NodeFault::Leave;
    const std::string what = endpointOnly ? "an endpoint" : "a router or an endpoint";
    return {fault, takeKnown(cursor, what, [&](const auto &name) {
                return names.isEndpoint(name) || (!endpointOnly && names.isHost(name));
            })};
}

PlatformChange readPlatform(Cursor &cursor)
{
    PlatformChange change;
    if (cursor.take("up")) {
        change.state = PlatformState::Up;
    } else if (cursor.take("down")) {
        change.state = PlatformState::Down;
    } else if (cursor.take("silent")) {
        change.state = PlatformState::Silent;
    } else if (cursor.take("slow")) {
        change.delay = cursor.span();
    } else if (cursor.take("lose")) {
        change.loseAnswers = cursor.count();
    } else if (cursor.take("late")) {
        change.lateWrites = cursor.count();
        change.lateBy = cursor.span();
    } else if (cursor.take("conflict")) {
        change.conflicts = cursor.count();
    } else {
        cursor.fail("up, down, silent, slow, lose, late or conflict");
    }
    return change;
}

BudgetChange readBudgetChange(bool up, Cursor &cursor, Names &names)
{
    BudgetChange change;
    change.up = up;
    change.customer = takeCustomer(cursor, names);
    change.amount = cursor.count();
    cursor.need("id");
    change.id = cursor.name("an id");
    names.ids.push_back(change.id);
    return change;
}

Patch readPatch(Cursor &cursor, Names &names)
{
    Patch patch;
    patch.id = cursor.name("an id");
    patch.path = cursor.text("a path");
    patch.value = cursor.text("a value");
    cursor.need("at");
    patch.host = takeHost(cursor, names);
    if (cursor.take("seen")) {
        patch.seen = cursor.count();
    }
    names.ids.push_back(patch.id);
    return patch;
}

void readBound(Cursor &cursor, Expect &expect)
{
    if (cursor.take("at")) {
        expect.bound = cursor.take("least") ? Expect::Bound::AtLeast : Expect::Bound::AtMost;
        if (expect.bound == Expect::Bound::AtMost) {
            cursor.need("most");
        }
    }
    expect.count = cursor.count();
}

bool countFollows(const Cursor &cursor)
{
    Cursor ahead = cursor;
    return ahead.take("at") || ahead.kind() == WordKind::Number;
}

Expect readExpect(Cursor &cursor, const Names &names)
{
    Expect expect;
    if (cursor.take("overspend")) {
        expect.kind = ExpectKind::Overspend;
        expect.count = cursor.count();
    } else if (cursor.take("one")) {
        cursor.need("bill");
        cursor.need("each");
        expect.kind = ExpectKind::OneBill;
    } else if (cursor.take("at")) {
        cursor.need("most");
        cursor.need("once");
        expect.kind = ExpectKind::AtMostOnce;
    } else if (cursor.take("refusals")) {
        cursor.need("true");
        expect.kind = ExpectKind::RefusalsTrue;
    } else if (cursor.take("answers")) {
        cursor.need("whole");
        expect.kind = ExpectKind::AnswersWhole;
    } else if (cursor.take("none")) {
        cursor.need("cut");
        expect.kind = ExpectKind::NoneCut;
    } else if (cursor.take("stranded")) {
        expect.kind = ExpectKind::Stranded;
        expect.count = cursor.count();
    } else if (cursor.take("answered")) {
        expect.kind = ExpectKind::Answered;
        countFollows(cursor) ? readBound(cursor, expect) : void(expect.name = takeId(cursor, names));
    } else if (cursor.take("refused")) {
        expect.kind = ExpectKind::Refused;
        if (countFollows(cursor)) {
            readBound(cursor, expect);
        } else {
            expect.name = takeId(cursor, names);
            expect.errorKind = cursor.name("the name of an error, such as budget_exhausted");
            if (!errorKindFromName(expect.errorKind)) {
                cursor.back();
                cursor.fail("the name of an error, such as budget_exhausted");
            }
        }
    } else if (cursor.take("unknown")) {
        expect.kind = ExpectKind::Unknown;
        expect.name = takeId(cursor, names);
    } else if (cursor.take("run")) {
        expect.kind = ExpectKind::Run;
        expect.name = takeId(cursor, names);
        readBound(cursor, expect);
    } else if (cursor.take("revision")) {
        expect.kind = ExpectKind::Revision;
        expect.count = cursor.count();
        cursor.need("within");
        expect.time = cursor.span();
    } else if (cursor.take("accepted")) {
        expect.kind = ExpectKind::ChangeAccepted;
        expect.name = takeId(cursor, names);
    } else if (cursor.take("rejected")) {
        expect.kind = ExpectKind::ChangeRefused;
        expect.name = takeId(cursor, names);
    } else if (cursor.take("drained")) {
        expect.kind = ExpectKind::Drained;
        expect.name = takeHost(cursor, names);
    } else if (cursor.take("calm")) {
        expect.kind = ExpectKind::Calm;
    } else if (cursor.take("idle")) {
        expect.kind = ExpectKind::Idle;
        expect.name = takeEndpoint(cursor, names);
        cursor.need("for");
        expect.time = cursor.span();
    } else if (cursor.take("free")) {
        expect.kind = ExpectKind::Free;
        expect.name = takeCustomer(cursor, names);
        readBound(cursor, expect);
    } else {
        cursor.fail("overspend, one bill each, at most once, refusals true, answers whole, none cut, stranded, "
                    "answered, refused, unknown, run, revision, accepted, rejected, drained, calm, idle or free");
    }
    return expect;
}

Command readCommand(const std::string &verb, Cursor &cursor, Names &names)
{
    if (const auto fault = enumFromName(NodeFaultNames, verb)) {
        return readNodeChange(*fault, cursor, names);
    }
    if (verb == "start") {
        return Start{};
    }
    if (verb == "load") {
        return readLoad(cursor, names);
    }
    if (verb == "call") {
        return readCall(cursor, names);
    }
    if (verb == "again") {
        const std::string id = takeId(cursor, names);
        cursor.need("at");
        return SendAgain{id, takeHost(cursor, names)};
    }
    if (verb == "hang-up") {
        return HangUp{takeId(cursor, names)};
    }
    if (verb == "cut") {
        const std::string a = takeSide(cursor, names);
        return Cut{a, takeSide(cursor, names)};
    }
    if (verb == "heal") {
        return Heal{};
    }
    if (verb == "platform") {
        return readPlatform(cursor);
    }
    if (verb == "loss") {
        return MessageLoss{cursor.percent()};
    }
    if (verb == "skew") {
        const std::string host = takeHost(cursor, names);
        return ClockSkew{host, cursor.span()};
    }
    if (verb == "topup" || verb == "reduce") {
        return readBudgetChange(verb == "topup", cursor, names);
    }
    if (verb == "patch") {
        return readPatch(cursor, names);
    }
    if (verb == "drain") {
        return Drain{takeHost(cursor, names)};
    }
    if (verb == "wait") {
        return Wait{cursor.span()};
    }
    if (verb == "strike") {
        return Strike{};
    }
    if (verb == "without") {
        return Without{cursor.name("a safeguard")};
    }
    if (verb == "expect") {
        return readExpect(cursor, names);
    }
    cursor.back();
    cursor.fail("a statement; see scenario_language.h for all of them");
}

std::string textOf(const WordLine &line)
{
    std::string text;
    for (const Word &word : line) {
        text += (text.empty() ? "" : " ") + word.text;
    }
    return text;
}

// Reads one line. `inFault` tells whether it stands in a fault block, and is set by the lines that begin and end one.
void readLine(const WordLine &line, Scenario &scenario, Names &names, bool &inFault)
{
    Cursor cursor(line);
    const std::string verb = cursor.name("a statement");
    if (verb == "fault" && !inFault) {
        scenario.faults.push_back({cursor.name("a name for the fault"), {}});
        inFault = true;
    } else if (verb == "end" && inFault) {
        inFault = false;
    } else if (inFault || !readSetup(verb, cursor, scenario.setup, names)) {
        auto &statements = inFault ? scenario.faults.back().statements : scenario.statements;
        statements.push_back({line.front().line, textOf(line), readCommand(verb, cursor, names)});
    }
    if (!cursor.done()) {
        cursor.fail("the end of the line");
    }
}

} // namespace

std::optional<Scenario> parseScenario(const std::string &name, std::string_view text, LastReason &reason)
{
    const auto lines = readWords(name, text, reason);
    if (!lines) {
        return std::nullopt;
    }
    Scenario scenario;
    scenario.name = name;
    Names names{scenario.setup, {}};
    try {
        bool inFault = false;
        for (const WordLine &line : *lines) {
            readLine(line, scenario, names, inFault);
        }
        if (inFault) {
            throw Mistake{lines->back().front().line, "the last line: expected 'end', which closes a fault block"};
        }
    } catch (const Mistake &mistake) {
        reason = Error{ErrorKind::MalformedRequest,
                       name + ": line " + std::to_string(mistake.line) + ", " + mistake.message,
                       Execution::NotRun,
                       std::nullopt};
        return std::nullopt;
    }
    return scenario;
}

} // namespace Godwit::Scenarios
