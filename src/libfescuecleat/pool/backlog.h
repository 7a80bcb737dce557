#pragma once

#include "pool/poolstate.h"
#include "pool/resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** Where a job is placed within its priority. */
enum class BacklogPlace {
    /** Before those in time, as its postponement has reached its bound. */
    First,
    InTime,
    /** It is late, postponed or expired. */
    Behind,
};

/** Waiting work of one priority whose latest start lies in the same second. */
struct BacklogEntry {
    int priority_ = 0;
    BacklogPlace place_ = BacklogPlace::Behind;
    /** Milliseconds from the time of the backlog to the latest start, rounded up to whole seconds. */
    std::int64_t latestStartMs_ = 0;
    /** Milliseconds from the time of the backlog to the first expiry of a credit; negative if it has passed. */
    std::int64_t expiryMs_ = 0;
    /** Estimated pool-seconds: one is what the whole pool does in a second. */
    double work_ = 0;
};

/** The work that waits for a pool or is in progress, and how fast the pool does it. */
struct Backlog {
    /** Capacity of all workers that take new work. */
    Resources pool_;
    /** Mean and highest share of the pool in use, in pool-seconds a second. */
    double rate_ = 1;
    double bestRate_ = 1;
    /** Estimated pool-seconds of the runs in progress, by priority. */
    std::map<int, double> runningWork_;
    /** Accelerators of the open urgent jobs of each organisation that will certainly not have ended within the age of a view. */
    std::map<std::string, std::int64_t> urgentAccelerators_;
    /** By queue and organisation, in the order of priority and latest start. */
    std::map<std::string, std::map<std::string, std::vector<BacklogEntry>>> waiting_;

    /** Estimated pool-seconds of all waiting work. */
    double waitingWork() const;
};

/** Measures all but the highest rate, for which `bestRate` is the one known so far. */
Backlog measureBacklog(const PoolState&, double bestRate, Time now);

}
