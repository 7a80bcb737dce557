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
    void setQuarantined(int index, bool isQuarantined);

    /** Grows whenever something may have become free. */
    std::uint64_t freedVersion() const { return freedVersion_; }

private:
    int internRack(const RackId&);
    WorkerState& mutableAt(int index) { return workers_[static_cast<std::size_t>(index)]; }

    std::deque<WorkerState> workers_;
    std::unordered_map<WorkerId, int> byId_;
    std::vector<RackState> racks_;
    std::unordered_map<RackId, int> rackById_;
    std::uint64_t freedVersion_ = 1;
};

}
