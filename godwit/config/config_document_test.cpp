#include "godwit/config/config_document.h"

#include "godwit/config/config_diff.h"

#include <catch2/catch.hpp>
#include <random>

using namespace Godwit;

namespace
{

constexpr char BaseText[] = R"(
[customers.dolna]
share = 3.0
default_budget = "dolna-main"
[customers.dolna.keys.old]
digest = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
not_after = 2026-12-31T00:00:00Z
[customers.dolna.keys.new]
digest = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
[customers.herculane]
budget_trade = "little_held"
[routes.shortlist]
kind = "model"
model = "shortlist-7b"
[routes.booking]
kind = "service"
price_per_call = 10
[endpoints.sl-1]
address = "127.0.0.1:9001"
routes = ["shortlist"]
data_centre = "salt-lake"
checks_fencing = true
[tokens.head-office]
role = "owner"
digest = "cccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccc"
)";

const DataCentreId SaltLake{"salt-lake"};
const DataCentreId Howrah{"howrah"};

ConfigPatch patchOf(std::string path, std::optional<std::string> value, std::uint64_t expected, std::string id)
{
    ConfigPatch patch;
    patch.path = std::move(path);
    patch.value = std::move(value);
    patch.expectedRevision = expected;
    patch.id = std::move(id);
    patch.author = "test";
    return patch;
}

ConfigDocument baseDocument()
{
    LastReason reason;
    const auto document = applyPatch(ConfigDocument{}, patchOf("", BaseText, 0, "first"), reason);
    INFO((reason ? reason->message : ""));
    REQUIRE(document);
    return *document;
}

ConfigDocument applied(const ConfigDocument &document, const ConfigPatch &patch)
{
    LastReason reason;
    const auto next = applyPatch(document, patch, reason);
    INFO((reason ? reason->message : ""));
    REQUIRE(next);
    return *next;
}

Error refused(const ConfigDocument &document, const ConfigPatch &patch)
{
    LastReason reason;
    REQUIRE_FALSE(applyPatch(document, patch, reason));
    REQUIRE(reason);
    return *reason;
}

std::shared_ptr<const ConfigFile> brokenFile()
{
    auto file = std::make_shared<ConfigFile>();
    file->objects["customers.dolna"] = std::make_shared<const std::string>("share = [broken");
    return file;
}

bool contains(const std::string &text, const std::string &part)
{
    INFO(text);
    CHECK(text.find(part) != std::string::npos);
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a site merges base and its own overlay")
{
    ConfigPatch overlay = patchOf("", "[customers.dolna]\nshare = 5.0\n", 1, "overlay");
    overlay.site = "salt-lake";
    const ConfigDocument document = applied(baseDocument(), overlay);
    LastReason reason;
    const auto saltLake = resolveSite(document, SaltLake, reason);
    const auto howrah = resolveSite(document, Howrah, reason);
    REQUIRE(saltLake);
    REQUIRE(howrah);
    CHECK(findCustomer(*saltLake, CustomerId("dolna"))->share == 5.0);
    CHECK(findCustomer(*saltLake, CustomerId("dolna"))->defaultBudget == BudgetId("dolna-main"));
    CHECK(findCustomer(*howrah, CustomerId("dolna"))->share == 3.0);
    CHECK(findCustomer(*howrah, CustomerId("herculane"))->trade == BudgetTrade::LittleHeld);
    CHECK(findCustomer(*howrah, CustomerId("herculane"))->sliceFraction == LittleHeldFraction);
    CHECK(findCustomer(*howrah, CustomerId("dolna"))->sliceFraction == FewRefusalsFraction);
    CHECK(saltLake->revision == 2);
    CHECK(endpointsOf(*howrah, RouteId("shortlist")).size() == 1);
    CHECK(endpointsOf(*howrah, RouteId("booking")).empty());
    CHECK_FALSE(findRoute(*howrah, RouteId("booking"))->repeatable);
    CHECK(findRoute(*howrah, RouteId("shortlist"))->repeatable);
}

TEST_CASE("keys overlap while they are rotated and end at their time")
{
    LastReason reason;
    const auto site = resolveSite(baseDocument(), SaltLake, reason);
    REQUIRE(site);
    const WallTime lastMoment(std::chrono::milliseconds(1798675200000)); // 2026-12-31T00:00:00Z
    const std::string oldKey(64, 'a');
    const std::string newKey(64, 'b');
    CHECK(customerByKeyDigest(*site, oldKey, lastMoment) != nullptr);
    CHECK(customerByKeyDigest(*site, newKey, lastMoment) != nullptr);
    CHECK(customerByKeyDigest(*site, oldKey, lastMoment + std::chrono::milliseconds(1)) == nullptr);
    CHECK(customerByKeyDigest(*site, newKey, lastMoment + std::chrono::milliseconds(1)) != nullptr);
    CHECK(customerByKeyDigest(*site, std::string(64, 'd'), lastMoment) == nullptr);
    CHECK(tokenByDigest(*site, std::string(64, 'c'), lastMoment)->role == OperatorRole::Owner);
}

TEST_CASE("validation names file, line, key and remedy, all faults at once")
{
    const Error error = refused(ConfigDocument{},
                                patchOf("",
                                        "[customers.dolna]\nshar = 1\npriority_ceiling = 12\n"
                                        "[endpoints.e]\naddress = \"host:1\"\nroutes = [\"none\"]\n",
                                        0,
                                        "bad"));
    CHECK(error.kind == ErrorKind::InvalidConfiguration);
    contains(error.message, "base:2: customers.dolna.shar: unknown key; did you mean \"share\"?");
    contains(error.message, "base:3: customers.dolna.priority_ceiling: must be a whole number from 0 to 9");
    contains(error.message, "base:5: endpoints.e.address: must be an IP number and a port");
    contains(error.message, "base:6: endpoints.e.routes: names the route \"none\"");
    contains(error.message, "endpoints.e.data_centre: is missing");
}

TEST_CASE("a faulty overlay is refused with its own line")
{
    ConfigPatch overlay = patchOf("", "[customers.dolna]\nshare = \"much\"\n", 1, "overlay");
    overlay.site = "howrah";
    contains(refused(baseDocument(), overlay).message, "howrah:2: customers.dolna.share: must be a number");
}

TEST_CASE("a bad overlay can't stop another site")
{
    // The caller sees: howrah's overlay is faulty (accepted by a router of another version, say), and salt-lake
    // goes on under the newest revision; changes of base and of salt-lake are still accepted.
    ConfigDocument document = baseDocument();
    document.overlays[Howrah] = brokenFile();
    LastReason reason;
    CHECK_FALSE(resolveSite(document, Howrah, reason));
    CHECK(resolveSite(document, SaltLake, reason));
    document = applied(document, patchOf("customers.dolna.share", "4.0", 1, "base-change"));
    ConfigPatch overlay = patchOf("customers.dolna.share", "6.0", 1, "overlay");
    overlay.site = "salt-lake";
    document = applied(document, overlay);
    CHECK(findCustomer(*resolveSite(document, SaltLake, reason), CustomerId("dolna"))->share == 6.0);
}

TEST_CASE("a base change that breaks one overlay is refused before it is accepted")
{
    ConfigPatch overlay = patchOf("endpoints.h-1",
                                  "{ address = \"127.0.0.1:9\", routes = [\"booking\"], data_centre = \"howrah\" }",
                                  1,
                                  "overlay");
    overlay.site = "howrah";
    const ConfigDocument document = applied(baseDocument(), overlay);
    contains(refused(document, patchOf("routes.booking", std::nullopt, 2, "remove")).message,
             "endpoints.h-1.routes: names the route \"booking\"");
}

TEST_CASE("what this version doesn't know is passed over once it was accepted")
{
    ConfigDocument document = baseDocument();
    auto base = std::make_shared<ConfigFile>(*document.base);
    base->objects["customers.dolna"] = std::make_shared<const std::string>("future = 1");
    base->objects["future_section"] = std::make_shared<const std::string>("kind = 1");
    document.base = base;
    LastReason reason;
    CHECK_FALSE(resolveSite(document, SaltLake, reason));
    CHECK(resolveAcceptedSite(document, SaltLake, reason));
}

TEST_CASE("a patch conflicts when its path, a parent or a child changed after its author looked")
{
    // Two authors read revision 1. The first changes the share; the second still has the old file before it and
    // must not write anything back over the first one's change.
    const ConfigDocument document = applied(baseDocument(), patchOf("customers.dolna.share", "4.0", 1, "operator"));
    SECTION("the same path")
    {
        const Error error = refused(document, patchOf("customers.dolna.share", "3.0", 1, "automation"));
        CHECK(error.kind == ErrorKind::RevisionConflict);
        contains(error.message, "\"customers.dolna.share\" changed in revision 2");
        contains(error.message, "repeat the change with expected revision 2 or later");
    }
    SECTION("a parent")
    {
        CHECK(refused(document, patchOf("customers.dolna", "{ share = 3.0 }", 1, "automation")).kind
              == ErrorKind::RevisionConflict);
        CHECK(refused(document, patchOf("", BaseText, 1, "automation")).kind == ErrorKind::RevisionConflict);
    }
    SECTION("a child")
    {
        const ConfigDocument later = applied(document, patchOf("customers.dolna", "{ share = 7.0 }", 2, "b"));
        CHECK(refused(later, patchOf("customers.dolna.share", "8.0", 2, "c")).kind == ErrorKind::RevisionConflict);
    }
    SECTION("a neighbour doesn't conflict and keeps the winner's value")
    {
        const ConfigDocument later =
            applied(document, patchOf("customers.dolna.priority_ceiling", "2", 1, "automation"));
        CHECK(valueAt(later, "", "customers.dolna.share") == "4.0");
        CHECK(valueAt(later, "", "customers.dolna.priority_ceiling") == "2");
        CHECK(lastChanged(later, "", "customers.dolna.share") == 2);
        CHECK(lastChanged(later, "", "customers.dolna") == 3);
    }
    SECTION("another file doesn't conflict")
    {
        ConfigPatch overlay = patchOf("customers.dolna.share", "1.0", 1, "overlay");
        overlay.site = "howrah";
        CHECK(applied(document, overlay).revision == 3);
    }
    SECTION("a name that only starts alike doesn't conflict")
    {
        CHECK(applied(document, patchOf("customers.dolna-2", "{ share = 1.0 }", 1, "alike")).revision == 3);
    }
}

TEST_CASE("paths whose record was dropped conflict rather than overwrite")
{
    // More paths change than are kept. An author from before the dropped records can't be told whether its path
    // changed, so it is refused; one who read later is not.
    ConfigDocument document = baseDocument();
    document.pathRevisions.clear();
    for (std::size_t i = 0; i < MaxPathRevisions; ++i) {
        document.pathRevisions[":customers.c" + std::to_string(i) + ".share"] = document.revision + 1 + i;
    }
    document.revision += MaxPathRevisions;
    const std::uint64_t newest = document.revision;
    const ConfigDocument later = applied(document, patchOf("customers.dolna.share", "9.0", newest, "one-more"));
    CHECK(later.pathRevisions.size() == MaxPathRevisions);
    CHECK(later.pathFloor == 2);
    CHECK(refused(later, patchOf("customers.c0.share", "9.0", 1, "old")).kind == ErrorKind::RevisionConflict);
    CHECK(applied(later, patchOf("customers.c0.share", "9.0", 2, "fresh")).revision == newest + 2);
}

TEST_CASE("an id makes one change, and its repetition is recognised")
{
    const ConfigPatch patch = patchOf("customers.dolna.share", "4.0", 1, "once");
    const ConfigDocument document = applied(baseDocument(), patch);
    LastReason reason;
    CHECK(appliedRevision(document, patch, reason) == 2);
    CHECK_FALSE(reason);
    CHECK_FALSE(appliedRevision(document, patchOf("customers.dolna.share", "5.0", 1, "once"), reason));
    CHECK(reason->kind == ErrorKind::PayloadDiffers);
    CHECK(document.history.back().author == "test");
    CHECK(document.history.back().path == "customers.dolna.share");
}

TEST_CASE("hostile patches get clear errors")
{
    const ConfigDocument document = baseDocument();
    const auto kindOf = [&](const std::string &path, std::optional<std::string> value) {
        return refused(document, patchOf(path, std::move(value), 1, "hostile")).kind;
    };
    std::string deep;
    for (int i = 0; i < 100000; ++i) {
        deep += "a.";
    }
    CHECK(kindOf("customers..share", "1") == ErrorKind::MalformedRequest);
    CHECK(kindOf("customers.\xff.share", "1") == ErrorKind::MalformedRequest);
    CHECK(kindOf("a.b.c.d.e.f.g.h.i.j.k.l.m", "1") == ErrorKind::MalformedRequest);
    CHECK(kindOf("customers.dolna.share", "1\nother = 2") == ErrorKind::InvalidConfiguration);
    CHECK(kindOf("customers.dolna.share", "\"\xc3\x28\"") == ErrorKind::InvalidConfiguration);
    CHECK(kindOf("customers.dolna.share", std::string(100000, '[')) == ErrorKind::InvalidConfiguration);
    CHECK(kindOf("customers.dolna.share", deep + "a = 1") == ErrorKind::InvalidConfiguration);
    CHECK(kindOf("customers.dolna.share", std::string(MaxPatchValueBytes + 1, '1')) == ErrorKind::MalformedRequest);
    CHECK(kindOf("customers.dolna.share.deeper", "1") == ErrorKind::InvalidConfiguration);
    CHECK(kindOf("customers.dolna.share", "nan") == ErrorKind::InvalidConfiguration);
    CHECK(kindOf("customers.nobody", std::nullopt) == ErrorKind::UnknownObject);
    CHECK(kindOf("customers.herculane.keys.k", "{ digest = \"plain-key\" }") == ErrorKind::InvalidConfiguration);
    CHECK(kindOf("customers.herculane.keys.k", "{ digest = \"" + std::string(64, 'a') + "\" }")
          == ErrorKind::InvalidConfiguration);
}

TEST_CASE("automation that rewrites a whole file touches only what it changed")
{
    // Automation read revision 1 and writes the whole file back later, with a new route, a moved endpoint and
    // without the old route. Meanwhile an operator changed a share: it stays, and nothing conflicts.
    ConfigDocument document = applied(baseDocument(), patchOf("customers.dolna.share", "4.0", 1, "operator"));
    std::string text = BaseText;
    const auto replace = [&](const std::string &from, const std::string &to) {
        text.replace(text.find(from), from.size(), to);
    };
    replace("[routes.shortlist]", "[routes.longlist]");
    replace("routes = [\"shortlist\"]", "routes = [\"longlist\"]");
    LastReason reason;
    const auto patches = patchesBetween(BaseText, text, {"", 1, "nightly", "automation"}, reason);
    REQUIRE(patches);
    REQUIRE(patches->size() == 3);
    for (const ConfigPatch &patch : *patches) {
        document = applied(document, patch);
    }
    CHECK(valueAt(document, "", "customers.dolna.share") == "4.0");
    const auto site = resolveSite(document, SaltLake, reason);
    CHECK(endpointsOf(*site, RouteId("longlist")).size() == 1);
    CHECK(site->routes.count(RouteId("shortlist")) == 0);
    CHECK(patchesBetween(text, text, {}, reason)->empty());
    CHECK_FALSE(patchesBetween(text, "[", {}, reason));
}

TEST_CASE("damaged texts are refused or taken, never more")
{
    // Any byte may come from an operator's tool: no text may end the process.
    std::mt19937_64 random(20261202);
    const ConfigDocument document = baseDocument();
    const std::string alphabet = "[]{}\"'=.,#\n \t_-+0e\xc3\x28";
    std::size_t taken = 0;
    for (int round = 0; round < 3000; ++round) {
        std::string text = BaseText;
        for (std::uint64_t edits = random() % 6 + 1; edits > 0; --edits) {
            const std::string inserted(random() % 4 + 1, alphabet[random() % alphabet.size()]);
            text.replace(random() % text.size(), random() % 3, inserted);
        }
        LastReason reason;
        taken += applyPatch(document, patchOf("", text, 1, "damaged"), reason) ? 1 : 0;
        LastReason valueReason;
        applyPatch(document, patchOf("customers.x", text.substr(0, random() % 80), 1, "damaged"), valueReason);
    }
    CHECK(taken > 0);
    CHECK(taken < 3000);
}

TEST_CASE("quoted keys reach ids with dots")
{
    const ConfigDocument document = applied(baseDocument(), patchOf("customers.\"a.b\".share", "2.5", 1, "quoted"));
    LastReason reason;
    CHECK(findCustomer(*resolveSite(document, SaltLake, reason), CustomerId("a.b"))->share == 2.5);
    CHECK(refused(document, patchOf("customers.'a.b'", "{}", 1, "again")).kind == ErrorKind::RevisionConflict);
}

TEST_CASE("stored documents and replayed patches read the same")
{
    const ConfigPatch patch = patchOf("customers.dolna.share", "4.0", 1, "operator");
    const ConfigDocument document = applied(baseDocument(), patch);
    LastReason reason;
    const auto stored = decodeDocument(encodeDocument(document), reason);
    REQUIRE(stored);
    CHECK(documentDigest(*stored) == documentDigest(document));
    const auto replayed = replayPatch(baseDocument(), {2, patch});
    REQUIRE(replayed);
    CHECK(documentDigest(*replayed) == documentDigest(document));
    CHECK_FALSE(replayPatch(document, {2, patch}));
    CHECK_FALSE(decodeDocument("{\"revision\":\"x\"}", reason));
}
