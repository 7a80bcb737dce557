#pragma once

namespace fescuecleat {

enum class JobState {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

inline bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

}
