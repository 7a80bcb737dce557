#pragma once

namespace fescuecleat {

/** Scheduling phase of a job in this data centre. */
enum class JobPhase {
    /** Waiting for a placement; no task can run. */
    Queued,
    /** Loaded after a lease failover; waiting for its tasks to be reported. */
    Adopting,
    /** Waiting for the workers to prepare all tasks. */
    Preparing,
    /** All tasks are prepared and start requests were sent. */
    Starting,
    Running,
    /** Its tasks are being stopped; lasts until all are confirmed to have ended. */
    Stopping,
};

/** Name of a phase in state dumps. */
const char* jobPhaseName(JobPhase);

}
