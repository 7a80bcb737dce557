#include "state/recovery.h"

#include <unordered_map>

namespace fescuecleat {

namespace {

    bool isLive(TaskState state)
    {
        return state == TaskState::Prepared || state == TaskState::Running;
    }

    /** True if the task belongs to the current attempt of the job and is placed on the reporting worker. */
    bool matchesPlacement(const JobRecord& record, const ReportedTask& task)
    {
        if (record.attempt_ != task.task_.attempt_)
            return false;
        const auto index = static_cast<std::size_t>(task.task_.index_);
        return index < record.placement_.size() && record.placement_[index] == task.worker_;
    }

    std::vector<StoredJob> liveJobs(const Snapshot& snapshot)
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

RecoveredState recoverState(const std::optional<std::vector<StoredJob>>& rows, const std::optional<Snapshot>& snapshot, const std::vector<ReportedTask>& reports)
{
    RecoveredState state;
    state.isComplete_ = rows.has_value();
    if (rows)
        state.jobs_ = *rows;
    else if (snapshot)
        state.jobs_ = liveJobs(*snapshot);

    std::unordered_map<JobId, const JobRecord*> jobsById;
    jobsById.reserve(state.jobs_.size());
    for (const StoredJob& job : state.jobs_)
        jobsById.emplace(job.record_.spec_.id_, &job.record_);

    for (const ReportedTask& task : reports) {
        const auto found = jobsById.find(task.task_.job_);
        const bool isKnown = found != jobsById.end();
        if (isKnown && matchesPlacement(*found->second, task))
            state.tasks_.push_back(task);
        else if (!state.isComplete_)
            state.unknownTasks_.push_back(task);
        else if (isLive(task.state_))
            state.orphanTasks_.push_back(task);
    }
    return state;
}

}
