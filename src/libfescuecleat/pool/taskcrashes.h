#pragma once

#include "base/time.h"

#include <set>
#include <string>

namespace fescuecleat {

/** Crashes of workers under one task. */
struct TaskCrashes {
    /** Workers that crashed under a run of the task. */
    int total_ = 0;
    /** Those that are known to have received a start of the task, which may have crashed them, as nothing else explains it. */
    int atStart_ = 0;
    /** Machines whose workers the task may have crashed, whether or not they are known to have received its start. */
    std::set<std::string> machines_;
    /** The newest run that they interrupted. */
    int lastRun_ = 0;
    /** Longest time from a start to such a crash. A run that outlives it clears the task. */
    Duration longestRun_ {};

    /** Whether the task may crash the next worker, too. */
    bool areSuspicious() const { return !machines_.empty(); }
};

}
