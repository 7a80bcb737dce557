#include "load/jobhistory.h"

#include <algorithm>
#include <set>

namespace fescuecleat {

namespace {

    const std::set<std::string> endEvents { "finished", "failed", "stopped", "checkpointed" };

    void apply(const LogEntry& entry, TaskHistory& task)
    {
        if (entry.event_ == "started") {
            ++task.startCount_;
            task.startedAt_ = std::min(task.startedAt_, entry.at_);
        } else if (endEvents.count(entry.event_)) {
            task.endedAt_ = entry.at_;
            task.endEvent_ = entry.event_;
        }
    }

}

std::map<std::string, JobHistory> jobHistories(const std::vector<LogEntry>& log)
{
    std::map<std::string, JobHistory> jobs;
    for (const LogEntry& entry : log) {
        if (entry.source_ != LogSource::Worker || entry.field("job").empty())
            continue;
        JobHistory& job = jobs[entry.field("job")];
        apply(entry, job.attempts_[entry.number("attempt")][entry.number("index")]);
        job.trace_.push_back(describe(entry));
    }
    return jobs;
}

bool hasStarted(const AttemptHistory& attempt)
{
    return firstStart(attempt) != Time::max();
}

Time firstStart(const AttemptHistory& attempt)
{
    Time first = Time::max();
    for (const auto& [index, task] : attempt)
        first = std::min(first, task.startedAt_);
    return first;
}

Time lastEnd(const AttemptHistory& attempt)
{
    Time last { Duration::zero() };
    for (const auto& [index, task] : attempt) {
        if (task.startCount_)
            last = std::max(last, task.endedAt_);
    }
    return last;
}

bool isCheckpointed(const AttemptHistory& attempt)
{
    return std::all_of(attempt.begin(), attempt.end(), [](const auto& item) { return !item.second.startCount_ || item.second.endEvent_ == "checkpointed"; });
}

int finishedTasks(const AttemptHistory& attempt)
{
    return static_cast<int>(std::count_if(attempt.begin(), attempt.end(), [](const auto& item) { return item.second.endEvent_ == "finished"; }));
}

}
