#pragma once

#include "base/id.h"
#include "scheduler/allocation.h"
#include "scheduler/taskkey.h"
#include "scheduler/worker.h"

#include <cstdint>
#include <map>

namespace fescuecleat {

/** Whether a worker may be given tasks. */
enum class WorkerHealth {
    Healthy,
    /** Returned from quarantine: one task at a time until one finishes. */
    Probation,
    Quarantined,
};

/** Capacity, allocations and reservations of one worker. */
class WorkerState {
public:
    WorkerState(WorkerId id, int index);

    const WorkerId& id() const { return id_; }
    const RackId& rack() const { return rack_; }
    int index() const { return index_; }
    /** Index of the rack in the worker table; -1 until the worker has joined. */
    int rackIndex() const { return rackIndex_; }
    void setRack(const RackId& rack, int rackIndex);
    const WorkerCapacity& capacity() const { return capacity_; }
    /** The reported capacity, before the limit of maxAcceleratorsPerWorker is applied. */
    const WorkerCapacity& reportedCapacity() const { return reportedCapacity_; }
    void setCapacity(const WorkerCapacity&);

    /** False before the worker joins and after it is lost. */
    bool isPresent() const { return isPresent_; }
    void setPresent(bool isPresent) { isPresent_ = isPresent; }

    WorkerHealth health() const { return health_; }
    void setHealth(WorkerHealth health) { health_ = health; }
    /** True if the worker is present and not quarantined. */
    bool isUsable() const { return isPresent_ && health_ != WorkerHealth::Quarantined; }

    /** Accelerators in guaranteed cells, of all organisations. */
    AcceleratorMask guaranteed() const { return guaranteed_; }
    void setGuaranteed(AcceleratorMask guaranteed) { guaranteed_ = guaranteed; }

    /** Resources that are not allocated to a task. */
    AcceleratorMask freeAccelerators() const { return free_; }
    std::int64_t freeProcessorMillis() const { return freeProcessorMillis_; }
    std::int64_t freeMemoryBytes() const { return freeMemoryBytes_; }
    /** Resources that are neither allocated nor reserved. */
    AcceleratorMask availableAccelerators() const { return free_ & ~reserved_; }
    std::int64_t availableProcessorMillis() const { return freeProcessorMillis_ - reservedProcessorMillis_; }
    std::int64_t availableMemoryBytes() const { return freeMemoryBytes_ - reservedMemoryBytes_; }

    const std::map<TaskKey, Allocation>& allocations() const { return allocations_; }
    /** Adds or replaces the allocation of a task. */
    void allocate(const TaskKey&, const Allocation&);
    void release(const TaskKey&);
    /** Resources reserved for tasks of queued jobs. */
    const std::map<TaskKey, Allocation>& reservations() const { return reservations_; }
    void reserve(const TaskKey&, const Allocation&);
    void releaseReservation(const TaskKey&);

    /** Share of the processors, in thousandths of a core, that belongs to a number of accelerators. */
    std::int64_t processorShare(int accelerators) const;
    /** Share of the memory, in bytes, that belongs to a number of accelerators. */
    std::int64_t memoryShare(int accelerators) const;

private:
    void recount();

    WorkerId id_;
    RackId rack_;
    int index_;
    int rackIndex_ = -1;
    WorkerCapacity capacity_;
    WorkerCapacity reportedCapacity_;
    bool isPresent_ = false;
    WorkerHealth health_ = WorkerHealth::Healthy;
    AcceleratorMask guaranteed_ = 0;
    std::map<TaskKey, Allocation> allocations_;
    std::map<TaskKey, Allocation> reservations_;
    AcceleratorMask free_ = 0;
    std::int64_t freeProcessorMillis_ = 0;
    std::int64_t freeMemoryBytes_ = 0;
    AcceleratorMask reserved_ = 0;
    std::int64_t reservedProcessorMillis_ = 0;
    std::int64_t reservedMemoryBytes_ = 0;
};

}
