#include "pool/freeingcapacity.h"

#include "pool/runforecast.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** A request is tried with what is free after each of so many parts of the time that it may wait. */
    constexpr int horizonSteps = 4;

}

FreeingCapacity::FreeingCapacity(PoolState& state, const PlacementView& view, Time now)
    : now_(now)
{
    // Runs are ordered by job, and those of a gang are adjacent.
    const Job* job = nullptr;
    const WorkUnit* unit = nullptr;
    std::optional<Time> end;
    for (const auto& [id, run] : state.runs_) {
        if (job == nullptr || job->id_ != id.task_.job_) {
            job = state.findJob(id.task_.job_);
            unit = nullptr;
        }
        if (job == nullptr)
            continue;
        if (unit == nullptr || unit->id_ != run.unit_) {
            unit = &job->unit(run.unit_);
            end = expectedEnd(state, *job, *unit, now);
        }
        const PoolWorkerState* const worker = end ? state.findWorker(run.worker_) : nullptr;
        if (worker != nullptr && view.indexOf(worker))
            rooms_.push_back({ *end, job, run.unit_, worker, run.resources_ });
    }
    std::sort(rooms_.begin(), rooms_.end(), [](const Room& left, const Room& right) { return left.freeAt_ < right.freeAt_; });
}

std::optional<PlacementView::Placement> FreeingCapacity::find(PlacementView& view, const PlacementRequest& request, Time until) const
{
    const auto findWith = [&](Time time) {
        add(view, time);
        auto placement = view.find(request, CapacityKind::Projected);
        withdraw(view, time);
        return placement;
    };
    auto last = findWith(until);
    if (!last)
        return std::nullopt;
    for (int step = 1; step < horizonSteps; ++step) {
        if (auto sooner = findWith(now_ + (until - now_) * step / horizonSteps))
            return sooner;
    }
    return last;
}

void FreeingCapacity::add(PlacementView& view, Time until) const
{
    for (const Room& room : rooms_) {
        if (room.freeAt_ > until)
            return;
        view.addProjected(room.worker_, room.resources_);
    }
}

void FreeingCapacity::withdraw(PlacementView& view, Time until) const
{
    for (const Room& room : rooms_) {
        if (room.freeAt_ > until)
            return;
        view.removeProjected(room.worker_, room.resources_);
    }
}

void FreeingCapacity::forget(const Job& job, const UnitId& unit)
{
    rooms_.erase(std::remove_if(rooms_.begin(), rooms_.end(), [&](const Room& room) { return room.job_ == &job && room.unit_ == unit; }), rooms_.end());
}

}
