#pragma once

#include "scheduler/guaranteedcell.h"
#include "scheduler/slotfill.h"
#include "scheduler/workertable.h"
#include "settings/configuration.h"

#include <map>
#include <set>
#include <vector>

namespace fescuecleat {

/** Accelerators that each organisation currently uses, by organisation and worker. */
using OwnedAccelerators = std::map<OrganisationId, std::map<int, AcceleratorMask>>;

/**
 * Assigns a physical cell to every guaranteed cell. The cells are disjoint, so
 * all guarantees can be reclaimed at the same time. A job is within its
 * organisation's guarantee if each of its tasks runs in one of these cells and
 * uses no more than the cell's share of the worker's processors and memory. Any
 * other work in a guaranteed cell is borrowing and may be preempted.
 */
class GuaranteeAllocator {
public:
    /**
     * Assigns cells to the guarantees of a configuration. Cells in use are kept
     * while they are still guaranteed. The others are assigned again, largest
     * first, preferring accelerators that the organisation already uses, then
     * those with the least work of others to preempt.
     */
    void bind(const Configuration&, WorkerTable&, const OwnedAccelerators&);

    const std::map<int, GuaranteedCell>& cells() const { return cells_; }
    const std::vector<Shortfall>& shortfalls() const { return shortfalls_; }

    /** Free capacity in the organisation's guaranteed cells. */
    std::vector<Slot> freeSlots(const OrganisationId&, const WorkerTable&) const;
    /** Capacity in the organisation's guaranteed cells that is free or held by borrowers. */
    std::vector<Slot> reclaimableSlots(const OrganisationId&, const WorkerTable&) const;

    /** Guaranteed cells that running tasks can be charged to, by task index; empty unless every task fits in one. */
    std::vector<int> cellsFor(const OrganisationId&, const TaskShape&, const std::vector<TaskPlace>&, const WorkerTable&) const;

    /** True if work is charged to the cell or reserved in it. */
    static bool isUsed(const GuaranteedCell&, const WorkerTable&);

private:
    Slot slotOf(const GuaranteedCell&, const GuaranteedCellPart&, const WorkerState&) const;
    void bindMissing(const OrganisationConfiguration&, const CellCount&, WorkerTable&);
    std::vector<GuaranteedCellPart> chooseCell(const OrganisationId&, CellLevel, const WorkerTable&) const;
    std::vector<GuaranteedCellPart> chooseBlock(const OrganisationId&, int accelerators, const WorkerTable&) const;
    std::vector<GuaranteedCellPart> chooseRack(const OrganisationId&, const WorkerTable&) const;
    /** Accelerators of a usable worker that are not part of a guaranteed cell. */
    AcceleratorMask unboundAccelerators(const WorkerState&) const;
    AcceleratorMask ownedBy(const OrganisationId&, const WorkerState&) const;
    void markWorkers(WorkerTable&) const;

    std::map<int, GuaranteedCell> cells_;
    std::map<OrganisationId, std::vector<int>> cellsByOrganisation_;
    /** Accelerators in guaranteed cells, by worker. */
    std::map<int, AcceleratorMask> boundAccelerators_;
    std::vector<Shortfall> shortfalls_;
    /** Set only during bind(). */
    OwnedAccelerators owned_;
    int nextId_ = 0;
};

}
