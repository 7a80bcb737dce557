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
 * Orders the scheduler's actions: a prepare or start waits until every earlier
 * record of its job is durable; stops, checkpoints and throttles never wait,
 * since they are safe in any order and a store outage must not delay them.
 */
class ActionSequencer {
public:
    /** What may be sent now, and what will never be sent. */
    struct Step {
        std::vector<SchedulerAction> ready_;
        /** Prepares and starts that a stop overtook. */
        std::vector<SchedulerAction> dropped_;
    };

    /** Takes actions in the order in which the scheduler gave them. */
    Step add(std::vector<SchedulerAction>);

    /** The oldest record of each job that has none in flight, at most `most`; they count as in flight. */
    std::vector<RecordJob> takeRecords(std::size_t most);

    /** The record in flight of the job is durable. */
    Step committed(const JobId&);

    /** The record in flight could not be written and is to be taken again. */
    void putBack(const JobId&);

    /** Records that are not durable yet. */
    std::size_t pendingRecords() const;

    bool hasRecordsToTake() const { return pending_.size() > inFlight_.size(); }

private:
    using Pending = std::variant<RecordJob, SchedulerAction>;

    void addGated(const JobId&, SchedulerAction, Step&);
    void dropOvertaken(const TaskKey&, Step&);
    void release(const JobId&, Step&);

    std::map<JobId, std::deque<Pending>> pending_;
    std::set<JobId> inFlight_;
};

}
