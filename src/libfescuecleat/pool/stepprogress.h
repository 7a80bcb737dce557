#pragma once

#include "pool/intervalset.h"
#include "pool/pooljobspec.h"
#include "pool/workunit.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fescuecleat {

/**
 * Progress of one step of a job in all occurrences. The units of the step are numbered
 * occurrence by occurrence. Only units that have started and are not done are kept as
 * objects; the others are intervals of numbers.
 */
class StepProgress {
public:
    StepProgress(const StepSpec&, int step);

    std::int64_t numberOf(const UnitId& unit) const { return unit.occurrence_ * unitsPerOccurrence_ + std::max(0, unit.index_); }
    UnitId idOf(std::int64_t number) const { return { occurrenceOf(number), step_, isGang_ ? -1 : static_cast<int>(number % unitsPerOccurrence_) }; }
    int occurrenceOf(std::int64_t number) const { return static_cast<int>(number / unitsPerOccurrence_); }
    /** The numbers of the units of these occurrences. */
    Interval unitsOf(int firstOccurrence, int lastOccurrence) const { return { firstOccurrence * unitsPerOccurrence_, (lastOccurrence + 1) * unitsPerOccurrence_ - 1 }; }
    Interval unitsOf(int occurrence) const { return unitsOf(occurrence, occurrence); }
    /** The unit that a task belongs to. */
    UnitId unitOf(int occurrence, int taskIndex) const { return { occurrence, step_, isGang_ ? -1 : taskIndex }; }

    /** Units that have started and aren't done, and done ones that still have runs. */
    const std::map<std::int64_t, WorkUnit>& started() const { return started_; }
    WorkUnit* find(std::int64_t number);
    const WorkUnit* find(std::int64_t number) const;
    bool isDone(const Interval& numbers) const { return done_.containsAll(numbers); }
    bool hasWaiting() const { return !unstarted_.isEmpty() || !waiting_.empty(); }
    /** Number of units that wait. */
    std::int64_t waitingUnits() const { return unstarted_.count() + static_cast<std::int64_t>(waiting_.size()); }
    /** The first waiting unit from `number` on, whether it has started before or not. */
    std::optional<std::int64_t> firstWaiting(std::int64_t number) const;
    /** The first waiting unit from `number` on that has started before. */
    std::optional<std::int64_t> firstRestarting(std::int64_t number) const;

    /** The units may start from now on, except those that have started already or are done. */
    void unblock(const Interval& numbers);
    /** Returns the object of a unit, in state Waiting if it is new. */
    WorkUnit& start(std::int64_t number, Time waitingSince);
    void setState(std::int64_t number, UnitState);
    void setDone(const Interval& numbers);
    /** Removes the object of the unit if it is done and has no runs. */
    void dropDone(std::int64_t number);
    /** Forgets which units of an occurrence are done, as the occurrence is. */
    void forgetDone(int occurrence) { done_.erase(unitsOf(occurrence)); }

    /** The units that are done, in order, except those of forgotten occurrences. */
    std::vector<Interval> doneUnits() const { return done_.intervals(); }
    /** The occurrences in which the step is done, except forgotten ones. */
    std::vector<Interval> doneOccurrences() const;
    /** Number of tasks of one unit; for a gang, all of its members. */
    int taskCount() const { return isGang_ ? taskCount_ : 1; }

private:
    int step_;
    int taskCount_;
    bool isGang_;
    std::int64_t unitsPerOccurrence_;
    /** Waiting units that have never started. */
    IntervalSet unstarted_;
    IntervalSet done_;
    std::map<std::int64_t, WorkUnit> started_;
    /** Units in `started_` that are in state Waiting. */
    std::set<std::int64_t> waiting_;
};

}
