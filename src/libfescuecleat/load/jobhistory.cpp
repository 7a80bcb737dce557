#include "load/jobhistory.h"

#include <algorithm>
#include <set>

namespace fescuecleat {

namespace {

    const std::set<std::string> endings { "finished", "failed", "stopped", "checkpointed" };

    void apply(const LogEntry& entry, TaskHistory& task)
    {
        if (entry.event_ == "started") {
            ++task.starts_;
            task.started_ = std::min(task.started_, entry.at_);
        } else if (endings.count(entry.event_)) {
            task.ended_ = entry.at_;
            task.end_ = entry.event_;
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
        first = std::min(first, task.started_);
    return first;
}

Time lastEnd(const AttemptHistory& attempt)
{
    Time last { Duration::zero() };
    for (const auto& [index, task] : attempt) {
        if (task.starts_)
            last = std::max(last, task.ended_);
    }
    return last;
}

bool isCheckpointed(const AttemptHistory& attempt)
{
    return std::all_of(attempt.begin(), attempt.end(), [](const auto& item) { return !item.second.starts_ || item.second.end_ == "checkpointed"; });
}

int finishedTasks(const AttemptHistory& attempt)
{
    return static_cast<int>(std::count_if(attempt.begin(), attempt.end(), [](const auto& item) { return item.second.end_ == "finished"; }));
}

}
