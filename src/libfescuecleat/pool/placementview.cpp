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
        slotOf_[&worker] = slots_.size();
        racks_[info.rack_].push_back(slots_.size());
        slots_.push_back({ &worker, free, free + worker.stopping_, worker.avoidedUntil_ > now, &info.rack_ });
        RackRoom& rack = rackRooms_[info.rack_];
        rack.free_ += free.accelerators_;
        rack.soon_ += free.accelerators_ + worker.stopping_.accelerators_;
    }
}

bool PlacementView::isEligible(const Slot& slot, const PlacementRequest& request) const
{
    const WorkerInfo& info = slot.worker_->info_;
    if (info.service_ != request.service_)
        return false;
    return request.step_->requiredLabel_.empty() || info.hasLabel(request.step_->requiredLabel_);
}

bool PlacementView::isDisliked(const Slot& slot, const PlacementRequest& request) const
{
    return slot.isAvoided_ || request.disliked_.count(slot.worker_->info_.key_.id_) > 0;
}

std::int64_t PlacementView::fitting(const Slot& slot, const PlacementRequest& request, RoomKind kind, std::int64_t limit) const
{
    if (!isEligible(slot, request) || (slot.isHeadroom_ && !request.mayUseHeadroom_))
        return 0;
    if (request.step_->maxTasksPerWorker_ > 0) {
        const auto there = request.tasksThere_.find(slot.worker_->info_.key_);
        const int taken = there == request.tasksThere_.end() ? 0 : there->second;
        limit = std::min<std::int64_t>(limit, request.step_->maxTasksPerWorker_ - taken);
    }
    if (limit <= 0)
        return 0;
    return room(slot, kind).countFitting(request.step_->room(), limit);
}

std::optional<PlacementView::Placement> PlacementView::find(const PlacementRequest& request, RoomKind kind) const
{
    if (request.taskCount_ == 1)
        return findSingle(request, kind);
    if (auto placement = findGang(request, kind, false))
        return placement;
    return findGang(request, kind, true);
}

std::optional<PlacementView::Placement> PlacementView::findSingle(const PlacementRequest& request, RoomKind kind) const
{
    // The fullest rack first, then best fit, so that whole racks and workers stay free for large gangs.
    using Score = std::tuple<bool, bool, std::int64_t, std::int64_t, std::int64_t>;
    const Slot* best = nullptr;
    Score bestScore;
    const std::string& rack = request.step_->preferredRack_;
    for (const Slot& slot : slots_) {
        if (fitting(slot, request, kind, 1) < 1)
            continue;
        const Resources& left = room(slot, kind);
        const bool isFar = !rack.empty() && slot.worker_->info_.rack_ != rack;
        const Score score(isDisliked(slot, request), isFar, rackRoom(slot, kind), left.accelerators_, left.memoryMb_);
        if (best == nullptr || score < bestScore) {
            best = &slot;
            bestScore = score;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return Placement { best->worker_ };
}

std::optional<PlacementView::Placement> PlacementView::findGang(const PlacementRequest& request, RoomKind kind, bool withDisliked) const
{
    struct RackFit {
        std::vector<std::pair<std::size_t, std::int64_t>> rooms_;
        std::int64_t total_ = 0;
        std::int64_t free_ = 0;
        bool isFar_ = false;
    };
    std::vector<RackFit> candidates;
    const bool staysInRack = request.step_->wantsOneRack_;
    RackFit everywhere;
    for (const auto& [rack, members] : racks_) {
        RackFit room;
        room.free_ = rackRoom(slots_[members.front()], kind);
        for (const std::size_t index : members) {
            if (!withDisliked && isDisliked(slots_[index], request))
                continue;
            const std::int64_t count = fitting(slots_[index], request, kind, request.taskCount_);
            if (count == 0)
                continue;
            room.rooms_.emplace_back(index, count);
            room.total_ += count;
        }
        room.isFar_ = !request.step_->preferredRack_.empty() && rack != request.step_->preferredRack_;
        everywhere.total_ += room.total_;
        everywhere.rooms_.insert(everywhere.rooms_.end(), room.rooms_.begin(), room.rooms_.end());
        candidates.push_back(std::move(room));
    }
    const RackFit* best = nullptr;
    for (const RackFit& room : candidates) {
        if (room.total_ < request.taskCount_)
            continue;
        if (best == nullptr || std::tie(room.isFar_, room.free_) < std::tie(best->isFar_, best->free_))
            best = &room;
    }
    if (best != nullptr)
        return fill(best->rooms_, request, kind);
    if (everywhere.total_ < request.taskCount_ || (staysInRack && !request.maySpanRacks_))
        return std::nullopt;
    return fill(std::move(everywhere.rooms_), request, kind);
}

PlacementView::Placement PlacementView::fill(std::vector<std::pair<std::size_t, std::int64_t>> rooms, const PlacementRequest& request, RoomKind kind) const
{
    std::sort(rooms.begin(), rooms.end(), [this, kind](const auto& left, const auto& right) {
        const Resources& a = room(slots_[left.first], kind);
        const Resources& b = room(slots_[right.first], kind);
        return std::tie(a.accelerators_, a.memoryMb_, left.first) < std::tie(b.accelerators_, b.memoryMb_, right.first);
    });
    Placement placement;
    const auto wanted = static_cast<std::size_t>(request.taskCount_);
    for (const auto& [index, count] : rooms) {
        for (std::int64_t i = 0; i < count && placement.size() < wanted; ++i)
            placement.push_back(slots_[index].worker_);
    }
    return placement;
}

void PlacementView::changeRoom(Slot& slot, const Resources& free, const Resources& soon)
{
    slot.free_ += free;
    slot.soon_ += soon;
    RackRoom& rack = rackRooms_.at(*slot.rack_);
    rack.free_ += free.accelerators_;
    rack.soon_ += soon.accelerators_;
}

void PlacementView::take(const Placement& placement, const Resources& each)
{
    const Resources taken = Resources {} - each;
    for (const PoolWorkerState* worker : placement)
        changeRoom(slots_[slotOf_.at(worker)], taken, taken);
}

void PlacementView::addSoon(const PoolWorkerState* worker, const Resources& resources)
{
    const auto slot = slotOf_.find(worker);
    if (slot != slotOf_.end())
        changeRoom(slots_[slot->second], {}, resources);
}

void PlacementView::removeSoon(const PoolWorkerState* worker, const Resources& resources)
{
    addSoon(worker, Resources {} - resources);
}

void PlacementView::keepHeadroom(std::size_t workers)
{
    std::vector<std::pair<std::int64_t, const std::vector<std::size_t>*>> racks;
    for (const auto& [rack, members] : racks_)
        racks.emplace_back(-rackRooms_.at(rack).free_, &members);
    std::sort(racks.begin(), racks.end());
    for (const auto& [room, members] : racks) {
        for (const std::size_t index : *members) {
            if (workers == 0)
                return;
            Slot& slot = slots_[index];
            if (!slot.worker_->runs_.empty() || slot.isAvoided_)
                continue;
            slot.isHeadroom_ = true;
            --workers;
        }
    }
}

void PlacementView::reserveRack(const PlacementRequest& request)
{
    const std::vector<std::size_t>* best = nullptr;
    std::int64_t bestRoom = -1;
    for (const auto& [rack, members] : racks_) {
        std::int64_t total = 0;
        for (const std::size_t index : members)
            total += fitting(slots_[index], request, RoomKind::FreeSoon, request.taskCount_);
        if (total > bestRoom) {
            bestRoom = total;
            best = &members;
        }
    }
    if (best == nullptr)
        return;
    for (const std::size_t index : *best) {
        const std::int64_t count = fitting(slots_[index], request, RoomKind::FreeSoon, request.taskCount_);
        const Resources taken = Resources {} - request.step_->room();
        for (std::int64_t i = 0; i < count; ++i)
            changeRoom(slots_[index], taken, taken);
    }
}

std::vector<const PoolWorkerState*> PlacementView::eligible(const PlacementRequest& request, const std::string& rack) const
{
    std::vector<const PoolWorkerState*> result;
    for (const Slot& slot : slots_) {
        if (isEligible(slot, request) && (rack.empty() || *slot.rack_ == rack))
            result.push_back(slot.worker_);
    }
    return result;
}

bool PlacementView::couldFitOneRack(const PlacementRequest& request) const
{
    for (const auto& [rack, members] : racks_) {
        std::int64_t total = 0;
        for (const std::size_t index : members) {
            const Slot& slot = slots_[index];
            if (isEligible(slot, request))
                total += slot.worker_->info_.capacity_.countFitting(request.step_->room(), request.taskCount_);
        }
        if (total >= request.taskCount_)
            return true;
    }
    return false;
}

}
