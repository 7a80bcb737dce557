#pragma once

#include "base/time.h"
#include "scheduler/scheduleraction.h"
#include "scheduler/schedulerevent.h"
#include "json/json.h"

#include <memory>
#include <vector>

namespace fescuecleat {

/**
 * Decides for the workers of one data centre. Deterministic: it reads no clock,
 * does no I/O and has no randomness, so the same events give the same actions.
 */
class Scheduler {
public:
    Scheduler();
    ~Scheduler();
    Scheduler(Scheduler&&) noexcept;
    Scheduler& operator=(Scheduler&&) noexcept;

    /** Takes one event and returns what is to be done, in order. */
    std::vector<SchedulerAction> handle(const SchedulerEvent&, Time now);

    /** When the next Tick is due at the latest. */
    Time nextDeadline() const;

    /** The whole state, for the dump. */
    JsonValue dump(Time now) const;

    /** Why a job waits, what blocks it and what would free it; for people. */
    std::string explain(const JobId&, Time now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
