#pragma once

#include "pool/taskid.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat {

/** A task that is present on a worker. */
struct ReportedRun {
    RunId run_;
    std::string checkpoint_;
    int percentDone_ = 0;
};

enum class EndReason {
    Done,
    Failed,
    Stopped,
    LeaseLapsed,
    /** Another member of the gang ended. */
    GangBroken,
    /** The other members of the gang did not come in time. */
    GangIncomplete,
};

/** A run that has ended on a worker. */
struct ReportedEnd {
    /** Rises from 1 in each life of the worker. */
    std::int64_t sequence_ = 0;
    RunId run_;
    EndReason reason_ = EndReason::Failed;
    std::string checkpoint_;
};

/** What a worker says it runs and what ended there. */
struct PoolWorkerReport {
    std::int64_t bornUnixMs_ = 0;
    /** The worker's own steady clock. */
    std::int64_t clockMs_ = 0;
    std::vector<ReportedRun> running_;
    std::vector<ReportedEnd> ended_;
};

}
