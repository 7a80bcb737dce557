#pragma once

#include "scheduler/placementfinder.h"

#include <map>
#include <set>
#include <vector>

namespace fescuecleat {

/**
 * Keeps the workers in the order in which they would be taken, one order for
 * each number of accelerators that a task was seen to ask for, and the racks by
 * their room. A worker that changed moves within the orders; the others are not
 * looked at.
 */
class IndexedFinder : public PlacementFinder {
public:
    std::optional<Placement> findFree(const FreeQuery&, WorkerTable&) override;
    std::unique_ptr<PlacementFinder> fresh() const override { return std::make_unique<IndexedFinder>(); }

private:
    /** Workers in the order of their keys. */
    struct Order {
        std::set<SlotKey> keys_;
        /** Each worker's key by its index, if it is in the order. */
        std::vector<std::optional<SlotKey>> keyOfWorker_;
    };
    /** Racks in the order of their room. */
    struct RackOrder {
        std::set<std::pair<std::int64_t, int>> racks_;
        std::vector<std::int64_t> roomOfRack_;
        std::vector<std::int64_t> roomOfWorker_;
        std::vector<int> rackOfWorker_;
        std::int64_t total_ = 0;
    };

    void refresh(WorkerTable&);
    void update(Order&, int accelerators, const WorkerState&);
    void update(RackOrder&, bool countsAccelerators, const WorkerState&);
    Order& orderFor(int accelerators, const WorkerTable&);
    std::optional<Placement> findAnywhere(const FreeQuery&, const WorkerTable&);
    std::optional<Placement> findOnOneWorker(const FreeQuery&, const WorkerTable&);
    std::optional<Placement> findInOneRack(const FreeQuery&, const WorkerTable&);
    static std::optional<Placement> findByScan(const FreeQuery&, const WorkerTable&, const std::vector<int>& workers);

    std::map<int, Order> orders_;
    RackOrder byAccelerators_;
    RackOrder byProcessors_;
    int workers_ = 0;
};

}
