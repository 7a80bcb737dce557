#pragma once

#include "pool/poolscheduler.h"

#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** A scheduler with workers of eight accelerators that run what is started until the test ends it. */
class LimitedPool {
public:
    explicit LimitedPool(int workers = 2);

    static WorkerKey workerKey(int index) { return { "w" + std::to_string(index), 1 }; }
    static WorkerInfo workerInfo(int index);
    static StepSpec step(int tasks, std::int64_t accelerators = 1, bool isGang = false);
    /** Sets the limit of an organisation's accelerators, in place of all limits and weights. */
    void limit(const std::string& organisation, std::int64_t accelerators) { scheduler_.setOrganisations({ { organisation, { 0, { 0, 0, accelerators } } } }); }
    /** Submits a job of one step; returns its id. `record`: what an earlier scheduler has stored of it. */
    std::string submit(const StepSpec&, const std::string& organisation, int priority = 1);
    void restore(const std::string& id, const LimitedPool& former);

    /** Runs a pass and returns the starts that it decides. */
    std::vector<StartDecision> place();
    /** The same, and all starts are accepted. */
    std::vector<StartDecision> startAll();
    void accept(const std::vector<StartDecision>&);
    /** The worker of the run reports its end. */
    void end(const RunId&, EndReason = EndReason::Done);
    /** Ends all runs whose stop was decided since the last call; returns them. */
    std::vector<RunId> endStopped();
    /** Runs of the organisation that may exist. */
    int runsOf(const std::string& organisation) const;
    Resources used(const std::string& organisation) const { return scheduler_.state().usage_.used(organisation); }

    PoolScheduler scheduler_;
    Time now_ { std::chrono::seconds(1000) };

private:
    std::map<WorkerKey, std::int64_t> sequences_;
    std::vector<RunId> stopped_;
    int nextJob_ = 1;
};

}
