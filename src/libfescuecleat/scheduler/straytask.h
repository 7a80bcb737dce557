#pragma once

#include "base/time.h"
#include "scheduler/taskstate.h"

namespace fescuecleat {

/** A live task of a job that isn't known here, or of an attempt that is over. */
struct StrayTask {
    int worker_ = -1;
    TaskState state_ = TaskState::Running;
    /** When it is told to stop, again and again until it has ended. */
    Time stopAt_;
};

}
