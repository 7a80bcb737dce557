#include "state/jobstate.h"

namespace fescuecleat {

const char* jobStateName(JobState state)
{
    switch (state) {
    case JobState::Submitted:
        return "submitted";
    case JobState::Queued:
        return "queued";
    case JobState::Placed:
        return "placed";
    case JobState::Prepared:
        return "prepared";
    case JobState::Running:
        return "running";
    case JobState::Checkpointed:
        return "checkpointed";
    case JobState::Finished:
        return "finished";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    case JobState::Unknown:
        return "unknown";
    }
    return "unknown";
}

bool isFinal(JobState state)
{
    return state == JobState::Finished || state == JobState::Failed || state == JobState::Cancelled || state == JobState::Unknown;
}

bool isAllowedTransition(JobState from, JobState to)
{
    if (isFinal(from))
        return false;
    switch (to) {
    case JobState::Submitted:
        return false;
    case JobState::Queued:
        return true;
    case JobState::Placed:
        return from == JobState::Queued || from == JobState::Submitted || from == JobState::Checkpointed;
    case JobState::Prepared:
        return from == JobState::Placed;
    case JobState::Running:
        return from == JobState::Placed || from == JobState::Prepared;
    case JobState::Checkpointed:
        return from == JobState::Running;
    case JobState::Finished:
        return from == JobState::Running || from == JobState::Placed || from == JobState::Prepared;
    case JobState::Failed:
    case JobState::Cancelled:
    case JobState::Unknown:
        return true;
    }
    return false;
}

}
