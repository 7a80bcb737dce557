#pragma once

#include "base/id.h"
#include "base/time.h"

#include <optional>
#include <set>
#include <utility>

namespace fescuecleat {

/** When each job has to be looked at next. The owner keeps the time it set. */
class TimerList {
public:
    /** Moves a job's entry from `former` to `next`; Time::max() stands for no entry. */
    void move(const JobId& job, Time former, Time next)
    {
        if (former == next)
            return;
        if (former != Time::max())
            entries_.erase({ former, job });
        if (next != Time::max())
            entries_.emplace(next, job);
    }

    Time earliest() const { return entries_.empty() ? Time::max() : entries_.begin()->first; }

    /** Removes and returns the first job whose time has come. */
    std::optional<JobId> takeDue(Time now)
    {
        if (earliest() > now)
            return std::nullopt;
        JobId job = entries_.begin()->second;
        entries_.erase(entries_.begin());
        return job;
    }

private:
    std::set<std::pair<Time, JobId>> entries_;
};

}
