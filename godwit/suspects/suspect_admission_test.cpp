#include "godwit/suspects/recent_answers.h"
#include "godwit/suspects/suspect_admission.h"
#include "godwit/suspects/suspect_codec.h"
#include "godwit/suspects/suspect_record.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Godwit;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1h);
constexpr std::uint64_t Crasher = 7;
constexpr std::uint64_t Harmless = 8;

SuspectBook makeBook()
{
    SuspectBook book;
    book.options.deathsToConvict = 3;
    book.options.firstRefuseFor = 15s;
    return book;
}

// The endpoint dies `after` the start, under a run that was sent `ranFor` before.
void die(SuspectBook &book,
         const std::string &endpoint,
         Duration after,
         std::uint64_t fingerprint,
         Duration ranFor = 40ms,
         bool trial = false)
{
    const EndpointDeath death{EndpointId(endpoint), {}, DataCentreId("dc"), Start + after, {}};
    noteSuspect(book, death, fingerprint, {Start + after - ranFor, trial});
}

} // namespace

TEST_CASE("a request is free, then tried by itself, then refused for a short time and for a long one")
{
    SuspectBook book = makeBook();
    CHECK(admissionOf(book, Crasher, Start) == Admission::Free);
    die(book, "a", 0s, Crasher);
    CHECK(admissionOf(book, Crasher, Start + 1s) == Admission::Free);
    die(book, "b", 1s, Crasher);
    CHECK(admissionOf(book, Crasher, Start + 1100ms) == Admission::NotYet);
    CHECK(admissionOf(book, Crasher, Start + 2s) == Admission::Trial);
    die(book, "c", 3s, Crasher, 40ms, true);
    CHECK(judge(book, Crasher, Start + 4s) == Verdict::Convicted);
    CHECK(admissionOf(book, Crasher, Start + 18s) == Admission::Refused);
    CHECK(admissionOf(book, Crasher, Start + 20s) == Admission::Trial);
    die(book, "d", 21s, Crasher, 40ms, true);
    CHECK(judge(book, Crasher, Start + 22s) == Verdict::Convicted);
    CHECK(admissionOf(book, Crasher, Start + 30min) == Admission::Refused);
}

// Guards against condemning a busy request by deaths of another one that met it at each of them, which routers that
// were cut off from one another saw apart.
TEST_CASE("deaths alone convict nobody: one of them must be of a trial")
{
    SuspectBook book = makeBook();
    book.options.trialConvicts = true;
    die(book, "a", 0s, Harmless);
    die(book, "b", 1s, Harmless);
    die(book, "c", 2s, Harmless);
    CHECK(judge(book, Harmless, Start + 3s) == Verdict::Suspected);
    CHECK(admissionOf(book, Harmless, Start + 3s) == Admission::Trial);
    noteSuspect(
        book, {EndpointId{"d"}, {}, DataCentreId("dc"), Start + 4s, {}}, Harmless, {Start + 4s - 40ms, true, true});
    CHECK(judge(book, Harmless, Start + 5s) == Verdict::Convicted);
}

// Guards against condemning a busy request while routers are cut off from one another: others send it too, and what
// they are answered is not heard.
TEST_CASE("a router that doesn't hear the fleet convicts nobody, and lets what looks guilty wait")
{
    SuspectBook book = makeBook();
    book.options.trialConvicts = true;
    book.hearsFleet = false;
    die(book, "a", 0s, Harmless);
    die(book, "b", 1s, Harmless);
    CHECK(admissionOf(book, Harmless, Start + 2s) == Admission::Trial);
    noteSuspect(
        book, {EndpointId{"c"}, {}, DataCentreId("dc"), Start + 2s, {}}, Harmless, {Start + 2s - 40ms, true, true});
    CHECK(judge(book, Harmless, Start + 3s) == Verdict::Suspected);
    CHECK(admissionOf(book, Harmless, Start + 16s) == Admission::NotYet);
    CHECK(admissionOf(book, Harmless, Start + 17s) == Admission::Trial);
    book.hearsFleet = true;
    CHECK(admissionOf(book, Harmless, Start + 3s) == Admission::Trial);
}

// Guards against condemning a busy request whose trial met a suspect of one death, which is free to go anywhere.
TEST_CASE("a trial's death convicts nobody while another suspect was there")
{
    constexpr std::uint64_t otherCrasher = 9;
    SuspectBook book = makeBook();
    book.options.trialConvicts = true;
    for (const std::uint64_t there : {Harmless, Crasher, otherCrasher}) {
        die(book, "a", 0s, there);
    }
    die(book, "b", 1s, Harmless);
    die(book, "b", 1s, otherCrasher);
    const EndpointDeath third{EndpointId{"c"}, {}, DataCentreId("dc"), Start + 2s, {}};
    noteSuspect(book, third, Harmless, {Start + 2s - 90ms, true, true});
    noteSuspect(book, third, Crasher, {Start + 2s - 30ms});
    CHECK(judge(book, Harmless, Start + 3s) == Verdict::Suspected);
    CHECK(admissionOf(book, Harmless, Start + 3s) == Admission::Trial);
    // The other one was answered, so that the death was this one's doing.
    pardon(book, Crasher);
    CHECK(judge(book, Harmless, Start + 3s) == Verdict::Convicted);
}

// Guards against the same where the trial is known from a record, which tells of no other request and not when it was.
TEST_CASE("another suspect at the endpoint of a trial is seen whenever its death was noted")
{
    SuspectBook book = makeBook();
    book.options.trialConvicts = true;
    for (const char *endpoint : {"a", "b"}) {
        die(book, endpoint, 1s * (endpoint[0] - 'a'), Harmless);
    }
    die(book, "a", 0s, Crasher);
    die(book, "c", 5s, Crasher);
    const EndpointDeath onRecord{EndpointId{"c"}, {}, DataCentreId("dc"), Start + 3s, {}};
    noteSuspect(book, onRecord, Harmless, {Start + 3s - 30ms, true, true});
    CHECK(judge(book, Harmless, Start + 6s) == Verdict::Suspected);
}

// Guards against an hour's refusal for many deaths that were seen apart, of which one alone was of a trial.
TEST_CASE("where trials convict, a long refusal takes a second death of a trial")
{
    SuspectBook book = makeBook();
    book.options.trialConvicts = true;
    for (const char *endpoint : {"a", "b", "c", "d", "e"}) {
        die(book, endpoint, 1s * (endpoint[0] - 'a'), Crasher);
    }
    const auto dieInTrial = [&book](const char *endpoint, Duration after) {
        noteSuspect(book,
                    {EndpointId{endpoint}, {}, DataCentreId("dc"), Start + after, {}},
                    Crasher,
                    {Start + after - 40ms, true, true});
    };
    dieInTrial("f", 6s);
    REQUIRE(judge(book, Crasher, Start + 7s) == Verdict::Convicted);
    CHECK(refusedFor(book, Crasher, Start + 7s) == Duration(15s));
    dieInTrial("g", 23s);
    REQUIRE(judge(book, Crasher, Start + 24s) == Verdict::Convicted);
    CHECK(refusedFor(book, Crasher, Start + 24s) == Duration(1h));
}

// Guards against condemning a request that many send, since it is at each endpoint that fails.
TEST_CASE("endpoints that die together under one request count once against it")
{
    SuspectBook book = makeBook();
    for (const char *endpoint : {"a", "b", "c", "d"}) {
        die(book, endpoint, 10ms * (endpoint[0] - 'a'), Harmless, 100ms);
    }
    CHECK(soundDeaths(book, Harmless).size() == 1);
    CHECK(judge(book, Harmless, Start + 1s) == Verdict::Suspected);
    CHECK(admissionOf(book, Harmless, Start + 1s) == Admission::Free);
}

// Guards against a busy request that shields another one by being everywhere.
TEST_CASE("a request that did not follow the deaths doesn't make another one's blame doubtful")
{
    SuspectBook book = makeBook();
    for (const char *endpoint : {"a", "b", "c"}) {
        const Duration after = 100ms * (endpoint[0] - 'a');
        die(book, endpoint, after, Crasher);
        die(book, endpoint, after, Harmless, 500ms);
    }
    CHECK(judge(book, Harmless, Start + 1s) == Verdict::Suspected);
    CHECK(judge(book, Crasher, Start + 1s) == Verdict::Convicted);
}

TEST_CASE("two requests with the same deaths are both tried, until one is answered")
{
    SuspectBook book = makeBook();
    for (const char *endpoint : {"a", "b", "c"}) {
        die(book, endpoint, 1s * (endpoint[0] - 'a'), Crasher);
        die(book, endpoint, 1s * (endpoint[0] - 'a'), Harmless);
    }
    CHECK(judge(book, Crasher, Start + 3s) == Verdict::Suspected);
    CHECK(admissionOf(book, Crasher, Start + 3s) == Admission::Trial);
    CHECK(admissionOf(book, Harmless, Start + 3s) == Admission::Trial);
    pardon(book, Harmless);
    CHECK(admissionOf(book, Harmless, Start + 3s) == Admission::Free);
    CHECK(judge(book, Crasher, Start + 3s) == Verdict::Convicted);
}

// Guards against a service that is down for everybody while one request is being judged.
TEST_CASE("a suspect is not tried at the last endpoint of its service that is known to live")
{
    SuspectBook book = makeBook();
    die(book, "a", 0s, Crasher);
    die(book, "b", 1s, Crasher);
    const std::vector<EndpointId> all{EndpointId("a"), EndpointId("b"), EndpointId("c")};
    const std::vector<EndpointId> back{EndpointId("a2"), EndpointId("b"), EndpointId("c")};
    CHECK_FALSE(canSpareTrial(book, Crasher, all, 10s, Start + 2s));
    CHECK(canSpareTrial(book, Crasher, back, 10s, Start + 2s));
    CHECK(canSpareTrial(book, Crasher, all, 10s, Start + 11s));
}

// Guards against a crash that counts for nothing since other endpoints die meanwhile.
TEST_CASE("the death of a trial counts, whatever else dies")
{
    for (const bool trial : {false, true}) {
        SuspectBook book = makeBook();
        die(book, "a", 0s, Crasher);
        die(book, "x", 10ms, 20);
        die(book, "y", 20ms, 21);
        CHECK(soundDeaths(book, Crasher).empty());
        die(book, "b", 5s, Crasher, 40ms, trial);
        die(book, "z", 5s, 22);
        die(book, "w", 5s, 23);
        CHECK(soundDeaths(book, Crasher).size() == (trial ? 1 : 0));
    }
}

// Guards against condemning a request that hangs at an endpoint until that dies of something else.
TEST_CASE("a death after a far longer run than at the deaths before does not count")
{
    SuspectBook book = makeBook();
    die(book, "a", 0s, Crasher, 40ms);
    die(book, "b", 1s, Crasher, 90ms);
    die(book, "c", 5s, Crasher, 1800ms, true);
    CHECK(judge(book, Crasher, Start + 6s) == Verdict::Suspected);
    die(book, "d", 7s, Crasher, 300ms, true);
    CHECK(judge(book, Crasher, Start + 8s) == Verdict::Convicted);
}

TEST_CASE("a pardon takes back deaths and verdict")
{
    SuspectBook book = makeBook();
    for (const char *endpoint : {"a", "b", "c"}) {
        die(book, endpoint, 1s * (endpoint[0] - 'a'), Crasher);
    }
    REQUIRE(judge(book, Crasher, Start + 3s) == Verdict::Convicted);
    pardon(book, Crasher);
    CHECK(verdictOn(book, Crasher, Start + 3s) == Verdict::Unsuspected);
    CHECK(book.deathCount.empty());
}

// Guards against condemning a busy request while endpoints die of others in quick succession.
TEST_CASE("answers are remembered for a few seconds, and few of them")
{
    RecentAnswers answers;
    noteAnswer(answers, Harmless, Start);
    CHECK(wasAnsweredSince(answers, Harmless, Start - 1s));
    CHECK_FALSE(wasAnsweredSince(answers, Harmless, Start + 1s));
    CHECK_FALSE(wasAnsweredSince(answers, Crasher, Start - 1s));
    noteAnswer(answers, Harmless, Start + 4s);
    noteAnswer(answers, 20, Start + 6s);
    CHECK(wasAnsweredSince(answers, Harmless, Start + 4s));
    noteAnswer(answers, 20, Start + 12s);
    CHECK(answers.lastOf.size() == 1);
    for (std::uint64_t request = 100; request < 20'000; ++request) {
        noteAnswer(answers, request, Start + 12s);
    }
    CHECK(answers.lastOf.size() <= answers.maxAnswers);
    CHECK(answers.byTime.size() <= answers.maxAnswers);
}

TEST_CASE("several notices come through whole, and other bytes don't")
{
    SuspectNotice told;
    told.fingerprint = 0xfedcba9876543210ULL;
    told.endpoint = EndpointId{"i-1"};
    told.age = 2s;
    told.ranFor = 40ms;
    told.trial = true;
    SuspectNotice plain = told;
    plain.ranFor.reset();
    plain.trial = false;
    const std::string bytes = encodeSuspectNotices({told, plain});
    const auto back = decodeSuspectNotices(bytes);
    REQUIRE(back.size() == 2);
    CHECK(back[0].ranFor == told.ranFor);
    CHECK(back[0].trial);
    CHECK(back[1].fingerprint == told.fingerprint);
    CHECK_FALSE(back[1].ranFor);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
        CHECK(decodeSuspectNotices(bytes.substr(0, cut)).empty());
    }
}

TEST_CASE("a record comes through whole, bounded and with any bytes in its target")
{
    SuspectRecord record;
    record.label = {"desk.example", "/read/\xff" + std::string(1000, 'x'), CustomerId{"anna"}};
    record.deaths = {{EndpointId{"i-1"}, 40ms}, {EndpointId{"i-2"}, 0ms}};
    record.trial = SuspectTrial{Incarnation{"r.1"}, EndpointId{"i-3"}};
    record.convicted = true;
    const auto back = decodeSuspectRecord(encodeSuspectRecord(record));
    REQUIRE(back);
    REQUIRE(back->deaths.size() == 2);
    CHECK(back->deaths[0].endpoint == record.deaths[0].endpoint);
    CHECK(back->deaths[0].ranFor == 40ms);
    CHECK(back->convicted);
    CHECK(back->label.customer == record.label.customer);
    CHECK(back->label.target.size() < 300);
    REQUIRE(back->trial);
    CHECK(back->trial->endpoint == record.trial->endpoint);
    for (const char *text : {"", "7", "{}", R"({"host":1})", R"({"host":"","target":"","customer":"","deaths":[1]})"}) {
        CHECK_FALSE(decodeSuspectRecord(text));
    }
    CHECK(fingerprintOf(fingerprintText(Crasher)) == Crasher);
    CHECK_FALSE(fingerprintOf("7"));
    CHECK_FALSE(fingerprintOf("000000000000000g"));
}
