#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace fescuecleat {

/** Consecutive numbers, both ends included. */
struct Interval {
    std::int64_t first_ = 0;
    std::int64_t last_ = 0;

    bool operator==(const Interval& other) const { return first_ == other.first_ && last_ == other.last_; }
};

/** A set of numbers that costs memory for each gap between them, not for each number. */
class IntervalSet {
public:
    bool isEmpty() const { return lastOfFirst_.empty(); }
    bool contains(std::int64_t number) const { return containsAll({ number, number }); }
    bool containsAll(const Interval&) const;
    /** Number of members. */
    std::int64_t count() const;
    /** The smallest member that is at least `number`. */
    std::optional<std::int64_t> firstFrom(std::int64_t number) const;
    /** The members within the bounds, as the fewest intervals, in order. */
    std::vector<Interval> within(const Interval& bounds) const;
    std::vector<Interval> intervals() const { return within({ std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max() }); }

    void insert(const Interval&);
    void erase(const Interval&);

private:
    using Iterator = std::map<std::int64_t, std::int64_t>::const_iterator;

    /** The interval that contains the number, or else the next one. */
    Iterator find(std::int64_t number) const;

    /** Disjoint intervals that don't touch: their last numbers by their first ones. */
    std::map<std::int64_t, std::int64_t> lastOfFirst_;
};

}
