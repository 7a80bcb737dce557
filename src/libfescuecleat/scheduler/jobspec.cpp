#include "scheduler/jobspec.h"

namespace fescuecleat {

bool JobSpec::operator==(const JobSpec& other) const
{
    return std::tie(id_, organisation_, idempotencyKey_, tasks_, shape_, adjacency_, isUrgent_, isIdempotent_, canCheckpoint_, declaredRunTime_, payload_)
        == std::tie(other.id_, other.organisation_, other.idempotencyKey_, other.tasks_, other.shape_, other.adjacency_, other.isUrgent_, other.isIdempotent_, other.canCheckpoint_, other.declaredRunTime_, other.payload_);
}

}
