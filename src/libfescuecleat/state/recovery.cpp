#include "state/recovery.h"

#include <unordered_map>

namespace fescuecleat {

namespace {

    bool isLive(TaskState state)
    {
        return state == TaskState::Prepared || state == TaskState::Running;
    }

    /** True if the job's record knows the attempt and put the task onto the worker. */
    bool isPlacedThere(const JobRecord& record, const ReportedTask& task)
    {
        if (record.attempt_ != task.task_.attempt_)
            return false;
        const auto index = static_cast<std::size_t>(task.task_.index_);
        return index < record.placement_.size() && record.placement_[index] == task.worker_;
    }

    std::vector<StoredJob> jobsOf(const Snapshot& snapshot)
    {
        std::vector<StoredJob> jobs;
        jobs.reserve(snapshot.jobs_.size());
        for (const JobRecord& record : snapshot.jobs_) {
            if (!isFinal(record.state_))
                jobs.push_back({ record, 0 });
        }
        return jobs;
    }

}

RecoveredState rebuild(const std::optional<std::vector<StoredJob>>& rows, const std::optional<Snapshot>& snapshot, const std::vector<ReportedTask>& reports)
{
    RecoveredState state;
    state.isComplete_ = rows.has_value();
    if (rows)
        state.jobs_ = *rows;
    else if (snapshot)
        state.jobs_ = jobsOf(*snapshot);

    std::unordered_map<JobId, const JobRecord*> byId;
    byId.reserve(state.jobs_.size());
    for (const StoredJob& job : state.jobs_)
        byId.emplace(job.record_.spec_.id_, &job.record_);

    for (const ReportedTask& task : reports) {
        const auto at = byId.find(task.task_.job_);
        const bool isKnown = at != byId.end();
        if (isKnown && isPlacedThere(*at->second, task))
            state.tasks_.push_back(task);
        else if (!state.isComplete_)
            state.unknownTasks_.push_back(task);
        else if (isLive(task.state_))
            state.strayTasks_.push_back(task);
    }
    return state;
}

}
