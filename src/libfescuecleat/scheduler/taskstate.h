#pragma once

namespace fescuecleat {

/** State of a task as reported by its worker. */
enum class TaskState {
    Prepared,
    Running,
    Checkpointed,
    Finished,
    Failed,
    Stopped,
};

/** Name of a state in the worker protocol: prepared, running, checkpointed, finished, failed or stopped. */
const char* taskStateName(TaskState);

}
