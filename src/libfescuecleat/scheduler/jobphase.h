#pragma once

namespace fescuecleat {

/** Where a job stands in this data centre. */
enum class JobPhase {
    /** Waits for a place; no task of it can run. */
    Queued,
    /** Read back after a change of holder; its tasks are being found. */
    Adopting,
    /** Its tasks are being prepared on their workers. */
    Preparing,
    /** Every task was prepared and was sent its start. */
    Starting,
    Running,
    /** Its tasks are being stopped; ends when each has certainly ended. */
    Stopping,
};

/** Stable name for dumps. */
const char* jobPhaseName(JobPhase);

}
