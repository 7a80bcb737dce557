#include "scheduler/guaranteeledger.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr int pairSize = 2;
    constexpr int quadSize = 4;

    /** Order among cells that a home could take: smaller is better. */
    struct CellKey {
        /** Less the accelerators on which the organisation itself runs. */
        int notOwn_ = 0;
        /** Accelerators in use by others. */
        int busy_ = 0;
        /** Unbound accelerators of the cell that is broken up. */
        int tightness_ = 0;
        int worker_ = 0;

        bool operator<(const CellKey& other) const { return std::tie(notOwn_, busy_, tightness_, worker_) < std::tie(other.notOwn_, other.busy_, other.tightness_, other.worker_); }
    };

    CellKey keyOfCell(const WorkerState& worker, AcceleratorMask cell, AcceleratorMask own, int tightness)
    {
        CellKey key;
        key.notOwn_ = -countAccelerators(cell & own);
        key.busy_ = countAccelerators(cell & ~worker.freeAccelerators() & ~own);
        key.tightness_ = tightness;
        key.worker_ = worker.index();
        return key;
    }

    int accelerators(CellLevel level)
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

    /** What a home's own tasks, running or reserved, take of a worker. */
    Holding takenIn(int home, const WorkerState& worker)
    {
        Holding taken;
        for (const auto* holdings : { &worker.holdings(), &worker.reservations() }) {
            for (const auto& [key, holding] : *holdings) {
                if (holding.home_ != home)
                    continue;
                taken.accelerators_ |= holding.accelerators_;
                taken.processorMillis_ += holding.processorMillis_;
                taken.memoryBytes_ += holding.memoryBytes_;
            }
        }
        return taken;
    }

    bool hasWorkIn(int home, const WorkerState& worker)
    {
        const auto isIn = [&](const auto& entry) { return entry.second.home_ == home; };
        return std::any_of(worker.holdings().begin(), worker.holdings().end(), isIn)
            || std::any_of(worker.reservations().begin(), worker.reservations().end(), isIn);
    }

}

void GuaranteeLedger::bind(const Configuration& configuration, WorkerTable& workers, const OwnedAccelerators& owned)
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
    for (auto home = homes_.begin(); home != homes_.end();) {
        auto& parts = home->second.parts_;
        parts.erase(std::remove_if(parts.begin(), parts.end(), [&](const HomePart& part) { return !workers.at(part.worker_).isPresent(); }), parts.end());
        int& left = wanted[{ home->second.organisation_, home->second.level_ }];
        const bool isKept = left > 0 && !parts.empty() && isUsed(home->second, workers);
        left -= static_cast<int>(isKept);
        home = isKept ? std::next(home) : homes_.erase(home);
    }
    bound_.clear();
    homesOf_.clear();
    shortfalls_.clear();
    for (const auto& [id, home] : homes_) {
        homesOf_[home.organisation_].push_back(id);
        for (const HomePart& part : home.parts_)
            bound_[part.worker_] |= part.accelerators_;
    }
    std::stable_sort(order.begin(), order.end(), [](const auto& one, const auto& other) { return one.first > other.first; });
    for (const auto& [level, organisation] : order)
        bindMissing(*organisation, CellCount { level, std::exchange(wanted[{ organisation->id_, level }], 0) }, workers);
    owned_.clear();
    markWorkers(workers);
}

void GuaranteeLedger::bindMissing(const OrganisationConfiguration& organisation, const CellCount& cells, WorkerTable& workers)
{
    for (int missing = cells.count_; missing > 0; --missing) {
        std::vector<HomePart> parts = chooseCell(organisation.id_, cells.level_, workers);
        if (parts.empty()) {
            shortfalls_.push_back(Shortfall { organisation.id_, cells.level_, missing });
            return;
        }
        const int id = nextId_++;
        for (const HomePart& part : parts)
            bound_[part.worker_] |= part.accelerators_;
        homes_[id] = Home { id, organisation.id_, cells.level_, std::move(parts) };
        homesOf_[organisation.id_].push_back(id);
    }
}

std::vector<HomePart> GuaranteeLedger::chooseCell(const OrganisationId& organisation, CellLevel level, const WorkerTable& workers) const
{
    return level == CellLevel::Rack ? chooseRack(organisation, workers) : chooseBlock(organisation, accelerators(level), workers);
}

AcceleratorMask GuaranteeLedger::ownedBy(const OrganisationId& organisation, const WorkerState& worker) const
{
    const auto byWorker = owned_.find(organisation);
    if (byWorker == owned_.end())
        return 0;
    const auto mask = byWorker->second.find(worker.index());
    return mask == byWorker->second.end() ? 0 : mask->second;
}

AcceleratorMask GuaranteeLedger::unbound(const WorkerState& worker) const
{
    if (!worker.isUsable())
        return 0;
    const auto bound = bound_.find(worker.index());
    return firstAccelerators(worker.capacity().accelerators_) & ~(bound == bound_.end() ? 0 : bound->second);
}

std::vector<HomePart> GuaranteeLedger::chooseBlock(const OrganisationId& organisation, int wanted, const WorkerTable& workers) const
{
    std::optional<CellKey> best;
    std::vector<HomePart> parts;
    for (int index = 0; index < workers.size(); ++index) {
        const WorkerState& worker = workers.at(index);
        const int capacity = worker.capacity().accelerators_;
        const AcceleratorMask free = unbound(worker);
        const int size = wanted == 0 ? capacity : wanted;
        if (size == 0 || countAccelerators(free) < size)
            continue;
        for (int base = 0; base + size <= capacity; base += size) {
            const AcceleratorMask cell = firstAccelerators(base + size) & ~firstAccelerators(base);
            if ((cell & ~free) != 0)
                continue;
            const int enclosing = tightestBlock(free, capacity, size)->enclosing_;
            const CellKey key = keyOfCell(worker, cell, ownedBy(organisation, worker), wanted == 0 ? -capacity : enclosing);
            if (best && !(key < *best))
                continue;
            best = key;
            parts = { HomePart { index, cell } };
        }
    }
    return parts;
}

std::vector<HomePart> GuaranteeLedger::chooseRack(const OrganisationId& organisation, const WorkerTable& workers) const
{
    std::optional<CellKey> best;
    std::vector<HomePart> chosen;
    for (const RackState& rack : workers.racks()) {
        CellKey key;
        std::vector<HomePart> parts;
        bool isWhole = true;
        for (const int index : rack.workers_) {
            const WorkerState& worker = workers.at(index);
            const AcceleratorMask all = firstAccelerators(worker.capacity().accelerators_);
            isWhole = isWhole && (!worker.isPresent() || unbound(worker) == all);
            if (!worker.isPresent() || all == 0)
                continue;
            const CellKey part = keyOfCell(worker, all, ownedBy(organisation, worker), 0);
            key.notOwn_ += part.notOwn_;
            key.busy_ += part.busy_;
            key.tightness_ -= worker.capacity().accelerators_;
            parts.push_back(HomePart { index, all });
        }
        key.worker_ = workers.racks().empty() ? 0 : static_cast<int>(&rack - workers.racks().data());
        // The largest racks first: a rack that lost workers is a poor home.
        std::swap(key.notOwn_, key.tightness_);
        if (!isWhole || parts.empty() || (best && !(key < *best)))
            continue;
        best = key;
        chosen = std::move(parts);
    }
    return chosen;
}

void GuaranteeLedger::markWorkers(WorkerTable& workers) const
{
    for (int index = 0; index < workers.size(); ++index) {
        const auto bound = bound_.find(index);
        workers.setGuaranteed(index, bound == bound_.end() ? 0 : bound->second);
    }
}

bool GuaranteeLedger::isUsed(const Home& home, const WorkerTable& workers)
{
    return std::any_of(home.parts_.begin(), home.parts_.end(), [&](const HomePart& part) { return hasWorkIn(home.id_, workers.at(part.worker_)); });
}

Slot GuaranteeLedger::slotOf(const Home& home, const HomePart& part, const WorkerState& worker) const
{
    const Holding taken = takenIn(home.id_, worker);
    const int size = countAccelerators(part.accelerators_);
    Slot slot;
    slot.worker_ = worker.index();
    slot.rack_ = worker.rackIndex();
    slot.capacity_ = worker.capacity().accelerators_;
    slot.usable_ = part.accelerators_ & ~taken.accelerators_;
    slot.processorMillis_ = worker.processorShare(size) - taken.processorMillis_;
    slot.memoryBytes_ = worker.memoryShare(size) - taken.memoryBytes_;
    slot.maxTasks_ = worker.isUsable() ? slot.maxTasks_ : 0;
    if (worker.trust() == WorkerTrust::Probation)
        slot.maxTasks_ = worker.holdings().empty() ? 1 : 0;
    // Small cells first, so that the large ones stay whole.
    slot.rank_ = static_cast<int>(home.level_);
    slot.home_ = home.id_;
    return slot;
}

std::vector<Slot> GuaranteeLedger::reclaimableSlots(const OrganisationId& organisation, const WorkerTable& workers) const
{
    std::vector<Slot> slots;
    const auto own = homesOf_.find(organisation);
    if (own == homesOf_.end())
        return slots;
    for (const int id : own->second) {
        const Home& home = homes_.at(id);
        for (const HomePart& part : home.parts_)
            slots.push_back(slotOf(home, part, workers.at(part.worker_)));
    }
    return slots;
}

std::vector<Slot> GuaranteeLedger::freeSlots(const OrganisationId& organisation, const WorkerTable& workers) const
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

std::vector<int> GuaranteeLedger::homesFor(const OrganisationId& organisation, const TaskShape& shape, const std::vector<TaskPlace>& tasks, const WorkerTable& workers) const
{
    std::vector<Slot> slots = reclaimableSlots(organisation, workers);
    std::vector<int> homes;
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
        homes.push_back(slot->home_);
    }
    return homes;
}

}
