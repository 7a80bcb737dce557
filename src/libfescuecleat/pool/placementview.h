#pragma once

#include "base/time.h"
#include "pool/placementrequest.h"
#include "pool/poolworkerstate.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace fescuecleat {

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

    /** Capacity of one worker. */
    struct WorkerEntry {
        PoolWorkerState* worker_;
        Resources free_;
        Resources projected_;
        /** Capacity that is free once all runs that end by themselves have ended. */
        Resources attainable_;
        /** Index of the rack. */
        std::size_t rack_;
        bool isAvoided_;
        bool isHeadroom_ = false;
        bool isOnProbation_ = false;
        /** What is reserved for waiting gangs; `free_` and `projected_` are without it. */
        Resources reserved_ {};
    };

    struct Rack {
        std::string name_;
        /** Indexes of its workers. */
        std::vector<std::size_t> workers_;
        /** Sums over its workers, each at least zero. */
        Resources free_;
        Resources projected_;
        Resources reserved_;
    };

    PlacementView(std::map<WorkerKey, PoolWorkerState>& workers, const std::set<std::string>& closedDataCentres, Time now);

    /** Returns one worker per task, or nothing if the request doesn't fit. */
    std::optional<Placement> find(const PlacementRequest&, CapacityKind) const;
    /** Whether the request fits now, or once the tasks that are being stopped have ended. */
    bool isPlaceable(const PlacementRequest& request) const { return find(request, CapacityKind::Free) || find(request, CapacityKind::Projected); }
    /** Subtracts a placement from both kinds of capacity; `each` is the allocation of one task. */
    void reserve(const Placement&, const Resources& each);
    /** Adds resources of a run that is to be stopped. */
    void addProjected(const PoolWorkerState*, const Resources&);
    /** Reverts addProjected(). */
    void removeProjected(const PoolWorkerState*, const Resources&);
    /** Marks up to `workers` idle workers as headroom, first those in `preferred`, then from the emptiest racks on. */
    void reserveHeadroom(std::size_t workers, const std::set<WorkerKey>& preferred);
    /** The workers that are marked as headroom. */
    std::set<WorkerKey> headroom() const;
    /**
     * Reserves capacity for an attainable request in the rack that can hold most of it, so that units placed later in the
     * pass leave it free. Passes over racks that can never hold all of a request that needs one rack.
     */
    void reserveRack(const PlacementRequest&);

    /** Number of tasks that a worker could hold if it had the given capacity left, up to `limit`. */
    std::int64_t countFittingTasks(const WorkerEntry&, const PlacementRequest&, const Resources& available, std::int64_t limit) const;
    /**
     * Whether the request would fit once all runs that end by themselves have ended, and those that may be stopped for it. If
     * not, it waits for a change of the pool, and no capacity that is left free for it can help it.
     */
    bool isAttainable(const PlacementRequest&) const;
    /** Whether the request would fit outside the headroom once all runs that end by themselves have ended. */
    bool fitsOutsideHeadroom(const PlacementRequest&) const;
    /** Whether less than half of the capacity of the workers of a service is in use. */
    bool isLightlyUsed(const std::string& service) const;

    const std::vector<WorkerEntry>& entries() const { return entries_; }
    const std::vector<Rack>& racks() const { return racks_; }
    /** Index of a worker's entry; nothing if the worker takes no new work. */
    std::optional<std::size_t> indexOf(const PoolWorkerState*) const;
    /** Most accelerators of a single worker. */
    std::int64_t maxWorkerAccelerators() const { return maxWorkerAccelerators_; }

private:
    /** Sums over the workers of a service, in cores. */
    struct ServiceLoad {
        double capacity_ = 0;
        double used_ = 0;
    };

    /** Requirements that decide whether a request fits, apart from the number of its tasks. */
    using Shape = std::tuple<std::int64_t, std::int64_t, std::int64_t, bool, bool, bool, std::string, std::string>;

    /** Tasks of a request that all workers together could hold once all runs that end by themselves have ended. */
    struct AttainableTasks {
        std::int64_t total_ = 0;
        std::int64_t inOneRack_ = 0;
        std::int64_t outsideHeadroom_ = 0;
        std::int64_t outsideHeadroomInOneRack_ = 0;
    };

    bool isAvoided(const WorkerEntry&, const PlacementRequest&) const;
    /** Number of tasks that a worker could hold once all runs that end by themselves have ended. */
    std::int64_t countAttainableTasks(const WorkerEntry&, const PlacementRequest&) const;
    AttainableTasks attainableTasks(const PlacementRequest&) const;
    static Shape shapeOf(const PlacementRequest&);
    std::optional<Placement> findSingle(const PlacementRequest&, CapacityKind) const;
    std::optional<Placement> findGang(const PlacementRequest&, CapacityKind, bool allowAvoided) const;
    Placement distribute(std::vector<std::pair<std::size_t, std::int64_t>> workers, const PlacementRequest&, CapacityKind) const;
    void adjustCapacity(WorkerEntry&, const Resources& free, const Resources& projected);
    /** What a request may use of a worker's or a rack's capacity. */
    template <typename Holder>
    static Resources available(const Holder& holder, const PlacementRequest& request, CapacityKind kind)
    {
        const Resources& capacity = kind == CapacityKind::Free ? holder.free_ : holder.projected_;
        return request.mayUseReserved_ ? capacity + holder.reserved_ : capacity;
    }

    std::vector<WorkerEntry> entries_;
    std::vector<Rack> racks_;
    std::unordered_map<const PoolWorkerState*, std::size_t> entryIndexes_;
    std::map<std::string, ServiceLoad> serviceLoads_;
    std::int64_t maxWorkerAccelerators_ = 1;
    /** Smallest number of tasks that didn't fit, by shape. Free capacity only shrinks during a pass. */
    mutable std::map<Shape, int> unplaceableFree_;
    /** The same for projected capacity; cleared when some is added. */
    mutable std::map<Shape, int> unplaceableProjected_;
    /** By shape, limit of tasks for each worker, whether it is a gang, and whether it may preempt. Headroom is marked before the first request. */
    mutable std::map<std::tuple<Shape, int, bool, bool>, AttainableTasks> attainableTasks_;
};

}
