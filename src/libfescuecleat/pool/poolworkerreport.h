#pragma once

#include "pool/taskid.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat {

/** A run that is active on a worker. */
struct ReportedRun {
    RunId run_;
    std::string checkpoint_;
    int percentDone_ = 0;
};

enum class EndReason {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /** Another member of the gang ended. */
    GangBroken,
    /** The other members of the gang did not start in time. */
    GangIncomplete,
};

/** A run that has ended on a worker. */
struct ReportedEnd {
    /** Counts up from 1 in each incarnation of the worker. */
    std::int64_t sequence_ = 0;
    RunId run_;
    EndReason reason_ = EndReason::Failed;
    std::string checkpoint_;
};

/** Active and ended runs, as reported by a worker. */
struct PoolWorkerReport {
    std::int64_t startedUnixMs_ = 0;
    /** Monotonic clock of the worker. */
    std::int64_t clockMs_ = 0;
    std::vector<ReportedRun> running_;
    std::vector<ReportedEnd> ended_;
};

}
