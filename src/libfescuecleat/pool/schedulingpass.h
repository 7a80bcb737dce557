#pragma once

#include "pool/placementview.h"
#include "pool/poolstate.h"
#include "pool/preemption.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** A single pass that places waiting units in order of rank and preempts lower-ranked work for urgent units. */
class SchedulingPass {
public:
    SchedulingPass(PoolState&, Time now);

    void run();

private:
    /** Lower values are placed first. Ranks up to Urgent may preempt higher values. */
    enum Rank {
        Guaranteed = 0,
        Urgent = 1,
        Ordinary = 2,
    };

    /** The waiting units of one step and occurrence. */
    struct Candidate {
        Job* job_;
        std::size_t firstUnit_;
        std::size_t endUnit_;
        int rank_;
        /** Completing the job no longer earns any credit. */
        bool isExpired_;
        Time latestStart_;
    };

    /** Finds the urgent jobs that lie within the guarantees of their organisations. */
    void selectGuaranteedJobs();
    void reserveHeadroom();
    int rankOf(const Job&) const;
    std::vector<Candidate> candidates() const;
    bool isWaiting(const Job& job, const WorkUnit& unit) const { return unit.state_ == UnitState::Waiting && unit.retryAt_ <= now_ && !isActiveWithoutRecord(job, unit); }
    bool isActiveWithoutRecord(const Job&, const WorkUnit&) const;
    PlacementRequest placementRequest(const Candidate&, const WorkUnit&) const;
    bool shouldWaitForRack(const Candidate&, const WorkUnit&, const PlacementRequest&) const;
    /** Places the candidate's units until one doesn't fit; returns the request of that one. */
    std::optional<PlacementRequest> placeUnits(const Candidate&);
    bool place(const Candidate&, std::size_t unit, const PlacementRequest&);
    bool preempt(const Candidate&, const PlacementRequest&);

    PoolState& state_;
    Time now_;
    PlacementView view_;
    /** Built when first needed. */
    std::optional<Preemption> preemption_;
    std::set<std::string> guaranteedJobs_;
    /** Tasks of runs that workers report and the scheduler has no record of; they are being stopped. */
    std::set<TaskId> unrecordedTasks_;
};

}
