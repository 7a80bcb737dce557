#include "pool/workprogress.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fescuecleat {

WorkProgress::WorkProgress(const PoolJobSpec& spec)
    : dependents_(spec.steps_.size())
    , numbering_(spec)
{
    for (std::size_t i = 0; i < spec.steps_.size(); ++i) {
        const int step = static_cast<int>(i);
        steps_.emplace_back(spec.steps_[i], step);
        dependencies_.push_back(spec.steps_[i].after_);
        for (const int dependency : spec.steps_[i].after_)
            dependents_[static_cast<std::size_t>(dependency)].push_back(step);
    }
}

void WorkProgress::open(int end, Time now)
{
    if (end <= openedOccurrences_)
        return;
    const Interval due { openedOccurrences_, end - 1 };
    openedAt_.emplace_hint(openedAt_.end(), openedOccurrences_, now);
    openedOccurrences_ = end;
    IntervalSet opened;
    opened.insert(due);
    for (const Interval& done : doneOccurrences_.within(due))
        opened.erase(done);
    for (int step = 0; step < static_cast<int>(steps_.size()); ++step) {
        if (!dependencies_[static_cast<std::size_t>(step)].empty())
            continue;
        for (const Interval& occurrences : opened.intervals())
            unblock(step, this->step(step).unitsOf(static_cast<int>(occurrences.first_), static_cast<int>(occurrences.last_)));
    }
}

int WorkProgress::doneOccurrencesEnd() const
{
    const std::vector<TaskRange> done = doneTasks();
    return done.empty() ? 0 : static_cast<int>(done.back().last_ / numbering_.tasksPerOccurrence()) + 1;
}

bool WorkProgress::contains(const UnitId& unit, int occurrences) const
{
    if (unit.occurrence_ < 0 || unit.occurrence_ >= occurrences || unit.step_ < 0 || static_cast<std::size_t>(unit.step_) >= steps_.size())
        return false;
    const StepProgress& ofUnit = step(unit.step_);
    const std::int64_t number = ofUnit.numberOf(unit);
    return ofUnit.idOf(number) == unit;
}

WorkUnit* WorkProgress::find(const UnitId& unit)
{
    return const_cast<WorkUnit*>(std::as_const(*this).find(unit));
}

const WorkUnit* WorkProgress::find(const UnitId& unit) const
{
    if (static_cast<std::size_t>(unit.step_) >= steps_.size())
        return nullptr;
    return step(unit.step_).find(step(unit.step_).numberOf(unit));
}

bool WorkProgress::isDone(const UnitId& unit) const
{
    const std::int64_t number = step(unit.step_).numberOf(unit);
    return doneOccurrences_.contains(unit.occurrence_) || step(unit.step_).isDone({ number, number });
}

std::vector<const WorkUnit*> WorkProgress::started() const
{
    std::vector<const WorkUnit*> result;
    for (const StepProgress& step : steps_) {
        for (const auto& [number, unit] : step.started())
            result.push_back(&unit);
    }
    std::sort(result.begin(), result.end(), [](const WorkUnit* left, const WorkUnit* right) { return left->id_ < right->id_; });
    return result;
}

bool WorkProgress::hasRuns() const
{
    return std::any_of(steps_.begin(), steps_.end(), [](const StepProgress& step) {
        return std::any_of(step.started().begin(), step.started().end(), [](const auto& entry) { return !entry.second.openRuns_.empty(); });
    });
}

std::vector<UnitId> WorkProgress::unitsWithRuns() const
{
    std::vector<UnitId> result;
    for (const WorkUnit* unit : started()) {
        if (!unit->openRuns_.empty())
            result.push_back(unit->id_);
    }
    return result;
}

Time WorkProgress::readySince(const UnitId& unit) const
{
    const auto openedAfter = openedAt_.upper_bound(unit.occurrence_);
    Time since = openedAfter == openedAt_.begin() ? Time {} : std::prev(openedAfter)->second;
    const auto doneSteps = doneSteps_.find(unit.occurrence_);
    if (doneSteps == doneSteps_.end())
        return since;
    for (const int dependency : dependencies_[static_cast<std::size_t>(unit.step_)]) {
        const auto done = doneSteps->second.find(dependency);
        if (done != doneSteps->second.end())
            since = std::max(since, done->second);
    }
    return since;
}

WorkUnit& WorkProgress::start(const UnitId& unit)
{
    StepProgress& step = steps_.at(static_cast<std::size_t>(unit.step_));
    WorkUnit& started = step.start(step.numberOf(unit), readySince(unit));
    updateWaiting(unit.step_);
    return started;
}

void WorkProgress::setState(const UnitId& unit, UnitState state, Time now)
{
    StepProgress& step = steps_.at(static_cast<std::size_t>(unit.step_));
    step.setState(step.numberOf(unit), state);
    updateWaiting(unit.step_);
    if (state != UnitState::Done)
        return;
    if (doneOccurrences_.contains(unit.occurrence_))
        step.forgetDone(unit.occurrence_);
    else if (step.isDone(step.unitsOf(unit.occurrence_)))
        stepDone(unit.occurrence_, unit.step_, now);
}

void WorkProgress::dropDone(const UnitId& unit)
{
    StepProgress& step = steps_.at(static_cast<std::size_t>(unit.step_));
    step.dropDone(step.numberOf(unit));
}

void WorkProgress::unblock(int step, const Interval& units)
{
    steps_[static_cast<std::size_t>(step)].unblock(units);
    updateWaiting(step);
}

void WorkProgress::stepDone(int occurrence, int step, Time now)
{
    std::map<int, Time>& done = doneSteps_[occurrence];
    if (!done.emplace(step, now).second)
        return;
    if (done.size() == steps_.size())
        return occurrenceDone(occurrence);
    for (const int dependent : dependents_[static_cast<std::size_t>(step)]) {
        const std::vector<int>& dependencies = dependencies_[static_cast<std::size_t>(dependent)];
        if (std::all_of(dependencies.begin(), dependencies.end(), [&done](int dependency) { return done.count(dependency) > 0; }))
            unblock(dependent, this->step(dependent).unitsOf(occurrence));
    }
}

void WorkProgress::occurrenceDone(int occurrence)
{
    doneOccurrences_.insert({ occurrence, occurrence });
    doneSteps_.erase(occurrence);
    for (StepProgress& step : steps_)
        step.forgetDone(occurrence);
    while (openedAt_.size() > 1 && doneOccurrences_.containsAll({ openedAt_.begin()->first, std::next(openedAt_.begin())->first - 1 }))
        openedAt_.erase(openedAt_.begin());
}

std::vector<TaskRange> WorkProgress::doneTasks() const
{
    IntervalSet tasks;
    const std::int64_t perOccurrence = numbering_.tasksPerOccurrence();
    for (const Interval& occurrences : doneOccurrences_.intervals())
        tasks.insert({ occurrences.first_ * perOccurrence, (occurrences.last_ + 1) * perOccurrence - 1 });
    for (const StepProgress& step : steps_) {
        for (const Interval& units : step.doneUnits()) {
            for (int occurrence = step.occurrenceOf(units.first_); occurrence <= step.occurrenceOf(units.last_); ++occurrence) {
                const Interval ofOccurrence = step.unitsOf(occurrence);
                const UnitId first = step.idOf(std::max(units.first_, ofOccurrence.first_));
                const UnitId last = step.idOf(std::min(units.last_, ofOccurrence.last_));
                tasks.insert({ numbering_.number(first), numbering_.number(last) + step.taskCount() - 1 });
            }
        }
    }
    return tasks.intervals();
}

void WorkProgress::restoreDone(const std::vector<TaskRange>& done, int occurrences, Time now)
{
    const std::int64_t perOccurrence = numbering_.tasksPerOccurrence();
    if (perOccurrence == 0 || occurrences == 0)
        return;
    IntervalSet tasks;
    for (const TaskRange& range : done)
        tasks.insert({ std::max<std::int64_t>(range.first_, 0), std::min(range.last_, occurrences * perOccurrence - 1) });
    for (const Interval& range : tasks.intervals()) {
        const auto first = static_cast<int>(range.first_ / perOccurrence);
        const auto last = static_cast<int>(range.last_ / perOccurrence);
        const std::int64_t offset = range.first_ % perOccurrence;
        const std::int64_t lastOffset = range.last_ % perOccurrence;
        if (first == last) {
            setTasksDone(first, { offset, lastOffset });
            continue;
        }
        setTasksDone(first, { offset, perOccurrence - 1 });
        setTasksDone(last, { 0, lastOffset });
        if (first + 1 < last)
            doneOccurrences_.insert({ first + 1, last - 1 });
    }
    findDoneSteps(now);
}

void WorkProgress::setTasksDone(int occurrence, Interval tasks)
{
    for (int index = numbering_.stepOf(tasks.first_); index <= numbering_.stepOf(tasks.last_); ++index) {
        StepProgress& step = steps_[static_cast<std::size_t>(index)];
        const std::int64_t firstOfStep = numbering_.number(0, index, 0);
        const std::int64_t first = std::max<std::int64_t>(0, tasks.first_ - firstOfStep);
        const Interval units = step.unitsOf(occurrence);
        if (units.first_ == units.last_) {
            // A gang is done if its first member is.
            if (first == 0)
                step.setDone(units);
            continue;
        }
        step.setDone({ units.first_ + first, std::min(units.last_, units.first_ + tasks.last_ - firstOfStep) });
    }
}

void WorkProgress::findDoneSteps(Time now)
{
    for (int index = 0; index < static_cast<int>(steps_.size()); ++index) {
        for (const Interval& occurrences : step(index).doneOccurrences()) {
            for (std::int64_t occurrence = occurrences.first_; occurrence <= occurrences.last_; ++occurrence)
                stepDone(static_cast<int>(occurrence), index, now);
        }
    }
}

void WorkProgress::updateWaiting(int step)
{
    if (this->step(step).hasWaiting())
        waitingSteps_.insert(step);
    else
        waitingSteps_.erase(step);
}

}
