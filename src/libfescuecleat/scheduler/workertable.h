#pragma once

#include "scheduler/workerstate.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace fescuecleat {

/** A rack and its workers. */
struct RackState {
    RackId id_;
    /** Indices of the workers, in the order in which they first joined. */
    std::vector<int> workers_;
};

/** All workers of the data centre, by id and index. Indices never change. */
class WorkerTable {
public:
    /** Index of the worker; an unknown worker is added as not present. */
    int intern(const WorkerId&);
    /** Index of the worker; -1 if unknown. */
    int find(const WorkerId&) const;

    int size() const { return static_cast<int>(workers_.size()); }
    const WorkerState& at(int index) const { return workers_[static_cast<std::size_t>(index)]; }
    const std::vector<RackState>& racks() const { return racks_; }

    /** Marks a worker as present and sets its rack and capacity. Returns false if nothing changed. */
    bool join(int index, const RackId&, const WorkerCapacity&);
    void leave(int index);
    void allocate(int index, const TaskKey&, const Allocation&);
    void release(int index, const TaskKey&);
    void reserve(int index, const TaskKey&, const Allocation&);
    void releaseReservation(int index, const TaskKey&);
    void setHealth(int index, WorkerHealth);
    void setGuaranteed(int index, AcceleratorMask);

    /**
     * Increases whenever capacity may have become free for tasks with or without
     * accelerators. An allocated accelerator frees its share of the processors
     * for tasks without accelerators.
     */
    std::uint64_t freedVersion(bool hasAccelerators) const { return freedVersion_ + (hasAccelerators ? 0 : sharesFreed_); }
    /** Increases whenever a worker joins, leaves or changes its capacity or health. */
    std::uint64_t topologyVersion() const { return topologyVersion_; }

    /** Indices of workers that changed since the last call. Supports a single consumer. */
    std::vector<int> takeChangedWorkers();
    /** Marks every worker as changed, for a new consumer of takeChangedWorkers(). */
    void markAllChanged();

private:
    int internRack(const RackId&);
    /** Returns the worker and marks it as changed. */
    WorkerState& mutableWorker(int index);

    std::deque<WorkerState> workers_;
    std::unordered_map<WorkerId, int> byId_;
    std::vector<RackState> racks_;
    std::unordered_map<RackId, int> rackById_;
    std::uint64_t freedVersion_ = 1;
    std::uint64_t sharesFreed_ = 0;
    std::uint64_t topologyVersion_ = 1;
    std::vector<int> changed_;
    std::vector<bool> isChanged_;
};

}
