#pragma once

#include "base/time.h"
#include "scheduler/jobentry.h"
#include "scheduler/jobspec.h"

#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace fescuecleat {

/** What decides where a job fits. Jobs of one class stand in line behind each other. */
struct JobClass {
    OrganisationId organisation_;
    int tasks_ = 1;
    TaskShape shape_;
    Adjacency adjacency_ = Adjacency::Any;
    bool isUrgent_ = false;
    bool isIdempotent_ = true;
    bool canCheckpoint_ = true;
    /** Set for a job that is treated by itself, as it avoids workers or has a reservation. */
    JobId alone_;

    auto tied() const
    {
        return std::tie(organisation_, tasks_, shape_.accelerators_, shape_.processorMillis_, shape_.memoryBytes_,
            adjacency_, isUrgent_, isIdempotent_, canCheckpoint_, alone_);
    }
    bool operator==(const JobClass& other) const { return tied() == other.tied(); }
    bool operator<(const JobClass& other) const { return tied() < other.tied(); }
};

/** The class of a job as it stands now. */
JobClass classOf(const JobEntry&);

/** Waiting jobs of one class, the oldest first. */
struct JobLine {
    std::set<std::pair<Time, JobId>> jobs_;
    /** Capacity version at which its head last found no place. */
    std::uint64_t blockedAt_ = 0;
    /** Version of its organisation's guarantee at which its homes last had no room. */
    std::uint64_t guaranteeBlockedAt_ = 0;
};

/** The waiting jobs by class. */
class JobQueue {
public:
    void add(const JobEntry&);
    void remove(const JobEntry&);
    bool isEmpty() const { return lines_.empty(); }
    std::size_t size() const { return size_; }

    std::map<JobClass, JobLine>& lines() { return lines_; }
    const std::map<JobClass, JobLine>& lines() const { return lines_; }

private:
    std::map<JobClass, JobLine> lines_;
    std::size_t size_ = 0;
};

}
