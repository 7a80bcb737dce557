#include "pool/stepprogress.h"

#include <algorithm>

namespace fescuecleat {

StepProgress::StepProgress(const StepSpec& spec, int step)
    : step_(step)
    , taskCount_(spec.taskCount_)
    , isGang_(spec.isGang_ && spec.taskCount_ > 1)
    , unitsPerOccurrence_(isGang_ ? 1 : std::max(1, spec.taskCount_))
{
}

WorkUnit* StepProgress::find(std::int64_t number)
{
    const auto unit = started_.find(number);
    return unit == started_.end() ? nullptr : &unit->second;
}

const WorkUnit* StepProgress::find(std::int64_t number) const
{
    const auto unit = started_.find(number);
    return unit == started_.end() ? nullptr : &unit->second;
}

std::optional<std::int64_t> StepProgress::firstWaiting(std::int64_t number) const
{
    const std::optional<std::int64_t> unstarted = unstarted_.firstFrom(number);
    const std::optional<std::int64_t> restarting = firstRestarting(number);
    if (!unstarted || !restarting)
        return unstarted ? unstarted : restarting;
    return std::min(*unstarted, *restarting);
}

std::optional<std::int64_t> StepProgress::firstRestarting(std::int64_t number) const
{
    const auto unit = waiting_.lower_bound(number);
    if (unit == waiting_.end())
        return std::nullopt;
    return *unit;
}

void StepProgress::unblock(const Interval& numbers)
{
    unstarted_.insert(numbers);
    // After a failover, some units of a step may have started or be done, and others not.
    for (const Interval& done : done_.within(numbers))
        unstarted_.erase(done);
    for (auto unit = started_.lower_bound(numbers.first_); unit != started_.end() && unit->first <= numbers.last_; ++unit)
        unstarted_.erase({ unit->first, unit->first });
}

WorkUnit& StepProgress::start(std::int64_t number, Time waitingSince)
{
    const auto [entry, isNew] = started_.try_emplace(number);
    WorkUnit& unit = entry->second;
    if (!isNew)
        return unit;
    unit.id_ = idOf(number);
    unit.taskCount_ = taskCount();
    unit.waitingSince_ = waitingSince;
    unstarted_.erase({ number, number });
    waiting_.insert(number);
    return unit;
}

void StepProgress::setState(std::int64_t number, UnitState state)
{
    WorkUnit& unit = started_.at(number);
    unit.state_ = state;
    if (state == UnitState::Waiting)
        waiting_.insert(number);
    else
        waiting_.erase(number);
    if (state == UnitState::Done)
        done_.insert({ number, number });
}

void StepProgress::setDone(const Interval& numbers)
{
    done_.insert(numbers);
    unstarted_.erase(numbers);
}

void StepProgress::dropDone(std::int64_t number)
{
    const WorkUnit* const unit = find(number);
    if (unit != nullptr && unit->state_ == UnitState::Done && unit->openRuns_.empty())
        started_.erase(number);
}

std::vector<Interval> StepProgress::doneOccurrences() const
{
    std::vector<Interval> result;
    for (const Interval& units : done_.intervals()) {
        const std::int64_t first = (units.first_ + unitsPerOccurrence_ - 1) / unitsPerOccurrence_;
        const std::int64_t last = (units.last_ + 1) / unitsPerOccurrence_ - 1;
        if (first <= last)
            result.push_back({ first, last });
    }
    return result;
}

}
