#pragma once

#include "base/time.h"
#include "pool/pooljobspec.h"
#include "pool/poolworkerstate.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** Requirements of a unit that is to be placed. */
struct PlacementRequest {
    const StepSpec* step_ = nullptr;
    std::string service_;
    int taskCount_ = 1;
    /** Tasks of the step that are already placed, per worker; filled only if the step limits tasks per worker. */
    std::map<WorkerKey, int> placedTasks_;
    /** Ids of workers that are used only if no others fit. */
    std::set<std::string> avoidedWorkers_;
    /** A gang that prefers one rack may be spread over several. */
    bool maySpanRacks_ = false;
    /** Workers kept free as headroom for urgent jobs may be used. */
    bool mayUseHeadroom_ = true;
};

/** Which capacity a placement may use. */
enum class CapacityKind {
    Free,
    /** Free now, or once the tasks that are being stopped have ended. */
    Projected,
};

/** Remaining capacity of the pool's workers during one scheduling pass. */
class PlacementView {
public:
    using Placement = std::vector<PoolWorkerState*>;

    PlacementView(std::map<WorkerKey, PoolWorkerState>& workers, const std::set<std::string>& closedDataCentres, Time now);

    /** Returns one worker per task, or nothing if the request doesn't fit. */
    std::optional<Placement> find(const PlacementRequest&, CapacityKind) const;
    /** Subtracts a placement from both kinds of capacity; `each` is the allocation of one task. */
    void reserve(const Placement&, const Resources& each);
    /** Adds resources of runs that are to be stopped. */
    void addProjected(const PoolWorkerState*, const Resources&);
    /** Reverts addProjected(). */
    void removeProjected(const PoolWorkerState*, const Resources&);
    /** Marks up to `workers` idle workers, starting with the emptiest racks, as headroom. */
    void reserveHeadroom(std::size_t workers);
    /** Reserves capacity in the rack that can hold most of the request, so that units placed later in the pass leave it free. */
    void reserveRack(const PlacementRequest&);

    /** Workers of a rack, or of all racks if `rack` is empty, that meet the request apart from their free capacity. */
    std::vector<const PoolWorkerState*> eligibleWorkers(const PlacementRequest&, const std::string& rack) const;
    /** Whether the request would fit into an empty rack. */
    bool fitsEmptyRack(const PlacementRequest&) const;
    /** Indexes of the workers in each rack. */
    const std::map<std::string, std::vector<std::size_t>>& racks() const { return racks_; }

private:
    /** Capacity of one worker. */
    struct WorkerEntry {
        PoolWorkerState* worker_;
        Resources free_;
        Resources projected_;
        bool isAvoided_;
        const std::string* rack_;
        bool isHeadroom_ = false;
    };
    /** Free accelerators of a rack for each kind of capacity. */
    struct RackCapacity {
        std::int64_t free_ = 0;
        std::int64_t projected_ = 0;
    };

    bool isEligible(const WorkerEntry&, const PlacementRequest&) const;
    bool isAvoided(const WorkerEntry&, const PlacementRequest&) const;
    std::int64_t countFittingTasks(const WorkerEntry&, const PlacementRequest&, CapacityKind, std::int64_t limit) const;
    std::optional<Placement> findSingle(const PlacementRequest&, CapacityKind) const;
    std::optional<Placement> findGang(const PlacementRequest&, CapacityKind, bool allowAvoided) const;
    Placement distribute(std::vector<std::pair<std::size_t, std::int64_t>> workers, const PlacementRequest&, CapacityKind) const;
    std::int64_t freeRackAccelerators(const WorkerEntry& entry, CapacityKind kind) const
    {
        const RackCapacity& rack = rackCapacities_.at(*entry.rack_);
        return kind == CapacityKind::Free ? rack.free_ : rack.projected_;
    }
    void adjustCapacity(WorkerEntry&, const Resources& free, const Resources& projected);
    const Resources& available(const WorkerEntry& entry, CapacityKind kind) const { return kind == CapacityKind::Free ? entry.free_ : entry.projected_; }

    std::vector<WorkerEntry> entries_;
    std::map<const PoolWorkerState*, std::size_t> entryIndexes_;
    std::map<std::string, std::vector<std::size_t>> racks_;
    std::map<std::string, RackCapacity> rackCapacities_;
};

}
