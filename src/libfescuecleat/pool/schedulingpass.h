#pragma once

#include "pool/placementview.h"
#include "pool/poolstate.h"

#include <optional>
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

    struct Candidate {
        Job* job_;
        std::size_t unit_;
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
    PlacementRequest placementRequest(const Candidate&) const;
    bool shouldWaitForRack(const Candidate&, const PlacementRequest&) const;
    bool place(const Candidate&);
    bool preempt(const Candidate&, const PlacementRequest&);

    struct Victim {
        Job* job_;
        std::size_t unit_;
        /** Core-seconds. */
        double cost_;
    };
    /** Preemptible units in a rack, or in all racks if `rack` is empty, cheapest first. */
    std::vector<Victim> possibleVictims(const Candidate&, const PlacementRequest&, const std::string& rack) const;
    /** Victims whose preemption makes the request fit; empty if preemption doesn't suffice. */
    std::vector<Victim> selectVictims(const Candidate&, const PlacementRequest&, const std::string& rack);
    /** Work lost if the unit is preempted, in core-seconds. */
    double lostCoreSeconds(const Job&, const WorkUnit&) const;
    /** Adds or subtracts the resources of a victim in the projected capacity. */
    void adjustForVictim(const Victim&, bool isAdded);

    PoolState& state_;
    Time now_;
    PlacementView view_;
    std::set<std::string> guaranteedJobs_;
};

}
