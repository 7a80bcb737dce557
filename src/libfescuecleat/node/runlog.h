#pragma once

#include "node/jsoneventlog.h"
#include "node/linebudget.h"
#include "pool/decisions.h"
#include "pool/poolworkerreport.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Logs starts, stops, ends and losses of runs; the runs of a step that share the other fields share one line. */
class RunLog {
public:
    explicit RunLog(JsonEventLog& log)
        : log_(log)
    {
    }

    void started(const std::vector<StartDecision>&);
    void stopped(const std::vector<StopDecision>&);
    void ended(const std::string& worker, const std::vector<ReportedEnd>&);
    void lost(const std::vector<LostRun>&);
    void moved(const std::vector<MovedRun>&);
    /** Logs crashes of workers that had runs, with those that had just started and those that had been at work. */
    void crashed(const std::vector<WorkerCrash>&, Time now);
    /** Logs tasks that were given up because they crash workers. */
    void givenUp(const std::vector<DeadlyTask>&);
    /** Logs organisations that start or stop to wait because of their limits. */
    void limited(const std::vector<LimitChange>&);
    /** Logs jobs that were postponed, at a bounded rate. */
    void postponed(const std::vector<PostponedJob>&, Time now);

private:
    JsonEventLog& log_;
    LineBudget postponedLines_;
};

}
