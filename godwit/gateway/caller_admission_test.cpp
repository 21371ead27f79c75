#include "godwit/gateway/caller_admission.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

constexpr std::uint64_t BodyBytes = 9200;
const RouteId Batch{"batch"};
const TimePoint Start{std::chrono::seconds(50)};

// A router with a link of 10 Mbit/s.
struct SmallRouter
{
    SmallRouter()
    {
        options.linkBytesPerSecond = 1'250'000;
        state.countedAt = now;
    }

    // Lets two seconds pass in which `share` of the link's capacity is read.
    void load(double share)
    {
        for (int step = 0; step < 20; ++step) {
            state.bytes.in += static_cast<std::uint64_t>(share * options.linkBytesPerSecond / 10);
            now += std::chrono::milliseconds(100);
            updateLinkRates(state, options, now);
        }
    }

    CallerAdmissionDecision decide(const CallerAdmissionQuery &query, double random = 0)
    {
        return decideAdmission(state, query, options, random, now);
    }

    // About a request that has not been seen before.
    CallerAdmissionOutcome outcome(Duration timeLeft = std::chrono::seconds(5),
                                   std::optional<std::uint64_t> bodyBytes = BodyBytes)
    {
        return decide({Batch, bodyBytes, timeLeft, ++lastIdentity}).outcome;
    }

    CallerAdmissionOptions options;
    CallerAdmissionState state;
    TimePoint now = Start;
    std::uint64_t lastIdentity = 0;
};

} // namespace

TEST_CASE("large bodies are deferred only while the link is busy")
{
    // Guards against refusing callers of a link with room, and against bodies that fill the link before urgent
    // requests.
    SmallRouter router;
    router.load(0.65);
    CHECK(router.outcome() == CallerAdmissionOutcome::Admitted);
    router.load(0.75);
    CHECK(router.outcome() == CallerAdmissionOutcome::Deferred);
    CHECK(router.outcome(std::chrono::seconds(5), 2048) == CallerAdmissionOutcome::Admitted);
    CHECK(router.outcome(std::chrono::seconds(5), std::nullopt) == CallerAdmissionOutcome::Deferred);
    router.load(0.2);
    CHECK(router.outcome() == CallerAdmissionOutcome::Admitted);
    router.state.bytes.out += 10'000'000;
    router.now += std::chrono::seconds(2);
    CHECK(router.outcome() == CallerAdmissionOutcome::Deferred);
}

TEST_CASE("lag counts as a busy link for one second")
{
    // Guards against a queue that the byte rates don't show, and against deferring on an old measurement.
    SmallRouter router;
    recordLag(router.state, std::chrono::milliseconds(59), router.now);
    CHECK(router.outcome() == CallerAdmissionOutcome::Admitted);
    recordLag(router.state, std::chrono::milliseconds(60), router.now);
    CHECK(router.outcome() == CallerAdmissionOutcome::Deferred);
    router.now += std::chrono::seconds(1);
    CHECK(router.outcome() == CallerAdmissionOutcome::Admitted);
}

TEST_CASE("callers return when the queue has drained, spread out, and with time left")
{
    // Guards against callers that return together, too early, or too late for their deadline.
    SmallRouter router;
    const auto retryAfter = [&router](int lagMs, int leftMs, double random) {
        recordLag(router.state, std::chrono::milliseconds(lagMs), router.now);
        const Duration timeLeft = std::chrono::milliseconds(leftMs);
        const auto decision = router.decide({Batch, BodyBytes, timeLeft, ++router.lastIdentity}, random);
        CHECK(decision.outcome == CallerAdmissionOutcome::Deferred);
        return std::chrono::duration_cast<std::chrono::milliseconds>(decision.retryAfter).count();
    };
    CHECK(retryAfter(100, 5000, 0) == 300);
    CHECK(retryAfter(100, 5000, 0.5) == 450);
    CHECK(retryAfter(800, 5000, 0.5) == 1200);
    CHECK(retryAfter(800, 2400, 0) == 800);
    CHECK(retryAfter(800, 2000, 0) == 666);
}

TEST_CASE("a request without time to return is admitted, or refused if the queue outlasts it")
{
    // Guards against a deferral that a caller can't make use of.
    SmallRouter router;
    recordLag(router.state, std::chrono::milliseconds(800), router.now);
    CHECK(router.outcome(std::chrono::milliseconds(1599)) == CallerAdmissionOutcome::Admitted);
    CHECK(router.outcome(std::chrono::milliseconds(800)) == CallerAdmissionOutcome::Admitted);
    CHECK(router.outcome(std::chrono::milliseconds(799)) == CallerAdmissionOutcome::Refused);
}

TEST_CASE("a request that returns is admitted before new ones, within an allowance")
{
    // Guards against deferring a request twice, after which its caller gives up, and against returning requests that
    // fill the link.
    SmallRouter router;
    router.load(0.8);
    const auto admittedOfHundred = [&router](Duration timeLeft) {
        int admitted = 0;
        for (std::uint64_t identity = 1000; identity < 1100; ++identity) {
            const auto decision = router.decide({Batch, BodyBytes, timeLeft, identity});
            admitted += decision.outcome == CallerAdmissionOutcome::Admitted ? 1 : 0;
        }
        return admitted;
    };
    CHECK(admittedOfHundred(std::chrono::seconds(5)) == 0);
    router.load(0.8);
    const int admitted = admittedOfHundred(std::chrono::seconds(3));
    CHECK(router.outcome() == CallerAdmissionOutcome::Deferred);
    // The allowance is a tenth of the link's bytes in a second.
    CHECK(admitted >= 13);
    CHECK(admitted <= 14);
}

TEST_CASE("memory and log lines for deferred requests are bounded")
{
    // Guards against a small host that runs out of memory, or whose log is filled by one line per deferred request.
    SmallRouter router;
    router.options.maxExpected = 10;
    router.load(0.8);
    for (int i = 0; i < 100; ++i) {
        router.outcome();
    }
    CHECK(router.state.expected.size() <= 10);
    CHECK(router.state.expectedOrder.size() <= 10);
    for (int i = 0; i < 20; ++i) {
        CHECK(takeLogLine(router.state, router.options, router.now) == 0U);
    }
    CHECK_FALSE(takeLogLine(router.state, router.options, router.now));
    CHECK_FALSE(takeLogLine(router.state, router.options, router.now));
    router.now += std::chrono::seconds(1);
    CHECK(takeLogLine(router.state, router.options, router.now) == 2U);
}
