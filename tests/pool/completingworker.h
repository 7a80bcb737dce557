#pragma once

#include "pool/poolscheduler.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** A scheduler with one worker of eight accelerators, which ends its runs as the test says. */
class CompletingWorker {
public:
    static constexpr Time start { std::chrono::seconds(1000) };
    static constexpr std::int64_t startUnixMs = 1700000000000;

    CompletingWorker();

    /** `record`: what an earlier scheduler has stored of the job. */
    void add(const std::string& id, const PoolJobSpec&, int priority = 1, const PoolJobRecord* record = nullptr, const std::string& organisation = "large");
    /** Starts what there is room for, a second after the last time. */
    std::vector<RunId> startAll();
    /** Reports ends, and `running` as at work; other runs are given up. */
    void report(const std::vector<RunId>& ended, EndReason, const std::vector<RunId>& running);
    void complete(const std::vector<RunId>& runs) { report(runs, EndReason::Done, {}); }
    /** Runs all that there is room for to its end; returns the runs. */
    std::vector<RunId> runOnce();
    PoolJobRecord storedRecord(const std::string& id) const;
    PoolJobState state(const std::string& id) const { return scheduler_.state().jobs_.at(id).state_; }

    PoolScheduler scheduler_;
    Time now_ = start;

private:
    std::int64_t sequence_ = 0;
};

}
