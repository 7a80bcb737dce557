#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <iostream>
#include <string>
#include <unordered_set>
#include <vector>

namespace fescuecleat {

/** One step of a small world: what happened and the world afterwards. */
template <typename World>
struct ModelStep {
    std::string event_;
    World next_;
};

struct Exploration {
    std::size_t states_ = 0;
    std::size_t transitions_ = 0;
    /** True if every reachable state was looked at. */
    bool isComplete_ = false;
    /** What was violated; empty if nothing was. */
    std::string violation_;
    /** Events that led to the violation. */
    std::vector<std::string> trace_;
};

/**
 * Looks at every state that a small world can reach, breadth first, so that a
 * violation comes with a shortest trace. States are told apart by a 64-bit
 * hash of their text; a collision would hide a state, at a million states with
 * a chance of one in thirty million.
 *
 * A world has: std::string text() const, the whole state; std::string
 * violation() const, empty if all is well; std::vector<ModelStep<World>>
 * steps() const.
 */
template <typename World>
Exploration explore(const World& first, std::size_t mostStates)
{
    struct Origin {
        std::size_t parent_;
        std::string event_;
    };
    Exploration result;
    std::unordered_set<std::uint64_t> seen;
    std::vector<Origin> origins;
    std::vector<std::pair<std::size_t, World>> frontier;
    const auto visit = [&](const World& world, std::size_t parent, const std::string& event) {
        if (!seen.insert(std::hash<std::string>()(world.text())).second)
            return;
        origins.push_back({ parent, event });
        frontier.emplace_back(origins.size() - 1, world);
    };
    visit(first, 0, "start");
    while (!frontier.empty()) {
        std::vector<std::pair<std::size_t, World>> level;
        level.swap(frontier);
        for (const auto& [index, world] : level) {
            result.violation_ = world.violation();
            if (!result.violation_.empty()) {
                for (std::size_t at = index; at != 0; at = origins[at].parent_)
                    result.trace_.insert(result.trace_.begin(), origins[at].event_);
                result.states_ = seen.size();
                return result;
            }
            if (seen.size() >= mostStates) {
                result.states_ = seen.size();
                return result;
            }
            for (ModelStep<World>& step : world.steps()) {
                ++result.transitions_;
                visit(step.next_, index, step.event_);
            }
        }
    }
    result.states_ = seen.size();
    result.isComplete_ = true;
    return result;
}

/** The events that led to a violation, for a failed check. */
inline std::string traceText(const Exploration& exploration)
{
    std::string text = exploration.violation_;
    for (const std::string& event : exploration.trace_)
        text += "\n    " + event;
    return text;
}

/** Prints what an exploration found. */
inline void report(const std::string& name, const Exploration& exploration)
{
    std::cout << name << ": " << exploration.states_ << " states, " << exploration.transitions_ << " transitions, "
              << (exploration.isComplete_ ? "complete" : "stopped");
    if (!exploration.violation_.empty())
        std::cout << ", violated after " << exploration.trace_.size() << " events: " << exploration.violation_;
    std::cout << '\n';
}

}
