#include "godwit/suspects/recent_answers.h"
#include "godwit/suspects/suspect_admission.h"
#include "godwit/suspects/suspect_codec.h"
#include "godwit/suspects/suspect_key.h"
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

SuspectTracker makeTracker()
{
    SuspectTracker tracker;
    tracker.options.deathsToConvict = 3;
    tracker.options.firstRefuseFor = 15s;
    return tracker;
}

// Records a death of the endpoint at Start + `after`, with a run that was sent `ranFor` earlier.
void recordDeath(SuspectTracker &tracker,
                 const std::string &endpoint,
                 Duration after,
                 std::uint64_t fingerprint,
                 Duration ranFor = 40ms,
                 bool trial = false)
{
    const EndpointDeath death{EndpointId(endpoint), {}, DataCentreId("dc"), Start + after, {}};
    recordSuspect(tracker, death, fingerprint, {Start + after - ranFor, trial});
}

} // namespace

// Guards against a request that is never convicted since a part of its prompt was in flight at the same deaths.
TEST_CASE("a request is convicted although a part of its prompt is a suspect as well")
{
    constexpr std::uint64_t part = tagAsPromptPart(3);
    SuspectTracker tracker = makeTracker();
    tracker.options.convictionRequiresTrial = true;
    for (const std::uint64_t suspect : {Crasher, part}) {
        recordDeath(tracker, "a", 0s, suspect);
        recordDeath(tracker, "b", 1s, suspect);
    }
    EndpointDeath third{EndpointId("c"), {}, DataCentreId("dc"), Start + 3s, {}};
    recordSuspect(tracker, third, Crasher, {Start + 2s, true, true});
    recordSuspect(tracker, third, part, {Start + 2s});
    CHECK(evaluateSuspect(tracker, Crasher, Start + 4s) == Verdict::Convicted);
    CHECK(evaluateSuspect(tracker, part, Start + 4s) == Verdict::Suspected);
}

TEST_CASE("a suspected request is first unrestricted, then tried, then refused briefly, then refused for longer")
{
    SuspectTracker tracker = makeTracker();
    CHECK(admissionFor(tracker, Crasher, Start) == Admission::Unrestricted);
    recordDeath(tracker, "a", 0s, Crasher);
    CHECK(admissionFor(tracker, Crasher, Start + 1s) == Admission::Unrestricted);
    recordDeath(tracker, "b", 1s, Crasher);
    CHECK(admissionFor(tracker, Crasher, Start + 1100ms) == Admission::Deferred);
    CHECK(admissionFor(tracker, Crasher, Start + 2s) == Admission::Trial);
    recordDeath(tracker, "c", 3s, Crasher, 40ms, true);
    CHECK(evaluateSuspect(tracker, Crasher, Start + 4s) == Verdict::Convicted);
    CHECK(admissionFor(tracker, Crasher, Start + 18s) == Admission::Refused);
    CHECK(admissionFor(tracker, Crasher, Start + 20s) == Admission::Trial);
    recordDeath(tracker, "d", 21s, Crasher, 40ms, true);
    CHECK(evaluateSuspect(tracker, Crasher, Start + 22s) == Verdict::Convicted);
    CHECK(admissionFor(tracker, Crasher, Start + 30min) == Admission::Refused);
}

// Guards against convicting a frequent request of crashes caused by another one. The other request was in flight at
// each of the endpoints as well, but disconnected routers observed the two separately.
TEST_CASE("a conviction requires a death in a trial")
{
    SuspectTracker tracker = makeTracker();
    tracker.options.convictionRequiresTrial = true;
    recordDeath(tracker, "a", 0s, Harmless);
    recordDeath(tracker, "b", 1s, Harmless);
    recordDeath(tracker, "c", 2s, Harmless);
    CHECK(evaluateSuspect(tracker, Harmless, Start + 3s) == Verdict::Suspected);
    CHECK(admissionFor(tracker, Harmless, Start + 3s) == Admission::Trial);
    recordSuspect(
        tracker, {EndpointId{"d"}, {}, DataCentreId("dc"), Start + 4s, {}}, Harmless, {Start + 4s - 40ms, true, true});
    CHECK(evaluateSuspect(tracker, Harmless, Start + 5s) == Verdict::Convicted);
}

// Guards against convicting a frequent request while routers are disconnected: the others send it too, and notices of
// their answers do not arrive.
TEST_CASE("a router without connection to its peers convicts no request and defers further trials")
{
    SuspectTracker tracker = makeTracker();
    tracker.options.convictionRequiresTrial = true;
    tracker.connectedToPeers = false;
    recordDeath(tracker, "a", 0s, Harmless);
    recordDeath(tracker, "b", 1s, Harmless);
    CHECK(admissionFor(tracker, Harmless, Start + 2s) == Admission::Trial);
    recordSuspect(
        tracker, {EndpointId{"c"}, {}, DataCentreId("dc"), Start + 2s, {}}, Harmless, {Start + 2s - 40ms, true, true});
    CHECK(evaluateSuspect(tracker, Harmless, Start + 3s) == Verdict::Suspected);
    CHECK(admissionFor(tracker, Harmless, Start + 16s) == Admission::Deferred);
    CHECK(admissionFor(tracker, Harmless, Start + 17s) == Admission::Trial);
    tracker.connectedToPeers = true;
    CHECK(admissionFor(tracker, Harmless, Start + 3s) == Admission::Trial);
}

// Guards against convicting a frequent request whose trial shared the endpoint with a request that has one death, which
// is routed without restriction.
TEST_CASE("a death in a trial does not convict if another suspect was at the endpoint")
{
    constexpr std::uint64_t otherCrasher = 9;
    SuspectTracker tracker = makeTracker();
    tracker.options.convictionRequiresTrial = true;
    for (const std::uint64_t fingerprint : {Harmless, Crasher, otherCrasher}) {
        recordDeath(tracker, "a", 0s, fingerprint);
    }
    recordDeath(tracker, "b", 1s, Harmless);
    recordDeath(tracker, "b", 1s, otherCrasher);
    const EndpointDeath third{EndpointId{"c"}, {}, DataCentreId("dc"), Start + 2s, {}};
    recordSuspect(tracker, third, Harmless, {Start + 2s - 90ms, true, true});
    recordSuspect(tracker, third, Crasher, {Start + 2s - 30ms});
    CHECK(evaluateSuspect(tracker, Harmless, Start + 3s) == Verdict::Suspected);
    CHECK(admissionFor(tracker, Harmless, Start + 3s) == Admission::Trial);
    // The other request was answered, which leaves this one as the only suspect.
    clearAllEvidence(tracker, Crasher);
    CHECK(evaluateSuspect(tracker, Harmless, Start + 3s) == Verdict::Convicted);
}

// Guards against the same conviction if the trial is known from a stored record, which has neither the time of the
// death nor other requests.
TEST_CASE("another suspect at the endpoint of a trial is found regardless of the recorded time of its death")
{
    SuspectTracker tracker = makeTracker();
    tracker.options.convictionRequiresTrial = true;
    for (const char *endpoint : {"a", "b"}) {
        recordDeath(tracker, endpoint, 1s * (endpoint[0] - 'a'), Harmless);
    }
    recordDeath(tracker, "a", 0s, Crasher);
    recordDeath(tracker, "c", 5s, Crasher);
    const EndpointDeath fromRecord{EndpointId{"c"}, {}, DataCentreId("dc"), Start + 3s, {}};
    recordSuspect(tracker, fromRecord, Harmless, {Start + 3s - 30ms, true, true});
    CHECK(evaluateSuspect(tracker, Harmless, Start + 6s) == Verdict::Suspected);
}

// Guards against a refusal of an hour after many independently observed deaths of which only one was in a trial.
TEST_CASE("with convictionRequiresTrial, a long refusal requires a second death in a trial")
{
    SuspectTracker tracker = makeTracker();
    tracker.options.convictionRequiresTrial = true;
    for (const char *endpoint : {"a", "b", "c", "d", "e"}) {
        recordDeath(tracker, endpoint, 1s * (endpoint[0] - 'a'), Crasher);
    }
    const auto recordTrialDeath = [&tracker](const char *endpoint, Duration after) {
        recordSuspect(tracker,
                      {EndpointId{endpoint}, {}, DataCentreId("dc"), Start + after, {}},
                      Crasher,
                      {Start + after - 40ms, true, true});
    };
    recordTrialDeath("f", 6s);
    REQUIRE(evaluateSuspect(tracker, Crasher, Start + 7s) == Verdict::Convicted);
    CHECK(remainingRefusal(tracker, Crasher, Start + 7s) == Duration(15s));
    recordTrialDeath("g", 23s);
    REQUIRE(evaluateSuspect(tracker, Crasher, Start + 24s) == Verdict::Convicted);
    CHECK(remainingRefusal(tracker, Crasher, Start + 24s) == Duration(1h));
}

// Guards against convicting a request that many callers send and that is therefore in flight at each failing endpoint.
TEST_CASE("simultaneous deaths with one request in flight count once against it")
{
    SuspectTracker tracker = makeTracker();
    for (const char *endpoint : {"a", "b", "c", "d"}) {
        recordDeath(tracker, endpoint, 10ms * (endpoint[0] - 'a'), Harmless, 100ms);
    }
    CHECK(attributableDeaths(tracker, Harmless).size() == 1);
    CHECK(evaluateSuspect(tracker, Harmless, Start + 1s) == Verdict::Suspected);
    CHECK(admissionFor(tracker, Harmless, Start + 1s) == Admission::Unrestricted);
}

// Guards against a frequent request that prevents the conviction of another one because it is in flight everywhere.
TEST_CASE("a request sent before the earlier deaths does not make the evidence against another one ambiguous")
{
    SuspectTracker tracker = makeTracker();
    for (const char *endpoint : {"a", "b", "c"}) {
        const Duration after = 100ms * (endpoint[0] - 'a');
        recordDeath(tracker, endpoint, after, Crasher);
        recordDeath(tracker, endpoint, after, Harmless, 500ms);
    }
    CHECK(evaluateSuspect(tracker, Harmless, Start + 1s) == Verdict::Suspected);
    CHECK(evaluateSuspect(tracker, Crasher, Start + 1s) == Verdict::Convicted);
}

TEST_CASE("two requests with the same deaths are both tried until one is answered")
{
    SuspectTracker tracker = makeTracker();
    for (const char *endpoint : {"a", "b", "c"}) {
        recordDeath(tracker, endpoint, 1s * (endpoint[0] - 'a'), Crasher);
        recordDeath(tracker, endpoint, 1s * (endpoint[0] - 'a'), Harmless);
    }
    CHECK(evaluateSuspect(tracker, Crasher, Start + 3s) == Verdict::Suspected);
    CHECK(admissionFor(tracker, Crasher, Start + 3s) == Admission::Trial);
    CHECK(admissionFor(tracker, Harmless, Start + 3s) == Admission::Trial);
    clearAllEvidence(tracker, Harmless);
    CHECK(admissionFor(tracker, Harmless, Start + 3s) == Admission::Unrestricted);
    CHECK(evaluateSuspect(tracker, Crasher, Start + 3s) == Verdict::Convicted);
}

// Guards against an outage of the whole service while one request is tried.
TEST_CASE("a suspect is not tried at the last live endpoint of its service")
{
    SuspectTracker tracker = makeTracker();
    recordDeath(tracker, "a", 0s, Crasher);
    recordDeath(tracker, "b", 1s, Crasher);
    const std::vector<EndpointId> all{EndpointId("a"), EndpointId("b"), EndpointId("c")};
    const std::vector<EndpointId> afterRestart{EndpointId("a2"), EndpointId("b"), EndpointId("c")};
    CHECK_FALSE(hasSpareEndpointForTrial(tracker, Crasher, all, 10s, Start + 2s));
    CHECK(hasSpareEndpointForTrial(tracker, Crasher, afterRestart, 10s, Start + 2s));
    CHECK(hasSpareEndpointForTrial(tracker, Crasher, all, 10s, Start + 11s));
}

// Guards against a crash in a trial that does not count because other endpoints die at the same time.
TEST_CASE("a death in a trial counts regardless of coincident deaths")
{
    for (const bool trial : {false, true}) {
        SuspectTracker tracker = makeTracker();
        recordDeath(tracker, "a", 0s, Crasher);
        recordDeath(tracker, "x", 10ms, 20);
        recordDeath(tracker, "y", 20ms, 21);
        CHECK(attributableDeaths(tracker, Crasher).empty());
        recordDeath(tracker, "b", 5s, Crasher, 40ms, trial);
        recordDeath(tracker, "z", 5s, 22);
        recordDeath(tracker, "w", 5s, 23);
        CHECK(attributableDeaths(tracker, Crasher).size() == (trial ? 1 : 0));
    }
}

// Guards against convicting a request that hangs at an endpoint until the endpoint dies of another cause.
TEST_CASE("a death after a much longer run than at the earlier deaths does not count")
{
    SuspectTracker tracker = makeTracker();
    recordDeath(tracker, "a", 0s, Crasher, 40ms);
    recordDeath(tracker, "b", 1s, Crasher, 90ms);
    recordDeath(tracker, "c", 5s, Crasher, 1800ms, true);
    CHECK(evaluateSuspect(tracker, Crasher, Start + 6s) == Verdict::Suspected);
    recordDeath(tracker, "d", 7s, Crasher, 300ms, true);
    CHECK(evaluateSuspect(tracker, Crasher, Start + 8s) == Verdict::Convicted);
}

TEST_CASE("clearing all evidence removes deaths and verdict")
{
    SuspectTracker tracker = makeTracker();
    for (const char *endpoint : {"a", "b", "c"}) {
        recordDeath(tracker, endpoint, 1s * (endpoint[0] - 'a'), Crasher);
    }
    REQUIRE(evaluateSuspect(tracker, Crasher, Start + 3s) == Verdict::Convicted);
    clearAllEvidence(tracker, Crasher);
    CHECK(verdictFor(tracker, Crasher, Start + 3s) == Verdict::Unsuspected);
    CHECK(tracker.deathCount.empty());
}

// Guards against convicting a frequent request while others crash endpoints in quick succession.
TEST_CASE("answers are retained for a few seconds and in bounded number")
{
    RecentAnswers answers;
    recordAnswer(answers, Harmless, Start);
    CHECK(wasAnsweredSince(answers, Harmless, Start - 1s));
    CHECK_FALSE(wasAnsweredSince(answers, Harmless, Start + 1s));
    CHECK_FALSE(wasAnsweredSince(answers, Crasher, Start - 1s));
    recordAnswer(answers, Harmless, Start + 4s);
    recordAnswer(answers, 20, Start + 6s);
    CHECK(wasAnsweredSince(answers, Harmless, Start + 4s));
    recordAnswer(answers, 20, Start + 12s);
    CHECK(answers.lastAnswerTimes.size() == 1);
    for (std::uint64_t request = 100; request < 20'000; ++request) {
        recordAnswer(answers, request, Start + 12s);
    }
    CHECK(answers.lastAnswerTimes.size() <= answers.maxAnswers);
    CHECK(answers.byTime.size() <= answers.maxAnswers);
}

TEST_CASE("several notices survive a round trip, and truncated messages are rejected")
{
    SuspectNotice notice;
    notice.fingerprint = 0xfedcba9876543210ULL;
    notice.endpoint = EndpointId{"i-1"};
    notice.age = 2s;
    notice.ranFor = 40ms;
    notice.trial = true;
    SuspectNotice plain = notice;
    plain.ranFor.reset();
    plain.trial = false;
    const std::string bytes = encodeSuspectNotices({notice, plain});
    const auto decoded = decodeSuspectNotices(bytes);
    REQUIRE(decoded.size() == 2);
    CHECK(decoded[0].ranFor == notice.ranFor);
    CHECK(decoded[0].trial);
    CHECK(decoded[1].fingerprint == notice.fingerprint);
    CHECK_FALSE(decoded[1].ranFor);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
        CHECK(decodeSuspectNotices(bytes.substr(0, cut)).empty());
    }
}

TEST_CASE("a record survives a round trip, with a bounded target of arbitrary bytes")
{
    SuspectRecord record;
    record.label = {"desk.example", "/read/\xff" + std::string(1000, 'x'), CustomerId{"anna"}};
    record.deaths = {{EndpointId{"i-1"}, 40ms}, {EndpointId{"i-2"}, 0ms}};
    record.trial = SuspectTrial{Incarnation{"r.1"}, EndpointId{"i-3"}};
    record.convicted = true;
    const auto decoded = decodeSuspectRecord(encodeSuspectRecord(record));
    REQUIRE(decoded);
    REQUIRE(decoded->deaths.size() == 2);
    CHECK(decoded->deaths[0].endpoint == record.deaths[0].endpoint);
    CHECK(decoded->deaths[0].ranFor == 40ms);
    CHECK(decoded->convicted);
    CHECK(decoded->label.customer == record.label.customer);
    CHECK(decoded->label.target.size() < 300);
    REQUIRE(decoded->trial);
    CHECK(decoded->trial->endpoint == record.trial->endpoint);
    for (const char *text : {"", "7", "{}", R"({"host":1})", R"({"host":"","target":"","customer":"","deaths":[1]})"}) {
        CHECK_FALSE(decodeSuspectRecord(text));
    }
    CHECK(parseFingerprint(formatFingerprint(Crasher)) == Crasher);
    CHECK_FALSE(parseFingerprint("7"));
    CHECK_FALSE(parseFingerprint("000000000000000g"));
}
