#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <iostream>
#include <string>
#include <unordered_set>
#include <vector>

namespace fescuecleat {

/** A transition of a model: the event and the state after it. */
template <typename Model>
struct Transition {
    std::string event_;
    Model next_;
};

/** Result of explore(). */
struct Exploration {
    std::size_t states_ = 0;
    std::size_t transitions_ = 0;
    /** True if all reachable states were visited. */
    bool isComplete_ = false;
    /** The violated property; empty if none was. */
    std::string violation_;
    /** Events that led to the violation. */
    std::vector<std::string> trace_;
};

/**
 * Explores all reachable states of a model breadth first, so that the trace of
 * a violation is a shortest one. States are identified by a 64-bit hash of their
 * text. A collision would hide a state; with a million states its probability is
 * one in thirty million.
 *
 * A model has: std::string text() const, the complete state; std::string
 * violation() const, empty if all properties hold;
 * std::vector<Transition<Model>> transitions() const.
 */
template <typename Model>
Exploration explore(const Model& initial, std::size_t maxStates)
{
    struct Origin {
        std::size_t parent_;
        std::string event_;
    };
    Exploration result;
    std::unordered_set<std::uint64_t> seen;
    std::vector<Origin> origins;
    std::vector<std::pair<std::size_t, Model>> frontier;
    const auto visit = [&](const Model& model, std::size_t parent, const std::string& event) {
        if (!seen.insert(std::hash<std::string>()(model.text())).second)
            return;
        origins.push_back({ parent, event });
        frontier.emplace_back(origins.size() - 1, model);
    };
    visit(initial, 0, "start");
    while (!frontier.empty()) {
        std::vector<std::pair<std::size_t, Model>> level;
        level.swap(frontier);
        for (const auto& [index, model] : level) {
            result.violation_ = model.violation();
            if (!result.violation_.empty()) {
                for (std::size_t position = index; position != 0; position = origins[position].parent_)
                    result.trace_.insert(result.trace_.begin(), origins[position].event_);
                result.states_ = seen.size();
                return result;
            }
            if (seen.size() >= maxStates) {
                result.states_ = seen.size();
                return result;
            }
            for (Transition<Model>& transition : model.transitions()) {
                ++result.transitions_;
                visit(transition.next_, index, transition.event_);
            }
        }
    }
    result.states_ = seen.size();
    result.isComplete_ = true;
    return result;
}

/** The violation and the events that led to it. */
inline std::string traceText(const Exploration& exploration)
{
    std::string text = exploration.violation_;
    for (const std::string& event : exploration.trace_)
        text += "\n    " + event;
    return text;
}

/** Prints the result of an exploration. */
inline void report(const std::string& name, const Exploration& exploration)
{
    std::cout << name << ": " << exploration.states_ << " states, " << exploration.transitions_ << " transitions, "
              << (exploration.isComplete_ ? "complete" : "stopped");
    if (!exploration.violation_.empty())
        std::cout << ", violated after " << exploration.trace_.size() << " events: " << exploration.violation_;
    std::cout << '\n';
}

}
