#pragma once

// What the system promises, checked from what callers and endpoints see while a soak runs.
//
// Example:
//   noteSent(promises, "attempt-1", request);
//   noteRun(promises, endpoint, "attempt-1", now);
//   noteOutcome(promises, "attempt-1", outcome, now);
//   const bool kept = promises.breaches.empty();

#include "godwit/base/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit::Soak
{

// Bounds of the deployment under test.
constexpr Duration DrainBound = std::chrono::milliseconds(2000);
constexpr Duration DocumentBound = std::chrono::milliseconds(2000);
// How long a router must have been undisturbed before bounds in time hold for it.
constexpr Duration ContactTime = std::chrono::milliseconds(3000);
// After a router showed one document, requests sent later than this must not meet an older one.
constexpr Duration RollbackSlack = std::chrono::milliseconds(250);
// A request under which so many endpoints died may be sent so often later than ContactTime after that.
constexpr std::size_t DeathsThatTell = 3;
constexpr int SendsAfterwards = 3;
// The same for requests that share a part of their prompts.
constexpr std::size_t DeathsThatTellOfPart = 5;
// Of the requests of every route.
constexpr std::chrono::milliseconds RouteTimeout(2500);
// A router ends a request so long before its caller's deadline, and an endpoint may do so 1 ms earlier, since the time
// that it is given is rounded down.
constexpr Duration AnswerMargin = std::chrono::milliseconds(15 + 1);
constexpr Duration RepeatWindow = std::chrono::seconds(10);
// An endpoint may be handed so much more time than is left; so many times, and in such a part of the sends that are
// looked at, more than that.
constexpr Duration TimeLeftSlack = std::chrono::milliseconds(500);
constexpr int TooLongAllowed = 20;
constexpr double TooLongPart = 0.2;

enum class Promise {
    Overspend,
    SecondRun,
    TooManyRuns,
    ForeignAnswer,
    CutLooksWhole,
    FalseRefusal,
    SentToLeaving,
    PlannedCut,
    StopTooLong,
    DocumentLate,
    DocumentBack,
    Crash,
    RepeatsBeyond,
    CrashesOn,
    Condemned,
    TimeHandedOn,
    PartitionedRefuse,
    BrittleCrashes,
    MixedStreams,
};

std::string_view promiseName(Promise promise);

enum class RequestKind {
    Read, // May be repeated.
    Book, // Runs at most once.
    Chat, // A stream that runs at most once.
    Write, // A stream that may go on at another endpoint.
};

struct SentRequest
{
    RequestKind kind = RequestKind::Read;
    std::size_t router = 0;
    bool prepaid = false;
    std::int64_t promptTokens = 0;
    Duration timeLeft{}; // That its caller gives it.
    TimePoint sentAt;
    std::optional<TimePoint> firstArrival; // At an endpoint.
    TimePoint firstEnds; // When the time is up that the first endpoint was handed.
    std::vector<std::size_t> runs; // Endpoints, in the order of their runs.
    int events = 0; // That its caller got.
    unsigned status = 0; // Of its answer; 0: none yet.
    bool crashes = false; // Its endpoint dies of it.
    bool endsUndeclared = false; // An endpoint's answer to it ended with its connection.
    bool wholeUndeclared = false; // The same of one that either is whole or was broken off by the end of its process.
    std::string resumes; // The first try of the stream that it takes up; empty: a new request.
    int resumedAfter = 0; // The last event of that stream that its caller has.
    std::string version; // Of the endpoint of its latest run.
};

enum class OutcomeKind {
    NotConnected,
    Unfinished, // The caller gave up waiting.
    Cut, // The connection ended before the whole answer.
    Damaged, // Bytes came that are no answer.
    Answered,
};

struct Outcome
{
    OutcomeKind kind = OutcomeKind::NotConnected;
    unsigned status = 0;
    std::string attempt; // As the answer names it.
    std::string seal;
    std::string body; // What was read of it.
    bool bytesAfter = false; // More came than the answer.
    bool endDeclared = true; // By a length or a last chunk.
};

struct Breach
{
    Promise promise = Promise::Overspend;
    TimePoint at;
    std::string attempt; // May be empty.
    std::string text;
};

// A moment up to which something was disturbed. It lies ahead while a disturbance of known length lasts.
struct Disturbances
{
    TimePoint store;
    TimePoint unplanned; // Of anything, but for planned work.
    std::vector<TimePoint> routers; // Planned work among it.
    std::vector<TimePoint> endpoints;
};

struct DocumentView
{
    int boot = 0;
    int newest = 0;
    TimePoint seenAt;
};

// What callers asked of one service, and what reached its endpoints.
struct ServiceTraffic
{
    std::vector<TimePoint> requests; // In the order of their sending.
    std::vector<TimePoint> repeats; // Arrivals beyond the first of a request, refused ones too.
    std::set<std::string> arrived; // Requests.
    std::size_t mostRepeats = 0; // In the window that used most of its allowance.
    double allowedThen = 0;
    double mostUsed = 0; // The part that it used.
    std::size_t mostBeyond = 0; // Repeats in the window that went furthest beyond its allowance.
    double beyondAllowed = 0;
    int windowsBeyond = 0; // That don't overlap.
    std::optional<TimePoint> lastBeyond; // The end of the latest of them.
};

// How often endpoints were handed more time than was left.
struct TimeHanded
{
    int sends = 0; // By routers in touch.
    int lateRepeats = 0; // Of them, over TimeLeftSlack after the first.
    int tooLong = 0;
    int lateOrTooLong = 0;
};

struct DocumentAttempts
{
    TimePoint since;
    std::size_t mostEndpoints = 0; // For one request that may be repeated.
};

// What became of a request under which endpoints die.
struct CrashHistory
{
    std::size_t deathsThatTell = DeathsThatTell;
    std::vector<TimePoint> deaths;
    int sentAfterwards = 0; // By routers in touch.
};

// First attempts of callers at routers in touch, later than ContactTime after a partition began.
struct AttemptCount
{
    int sent = 0;
    int served = 0;
};

// A time in which some routers are partitioned from all endpoints.
struct PartitionSpell
{
    TimePoint from;
    TimePoint until;
    std::set<std::size_t> routers;
    AttemptCount partitioned;
    AttemptCount others;
};

// A time in which the endpoints of the plain service are brittle.
struct BrittleSpell
{
    std::size_t endpoints = 0;
    std::size_t crashes = 0; // Those after rejections that came mostly from routers in touch.
    std::size_t otherCrashes = 0;
};

struct Rejection
{
    TimePoint at;
    bool fromRouterInTouch = false;
};

// Streams that callers take up again.
struct ResumptionCounts
{
    int sent = 0;
    int wentOn = 0;
    int mixed = 0; // Runs that continued a stream at another version.
};

struct Promises
{
    std::map<std::string, SentRequest> requests;
    std::vector<BrittleSpell> brittleSpells;
    std::map<std::size_t, std::vector<Rejection>> rejections; // By endpoint.
    ResumptionCounts resumptions;
    std::map<std::string, CrashHistory> crashes; // By target, or by part of the prompt.
    std::vector<PartitionSpell> partitions;
    std::vector<std::optional<TimePoint>> leavingSince; // By endpoint.
    std::int64_t prepaidTotal = 0;
    std::int64_t spent = 0;
    double repeatRatio = 0; // Of a service's requests in a window, that the fleet may repeat.
    double repeatSlack = 0; // Repeats of a service in a window besides.
    std::map<std::string, ServiceTraffic> traffic; // By service.
    TimeHanded timeHanded;
    std::vector<DocumentAttempts> attempts; // By document.
    int document = 0; // The newest that was put into the store.
    TimePoint documentAt;
    std::vector<DocumentView> views; // By router.
    Disturbances disturbed;
    std::vector<Breach> breaches;
    std::map<std::string, int> outcomes;
};

TimePoint steadyNow();

void noteBreach(Promises &promises, Promise promise, const std::string &attempt, std::string text);
void noteSent(Promises &promises, const std::string &attempt, const SentRequest &request);
// A request of any kind that a caller sends to a service.
void noteRequest(Promises &promises, const std::string &service, TimePoint now);
// An endpoint of the service got a request, whether it runs it or refuses it.
void noteArrival(Promises &promises, const std::string &service, const std::string &attempt, TimePoint now);
// The time left that the endpoint was handed with it; nullopt: none.
void noteTimeHanded(Promises &promises, const std::string &attempt, std::optional<Duration> handed, TimePoint now);
void noteRun(Promises &promises, std::size_t endpoint, const std::string &attempt, TimePoint now);
// It runs, and its endpoint will die of it; the endpoint has died of it.
void noteCrashRun(Promises &promises, const std::string &target, const std::string &attempt, TimePoint now);
void noteCrash(Promises &promises, const std::string &target, TimePoint now);
// Of all such requests so far.
std::size_t crashCount(const Promises &promises);
// A brittle endpoint has rejected the request, or crashed since it has rejected too many.
void noteRejection(Promises &promises, std::size_t endpoint, const std::string &attempt, TimePoint now);
void noteBrittleCrash(Promises &promises, std::size_t endpoint, TimePoint now);
// It runs at an endpoint of this version. `continues`: from after an event that its caller already has.
void noteVersion(Promises &promises, const std::string &attempt, const std::string &version, bool continues);
// An endpoint answers it without a length or chunks.
void noteUndeclaredEnd(Promises &promises, const std::string &attempt);
// The same of an endpoint whose process ends in the middle of answers: no part of one may pass for the whole.
void noteUndeclaredWhole(Promises &promises, const std::string &attempt);
// Compares how often partitioned routers and the others served, for each partition that has ended.
void checkPartitions(Promises &promises);
// `events`: whole events that its caller has by now.
void noteEvents(Promises &promises, const std::string &attempt, int events);
void noteOutcome(Promises &promises, const std::string &attempt, const Outcome &outcome, TimePoint now);

// What one router said to a request for the route that only document `version` has.
struct DocumentAnswer
{
    std::size_t router = 0;
    int boot = 0; // The router's, before the request and after its answer.
    int version = 0;
    unsigned status = 0;
    TimePoint sentAt;
};
void noteDocument(Promises &promises, const DocumentAnswer &answer, TimePoint now);

// Whole events in the body of a stream.
int countEvents(std::string_view body);

// Streams of the endpoints.
constexpr int EventsOfStream = 12;
constexpr int TokensPerEvent = 10;

} // namespace Godwit::Soak
