#pragma once

#include "scheduler/home.h"
#include "scheduler/slotfill.h"
#include "scheduler/workertable.h"
#include "settings/configuration.h"

#include <map>
#include <set>
#include <vector>

namespace fescuecleat {

/** Accelerators on which an organisation runs now, by organisation and worker. */
using OwnedAccelerators = std::map<OrganisationId, std::map<int, AcceleratorMask>>;

/**
 * Keeps a home for every guaranteed cell: the disjoint assignment that shows
 * that all guarantees can be reclaimed together. A job is within its guarantee
 * if each of its tasks lies in a home of its organisation and takes no more
 * than the home's part of the worker's processors and memory. Whatever else
 * lies in a home may be stopped.
 */
class GuaranteeLedger {
public:
    /**
     * Gives homes to the guarantees of a configuration. Homes with work in them
     * stay if they are still guaranteed; the others are laid anew, the largest
     * first, where their organisation already runs or the least has to be stopped.
     */
    void bind(const Configuration&, WorkerTable&, const OwnedAccelerators&);

    const std::map<int, Home>& homes() const { return homes_; }
    const std::vector<Shortfall>& shortfalls() const { return shortfalls_; }

    /** Room in the organisation's homes that is free now, or of which at most borrowers have to be stopped. */
    std::vector<Slot> freeSlots(const OrganisationId&, const WorkerTable&) const;
    std::vector<Slot> reclaimableSlots(const OrganisationId&, const WorkerTable&) const;

    /** Puts running tasks that lie wholly in homes with room under the guarantee; empty if not all do. */
    std::vector<int> homesFor(const OrganisationId&, const TaskShape&, const std::vector<TaskPlace>&, const WorkerTable&) const;

    /** True if work within the guarantee lies in the home. */
    static bool isUsed(const Home&, const WorkerTable&);

private:
    Slot slotOf(const Home&, const HomePart&, const WorkerState&) const;
    void bindMissing(const OrganisationConfiguration&, const CellCount&, WorkerTable&);
    std::vector<HomePart> chooseCell(const OrganisationId&, CellLevel, const WorkerTable&) const;
    std::vector<HomePart> chooseBlock(const OrganisationId&, int accelerators, const WorkerTable&) const;
    std::vector<HomePart> chooseRack(const OrganisationId&, const WorkerTable&) const;
    /** Accelerators of a worker that a new home may take. */
    AcceleratorMask unbound(const WorkerState&) const;
    AcceleratorMask ownedBy(const OrganisationId&, const WorkerState&) const;
    void markWorkers(WorkerTable&) const;

    std::map<int, Home> homes_;
    std::map<OrganisationId, std::vector<int>> homesOf_;
    /** Accelerators in homes, by worker. */
    std::map<int, AcceleratorMask> bound_;
    std::vector<Shortfall> shortfalls_;
    /** Only while homes are laid. */
    OwnedAccelerators owned_;
    int nextId_ = 0;
};

}
