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
    if (!entry.failedOn_.empty() || entry.strays_ > 0 || entry.hasReservation_)
        jobClass.alone_ = entry.spec_.id_;
    return jobClass;
}

void JobQueue::add(const JobEntry& entry)
{
    if (lines_[classOf(entry)].jobs_.emplace(entry.submitted_, entry.spec_.id_).second)
        ++size_;
}

void JobQueue::remove(const JobEntry& entry)
{
    const auto line = lines_.find(classOf(entry));
    if (line == lines_.end())
        return;
    size_ -= line->second.jobs_.erase({ entry.submitted_, entry.spec_.id_ });
    if (line->second.jobs_.empty())
        lines_.erase(line);
}

}
