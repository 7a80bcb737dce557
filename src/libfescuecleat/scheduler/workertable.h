#pragma once

#include "scheduler/workerstate.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace fescuecleat {

/** The workers of one rack. */
struct RackState {
    RackId id_;
    /** Indices of its workers, in the order in which they joined first. */
    std::vector<int> workers_;
};

/** Every worker of the data centre, by id and by index. Indices never change. */
class WorkerTable {
public:
    /** The worker's index; a worker that was never heard of is entered as absent. */
    int intern(const WorkerId&);
    /** The worker's index, or -1. */
    int find(const WorkerId&) const;

    int size() const { return static_cast<int>(workers_.size()); }
    const WorkerState& at(int index) const { return workers_[static_cast<std::size_t>(index)]; }
    const std::vector<RackState>& racks() const { return racks_; }

    /** Enters a worker as present. False if nothing changed by it. */
    bool join(int index, const RackId&, const WorkerCapacity&);
    void leave(int index);
    void hold(int index, const TaskKey&, const Holding&);
    void release(int index, const TaskKey&);
    void reserve(int index, const TaskKey&, const Holding&);
    void releaseReservation(int index, const TaskKey&);
    void setTrust(int index, WorkerTrust);
    void setGuaranteed(int index, AcceleratorMask);

    /**
     * Grows whenever something may have become free for tasks with or without
     * accelerators. An accelerator that is taken sets its share of the
     * processors free for tasks without.
     */
    std::uint64_t freedVersion(bool hasAccelerators) const { return freedVersion_ + (hasAccelerators ? 0 : sharesFreed_); }
    /** Grows whenever a worker comes, goes, or changes in capacity or trust. */
    std::uint64_t topologyVersion() const { return topologyVersion_; }

    /** Workers that changed since the last call; for the one index over this table. */
    std::vector<int> takeChanged();
    /** For a new index: it has to look at every worker. */
    void markAllChanged();

private:
    int internRack(const RackId&);
    /** The worker, noted as changed. */
    WorkerState& change(int index);

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
