#include "scheduler/guaranteeallocator.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr int pairSize = 2;
    constexpr int quadSize = 4;

    /** Sort key of candidates for a guaranteed cell; the smallest is chosen. */
    struct CellKey {
        /** Negated number of accelerators that the organisation itself uses. */
        int negatedOwn_ = 0;
        /** Accelerators used by other organisations. */
        int usedByOthers_ = 0;
        /** Unassigned accelerators of the free cell that the choice splits. */
        int tightness_ = 0;
        int worker_ = 0;

        bool operator<(const CellKey& other) const { return std::tie(negatedOwn_, usedByOthers_, tightness_, worker_) < std::tie(other.negatedOwn_, other.usedByOthers_, other.tightness_, other.worker_); }
    };

    CellKey keyOfCell(const WorkerState& worker, AcceleratorMask cell, AcceleratorMask own, int tightness)
    {
        CellKey key;
        key.negatedOwn_ = -countAccelerators(cell & own);
        key.usedByOthers_ = countAccelerators(cell & ~worker.freeAccelerators() & ~own);
        key.tightness_ = tightness;
        key.worker_ = worker.index();
        return key;
    }

    int acceleratorsPerCell(CellLevel level)
    {
        switch (level) {
        case CellLevel::Accelerator:
            return 1;
        case CellLevel::Pair:
            return pairSize;
        case CellLevel::Quad:
            return quadSize;
        case CellLevel::Worker:
        case CellLevel::Rack:
            return 0;
        }
        return 0;
    }

    /** Resources of the worker that are charged to the cell, by running tasks and reservations. */
    Allocation usageIn(int cell, const WorkerState& worker)
    {
        Allocation taken;
        for (const auto* allocations : { &worker.allocations(), &worker.reservations() }) {
            for (const auto& [key, allocation] : *allocations) {
                if (allocation.guaranteedCell_ != cell)
                    continue;
                taken.accelerators_ |= allocation.accelerators_;
                taken.processorMillis_ += allocation.processorMillis_;
                taken.memoryBytes_ += allocation.memoryBytes_;
            }
        }
        return taken;
    }

    bool hasAllocationIn(int cell, const WorkerState& worker)
    {
        const auto isIn = [&](const auto& entry) { return entry.second.guaranteedCell_ == cell; };
        return std::any_of(worker.allocations().begin(), worker.allocations().end(), isIn)
            || std::any_of(worker.reservations().begin(), worker.reservations().end(), isIn);
    }

}

void GuaranteeAllocator::bind(const Configuration& configuration, WorkerTable& workers, const OwnedAccelerators& owned)
{
    owned_ = owned;
    std::map<std::pair<OrganisationId, CellLevel>, int> wanted;
    std::vector<std::pair<CellLevel, const OrganisationConfiguration*>> order;
    for (const OrganisationConfiguration& organisation : configuration.organisations_) {
        for (const CellCount& cells : organisation.guarantee_) {
            wanted[{ organisation.id_, cells.level_ }] += cells.count_;
            order.emplace_back(cells.level_, &organisation);
        }
    }
    for (auto cell = cells_.begin(); cell != cells_.end();) {
        auto& parts = cell->second.parts_;
        parts.erase(std::remove_if(parts.begin(), parts.end(), [&](const GuaranteedCellPart& part) { return !workers.at(part.worker_).isPresent(); }), parts.end());
        int& missing = wanted[{ cell->second.organisation_, cell->second.level_ }];
        const bool isKept = missing > 0 && !parts.empty() && isUsed(cell->second, workers);
        missing -= static_cast<int>(isKept);
        cell = isKept ? std::next(cell) : cells_.erase(cell);
    }
    boundAccelerators_.clear();
    cellsByOrganisation_.clear();
    shortfalls_.clear();
    for (const auto& [id, cell] : cells_) {
        cellsByOrganisation_[cell.organisation_].push_back(id);
        for (const GuaranteedCellPart& part : cell.parts_)
            boundAccelerators_[part.worker_] |= part.accelerators_;
    }
    std::stable_sort(order.begin(), order.end(), [](const auto& one, const auto& other) { return one.first > other.first; });
    for (const auto& [level, organisation] : order)
        bindMissing(*organisation, CellCount { level, std::exchange(wanted[{ organisation->id_, level }], 0) }, workers);
    owned_.clear();
    markWorkers(workers);
}

void GuaranteeAllocator::bindMissing(const OrganisationConfiguration& organisation, const CellCount& cells, WorkerTable& workers)
{
    for (int missing = cells.count_; missing > 0; --missing) {
        std::vector<GuaranteedCellPart> parts = chooseCell(organisation.id_, cells.level_, workers);
        if (parts.empty()) {
            shortfalls_.push_back(Shortfall { organisation.id_, cells.level_, missing });
            return;
        }
        const int id = nextId_++;
        for (const GuaranteedCellPart& part : parts)
            boundAccelerators_[part.worker_] |= part.accelerators_;
        cells_[id] = GuaranteedCell { id, organisation.id_, cells.level_, std::move(parts) };
        cellsByOrganisation_[organisation.id_].push_back(id);
    }
}

std::vector<GuaranteedCellPart> GuaranteeAllocator::chooseCell(const OrganisationId& organisation, CellLevel level, const WorkerTable& workers) const
{
    return level == CellLevel::Rack ? chooseRack(organisation, workers) : chooseBlock(organisation, acceleratorsPerCell(level), workers);
}

AcceleratorMask GuaranteeAllocator::ownedBy(const OrganisationId& organisation, const WorkerState& worker) const
{
    const auto byWorker = owned_.find(organisation);
    if (byWorker == owned_.end())
        return 0;
    const auto mask = byWorker->second.find(worker.index());
    return mask == byWorker->second.end() ? 0 : mask->second;
}

AcceleratorMask GuaranteeAllocator::unboundAccelerators(const WorkerState& worker) const
{
    if (!worker.isUsable())
        return 0;
    const auto bound = boundAccelerators_.find(worker.index());
    return firstAccelerators(worker.capacity().accelerators_) & ~(bound == boundAccelerators_.end() ? 0 : bound->second);
}

std::vector<GuaranteedCellPart> GuaranteeAllocator::chooseBlock(const OrganisationId& organisation, int wanted, const WorkerTable& workers) const
{
    std::optional<CellKey> best;
    std::vector<GuaranteedCellPart> parts;
    for (int index = 0; index < workers.size(); ++index) {
        const WorkerState& worker = workers.at(index);
        const int capacity = worker.capacity().accelerators_;
        const AcceleratorMask free = unboundAccelerators(worker);
        const int size = wanted == 0 ? capacity : wanted;
        if (size == 0 || countAccelerators(free) < size)
            continue;
        for (int base = 0; base + size <= capacity; base += size) {
            const AcceleratorMask cell = firstAccelerators(base + size) & ~firstAccelerators(base);
            if ((cell & ~free) != 0)
                continue;
            const int enclosing = tightestBlock(free, capacity, size)->enclosingCellSize_;
            const CellKey key = keyOfCell(worker, cell, ownedBy(organisation, worker), wanted == 0 ? -capacity : enclosing);
            if (best && !(key < *best))
                continue;
            best = key;
            parts = { GuaranteedCellPart { index, cell } };
        }
    }
    return parts;
}

std::vector<GuaranteedCellPart> GuaranteeAllocator::chooseRack(const OrganisationId& organisation, const WorkerTable& workers) const
{
    std::optional<CellKey> best;
    std::vector<GuaranteedCellPart> chosen;
    for (const RackState& rack : workers.racks()) {
        CellKey key;
        std::vector<GuaranteedCellPart> parts;
        bool isWhole = true;
        for (const int index : rack.workers_) {
            const WorkerState& worker = workers.at(index);
            const AcceleratorMask all = firstAccelerators(worker.capacity().accelerators_);
            isWhole = isWhole && (!worker.isPresent() || unboundAccelerators(worker) == all);
            if (!worker.isPresent() || all == 0)
                continue;
            const CellKey part = keyOfCell(worker, all, ownedBy(organisation, worker), 0);
            key.negatedOwn_ += part.negatedOwn_;
            key.usedByOthers_ += part.usedByOthers_;
            key.tightness_ -= worker.capacity().accelerators_;
            parts.push_back(GuaranteedCellPart { index, all });
        }
        key.worker_ = workers.racks().empty() ? 0 : static_cast<int>(&rack - workers.racks().data());
        // Prefer the largest rack: one that lost workers offers less capacity.
        std::swap(key.negatedOwn_, key.tightness_);
        if (!isWhole || parts.empty() || (best && !(key < *best)))
            continue;
        best = key;
        chosen = std::move(parts);
    }
    return chosen;
}

void GuaranteeAllocator::markWorkers(WorkerTable& workers) const
{
    for (int index = 0; index < workers.size(); ++index) {
        const auto bound = boundAccelerators_.find(index);
        workers.setGuaranteed(index, bound == boundAccelerators_.end() ? 0 : bound->second);
    }
}

bool GuaranteeAllocator::isUsed(const GuaranteedCell& cell, const WorkerTable& workers)
{
    return std::any_of(cell.parts_.begin(), cell.parts_.end(), [&](const GuaranteedCellPart& part) { return hasAllocationIn(cell.id_, workers.at(part.worker_)); });
}

Slot GuaranteeAllocator::slotOf(const GuaranteedCell& cell, const GuaranteedCellPart& part, const WorkerState& worker) const
{
    const Allocation taken = usageIn(cell.id_, worker);
    const int size = countAccelerators(part.accelerators_);
    Slot slot;
    slot.worker_ = worker.index();
    slot.rack_ = worker.rackIndex();
    slot.capacity_ = worker.capacity().accelerators_;
    slot.usable_ = part.accelerators_ & ~taken.accelerators_;
    slot.processorMillis_ = worker.processorShare(size) - taken.processorMillis_;
    slot.memoryBytes_ = worker.memoryShare(size) - taken.memoryBytes_;
    slot.maxTasks_ = worker.isUsable() ? slot.maxTasks_ : 0;
    if (worker.health() == WorkerHealth::Probation)
        slot.maxTasks_ = worker.allocations().empty() ? 1 : 0;
    // Fill small cells first to keep the large ones free of fragmentation.
    slot.rank_ = static_cast<int>(cell.level_);
    slot.guaranteedCell_ = cell.id_;
    return slot;
}

std::vector<Slot> GuaranteeAllocator::reclaimableSlots(const OrganisationId& organisation, const WorkerTable& workers) const
{
    std::vector<Slot> slots;
    const auto own = cellsByOrganisation_.find(organisation);
    if (own == cellsByOrganisation_.end())
        return slots;
    for (const int id : own->second) {
        const GuaranteedCell& cell = cells_.at(id);
        for (const GuaranteedCellPart& part : cell.parts_)
            slots.push_back(slotOf(cell, part, workers.at(part.worker_)));
    }
    return slots;
}

std::vector<Slot> GuaranteeAllocator::freeSlots(const OrganisationId& organisation, const WorkerTable& workers) const
{
    std::vector<Slot> slots = reclaimableSlots(organisation, workers);
    for (Slot& slot : slots) {
        const WorkerState& worker = workers.at(slot.worker_);
        slot.usable_ &= worker.freeAccelerators();
        slot.processorMillis_ = std::min(slot.processorMillis_, worker.freeProcessorMillis());
        slot.memoryBytes_ = std::min(slot.memoryBytes_, worker.freeMemoryBytes());
    }
    return slots;
}

std::vector<int> GuaranteeAllocator::cellsFor(const OrganisationId& organisation, const TaskShape& shape, const std::vector<TaskPlace>& tasks, const WorkerTable& workers) const
{
    std::vector<Slot> slots = reclaimableSlots(organisation, workers);
    std::vector<int> cells;
    for (const TaskPlace& task : tasks) {
        const auto slot = std::find_if(slots.begin(), slots.end(), [&](const Slot& candidate) {
            return candidate.worker_ == task.worker_ && (task.accelerators_ & ~candidate.usable_) == 0
                && candidate.processorMillis_ >= shape.processorMillis_ && candidate.memoryBytes_ >= shape.memoryBytes_;
        });
        if (slot == slots.end())
            return {};
        slot->usable_ &= ~task.accelerators_;
        slot->processorMillis_ -= shape.processorMillis_;
        slot->memoryBytes_ -= shape.memoryBytes_;
        cells.push_back(slot->guaranteedCell_);
    }
    return cells;
}

}
