#pragma once

#include "base/time.h"
#include "scheduler/taskstate.h"

namespace fescuecleat {

/** A live task of an unknown job or of an earlier attempt. */
struct OrphanTask {
    int worker_ = -1;
    TaskState state_ = TaskState::Running;
    /** When the next stop request is sent; repeated until the task has ended. */
    Time stopAt_;
};

}
