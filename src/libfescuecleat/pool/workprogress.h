#pragma once

#include "pool/pooljobrecord.h"
#include "pool/pooljobspec.h"
#include "pool/stepprogress.h"
#include "pool/taskid.h"
#include "pool/tasknumbering.h"

#include <map>
#include <set>
#include <vector>

namespace fescuecleat {

/**
 * Which units of a job wait, have started and are done. A job may declare 10^11 tasks, so
 * time and memory depend only on the units that have started and aren't done.
 */
class WorkProgress {
public:
    WorkProgress() = default;
    explicit WorkProgress(const PoolJobSpec&);

    const TaskNumbering& numbering() const { return numbering_; }
    /** Number of occurrences that are due. */
    int openedOccurrences() const { return openedOccurrences_; }
    /** Opens all occurrences before `end`. */
    void open(int end, Time now);
    /** One more than the last occurrence with a done task. */
    int doneOccurrencesEnd() const;
    /** Whether the first `occurrences` occurrences are done. */
    bool areDone(int occurrences) const { return occurrences == 0 || doneOccurrences_.containsAll({ 0, occurrences - 1 }); }
    /** When the last occurrences were opened. */
    Time lastOpenedAt() const { return openedAt_.empty() ? Time {} : openedAt_.rbegin()->second; }

    bool hasWaiting() const { return !waitingSteps_.empty(); }
    /** Steps with waiting units. */
    const std::set<int>& waitingSteps() const { return waitingSteps_; }
    const StepProgress& step(int index) const { return steps_.at(static_cast<std::size_t>(index)); }
    /** The unit that the task belongs to. */
    UnitId unitOf(const TaskId& task) const { return step(task.step_).unitOf(task.occurrence_, task.index_); }
    /** Whether the first `occurrences` occurrences have such a unit. */
    bool contains(const UnitId&, int occurrences) const;
    /** The object of a unit; nothing if it has never started, or is done and has no runs. */
    WorkUnit* find(const UnitId&);
    const WorkUnit* find(const UnitId&) const;
    bool hasRuns() const;
    /** The units that have runs, in order. */
    std::vector<UnitId> unitsWithRuns() const;
    /** All units that have objects, in order. */
    std::vector<const WorkUnit*> started() const;
    bool isDone(const UnitId&) const;
    /** Since when a unit that has never started may start. */
    Time readySince(const UnitId&) const;

    /** Returns the object of a unit that is about to start, in state Waiting if it is new. */
    WorkUnit& start(const UnitId&);
    /** Sets the state of a unit that has an object; when the last unit of a step is done, dependent steps may become ready. */
    void setState(const UnitId&, UnitState, Time now);
    /** Removes the object of the unit if it is done and has no runs. */
    void dropDone(const UnitId&);

    /** The tasks that are done, in order. */
    std::vector<TaskRange> doneTasks() const;
    /** Marks the tasks as done, as far as they belong to the first `occurrences` occurrences. */
    void restoreDone(const std::vector<TaskRange>&, int occurrences, Time now);

private:
    void unblock(int step, const Interval& units);
    void stepDone(int occurrence, int step, Time now);
    void occurrenceDone(int occurrence);
    /** Marks tasks of one occurrence as done; `tasks` are their numbers within it. */
    void setTasksDone(int occurrence, Interval tasks);
    /** Derives the done steps and occurrences from the done units. */
    void findDoneSteps(Time now);
    /** Adds the step to those with waiting units, or removes it. */
    void updateWaiting(int step);

    std::vector<StepProgress> steps_;
    /** For each step, those that it depends on, and those that depend on it. */
    std::vector<std::vector<int>> dependencies_;
    std::vector<std::vector<int>> dependents_;
    TaskNumbering numbering_;
    int openedOccurrences_ = 0;
    /** When occurrences were opened, by the first of those opened together. */
    std::map<int, Time> openedAt_;
    IntervalSet doneOccurrences_;
    /** When steps were done, by occurrence, for occurrences that aren't done. */
    std::map<int, std::map<int, Time>> doneSteps_;
    std::set<int> waitingSteps_;
};

}
