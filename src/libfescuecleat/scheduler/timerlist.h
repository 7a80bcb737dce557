#pragma once

#include "base/id.h"
#include "base/time.h"

#include <optional>
#include <set>
#include <utility>

namespace fescuecleat {

/** Timers of the jobs, at most one for each. The caller stores the time it set and passes it to reschedule(). */
class TimerList {
public:
    /** Moves the timer of a job from `previous` to `next`; Time::max() means no timer. */
    void reschedule(const JobId& job, Time previous, Time next)
    {
        if (previous == next)
            return;
        if (previous != Time::max())
            entries_.erase({ previous, job });
        if (next != Time::max())
            entries_.emplace(next, job);
    }

    Time earliest() const { return entries_.empty() ? Time::max() : entries_.begin()->first; }

    /** Removes and returns the job with the earliest expired timer; empty if none has expired. */
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
