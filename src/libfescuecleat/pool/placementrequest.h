#pragma once

#include "base/time.h"
#include "pool/pooljobspec.h"
#include "pool/taskid.h"
#include "pool/workerinfo.h"

#include <map>
#include <set>
#include <string>

namespace fescuecleat {

/** Whether a worker is of the service and has the label that a step requires. */
inline bool isEligible(const WorkerInfo& worker, const StepSpec& step, const std::string& service)
{
    return worker.service_ == service && (step.requiredLabel_.empty() || worker.hasLabel(step.requiredLabel_));
}

/** Requirements of a unit that is to be placed. */
struct PlacementRequest {
    const StepSpec* step_ = nullptr;
    const std::string* service_ = nullptr;
    /** A task of the unit. */
    TaskId task_;
    int taskCount_ = 1;
    Time waitingSince_ {};
    /** Tasks of the step that are already placed, per worker; filled only if the step limits tasks per worker. */
    std::map<WorkerKey, int> placedTasks_;
    /** Ids of workers that are used only if no others fit. */
    const std::set<std::string>* avoidedWorkers_ = nullptr;
    /** Machines whose workers the unit may have crashed; used only if no others fit. */
    std::set<std::string> avoidedMachines_;
    /** A gang that prefers one rack may be spread over several. */
    bool maySpanRacks_ = false;
    /** The start may crash its worker, so it is kept apart from starts of other jobs: a crash then has one possible cause. */
    bool isProbe_ = false;
    /** Workers kept free as headroom for urgent jobs may be used. */
    bool mayUseHeadroom_ = true;
    /** Capacity that is reserved for waiting gangs may be used. */
    bool mayUseReserved_ = false;
    /** Lower-ranked tasks may be stopped for it, so those that last don't hold their capacity for good. */
    bool mayPreempt_ = false;

    /** All tasks must be placed in the same rack. */
    bool needsOneRack() const { return taskCount_ > 1 && step_->wantsOneRack_ && !maySpanRacks_; }
};

}
