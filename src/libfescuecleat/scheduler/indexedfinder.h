#pragma once

#include "scheduler/placementfinder.h"

#include <map>
#include <set>
#include <vector>

namespace fescuecleat {

/**
 * Indexes workers by placement preference, with one index for each accelerator
 * count per task requested so far, and racks by free capacity. Only workers that
 * changed are moved within the indexes.
 */
class IndexedFinder : public PlacementFinder {
public:
    std::optional<Placement> findFree(const FreeQuery&, WorkerTable&) override;
    std::unique_ptr<PlacementFinder> cloneEmpty() const override { return std::make_unique<IndexedFinder>(); }

private:
    /** Workers sorted by placement preference. */
    struct WorkerOrder {
        std::set<SlotKey> keys_;
        /** Key of each worker, by worker index; empty if no task fits on it. */
        std::vector<std::optional<SlotKey>> keyOfWorker_;
    };
    /** Racks sorted by free capacity. */
    struct RackOrder {
        std::set<std::pair<std::int64_t, int>> racks_;
        std::vector<std::int64_t> freeCapacityOfRack_;
        std::vector<std::int64_t> freeCapacityOfWorker_;
        std::vector<int> rackOfWorker_;
        std::int64_t total_ = 0;
    };

    void refresh(WorkerTable&);
    void update(WorkerOrder&, int accelerators, const WorkerState&);
    void update(RackOrder&, bool countsAccelerators, const WorkerState&);
    WorkerOrder& orderFor(int accelerators, const WorkerTable&);
    std::optional<Placement> findAnywhere(const FreeQuery&, const WorkerTable&);
    std::optional<Placement> findOnOneWorker(const FreeQuery&, const WorkerTable&);
    std::optional<Placement> findInOneRack(const FreeQuery&, const WorkerTable&);
    static std::optional<Placement> findByScan(const FreeQuery&, const WorkerTable&, const std::vector<int>& workers);

    std::map<int, WorkerOrder> workerOrders_;
    RackOrder byAccelerators_;
    RackOrder byProcessors_;
    int workerCount_ = 0;
};

}
