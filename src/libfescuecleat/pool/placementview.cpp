#include "pool/placementview.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Any number of tasks that need nothing fit on a worker. */
    constexpr std::int64_t maxAttainableTasks = 1 << 20;

    /** A reservation of projected capacity can exceed the free capacity. */
    Resources nonNegative(const Resources& resources)
    {
        return { std::max<std::int64_t>(0, resources.cpuMillis_), std::max<std::int64_t>(0, resources.memoryMb_), std::max<std::int64_t>(0, resources.accelerators_) };
    }

    bool hasOtherJobs(const std::set<RunId>& runs, const std::string& job)
    {
        return !runs.empty() && (runs.begin()->task_.job_ != job || runs.rbegin()->task_.job_ != job);
    }

    /** Whether a crash of the worker would have one possible cause, if one of the starts on it is suspected. */
    bool isApart(const PoolWorkerState& worker, const PlacementRequest& request)
    {
        if (!request.isProbe_)
            return worker.probes_.empty();
        return !hasOtherJobs(worker.startingRuns_, request.task_.job_) && request.avoidedMachines_.count(worker.machine()) == 0;
    }

    /** Probes prefer workers that have long not crashed, so that they don't get the blame, and those with little to lose. */
    std::tuple<Time, std::size_t> probeCost(const PoolWorkerState& worker, const PlacementRequest& request)
    {
        return request.isProbe_ ? std::make_tuple(worker.lastCrashAt_, worker.runs_.size()) : std::make_tuple(Time {}, std::size_t(0));
    }

}

PlacementView::PlacementView(std::map<WorkerKey, PoolWorkerState>& workers, const std::set<std::string>& closedDataCentres, Time now)
{
    std::unordered_map<std::string, std::size_t> rackIndexes;
    entries_.reserve(workers.size());
    entryIndexes_.reserve(workers.size());
    for (auto& [key, worker] : workers) {
        const WorkerInfo& info = worker.info_;
        maxWorkerAccelerators_ = std::max(maxWorkerAccelerators_, info.capacity_.accelerators_);
        if (!worker.takesNewWork(closedDataCentres) || !worker.isReachable_ || worker.health_.isQuarantined(now))
            continue;
        const auto [known, isNew] = rackIndexes.emplace(info.rack_, racks_.size());
        if (isNew)
            racks_.push_back({ info.rack_, {}, {}, {}, {} });
        Rack& rack = racks_[known->second];
        const Resources free = info.capacity_ - worker.used_ - worker.unrecorded_;
        const Resources projected = free + worker.stopping_;
        ServiceLoad& load = serviceLoads_[info.service_];
        load.capacity_ += info.capacity_.weightInCores();
        load.used_ += (info.capacity_ - free).weightInCores();
        rack.workers_.push_back(entries_.size());
        rack.free_ += nonNegative(free);
        rack.projected_ += nonNegative(projected);
        entryIndexes_[&worker] = entries_.size();
        entries_.push_back({ &worker, free, projected, info.capacity_ - worker.lasting_, known->second, worker.health_.isAvoided(now) });
        entries_.back().isOnProbation_ = worker.health_.isOnProbation(now);
    }
}

bool PlacementView::isAvoided(const WorkerEntry& entry, const PlacementRequest& request) const
{
    if (entry.isAvoided_ || request.avoidedMachines_.count(entry.worker_->machine()) > 0)
        return true;
    return request.avoidedWorkers_ != nullptr && !request.avoidedWorkers_->empty() && request.avoidedWorkers_->count(entry.worker_->info_.key_.id_) > 0;
}

std::int64_t PlacementView::countFittingTasks(const WorkerEntry& entry, const PlacementRequest& request, const Resources& available, std::int64_t limit) const
{
    const Resources task = request.step_->allocation();
    if (!available.contains(task) || (entry.isHeadroom_ && !request.mayUseHeadroom_) || !isApart(*entry.worker_, request) || !isEligible(entry.worker_->info_, *request.step_, *request.service_))
        return 0;
    if (request.step_->maxTasksPerWorker_ > 0) {
        const auto found = request.placedTasks_.find(entry.worker_->info_.key_);
        std::int64_t placed = found == request.placedTasks_.end() ? 0 : found->second;
        const std::vector<RunId>& unrecorded = entry.worker_->unrecordedRuns_;
        placed += std::count_if(unrecorded.begin(), unrecorded.end(), [&request](const RunId& run) { return areOfOneStep(run.task_, request.task_); });
        limit = std::min<std::int64_t>(limit, request.step_->maxTasksPerWorker_ - placed);
    }
    // A single task probes the worker.
    if (entry.isOnProbation_)
        limit = std::min<std::int64_t>(limit, request.taskCount_ == 1 && !entry.worker_->health_.isProbed() ? 1 : 0);
    return limit <= 0 ? 0 : available.countFitting(task, limit);
}

PlacementView::Shape PlacementView::shapeOf(const PlacementRequest& request)
{
    const Resources task = request.step_->allocation();
    return { task.cpuMillis_, task.memoryMb_, task.accelerators_, request.needsOneRack(), request.mayUseHeadroom_, request.mayUseReserved_, *request.service_, request.step_->requiredLabel_ };
}

std::optional<PlacementView::Placement> PlacementView::find(const PlacementRequest& request, CapacityKind kind) const
{
    // A limit of tasks per worker depends on the step's other tasks, and a probe on its job, so they have no common shape.
    const bool hasShape = request.step_->maxTasksPerWorker_ == 0 && !request.isProbe_;
    std::map<Shape, int>& unplaceable = kind == CapacityKind::Free ? unplaceableFree_ : unplaceableProjected_;
    Shape shape;
    if (hasShape) {
        shape = shapeOf(request);
        const auto known = unplaceable.find(shape);
        if (known != unplaceable.end() && request.taskCount_ >= known->second)
            return std::nullopt;
    }
    std::optional<Placement> placement;
    if (request.taskCount_ == 1) {
        placement = findSingle(request, kind);
    } else {
        placement = findGang(request, kind, false);
        if (!placement)
            placement = findGang(request, kind, true);
    }
    if (!placement && hasShape) {
        const auto known = unplaceable.emplace(std::move(shape), request.taskCount_).first;
        known->second = std::min(known->second, request.taskCount_);
    }
    return placement;
}

std::optional<PlacementView::Placement> PlacementView::findSingle(const PlacementRequest& request, CapacityKind kind) const
{
    // Prefer the fullest rack, then the best fit, to limit fragmentation: large gangs need whole racks and workers.
    using Score = std::tuple<bool, std::tuple<Time, std::size_t>, bool, std::int64_t, std::int64_t, std::int64_t, std::size_t>;
    std::optional<std::size_t> best;
    Score bestScore;
    const Resources task = request.step_->allocation();
    for (const Rack& rack : racks_) {
        const Resources inRack = available(rack, request, kind);
        if (!inRack.contains(task))
            continue;
        const bool isOtherRack = !request.step_->preferredRack_.empty() && rack.name_ != request.step_->preferredRack_;
        for (const std::size_t index : rack.workers_) {
            const WorkerEntry& entry = entries_[index];
            const Resources left = available(entry, request, kind);
            if (countFittingTasks(entry, request, left, 1) < 1)
                continue;
            const Score score(isAvoided(entry, request), probeCost(*entry.worker_, request), isOtherRack, inRack.accelerators_, left.accelerators_, left.memoryMb_, index);
            if (!best || score < bestScore) {
                best = index;
                bestScore = score;
            }
        }
    }
    if (!best)
        return std::nullopt;
    return Placement { entries_[*best].worker_ };
}

std::optional<PlacementView::Placement> PlacementView::findGang(const PlacementRequest& request, CapacityKind kind, bool allowAvoided) const
{
    struct RackFit {
        std::vector<std::pair<std::size_t, std::int64_t>> workers_;
        bool isOtherRack_ = false;
        std::int64_t free_ = 0;
    };
    const Resources task = request.step_->allocation();
    const std::int64_t wanted = request.taskCount_;
    std::optional<RackFit> best;
    RackFit allRacks;
    std::int64_t total = 0;
    for (const Rack& rack : racks_) {
        const Resources left = available(rack, request, kind);
        const bool mayHoldAll = left.countFitting(task, wanted) == wanted;
        if (!left.contains(task) || (request.needsOneRack() && !mayHoldAll))
            continue;
        RackFit fit;
        fit.isOtherRack_ = !request.step_->preferredRack_.empty() && rack.name_ != request.step_->preferredRack_;
        fit.free_ = left.accelerators_;
        if (best && std::tie(best->isOtherRack_, best->free_) <= std::tie(fit.isOtherRack_, fit.free_))
            continue;
        std::int64_t count = 0;
        for (const std::size_t index : rack.workers_) {
            const WorkerEntry& entry = entries_[index];
            const std::int64_t fitting = countFittingTasks(entry, request, available(entry, request, kind), wanted);
            if (fitting == 0 || (!allowAvoided && isAvoided(entry, request)))
                continue;
            fit.workers_.emplace_back(index, fitting);
            count += fitting;
        }
        if (count >= wanted) {
            best = std::move(fit);
        } else if (!best) {
            allRacks.workers_.insert(allRacks.workers_.end(), fit.workers_.begin(), fit.workers_.end());
            total += count;
        }
    }
    if (best)
        return distribute(std::move(best->workers_), request, kind);
    if (total < wanted || request.needsOneRack())
        return std::nullopt;
    return distribute(std::move(allRacks.workers_), request, kind);
}

PlacementView::Placement PlacementView::distribute(std::vector<std::pair<std::size_t, std::int64_t>> workers, const PlacementRequest& request, CapacityKind kind) const
{
    std::sort(workers.begin(), workers.end(), [this, kind, &request](const auto& left, const auto& right) {
        const auto leftCost = probeCost(*entries_[left.first].worker_, request);
        const auto rightCost = probeCost(*entries_[right.first].worker_, request);
        if (leftCost != rightCost)
            return leftCost < rightCost;
        const Resources a = available(entries_[left.first], request, kind);
        const Resources b = available(entries_[right.first], request, kind);
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

std::optional<std::size_t> PlacementView::indexOf(const PoolWorkerState* worker) const
{
    const auto found = entryIndexes_.find(worker);
    if (found == entryIndexes_.end())
        return std::nullopt;
    return found->second;
}

void PlacementView::adjustCapacity(WorkerEntry& entry, const Resources& free, const Resources& projected)
{
    Rack& rack = racks_[entry.rack_];
    rack.free_ -= nonNegative(entry.free_);
    rack.projected_ -= nonNegative(entry.projected_);
    entry.free_ += free;
    entry.projected_ += projected;
    rack.free_ += nonNegative(entry.free_);
    rack.projected_ += nonNegative(entry.projected_);
}

void PlacementView::reserve(const Placement& placement, const Resources& each)
{
    const Resources delta = Resources {} - each;
    for (const PoolWorkerState* worker : placement) {
        adjustCapacity(entries_[entryIndexes_.at(worker)], delta, delta);
        serviceLoads_[worker->info_.service_].used_ += each.weightInCores();
    }
}

void PlacementView::addProjected(const PoolWorkerState* worker, const Resources& resources)
{
    const auto index = indexOf(worker);
    if (!index)
        return;
    adjustCapacity(entries_[*index], {}, resources);
    unplaceableProjected_.clear();
}

void PlacementView::removeProjected(const PoolWorkerState* worker, const Resources& resources)
{
    if (const auto index = indexOf(worker))
        adjustCapacity(entries_[*index], {}, Resources {} - resources);
}

void PlacementView::reserveHeadroom(std::size_t workers, const std::set<WorkerKey>& preferred)
{
    const auto mark = [&workers](WorkerEntry& entry) {
        if (entry.isHeadroom_ || !entry.worker_->runs_.empty() || entry.isAvoided_)
            return;
        entry.isHeadroom_ = true;
        --workers;
    };
    for (WorkerEntry& entry : entries_) {
        if (workers > 0 && preferred.count(entry.worker_->info_.key_) > 0)
            mark(entry);
    }
    std::vector<std::pair<std::int64_t, const Rack*>> racks;
    racks.reserve(racks_.size());
    for (const Rack& rack : racks_)
        racks.emplace_back(-rack.free_.accelerators_, &rack);
    std::stable_sort(racks.begin(), racks.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    for (const auto& [freeAccelerators, rack] : racks) {
        for (const std::size_t index : rack->workers_) {
            if (workers == 0)
                return;
            mark(entries_[index]);
        }
    }
}

std::set<WorkerKey> PlacementView::headroom() const
{
    std::set<WorkerKey> result;
    for (const WorkerEntry& entry : entries_) {
        if (entry.isHeadroom_)
            result.insert(entry.worker_->info_.key_);
    }
    return result;
}

void PlacementView::reserveRack(const PlacementRequest& request)
{
    const auto fitting = [&](std::size_t index) {
        const WorkerEntry& entry = entries_[index];
        return countFittingTasks(entry, request, available(entry, request, CapacityKind::Projected), request.taskCount_);
    };
    const Rack* best = nullptr;
    std::int64_t bestTotal = 0;
    for (const Rack& rack : racks_) {
        std::int64_t total = 0;
        std::int64_t attainable = 0;
        for (const std::size_t index : rack.workers_) {
            total += fitting(index);
            attainable += countAttainableTasks(entries_[index], request);
        }
        if (total > bestTotal && (attainable >= request.taskCount_ || !request.needsOneRack())) {
            bestTotal = total;
            best = &rack;
        }
    }
    if (best == nullptr)
        return;
    const Resources task = request.step_->allocation();
    for (const std::size_t index : best->workers_) {
        const std::int64_t count = fitting(index);
        for (std::int64_t i = 0; i < count; ++i) {
            adjustCapacity(entries_[index], Resources {} - task, Resources {} - task);
            entries_[index].reserved_ += task;
            racks_[entries_[index].rack_].reserved_ += task;
        }
    }
}

std::int64_t PlacementView::countAttainableTasks(const WorkerEntry& entry, const PlacementRequest& request) const
{
    const StepSpec& step = *request.step_;
    if (!isEligible(entry.worker_->info_, step, *request.service_))
        return 0;
    std::int64_t limit = maxAttainableTasks;
    if (step.maxTasksPerWorker_ > 0) {
        // Other tasks of the step end, unless they last.
        const auto placed = request.placedTasks_.find(entry.worker_->info_.key_);
        const bool isTaken = step.isLongRunning_ && placed != request.placedTasks_.end();
        limit = step.maxTasksPerWorker_ - (isTaken ? placed->second : 0);
    }
    // Workers on probation take single tasks only.
    if (limit <= 0 || (entry.isOnProbation_ && request.taskCount_ > 1))
        return 0;
    const Resources& capacity = request.mayPreempt_ ? entry.worker_->info_.capacity_ : entry.attainable_;
    return capacity.countFitting(step.allocation(), limit);
}

PlacementView::AttainableTasks PlacementView::attainableTasks(const PlacementRequest& request) const
{
    const bool dependsOnPlacedTasks = request.step_->isLongRunning_ && !request.placedTasks_.empty();
    const auto key = std::make_tuple(shapeOf(request), request.step_->maxTasksPerWorker_, request.taskCount_ > 1, request.mayPreempt_);
    const auto known = dependsOnPlacedTasks ? attainableTasks_.end() : attainableTasks_.find(key);
    if (known != attainableTasks_.end())
        return known->second;
    AttainableTasks result;
    for (const Rack& rack : racks_) {
        std::int64_t inRack = 0;
        std::int64_t outsideHeadroom = 0;
        for (const std::size_t index : rack.workers_) {
            const std::int64_t count = countAttainableTasks(entries_[index], request);
            inRack += count;
            outsideHeadroom += entries_[index].isHeadroom_ ? 0 : count;
        }
        result.total_ += inRack;
        result.inOneRack_ = std::max(result.inOneRack_, inRack);
        result.outsideHeadroom_ += outsideHeadroom;
        result.outsideHeadroomInOneRack_ = std::max(result.outsideHeadroomInOneRack_, outsideHeadroom);
    }
    if (!dependsOnPlacedTasks)
        attainableTasks_.emplace(key, result);
    return result;
}

bool PlacementView::isAttainable(const PlacementRequest& request) const
{
    const AttainableTasks tasks = attainableTasks(request);
    return request.taskCount_ <= (request.needsOneRack() ? tasks.inOneRack_ : tasks.total_);
}

bool PlacementView::fitsOutsideHeadroom(const PlacementRequest& request) const
{
    const AttainableTasks tasks = attainableTasks(request);
    return request.taskCount_ <= (request.needsOneRack() ? tasks.outsideHeadroomInOneRack_ : tasks.outsideHeadroom_);
}

bool PlacementView::isLightlyUsed(const std::string& service) const
{
    const auto load = serviceLoads_.find(service);
    return load != serviceLoads_.end() && load->second.used_ < load->second.capacity_ / 2;
}

}
