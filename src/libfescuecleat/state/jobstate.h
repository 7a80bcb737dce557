#pragma once

namespace fescuecleat {

/** Stored state of a job. */
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

/** Name of a state in rows and responses, for example "running"; must not change. */
const char* jobStateName(JobState);

/** True for the states that a job never leaves. */
bool isFinal(JobState);

/** True if a job may change from the first state to the second. All writers of job records use this check. */
bool isAllowedTransition(JobState from, JobState to);

}
