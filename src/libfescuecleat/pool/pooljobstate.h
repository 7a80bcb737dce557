#pragma once

namespace fescuecleat {

enum class PoolJobState {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

inline bool isFinal(PoolJobState state)
{
    return state == PoolJobState::Completed || state == PoolJobState::Failed || state == PoolJobState::Cancelled;
}

}
