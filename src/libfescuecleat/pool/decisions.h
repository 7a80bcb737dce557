#pragma once

#include "pool/taskid.h"
#include "pool/workerinfo.h"

#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** A run to start once the job's record is stored. */
struct StartDecision {
    RunId run_;
    WorkerKey worker_;
    std::string checkpoint_;
};

/** A run to stop immediately. */
struct StopDecision {
    RunId run_;
    WorkerKey worker_;
    std::string cause_;
};

/** Actions that the scheduler requests from its owner. */
struct Decisions {
    /** Jobs whose records must be stored before the starts are sent. */
    std::set<std::string> changedJobs_;
    std::vector<StartDecision> starts_;
    std::vector<StopDecision> stops_;

    bool isEmpty() const { return changedJobs_.empty() && starts_.empty() && stops_.empty(); }
};

}
