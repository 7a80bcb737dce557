#pragma once

#include "base/id.h"
#include "scheduler/holding.h"
#include "scheduler/taskkey.h"
#include "scheduler/worker.h"

#include <cstdint>
#include <map>

namespace fescuecleat {

/** Whether a worker is trusted with tasks. */
enum class WorkerTrust {
    Trusted,
    /** Back from quarantine: one task at a time until one finishes. */
    Probation,
    Quarantined,
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

    WorkerTrust trust() const { return trust_; }
    void setTrust(WorkerTrust trust) { trust_ = trust; }
    /** True if it may be given tasks at all. */
    bool isUsable() const { return isPresent_ && trust_ != WorkerTrust::Quarantined; }

    /** Accelerators in guaranteed cells of any organisation. */
    AcceleratorMask guaranteed() const { return guaranteed_; }
    void setGuaranteed(AcceleratorMask guaranteed) { guaranteed_ = guaranteed; }

    /** What no task holds. */
    AcceleratorMask freeAccelerators() const { return free_; }
    std::int64_t freeProcessorMillis() const { return freeProcessorMillis_; }
    std::int64_t freeMemoryBytes() const { return freeMemoryBytes_; }
    /** What no task holds and no reservation keeps. */
    AcceleratorMask availableAccelerators() const { return free_ & ~reserved_; }
    std::int64_t availableProcessorMillis() const { return freeProcessorMillis_ - reservedProcessorMillis_; }
    std::int64_t availableMemoryBytes() const { return freeMemoryBytes_ - reservedMemoryBytes_; }

    const std::map<TaskKey, Holding>& holdings() const { return holdings_; }
    /** Takes or changes what a task holds. */
    void hold(const TaskKey&, const Holding&);
    void release(const TaskKey&);
    /** What is kept for tasks that wait for others to end. */
    const std::map<TaskKey, Holding>& reservations() const { return reservations_; }
    void reserve(const TaskKey&, const Holding&);
    void releaseReservation(const TaskKey&);

    /** The part of the processors that goes with a number of its accelerators. */
    std::int64_t processorShare(int accelerators) const;
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
    WorkerTrust trust_ = WorkerTrust::Trusted;
    AcceleratorMask guaranteed_ = 0;
    std::map<TaskKey, Holding> holdings_;
    std::map<TaskKey, Holding> reservations_;
    AcceleratorMask free_ = 0;
    std::int64_t freeProcessorMillis_ = 0;
    std::int64_t freeMemoryBytes_ = 0;
    AcceleratorMask reserved_ = 0;
    std::int64_t reservedProcessorMillis_ = 0;
    std::int64_t reservedMemoryBytes_ = 0;
};

}
