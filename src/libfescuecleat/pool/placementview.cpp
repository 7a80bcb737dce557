#include "pool/placementview.h"

#include <algorithm>
#include <tuple>

namespace fescuecleat {

PlacementView::PlacementView(std::map<WorkerKey, PoolWorkerState>& workers, const std::set<std::string>& closedDataCentres, Time now)
{
    for (auto& [key, worker] : workers) {
        const WorkerInfo& info = worker.info_;
        if (!worker.isListed_ || !worker.isReachable_ || info.isDraining_ || closedDataCentres.count(info.dataCentre_) > 0)
            continue;
        const Resources free = info.capacity_ - worker.used_;
        entryIndexes_[&worker] = entries_.size();
        racks_[info.rack_].push_back(entries_.size());
        entries_.push_back({ &worker, free, free + worker.stopping_, worker.avoidedUntil_ > now, &info.rack_ });
        RackCapacity& rack = rackCapacities_[info.rack_];
        rack.free_ += free.accelerators_;
        rack.projected_ += free.accelerators_ + worker.stopping_.accelerators_;
    }
}

bool PlacementView::isEligible(const WorkerEntry& entry, const PlacementRequest& request) const
{
    const WorkerInfo& info = entry.worker_->info_;
    if (info.service_ != request.service_)
        return false;
    return request.step_->requiredLabel_.empty() || info.hasLabel(request.step_->requiredLabel_);
}

bool PlacementView::isAvoided(const WorkerEntry& entry, const PlacementRequest& request) const
{
    return entry.isAvoided_ || request.avoidedWorkers_.count(entry.worker_->info_.key_.id_) > 0;
}

std::int64_t PlacementView::countFittingTasks(const WorkerEntry& entry, const PlacementRequest& request, CapacityKind kind, std::int64_t limit) const
{
    if (!isEligible(entry, request) || (entry.isHeadroom_ && !request.mayUseHeadroom_))
        return 0;
    if (request.step_->maxTasksPerWorker_ > 0) {
        const auto found = request.placedTasks_.find(entry.worker_->info_.key_);
        const int placed = found == request.placedTasks_.end() ? 0 : found->second;
        limit = std::min<std::int64_t>(limit, request.step_->maxTasksPerWorker_ - placed);
    }
    if (limit <= 0)
        return 0;
    return available(entry, kind).countFitting(request.step_->allocation(), limit);
}

std::optional<PlacementView::Placement> PlacementView::find(const PlacementRequest& request, CapacityKind kind) const
{
    if (request.taskCount_ == 1)
        return findSingle(request, kind);
    if (auto placement = findGang(request, kind, false))
        return placement;
    return findGang(request, kind, true);
}

std::optional<PlacementView::Placement> PlacementView::findSingle(const PlacementRequest& request, CapacityKind kind) const
{
    // Prefer the fullest rack, then the best fit, to limit fragmentation: large gangs need whole racks and workers.
    using Score = std::tuple<bool, bool, std::int64_t, std::int64_t, std::int64_t>;
    const WorkerEntry* best = nullptr;
    Score bestScore;
    const std::string& rack = request.step_->preferredRack_;
    for (const WorkerEntry& entry : entries_) {
        if (countFittingTasks(entry, request, kind, 1) < 1)
            continue;
        const Resources& left = available(entry, kind);
        const bool isOtherRack = !rack.empty() && entry.worker_->info_.rack_ != rack;
        const Score score(isAvoided(entry, request), isOtherRack, freeRackAccelerators(entry, kind), left.accelerators_, left.memoryMb_);
        if (best == nullptr || score < bestScore) {
            best = &entry;
            bestScore = score;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return Placement { best->worker_ };
}

std::optional<PlacementView::Placement> PlacementView::findGang(const PlacementRequest& request, CapacityKind kind, bool allowAvoided) const
{
    struct RackFit {
        std::vector<std::pair<std::size_t, std::int64_t>> workers_;
        std::int64_t taskCount_ = 0;
        std::int64_t free_ = 0;
        bool isOtherRack_ = false;
    };
    std::vector<RackFit> candidates;
    const bool staysInRack = request.step_->wantsOneRack_;
    RackFit allRacks;
    for (const auto& [rack, indexes] : racks_) {
        RackFit fit;
        fit.free_ = freeRackAccelerators(entries_[indexes.front()], kind);
        for (const std::size_t index : indexes) {
            if (!allowAvoided && isAvoided(entries_[index], request))
                continue;
            const std::int64_t count = countFittingTasks(entries_[index], request, kind, request.taskCount_);
            if (count == 0)
                continue;
            fit.workers_.emplace_back(index, count);
            fit.taskCount_ += count;
        }
        fit.isOtherRack_ = !request.step_->preferredRack_.empty() && rack != request.step_->preferredRack_;
        allRacks.taskCount_ += fit.taskCount_;
        allRacks.workers_.insert(allRacks.workers_.end(), fit.workers_.begin(), fit.workers_.end());
        candidates.push_back(std::move(fit));
    }
    const RackFit* best = nullptr;
    for (const RackFit& fit : candidates) {
        if (fit.taskCount_ < request.taskCount_)
            continue;
        if (best == nullptr || std::tie(fit.isOtherRack_, fit.free_) < std::tie(best->isOtherRack_, best->free_))
            best = &fit;
    }
    if (best != nullptr)
        return distribute(best->workers_, request, kind);
    if (allRacks.taskCount_ < request.taskCount_ || (staysInRack && !request.maySpanRacks_))
        return std::nullopt;
    return distribute(std::move(allRacks.workers_), request, kind);
}

PlacementView::Placement PlacementView::distribute(std::vector<std::pair<std::size_t, std::int64_t>> workers, const PlacementRequest& request, CapacityKind kind) const
{
    std::sort(workers.begin(), workers.end(), [this, kind](const auto& left, const auto& right) {
        const Resources& a = available(entries_[left.first], kind);
        const Resources& b = available(entries_[right.first], kind);
        return std::tie(a.accelerators_, a.memoryMb_, left.first) < std::tie(b.accelerators_, b.memoryMb_, right.first);
    });
    Placement placement;
    const auto wanted = static_cast<std::size_t>(request.taskCount_);
    for (const auto& [index, count] : workers) {
        for (std::int64_t i = 0; i < count && placement.size() < wanted; ++i)
            placement.push_back(entries_[index].worker_);
    }
    return placement;
}

void PlacementView::adjustCapacity(WorkerEntry& entry, const Resources& free, const Resources& projected)
{
    entry.free_ += free;
    entry.projected_ += projected;
    RackCapacity& rack = rackCapacities_.at(*entry.rack_);
    rack.free_ += free.accelerators_;
    rack.projected_ += projected.accelerators_;
}

void PlacementView::reserve(const Placement& placement, const Resources& each)
{
    const Resources delta = Resources {} - each;
    for (const PoolWorkerState* worker : placement)
        adjustCapacity(entries_[entryIndexes_.at(worker)], delta, delta);
}

void PlacementView::addProjected(const PoolWorkerState* worker, const Resources& resources)
{
    const auto entry = entryIndexes_.find(worker);
    if (entry != entryIndexes_.end())
        adjustCapacity(entries_[entry->second], {}, resources);
}

void PlacementView::removeProjected(const PoolWorkerState* worker, const Resources& resources)
{
    addProjected(worker, Resources {} - resources);
}

void PlacementView::reserveHeadroom(std::size_t workers)
{
    std::vector<std::pair<std::int64_t, const std::vector<std::size_t>*>> racks;
    for (const auto& [rack, indexes] : racks_)
        racks.emplace_back(-rackCapacities_.at(rack).free_, &indexes);
    std::sort(racks.begin(), racks.end());
    for (const auto& [freeAccelerators, indexes] : racks) {
        for (const std::size_t index : *indexes) {
            if (workers == 0)
                return;
            WorkerEntry& entry = entries_[index];
            if (!entry.worker_->runs_.empty() || entry.isAvoided_)
                continue;
            entry.isHeadroom_ = true;
            --workers;
        }
    }
}

void PlacementView::reserveRack(const PlacementRequest& request)
{
    const std::vector<std::size_t>* best = nullptr;
    std::int64_t bestTotal = -1;
    for (const auto& [rack, indexes] : racks_) {
        std::int64_t total = 0;
        for (const std::size_t index : indexes)
            total += countFittingTasks(entries_[index], request, CapacityKind::Projected, request.taskCount_);
        if (total > bestTotal) {
            bestTotal = total;
            best = &indexes;
        }
    }
    if (best == nullptr)
        return;
    for (const std::size_t index : *best) {
        const std::int64_t count = countFittingTasks(entries_[index], request, CapacityKind::Projected, request.taskCount_);
        const Resources delta = Resources {} - request.step_->allocation();
        for (std::int64_t i = 0; i < count; ++i)
            adjustCapacity(entries_[index], delta, delta);
    }
}

std::vector<const PoolWorkerState*> PlacementView::eligibleWorkers(const PlacementRequest& request, const std::string& rack) const
{
    std::vector<const PoolWorkerState*> result;
    for (const WorkerEntry& entry : entries_) {
        if (isEligible(entry, request) && (rack.empty() || *entry.rack_ == rack))
            result.push_back(entry.worker_);
    }
    return result;
}

bool PlacementView::fitsEmptyRack(const PlacementRequest& request) const
{
    for (const auto& [rack, indexes] : racks_) {
        std::int64_t total = 0;
        for (const std::size_t index : indexes) {
            const WorkerEntry& entry = entries_[index];
            if (isEligible(entry, request))
                total += entry.worker_->info_.capacity_.countFitting(request.step_->allocation(), request.taskCount_);
        }
        if (total >= request.taskCount_)
            return true;
    }
    return false;
}

}
