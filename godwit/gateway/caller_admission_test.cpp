#include "godwit/gateway/caller_admission.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

constexpr std::uint64_t BodyBytes = 9200;
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

    CallerAdmissionDecision decide(Duration timeLeft = std::chrono::seconds(5),
                                   std::optional<std::uint64_t> bodyBytes = BodyBytes,
                                   double random = 0)
    {
        return decide(++lastIdentity, timeLeft, bodyBytes, random);
    }

    CallerAdmissionDecision decide(std::uint64_t identity,
                                   Duration timeLeft,
                                   std::optional<std::uint64_t> bodyBytes,
                                   double random = 0)
    {
        return decideAdmission(state, {RouteId{"batch"}, bodyBytes, timeLeft, identity}, options, random, now);
    }

    CallerAdmissionOutcome outcome()
    {
        return decide().outcome;
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
    CHECK(router.decide(std::chrono::seconds(5), 2048).outcome == CallerAdmissionOutcome::Admitted);
    CHECK(router.decide(std::chrono::seconds(5), std::nullopt).outcome == CallerAdmissionOutcome::Deferred);
    router.load(0.2);
    CHECK(router.outcome() == CallerAdmissionOutcome::Admitted);
}

TEST_CASE("the busier direction of the link decides")
{
    // Guards against averaging a link that is full in one direction only.
    SmallRouter router;
    router.state.bytes.out = 10'000'000;
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
        const auto decision = router.decide(std::chrono::milliseconds(leftMs), BodyBytes, random);
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
    CHECK(router.decide(std::chrono::milliseconds(1599)).outcome == CallerAdmissionOutcome::Admitted);
    CHECK(router.decide(std::chrono::milliseconds(800)).outcome == CallerAdmissionOutcome::Admitted);
    CHECK(router.decide(std::chrono::milliseconds(799)).outcome == CallerAdmissionOutcome::Refused);
}

TEST_CASE("a request that returns is admitted before new ones, within an allowance")
{
    // Guards against deferring a request twice, after which its caller gives up, and against returning requests that
    // fill the link.
    SmallRouter router;
    router.load(0.8);
    for (std::uint64_t identity = 1000; identity < 1100; ++identity) {
        CHECK(router.decide(identity, std::chrono::seconds(5), BodyBytes).outcome == CallerAdmissionOutcome::Deferred);
    }
    router.load(0.8);
    recordLag(router.state, std::chrono::milliseconds(100), router.now);
    int admitted = 0;
    for (std::uint64_t identity = 1000; identity < 1100; ++identity) {
        const auto decision = router.decide(identity, std::chrono::seconds(4), BodyBytes);
        admitted += decision.outcome == CallerAdmissionOutcome::Admitted ? 1 : 0;
        if (identity == 1020) {
            CHECK(router.outcome() == CallerAdmissionOutcome::Deferred);
        }
    }
    // The allowance is a tenth of the link's bytes in a second.
    CHECK(admitted >= 13);
    CHECK(admitted <= 14);
}

TEST_CASE("the memory for deferred requests is bounded")
{
    SmallRouter router;
    router.options.maxExpected = 10;
    router.load(0.8);
    for (int i = 0; i < 100; ++i) {
        router.decide();
    }
    CHECK(router.state.expected.size() <= 10);
    CHECK(router.state.expectedOrder.size() <= 10);
}

TEST_CASE("log lines beyond the limit are counted in the next line")
{
    // Guards against a log that is filled by one line per deferred request.
    SmallRouter router;
    for (int i = 0; i < 20; ++i) {
        CHECK(takeLogLine(router.state, router.options, router.now) == 0U);
    }
    CHECK_FALSE(takeLogLine(router.state, router.options, router.now));
    CHECK_FALSE(takeLogLine(router.state, router.options, router.now));
    router.now += std::chrono::seconds(1);
    CHECK(takeLogLine(router.state, router.options, router.now) == 2U);
}
