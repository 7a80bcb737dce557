#pragma once

#include "pool/taskid.h"
#include "pool/workerinfo.h"

#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** A run to be started once its job's record is stored. */
struct StartDecision {
    RunId run_;
    WorkerKey worker_;
    std::string checkpoint_;
};

/** A run to be stopped at once. */
struct StopDecision {
    RunId run_;
    WorkerKey worker_;
    std::string cause_;
};

/** What the scheduler wants done. */
struct Decisions {
    /** Jobs whose records must be stored before the starts go out. */
    std::set<std::string> changedJobs_;
    std::vector<StartDecision> starts_;
    std::vector<StopDecision> stops_;

    bool isEmpty() const { return changedJobs_.empty() && starts_.empty() && stops_.empty(); }
};

}
