#pragma once

// Bounded search over the orders of events of a model that is a plain value.
//
// A model lists the events that may happen next, the expected one first. A path that always takes the first is the
// ordinary run; each other choice is a deviation. The search tries every path with at most so many deviations, by
// copying the model at each choice. random() walks the same events at random, for comparison.
//
// A model has: bool quiet() const (the ordinary run has ended), std::vector<Event> enabled() const, void apply(const
// Event &), std::string violation() const, std::string completeAndCheck() (the ordinary run to its end, then what is
// wrong), and std::string describe(const Event &) const.
//
// Example:
//   const SearchResult result = search(makeClaimModel(options), {2, 40});

#include <cstdint>
#include <string>
#include <vector>

namespace Godwit::Scenarios
{

struct SearchBound
{
    int deviations = 2;
    int depth = 60;
    std::uint64_t mostSteps = 5'000'000;
};

struct SearchResult
{
    std::string violation; // Empty: none within the bound.
    std::vector<std::string> path; // What led to it.
    std::uint64_t steps = 0;
    std::uint64_t paths = 0;
    bool exhausted = true; // All paths within the bound were tried.
};

namespace internal
{

template<typename Model>
void endPath(Model model, SearchResult &result)
{
    ++result.paths;
    result.violation = model.completeAndCheck();
}

template<typename Model>
void searchFrom(const Model &model, int deviations, int depth, const SearchBound &bound, SearchResult &result)
{
    if (depth == 0 || model.quiet()) {
        endPath(model, result);
        return;
    }
    const auto events = model.enabled();
    if (events.empty()) {
        endPath(model, result);
        return;
    }
    for (std::size_t i = 0; i < events.size() && (i == 0 || deviations > 0); ++i) {
        if (result.steps >= bound.mostSteps) {
            result.exhausted = false;
            return;
        }
        Model next = model;
        next.apply(events[i]);
        ++result.steps;
        result.path.push_back(next.describe(events[i]));
        result.violation = next.violation();
        if (result.violation.empty()) {
            searchFrom(next, deviations - (i == 0 ? 0 : 1), depth - 1, bound, result);
        }
        if (!result.violation.empty()) {
            return;
        }
        result.path.pop_back();
    }
}

} // namespace internal

template<typename Model>
SearchResult search(const Model &model, const SearchBound &bound)
{
    SearchResult result;
    internal::searchFrom(model, bound.deviations, bound.depth, bound, result);
    return result;
}

// Random walks until a violation or `bound.mostSteps`. Half of the choices are the expected event.
template<typename Model>
SearchResult randomWalks(const Model &model, const SearchBound &bound, std::uint64_t seed)
{
    SearchResult result;
    std::uint64_t state = seed * 2862933555777941757ULL + 3037000493ULL;
    const auto draw = [&state](std::uint64_t limit) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        return (state >> 33U) % limit;
    };
    while (result.steps < bound.mostSteps) {
        Model walked = model;
        result.path.clear();
        for (int depth = 0; depth < bound.depth && !walked.quiet(); ++depth) {
            const auto events = walked.enabled();
            if (events.empty()) {
                break;
            }
            const auto &event = events[draw(2) == 0 ? 0 : draw(events.size())];
            walked.apply(event);
            ++result.steps;
            result.path.push_back(walked.describe(event));
            result.violation = walked.violation();
            if (!result.violation.empty()) {
                return result;
            }
        }
        internal::endPath(walked, result);
        if (!result.violation.empty()) {
            return result;
        }
    }
    return result;
}

} // namespace Godwit::Scenarios
