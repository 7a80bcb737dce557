#pragma once

namespace fescuecleat {

/** Durable state of a job. */
enum class JobState {
    Submitted,
    Queued,
    Placed,
    Prepared,
    Running,
    Checkpointed,
    Finished,
    Failed,
    Cancelled,
    Unknown,
};

/** Stable name of a state in rows and answers, for example "running". */
const char* jobStateName(JobState);

/** True for a state that never changes again. */
bool isFinal(JobState);

/** True if a job may go from the first state to the second. The one place that decides it. */
bool isAllowedTransition(JobState from, JobState to);

}
