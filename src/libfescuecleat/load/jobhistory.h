#pragma once

#include "load/logentry.h"

#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** History of one task in one attempt, from the workers' logs. */
struct TaskHistory {
    /** max if it never started or ended. */
    Time startedAt_ = Time::max();
    Time endedAt_ = Time::max();
    /** Event that ended the task: finished, failed, stopped or checkpointed. */
    std::string endEvent_;
    /** Number of logged starts; more than one is a violation. */
    int startCount_ = 0;
};

/** Tasks of an attempt by index. */
using AttemptHistory = std::map<int, TaskHistory>;

/** Attempts of a job by number, and its log lines. */
struct JobHistory {
    std::map<int, AttemptHistory> attempts_;
    std::vector<std::string> trace_;
};

/** Builds the history of each job from the workers' logs, by job id. */
std::map<std::string, JobHistory> jobHistories(const std::vector<LogEntry>&);

/** True if any task of the attempt started. */
bool hasStarted(const AttemptHistory&);

/** Time of the first start of a task; max if none started. */
Time firstStart(const AttemptHistory&);

/** Time when the last started task ended; max if one still runs. */
Time lastEnd(const AttemptHistory&);

/** True if every started task was checkpointed. */
bool isCheckpointed(const AttemptHistory&);

/** Number of finished tasks. */
int finishedTasks(const AttemptHistory&);

}
