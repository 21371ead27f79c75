#include "soak/promises.h"

#include "godwit/base/enum_names.h"

#include <algorithm>

namespace Godwit::Soak
{
namespace
{

constexpr EnumName<Promise> PromiseNames[] = {
    {Promise::Overspend, "budget overspent"},
    {Promise::SecondRun, "second run"},
    {Promise::TooManyRuns, "more endpoints than attempts allowed"},
    {Promise::ForeignAnswer, "foreign or damaged answer"},
    {Promise::CutLooksWhole, "cut answer looks whole"},
    {Promise::FalseRefusal, "refused, yet it has run"},
    {Promise::SentToLeaving, "request to an endpoint that leaves"},
    {Promise::PlannedCut, "planned work cut an answer"},
    {Promise::StopTooLong, "a stop took too long"},
    {Promise::DocumentLate, "document not in force"},
    {Promise::DocumentBack, "document went back"},
    {Promise::Crash, "router ended by itself"},
    {Promise::RepeatsBeyond, "repeats beyond the allowance"},
    {Promise::PartitionedRefuse, "partitioned routers served far less often than the others"},
    {Promise::BrittleCrashes, "brittle endpoints crashed under rejected requests"},
    {Promise::MixedStreams, "streams hold events of two versions"},
    {Promise::CrashesOn, "a request that crashes endpoints was sent on"},
    {Promise::Condemned, "a harmless request was condemned"},
    {Promise::TimeHandedOn, "endpoints were handed more time than is left"},
};

constexpr unsigned NotFound = 404;
constexpr std::string_view AnswerBegins = "done by ";

bool runsAtMostOnce(RequestKind kind)
{
    return kind == RequestKind::Book || kind == RequestKind::Chat;
}

bool isStream(RequestKind kind)
{
    return kind == RequestKind::Chat || kind == RequestKind::Write;
}

bool saysNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// All events of the request's stream, or those that are left of the stream that it takes up.
std::string wholeStream(const std::string &attempt, const SentRequest &request)
{
    std::string text;
    for (int i = request.resumedAfter + 1; i <= EventsOfStream; ++i) {
        const std::string number = std::to_string(i);
        text.append("id: ").append(number).append("\ndata: part ").append(number).append(" for ");
        text.append(attempt).append("\n\n");
    }
    return text;
}

bool beginsWith(std::string_view text, std::string_view start)
{
    return text.substr(0, start.size()) == start;
}

bool endsWith(std::string_view text, std::string_view end)
{
    return text.size() >= end.size() && text.substr(text.size() - end.size()) == end;
}

void checkSpent(Promises &promises, const std::string &attempt)
{
    if (promises.spent > promises.prepaidTotal) {
        noteBreach(promises,
                   Promise::Overspend,
                   attempt,
                   "served " + std::to_string(promises.spent) + " tokens of " + std::to_string(promises.prepaidTotal));
    }
}

bool routerInTouch(const Promises &promises, std::size_t router, TimePoint now)
{
    return std::max(promises.disturbed.store, promises.disturbed.routers[router]) + ContactTime < now;
}

// The store must have been stable when it acknowledged the leaving; the router and the link to the endpoint now.
void checkLeaving(Promises &promises, std::size_t endpoint, const std::string &attempt, TimePoint now)
{
    const auto &since = promises.leavingSince[endpoint];
    const SentRequest &request = promises.requests[attempt];
    if (!since || now <= *since + DrainBound || !routerInTouch(promises, request.router, now)
        || promises.disturbed.store + ContactTime > *since
        || promises.disturbed.endpoints[endpoint] + ContactTime > now) {
        return;
    }
    const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(now - *since).count();
    noteBreach(promises,
               Promise::SentToLeaving,
               attempt,
               "router-" + std::to_string(request.router) + " sent it to endpoint " + std::to_string(endpoint) + ", "
                   + std::to_string(after) + " ms after that had said that it leaves");
}

bool isWhole(const std::string &attempt, const SentRequest &request, const Outcome &outcome)
{
    return isStream(request.kind) ? outcome.body == wholeStream(attempt, request)
                                  : beginsWith(outcome.body, AnswerBegins) && endsWith(outcome.body, " for " + attempt);
}

// Of a stream, one or more whole events.
bool isBeginning(const std::string &attempt, const SentRequest &request, const Outcome &outcome)
{
    if (isStream(request.kind)) {
        return endsWith(outcome.body, "\n\n") && beginsWith(wholeStream(attempt, request), outcome.body);
    }
    return beginsWith(outcome.body, AnswerBegins.substr(0, outcome.body.size()));
}

void checkAnswer(Promises &promises, const std::string &attempt, const SentRequest &request, const Outcome &outcome)
{
    if (!outcome.attempt.empty() && outcome.attempt != attempt) {
        noteBreach(promises, Promise::ForeignAnswer, attempt, "the answer names attempt " + outcome.attempt);
        return;
    }
    if (outcome.bytesAfter) {
        noteBreach(promises, Promise::ForeignAnswer, attempt, "bytes follow the whole answer");
    }
    if (outcome.status / 100 != 2) {
        return;
    }
    if (outcome.attempt != attempt || outcome.seal != "seal." + attempt) {
        noteBreach(promises, Promise::ForeignAnswer, attempt, "a success with seal '" + outcome.seal + "'");
        return;
    }
    if (!outcome.endDeclared && !request.endsUndeclared && !request.wholeUndeclared) {
        noteBreach(promises, Promise::CutLooksWhole, attempt, "nobody declares an end that its endpoint declared");
    }
    const bool mayBeCut = !outcome.endDeclared && request.endsUndeclared;
    if (!isWhole(attempt, request, outcome) && !(mayBeCut && isBeginning(attempt, request, outcome))) {
        noteBreach(promises,
                   Promise::CutLooksWhole,
                   attempt,
                   std::string("status 200, ") + (outcome.endDeclared ? "declared whole" : "ended in order")
                       + ", with the body: " + outcome.body);
    }
}

// Events that came before a stream broke off are its own and in order.
void checkCut(Promises &promises, const std::string &attempt, const SentRequest &request, const Outcome &outcome)
{
    const std::string whole = isStream(request.kind) ? wholeStream(attempt, request) : std::string();
    const auto lastWhole = outcome.body.rfind("\n\n");
    if (isStream(request.kind) && lastWhole != std::string::npos
        && !beginsWith(whole, outcome.body.substr(0, lastWhole + 2))) {
        noteBreach(promises, Promise::ForeignAnswer, attempt, "a stream that broke off after: " + outcome.body);
    }
}

void checkPlannedCut(Promises &promises, const std::string &attempt, const SentRequest &request, TimePoint now)
{
    if (request.runs.empty() || promises.disturbed.unplanned + ContactTime >= request.sentAt) {
        return;
    }
    if (request.timeLeft < RouteTimeout && now + AnswerMargin >= request.sentAt + request.timeLeft) {
        return; // At its deadline.
    }
    const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(now - request.sentAt).count();
    noteBreach(promises,
               Promise::PlannedCut,
               attempt,
               "router-" + std::to_string(request.router) + " cut it after " + std::to_string(after)
                   + " ms, with no unplanned disturbance since 3 s before it was sent");
}

// By the documents that may have been in force since the request was sent.
std::size_t endpointsAllowed(const Promises &promises, TimePoint sentAt)
{
    std::size_t most = 0;
    for (std::size_t i = 0; i < promises.attempts.size(); ++i) {
        const bool replaced =
            i + 1 < promises.attempts.size() && promises.attempts[i + 1].since + DocumentBound < sentAt;
        most = replaced ? most : std::max(most, promises.attempts[i].mostEndpoints);
    }
    return most;
}

// Moments after `from`, and up to `to`.
std::size_t countBetween(const std::vector<TimePoint> &moments, TimePoint from, TimePoint to)
{
    const auto first = std::upper_bound(moments.begin(), moments.end(), from);
    return static_cast<std::size_t>(std::upper_bound(first, moments.end(), to) - first);
}

// The requests of this window, of the one before it or of the one half a window before it, whichever are most.
double allowedRepeats(const Promises &promises, const ServiceTraffic &traffic, TimePoint now)
{
    std::size_t most = 0;
    for (const Duration ago : {Duration::zero(), RepeatWindow / 2, RepeatWindow}) {
        most = std::max(most, countBetween(traffic.requests, now - ago - RepeatWindow, now - ago));
    }
    return promises.repeatRatio * static_cast<double>(most) + promises.repeatSlack;
}

void countPartitioned(Promises &promises, const SentRequest &request, const Outcome &outcome)
{
    for (PartitionSpell &spell : promises.partitions) {
        const bool during = request.sentAt > spell.from + ContactTime && request.sentAt < spell.until;
        if (!during || request.crashes || !routerInTouch(promises, request.router, request.sentAt)) {
            continue;
        }
        AttemptCount &count = spell.routers.count(request.router) != 0 ? spell.partitioned : spell.others;
        ++count.sent;
        count.served += outcome.status / 100 == 2 ? 1 : 0;
    }
}

} // namespace

std::string_view promiseName(Promise promise)
{
    return enumName(PromiseNames, promise);
}

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

void noteBreach(Promises &promises, Promise promise, const std::string &attempt, std::string text)
{
    promises.breaches.push_back({promise, steadyNow(), attempt, std::move(text)});
}

void noteSent(Promises &promises, const std::string &attempt, const SentRequest &request)
{
    promises.requests[attempt] = request;
}

void noteRequest(Promises &promises, const std::string &service, TimePoint now)
{
    promises.traffic[service].requests.push_back(now);
}

void noteArrival(Promises &promises, const std::string &service, const std::string &attempt, TimePoint now)
{
    ServiceTraffic &traffic = promises.traffic[service];
    if (traffic.arrived.insert(attempt).second) {
        return;
    }
    traffic.repeats.push_back(now);
    const std::size_t repeats = countBetween(traffic.repeats, now - RepeatWindow, now);
    const double allowed = allowedRepeats(promises, traffic, now);
    const double used = static_cast<double>(repeats) / allowed;
    if (used > traffic.mostUsed) {
        traffic.mostUsed = used;
        traffic.mostRepeats = repeats;
        traffic.allowedThen = allowed;
    }
    const double beyond = static_cast<double>(repeats) - allowed;
    if (beyond <= 0) {
        return;
    }
    if (!traffic.lastBeyond || now - *traffic.lastBeyond >= RepeatWindow) {
        ++traffic.windowsBeyond;
        traffic.lastBeyond = now;
    }
    if (beyond > static_cast<double>(traffic.mostBeyond) - traffic.beyondAllowed) {
        traffic.mostBeyond = repeats;
        traffic.beyondAllowed = allowed;
        noteBreach(promises,
                   Promise::RepeatsBeyond,
                   attempt,
                   std::to_string(repeats) + " repeats at " + service + " in "
                       + std::to_string(RepeatWindow.count() / 1'000'000) + " s, "
                       + std::to_string(static_cast<int>(allowed)) + " allowed");
    }
}

void noteTimeHanded(Promises &promises, const std::string &attempt, std::optional<Duration> handed, TimePoint now)
{
    const auto found = promises.requests.find(attempt);
    if (found == promises.requests.end()) {
        return;
    }
    SentRequest &request = found->second;
    const bool first = !request.firstArrival;
    if (first) {
        request.firstArrival = now;
        request.firstEnds = now + handed.value_or(request.timeLeft);
    }
    if (!routerInTouch(promises, request.router, now)) {
        return;
    }
    TimeHanded &counts = promises.timeHanded;
    ++counts.sends;
    const bool lateRepeat = !first && now > *request.firstArrival + TimeLeftSlack;
    counts.lateRepeats += lateRepeat ? 1 : 0;
    const TimePoint latestEnd = std::max(request.firstEnds, request.sentAt + request.timeLeft) + TimeLeftSlack;
    const bool tooLong =
        !handed || *handed > request.timeLeft + TimeLeftSlack || (lateRepeat && now + *handed > latestEnd);
    counts.lateOrTooLong += lateRepeat || tooLong ? 1 : 0;
    if (!tooLong) {
        return;
    }
    ++counts.tooLong;
    if (counts.tooLong > TooLongAllowed && counts.tooLong > TooLongPart * counts.lateOrTooLong) {
        noteBreach(promises,
                   Promise::TimeHandedOn,
                   attempt,
                   std::to_string(counts.tooLong) + " sends with too long a time of "
                       + std::to_string(counts.lateRepeats) + " late ones; this one by router-"
                       + std::to_string(request.router));
    }
}

void noteRun(Promises &promises, std::size_t endpoint, const std::string &attempt, TimePoint now)
{
    const auto found = promises.requests.find(attempt);
    if (found == promises.requests.end()) {
        return; // A request for a document, or a check of health.
    }
    SentRequest &request = found->second;
    request.runs.push_back(endpoint);
    if (request.prepaid && request.runs.size() == 1) {
        promises.spent += request.promptTokens;
        checkSpent(promises, attempt);
    }
    if (request.runs.size() > 1 && runsAtMostOnce(request.kind)) {
        noteBreach(promises,
                   Promise::SecondRun,
                   attempt,
                   "ran at endpoint " + std::to_string(request.runs[0]) + " and at " + std::to_string(endpoint));
    }
    if (request.runs.size() > endpointsAllowed(promises, request.sentAt)) {
        noteBreach(promises, Promise::TooManyRuns, attempt, std::to_string(request.runs.size()) + " runs");
    }
    if (saysNotRun(request.status) && runsAtMostOnce(request.kind)) {
        noteBreach(promises, Promise::FalseRefusal, attempt, "runs after an answer " + std::to_string(request.status));
    }
    checkLeaving(promises, endpoint, attempt, now);
}

void noteRejection(Promises &promises, std::size_t endpoint, const std::string &attempt, TimePoint now)
{
    const auto found = promises.requests.find(attempt);
    const bool inTouch = found != promises.requests.end() && routerInTouch(promises, found->second.router, now);
    promises.rejections[endpoint].push_back({now, inTouch});
}

void noteBrittleCrash(Promises &promises, std::size_t endpoint, TimePoint now)
{
    constexpr std::size_t allowed = 2;
    constexpr std::size_t endpointsPerFurtherCrash = 10;
    if (promises.brittleSpells.empty()) {
        return;
    }
    std::size_t recent = 0;
    std::size_t inTouch = 0;
    for (const Rejection &rejection : promises.rejections[endpoint]) {
        if (rejection.at > now - std::chrono::seconds(1)) {
            ++recent;
            inTouch += rejection.fromRouterInTouch ? 1 : 0;
        }
    }
    BrittleSpell &spell = promises.brittleSpells.back();
    if (inTouch * 2 <= recent) {
        ++spell.otherCrashes;
        return;
    }
    ++spell.crashes;
    if (spell.crashes > allowed + spell.endpoints / endpointsPerFurtherCrash) {
        noteBreach(promises,
                   Promise::BrittleCrashes,
                   {},
                   std::to_string(spell.crashes) + " times, " + std::to_string(spell.endpoints) + " endpoints");
    }
}

void noteVersion(Promises &promises, const std::string &attempt, const std::string &version, bool continues)
{
    constexpr int allowedMixed = 2;
    const auto found = promises.requests.find(attempt);
    if (found == promises.requests.end()) {
        return;
    }
    SentRequest &request = found->second;
    const std::string &began = request.version.empty() ? promises.requests[request.resumes].version : request.version;
    if (continues && began != version && ++promises.resumptions.mixed > allowedMixed) {
        noteBreach(promises, Promise::MixedStreams, attempt, "began at " + began + " and goes on at " + version);
    }
    request.version = version;
}

void noteCrashRun(Promises &promises, const std::string &target, const std::string &attempt, TimePoint now)
{
    CrashHistory &history = promises.crashes[target];
    const auto request = promises.requests.find(attempt);
    if (request == promises.requests.end() || history.deaths.size() < history.deathsThatTell
        || now <= history.deaths[history.deathsThatTell - 1] + ContactTime) {
        return;
    }
    const Disturbances &disturbed = promises.disturbed;
    const bool inTouch =
        now > disturbed.routers[request->second.router] + ContactTime && now > disturbed.store + ContactTime;
    history.sentAfterwards += inTouch ? 1 : 0;
    if (inTouch && history.sentAfterwards > SendsAfterwards) {
        noteBreach(promises,
                   Promise::CrashesOn,
                   attempt,
                   target + ": sent " + std::to_string(history.sentAfterwards) + " times more, "
                       + std::to_string(history.deaths.size()) + " endpoints have died");
    }
}

void noteCrash(Promises &promises, const std::string &target, TimePoint now)
{
    promises.crashes[target].deaths.push_back(now);
}

std::size_t crashCount(const Promises &promises)
{
    std::size_t count = 0;
    for (const auto &[target, history] : promises.crashes) {
        count += history.deaths.size();
    }
    return count;
}

void noteUndeclaredEnd(Promises &promises, const std::string &attempt)
{
    const auto found = promises.requests.find(attempt);
    if (found != promises.requests.end()) {
        found->second.endsUndeclared = true;
    }
}

void noteUndeclaredWhole(Promises &promises, const std::string &attempt)
{
    const auto found = promises.requests.find(attempt);
    if (found != promises.requests.end()) {
        found->second.wholeUndeclared = true;
    }
}

void noteEvents(Promises &promises, const std::string &attempt, int events)
{
    SentRequest &request = promises.requests[attempt];
    const int more = events - request.events;
    request.events = events;
    if (request.prepaid && more > 0) {
        promises.spent += static_cast<std::int64_t>(more) * TokensPerEvent;
        checkSpent(promises, attempt);
    }
}

void checkPartitions(Promises &promises)
{
    constexpr int allowedFailures = 10;
    constexpr int attemptsPerFurtherFailure = 50;
    for (const PartitionSpell &spell : promises.partitions) {
        const AttemptCount &cut = spell.partitioned;
        const AttemptCount &others = spell.others;
        const int allowed = allowedFailures + (cut.sent + others.sent) / attemptsPerFurtherFailure;
        if (cut.served * others.sent * 3 < others.served * cut.sent * 2 && cut.sent - cut.served > allowed) {
            noteBreach(promises,
                       Promise::PartitionedRefuse,
                       "",
                       std::to_string(cut.served) + " of " + std::to_string(cut.sent) + " served, the others "
                           + std::to_string(others.served) + " of " + std::to_string(others.sent));
        }
    }
}

void noteOutcome(Promises &promises, const std::string &attempt, const Outcome &outcome, TimePoint now)
{
    SentRequest &request = promises.requests[attempt];
    countPartitioned(promises, request, outcome);
    switch (outcome.kind) {
    case OutcomeKind::NotConnected:
        ++promises.outcomes["not connected"];
        return;
    case OutcomeKind::Unfinished:
        ++promises.outcomes["given up"];
        checkCut(promises, attempt, request, outcome);
        return;
    case OutcomeKind::Cut:
        ++promises.outcomes["cut"];
        checkCut(promises, attempt, request, outcome);
        checkPlannedCut(promises, attempt, request, now);
        return;
    case OutcomeKind::Damaged:
        noteBreach(promises, Promise::ForeignAnswer, attempt, "bytes that are no answer, after: " + outcome.body);
        return;
    case OutcomeKind::Answered:
        break;
    }
    request.status = outcome.status;
    ++promises.outcomes[std::to_string(outcome.status)];
    if (!request.crashes && outcome.body.find("suspect_request") != std::string::npos) {
        noteBreach(promises, Promise::Condemned, attempt, outcome.body);
    }
    if (saysNotRun(outcome.status) && runsAtMostOnce(request.kind) && !request.runs.empty()) {
        noteBreach(promises,
                   Promise::FalseRefusal,
                   attempt,
                   "answered " + std::to_string(outcome.status) + " after its run at endpoint "
                       + std::to_string(request.runs[0]));
    }
    checkAnswer(promises, attempt, request, outcome);
}

void noteDocument(Promises &promises, const DocumentAnswer &answer, TimePoint now)
{
    DocumentView &view = promises.views[answer.router];
    if (view.boot != answer.boot) {
        view = DocumentView{answer.boot, 0, now};
    }
    const bool inForce = answer.status / 100 == 2;
    const bool unknown = answer.status == NotFound;
    const std::string who = "router-" + std::to_string(answer.router);
    const std::string version = std::to_string(answer.version);
    if (answer.sentAt > view.seenAt + RollbackSlack) {
        if (inForce && answer.version < view.newest) {
            noteBreach(promises,
                       Promise::DocumentBack,
                       {},
                       who + " serves document " + version + " after " + std::to_string(view.newest));
        }
        if (unknown && answer.version == view.newest && answer.version == promises.document) {
            noteBreach(promises, Promise::DocumentBack, {}, who + " no longer knows document " + version);
        }
    }
    // A router that is out of touch may serve routes of an older document, but must not deny those of a newer one.
    const bool deniesNewest = unknown && answer.version == promises.document;
    const bool servesOlder =
        inForce && answer.version < promises.document && routerInTouch(promises, answer.router, now);
    if (answer.sentAt > promises.documentAt + DocumentBound && (deniesNewest || servesOlder)) {
        noteBreach(promises,
                   Promise::DocumentLate,
                   {},
                   who + " answers " + std::to_string(answer.status) + " for document " + version + " while "
                       + std::to_string(promises.document) + " is in the store");
    }
    if (inForce && answer.version > view.newest) {
        view.newest = answer.version;
        view.seenAt = now;
    }
}

int countEvents(std::string_view body)
{
    int count = 0;
    for (auto at = body.find("\n\n"); at != std::string_view::npos; at = body.find("\n\n", at + 2)) {
        ++count;
    }
    return count;
}

} // namespace Godwit::Soak
