#include "scheduler/jobqueue.h"

namespace fescuecleat {

JobClass classOf(const JobEntry& entry)
{
    JobClass jobClass;
    jobClass.organisation_ = entry.spec_.organisation_;
    jobClass.tasks_ = entry.spec_.tasks_;
    jobClass.shape_ = entry.shape_;
    jobClass.adjacency_ = entry.spec_.adjacency_;
    jobClass.isUrgent_ = entry.spec_.isUrgent_;
    jobClass.isIdempotent_ = entry.spec_.isIdempotent_;
    jobClass.canCheckpoint_ = entry.spec_.canCheckpoint_;
    if (!entry.failedWorkers_.empty() || entry.orphans_ > 0 || entry.hasReservation_)
        jobClass.separateJob_ = entry.spec_.id_;
    return jobClass;
}

void JobQueue::add(const JobEntry& entry)
{
    if (classQueues_[classOf(entry)].jobs_.emplace(entry.submitted_, entry.spec_.id_).second)
        ++size_;
}

void JobQueue::remove(const JobEntry& entry)
{
    const auto classQueue = classQueues_.find(classOf(entry));
    if (classQueue == classQueues_.end())
        return;
    size_ -= classQueue->second.jobs_.erase({ entry.submitted_, entry.spec_.id_ });
    if (classQueue->second.jobs_.empty())
        classQueues_.erase(classQueue);
}

}
