#include "scheduler/placementpass.h"

#include "scheduler/gangmachine.h"
#include "scheduler/reservationkeeper.h"
#include "scheduler/reservationplanner.h"
#include "scheduler/schedulerlimits.h"

namespace fescuecleat {

namespace {

    enum class Tier {
        Urgent,
        Aged,
        Usual,
    };

}

void PlacementPass::run()
{
    while (state_.mayStart(now_) && state_.gangsStarting_ < maxGangsStarting) {
        Line* line = nextLine();
        if (!line)
            return;
        JobEntry& entry = state_.jobs_.at(line->second.jobs_.begin()->second);
        const JobClass jobClass = line->first;
        if (tryPlace(entry, line->second))
            continue;
        // The line may have gone if its head got a reservation.
        const auto same = state_.queue_.lines().find(jobClass);
        if (same != state_.queue_.lines().end())
            same->second.blockedAt_ = state_.workers_.freedVersion(jobClass.shape_.accelerators_ > 0);
    }
}

PlacementPass::Line* PlacementPass::nextLine()
{
    Line* best = nullptr;
    std::tuple<Tier, double, Time, JobId> bestKey;
    for (Line& line : state_.queue_.lines()) {
        const auto& [jobClass, waiting] = line;
        if (waiting.blockedAt_ == state_.workers_.freedVersion(jobClass.shape_.accelerators_ > 0))
            continue;
        const auto& [submitted, id] = *waiting.jobs_.begin();
        const bool isAged = now_ - submitted >= state_.configuration_.policy_.ageingTime_;
        const Tier tier = jobClass.isUrgent_ ? Tier::Urgent : isAged ? Tier::Aged
                                                                     : Tier::Usual;
        double share = 0;
        if (tier == Tier::Usual)
            share = static_cast<double>(state_.borrowedUnits_[jobClass.organisation_]) / state_.weightOf(jobClass.organisation_);
        std::tuple<Tier, double, Time, JobId> key { tier, share, submitted, id };
        if (best && !(key < bestKey))
            continue;
        best = &line;
        bestKey = std::move(key);
    }
    return best;
}

bool PlacementPass::tryPlace(JobEntry& entry, JobLine& line)
{
    if (entry.strays_ > 0)
        return false;
    if (entry.hasReservation_ && tryReserved(entry))
        return true;
    if (tryWithinGuarantee(entry, line))
        return true;
    // Work that can't be resumed waits for its guarantee rather than borrow and be lost.
    const bool canResume = entry.spec_.canCheckpoint_ && entry.spec_.isIdempotent_;
    if (!canResume && !entry.hasReservation_)
        tryReclaim(entry);
    if (!canResume && entry.hasReservation_)
        return false;
    if (tryFree(entry) || tryBackfill(entry))
        return true;
    if (!entry.hasReservation_)
        tryReclaim(entry);
    if (!entry.hasReservation_)
        tryUrgentReservation(entry);
    return false;
}

bool PlacementPass::tryReserved(JobEntry& entry)
{
    ReservationKeeper reservations(state_, now_);
    if (!reservations.isReady(entry))
        return false;
    const Placement placement = state_.reservations_.at(entry.spec_.id_).placement_;
    GangMachine(state_, now_).place(entry, placement);
    return true;
}

bool PlacementPass::tryWithinGuarantee(JobEntry& entry, JobLine& line)
{
    const std::uint64_t version = state_.guaranteeVersion(entry.spec_.organisation_);
    if (line.guaranteeBlockedAt_ == version)
        return false;
    if (!ReservationPlanner(state_, now_).planInHomes(entry)) {
        line.guaranteeBlockedAt_ = version;
        return false;
    }
    std::vector<Slot> slots;
    for (Slot& slot : state_.ledger_.freeSlots(entry.spec_.organisation_, state_.workers_)) {
        if (entry.failedOn_.count(slot.worker_) == 0)
            slots.push_back(std::move(slot));
    }
    const auto placement = fillSlots(slots, freeQueryOf(entry).demand_);
    if (!placement || !fitsNow(*placement, entry.shape_, state_.workers_))
        return false;
    GangMachine(state_, now_).place(entry, *placement);
    return true;
}

bool PlacementPass::tryFree(JobEntry& entry)
{
    const FreeQuery query = freeQueryOf(entry);
    const std::uint64_t version = state_.workers_.freedVersion(entry.shape_.accelerators_ > 0);
    const TaskShape& shape = query.demand_.shape_;
    const auto demand = std::make_tuple(shape.accelerators_, shape.processorMillis_, shape.memoryBytes_, query.demand_.tasks_, query.demand_.adjacency_, query.avoidsGuaranteed_);
    const auto known = unfree_.find(demand);
    if (known != unfree_.end() && known->second == version)
        return false;
    const auto placement = finder_.findFree(query, state_.workers_);
    if (!placement) {
        if (query.avoided_.empty())
            unfree_[demand] = version;
        return false;
    }
    GangMachine(state_, now_).place(entry, *placement);
    return true;
}

bool PlacementPass::tryBackfill(JobEntry& entry)
{
    if (!entry.spec_.isIdempotent_ || !entry.spec_.canCheckpoint_)
        return false;
    for (const auto& [id, reservation] : state_.reservations_) {
        const bool endsBefore = reservation.kind_ == ReservationKind::Aged && reservation.stopVictimsAt_ != Time::max() && id != entry.spec_.id_
            && now_ + state_.estimator_.remainingRun(entry, now_) <= reservation.stopVictimsAt_;
        if (!endsBefore)
            continue;
        std::map<int, Slot> slots;
        for (const TaskPlace& place : reservation.placement_.tasks_) {
            const WorkerState& worker = state_.workers_.at(place.worker_);
            if (entry.failedOn_.count(place.worker_) > 0)
                continue;
            Slot& slot = slots.try_emplace(place.worker_, freeSlot(worker, entry.shape_, false)).first->second;
            slot.usable_ |= place.accelerators_ & worker.freeAccelerators();
            slot.processorMillis_ = worker.freeProcessorMillis();
            slot.memoryBytes_ = worker.freeMemoryBytes();
        }
        std::vector<Slot> candidates;
        candidates.reserve(slots.size());
        for (auto& [worker, slot] : slots)
            candidates.push_back(std::move(slot));
        const auto placement = fillSlots(candidates, freeQueryOf(entry).demand_);
        if (!placement)
            continue;
        GangMachine(state_, now_).place(entry, *placement);
        return true;
    }
    return false;
}

void PlacementPass::tryReclaim(JobEntry& entry)
{
    // planInHomes() found nothing if the line is blocked on the guarantee; asking again is cheap then.
    const auto line = state_.queue_.lines().find(classOf(entry));
    if (line != state_.queue_.lines().end() && line->second.guaranteeBlockedAt_ == state_.guaranteeVersion(entry.spec_.organisation_))
        return;
    const auto placement = ReservationPlanner(state_, now_).planInHomes(entry);
    if (!placement)
        return;
    ReservationKeeper(state_, now_).make(entry, ReservationKind::Reclaim, *placement, now_);
}

void PlacementPass::tryUrgentReservation(JobEntry& entry)
{
    if (!entry.spec_.isUrgent_ || entry.hasReservation_)
        return;
    double total = 0;
    for (int index = 0; index < state_.workers_.size(); ++index) {
        if (state_.workers_.at(index).isPresent())
            total += static_cast<double>(unitsOf(state_.workers_.at(index).capacity()));
    }
    double weights = 0;
    for (const OrganisationConfiguration& organisation : state_.configuration_.organisations_)
        weights += organisation.weight_;
    const double weight = state_.weightOf(entry.spec_.organisation_);
    const double fairShare = total * weight / std::max(weights, weight);
    const auto wanted = unitsOf(entry.shape_) * entry.spec_.tasks_;
    // Beyond its fair share an organisation's urgent work stops nothing.
    if (static_cast<double>(state_.borrowedUnits_[entry.spec_.organisation_] + wanted) > fairShare)
        return;
    const auto placement = ReservationPlanner(state_, now_).planAnywhere(entry, ReservationKind::Urgent);
    if (!placement)
        return;
    ReservationKeeper(state_, now_).make(entry, ReservationKind::Urgent, *placement, now_);
}

}
