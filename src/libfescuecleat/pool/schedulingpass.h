#pragma once

#include "pool/limittracker.h"
#include "pool/organisationorder.h"
#include "pool/placementview.h"
#include "pool/poolstate.h"
#include "pool/urgentroom.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** A single pass that places waiting units in order of rank and preempts lower-ranked work for urgent units. */
class SchedulingPass {
public:
    SchedulingPass(PoolState&, Time now);

    /** Returns false if units are left that have not been looked at, as the pass has started many tasks. */
    bool run();

private:
    /** Lower values are placed first. Ranks up to Urgent may preempt higher values. */
    enum Rank {
        Guaranteed = 0,
        Urgent = 1,
        Ordinary = 2,
    };

    /** Steps of a job whose waiting units have the same latest start. A job with occurrences has one candidate for all steps. */
    struct Candidate {
        Job* job_;
        std::vector<int> steps_;
        int rank_;
        /** Completing the job no longer earns any credit. */
        bool isExpired_;
        /** It is late anyway or postponed, and waits for the jobs of its rank that can be in time. */
        bool isBehind_;
        Time latestStart_;
        Turn turn_ = Turn::WithinShare;
    };

    /** Finds the urgent jobs that lie within the guarantees of their organisations. */
    void selectGuaranteedJobs();
    void reserveHeadroom();
    int rankOf(const Job&) const;
    std::vector<Candidate> candidates() const;
    /** Whether a job with this latest start comes after those of its rank that can be in time. */
    bool isBehind(const Job&, int rank, Time latestStart) const;
    /** Whether the candidate is postponed and must leave capacity to jobs in time that wait. */
    bool mustLeaveCapacity(const Candidate&) const;
    /** Whether a unit that finds no room elsewhere may use the workers that are kept free for urgent jobs. */
    bool isHeadroomOpen(const Candidate&, const PlacementRequest&) const;
    /** Whether the unit has waited for a while although less than half of its service's capacity is in use. */
    bool hasWaitedUnderLightUse(const PlacementRequest&) const;
    /** Whether a unit that finds no room elsewhere may use capacity that is reserved for waiting gangs. */
    bool isReservedOpen(const PlacementRequest&) const;
    /** What became of a unit that waits. */
    enum class Outcome {
        Placed,
        /** It waits for capacity that is reserved for it and will soon be free. */
        Reserved,
        Unplaced,
        /** The limit of runs is reached. */
        Limited,
        /** The limit of its organisation leaves no room for it. */
        OverOrganisationLimit,
        /** Runs of its organisation are about to end, which leaves room within the limit. */
        AwaitsLimit,
    };

    /** The first unit of a step that couldn't be placed in an occurrence. */
    struct UnplacedUnit {
        PlacementRequest request_;
        Outcome outcome_;
        /** Nothing but the step's requirements kept it from being placed, so other units of the step don't fit either. */
        bool isTypical_;
    };

    bool isActiveWithoutRecord(const Job&, const UnitId&) const;
    /** `started`: the object of the unit; null if it has never started. */
    PlacementRequest placementRequest(const Candidate&, const UnitId&, const WorkUnit* started) const;
    /** Adds the unit's runs to the number of tasks on each worker. */
    void countPlacedTasks(const WorkUnit&, std::map<WorkerKey, int>& placed) const;
    bool shouldWaitForRack(const Candidate&, const PlacementRequest&) const;
    bool hasStartedEnough() const;
    /** Whether the limit of runs leaves room for the unit. */
    bool isWithinRunLimit(const Candidate&, const PlacementRequest&) const;
    /** Returns false if some have not been looked at. */
    bool placeCandidates();
    void placeCandidate(const Candidate&);
    /** Places the step's units of one occurrence until one doesn't fit. */
    std::optional<UnplacedUnit> placeUnits(const Candidate&, int step, int occurrence);
    /** Allows the request capacity that is held back for others if the unit needs it. */
    Outcome place(const Candidate&, const UnitId&, PlacementRequest&);
    /** Places the unit into capacity that is free or about to be, within what the request may use. */
    Outcome placeInCapacity(const Candidate&, const UnitId&, const PlacementRequest&);
    UrgentUnit urgentUnit(const Candidate&, const UnitId&, const PlacementRequest&) const;
    /** The outcome for a unit that its organisation's limit blocks; nothing if room has been made for it at once. */
    std::optional<Outcome> placeOverLimit(const Candidate&, const UnitId&, const PlacementRequest&, ResourceKind);
    /** Whether a blocked unit would never start if other units of its organisation took the room as it becomes free. */
    bool shouldReserveLimit(const Candidate&, const PlacementRequest&) const;
    /** Reserves a rack for an attainable gang that isn't urgent; returns false if it may not have one. */
    bool reserveRack(const Candidate&, const PlacementRequest&);

    PoolState& state_;
    Time now_;
    PlacementView view_;
    UrgentRoom urgentRoom_;
    LimitTracker limits_;
    int awaitedTasks_ = 0;
    std::set<std::string> guaranteedJobs_;
    int reservedRacks_ = 0;
    /** The last rank in which units of a job in time wait for capacity. */
    std::optional<int> shortRank_;
    int startedTasks_ = 0;
    /** Tasks of runs that workers report and the scheduler has no record of; they are being stopped. */
    std::set<TaskId> unrecordedTasks_;
};

}
