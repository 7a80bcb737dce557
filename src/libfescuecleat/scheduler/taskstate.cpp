#include "scheduler/taskstate.h"

namespace fescuecleat {

const char* taskStateName(TaskState state)
{
    switch (state) {
    case TaskState::Prepared:
        return "prepared";
    case TaskState::Running:
        return "running";
    case TaskState::Checkpointed:
        return "checkpointed";
    case TaskState::Finished:
        return "finished";
    case TaskState::Failed:
        return "failed";
    case TaskState::Stopped:
        return "stopped";
    }
    return "stopped";
}

}
