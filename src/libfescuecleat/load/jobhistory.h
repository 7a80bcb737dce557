#pragma once

#include "load/logentry.h"

#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** What one task of one attempt did, from the workers' logs. */
struct TaskHistory {
    /** max: it never did. */
    Time started_ = Time::max();
    Time ended_ = Time::max();
    /** Event that ended it: finished, failed, stopped or checkpointed. */
    std::string end_;
    /** Starts that workers logged; more than one is a fault by itself. */
    int starts_ = 0;
};

/** One attempt of a job by task index. */
using AttemptHistory = std::map<int, TaskHistory>;

/** A job by attempt. */
struct JobHistory {
    std::map<int, AttemptHistory> attempts_;
    std::vector<std::string> trace_;
};

/** Histories by job, out of the workers' logs. */
std::map<std::string, JobHistory> jobHistories(const std::vector<LogEntry>&);

/** True if any task of the attempt started. */
bool hasStarted(const AttemptHistory&);

/** First start of the attempt; max if there is none. */
Time firstStart(const AttemptHistory&);

/** When the last task that started ended; max if one still runs. */
Time lastEnd(const AttemptHistory&);

/** True if every task that started ended in a checkpoint. */
bool isCheckpointed(const AttemptHistory&);

/** Tasks that finished. */
int finishedTasks(const AttemptHistory&);

}
