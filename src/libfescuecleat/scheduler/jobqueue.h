#pragma once

#include "base/time.h"
#include "scheduler/jobentry.h"
#include "scheduler/jobspec.h"

#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace fescuecleat {

/** Properties that determine where a job can be placed. Jobs of one class share a queue. */
struct JobClass {
    OrganisationId organisation_;
    int tasks_ = 1;
    TaskShape shape_;
    Adjacency adjacency_ = Adjacency::Any;
    bool isUrgent_ = false;
    bool isIdempotent_ = true;
    bool canCheckpoint_ = true;
    /** Set for a job with a queue of its own, because it excludes workers, has orphaned tasks or has a reservation. */
    JobId separateJob_;

    auto asTuple() const
    {
        return std::tie(organisation_, tasks_, shape_.accelerators_, shape_.processorMillis_, shape_.memoryBytes_,
            adjacency_, isUrgent_, isIdempotent_, canCheckpoint_, separateJob_);
    }
    bool operator==(const JobClass& other) const { return asTuple() == other.asTuple(); }
    bool operator<(const JobClass& other) const { return asTuple() < other.asTuple(); }
};

/** The current class of a job. */
JobClass classOf(const JobEntry&);

/** Queued jobs of one class, oldest first. */
struct JobClassQueue {
    std::set<std::pair<Time, JobId>> jobs_;
    /** Freed-capacity version at which the first job last found no placement. */
    std::uint64_t blockedAtVersion_ = 0;
    /** Guarantee version of the organisation at which its guaranteed cells last had no capacity for the first job. */
    std::uint64_t guaranteeBlockedAtVersion_ = 0;
};

/** Queued jobs, by class. */
class JobQueue {
public:
    void add(const JobEntry&);
    void remove(const JobEntry&);
    bool isEmpty() const { return classQueues_.empty(); }
    std::size_t size() const { return size_; }

    std::map<JobClass, JobClassQueue>& classQueues() { return classQueues_; }
    const std::map<JobClass, JobClassQueue>& classQueues() const { return classQueues_; }

private:
    std::map<JobClass, JobClassQueue> classQueues_;
    std::size_t size_ = 0;
};

}
