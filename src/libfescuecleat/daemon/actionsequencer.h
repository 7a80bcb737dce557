#pragma once

#include "scheduler/scheduleraction.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace fescuecleat {

/**
 * Orders the scheduler's actions: a prepare, start or offer waits until every
 * earlier record of its job is durable. Stops, checkpoints and throttles are sent
 * at once: they are safe in any order, and a store outage must not delay them.
 */
class ActionSequencer {
public:
    /** Actions that may be sent now, and actions that will never be sent. */
    struct Step {
        std::vector<SchedulerAction> ready_;
        /** Prepares and starts that were still waiting when their task was stopped. */
        std::vector<SchedulerAction> dropped_;
    };

    /** Adds actions, in the order in which the scheduler returned them. */
    Step add(std::vector<SchedulerAction>);

    /** Returns the oldest record of each job without a record in flight, at most `maxCount`, and marks them as in flight. */
    std::vector<RecordJob> takeRecords(std::size_t maxCount);

    /** The job's record in flight is durable. Returns the actions that waited for it. */
    Step committed(const JobId&);

    /** The job's record in flight was not written; takeRecords() returns it again. */
    void commitFailed(const JobId&);

    /** Number of records that are not durable yet. */
    std::size_t pendingRecords() const;

    bool hasRecordsToTake() const { return pending_.size() > inFlight_.size(); }

private:
    using Pending = std::variant<RecordJob, SchedulerAction>;

    void addGated(const JobId&, SchedulerAction, Step&);
    void dropSuperseded(const TaskKey&, Step&);
    void release(const JobId&, Step&);

    std::map<JobId, std::deque<Pending>> pending_;
    std::set<JobId> inFlight_;
};

}
