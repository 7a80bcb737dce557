#pragma once

#include "base/time.h"
#include "scheduler/scheduleraction.h"
#include "scheduler/schedulerevent.h"
#include "json/json.h"

#include <memory>
#include <vector>

namespace fescuecleat {

/**
 * Schedules jobs on the workers of one data centre. Deterministic: it reads no
 * clock, does no I/O and uses no randomness, so the same events always produce
 * the same actions.
 */
class Scheduler {
public:
    Scheduler();
    ~Scheduler();
    Scheduler(Scheduler&&) noexcept;
    Scheduler& operator=(Scheduler&&) noexcept;

    /** Applies an event and returns the resulting actions, to be carried out in order. */
    std::vector<SchedulerAction> handle(const SchedulerEvent&, Time now);

    /** When the next Tick is due; Time::max() if none. */
    Time nextDeadline() const;

    /** The complete state as JSON. */
    JsonValue dump(Time now) const;

    /** Human-readable explanation of why a job waits and what would unblock it. */
    std::string explain(const JobId&, Time now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
