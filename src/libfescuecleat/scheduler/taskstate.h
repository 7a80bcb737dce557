#pragma once

namespace fescuecleat {

/** State of a task as its worker reports it. */
enum class TaskState {
    Prepared,
    Running,
    Checkpointed,
    Finished,
    Failed,
    Stopped,
};

/** Stable name of a state on the worker edge: prepared, running, checkpointed, finished, failed, stopped. */
const char* taskStateName(TaskState);

}
