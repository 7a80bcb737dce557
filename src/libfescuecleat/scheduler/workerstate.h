#pragma once

#include "base/id.h"
#include "scheduler/acceleratormask.h"
#include "scheduler/taskkey.h"
#include "scheduler/worker.h"

#include <cstdint>
#include <map>

namespace fescuecleat {

/** What one task takes of its worker. */
struct Holding {
    AcceleratorMask accelerators_ = 0;
    std::int64_t processorMillis_ = 0;
    /** The declared memory, or what was reported if that is more. */
    std::int64_t memoryBytes_ = 0;
    /** True if the task may be stopped for work within a guarantee. */
    bool isStoppable_ = false;
};

/** One worker as the scheduler knows it: what it has and what is taken. */
class WorkerState {
public:
    WorkerState(WorkerId id, int index);

    const WorkerId& id() const { return id_; }
    const RackId& rack() const { return rack_; }
    int index() const { return index_; }
    /** Index of its rack in the worker table; -1 until it joined. */
    int rackIndex() const { return rackIndex_; }
    void setRack(const RackId& rack, int rackIndex);
    const WorkerCapacity& capacity() const { return capacity_; }
    /** The capacity before it was cut to what can be managed. */
    const WorkerCapacity& reportedCapacity() const { return reportedCapacity_; }
    void setCapacity(const WorkerCapacity&);

    /** False after it was lost; it then takes no tasks. */
    bool isPresent() const { return isPresent_; }
    void setPresent(bool isPresent) { isPresent_ = isPresent; }

    bool isQuarantined() const { return isQuarantined_; }
    void setQuarantined(bool isQuarantined) { isQuarantined_ = isQuarantined; }

    AcceleratorMask freeAccelerators() const { return free_; }
    std::int64_t freeProcessorMillis() const { return freeProcessorMillis_; }
    std::int64_t freeMemoryBytes() const { return freeMemoryBytes_; }

    const std::map<TaskKey, Holding>& holdings() const { return holdings_; }
    /** Takes or changes what a task holds. */
    void hold(const TaskKey&, const Holding&);
    void release(const TaskKey&);

private:
    void recount();

    WorkerId id_;
    RackId rack_;
    int index_;
    int rackIndex_ = -1;
    WorkerCapacity capacity_;
    WorkerCapacity reportedCapacity_;
    bool isPresent_ = false;
    bool isQuarantined_ = false;
    std::map<TaskKey, Holding> holdings_;
    AcceleratorMask free_ = 0;
    std::int64_t freeProcessorMillis_ = 0;
    std::int64_t freeMemoryBytes_ = 0;
};

}
