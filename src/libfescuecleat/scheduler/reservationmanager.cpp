#include "scheduler/reservationmanager.h"

#include "scheduler/gangstatemachine.h"
#include "scheduler/placementfinder.h"
#include "scheduler/reservationplanner.h"
#include "scheduler/schedulerlimits.h"

#include <algorithm>
#include <string>

namespace fescuecleat {

namespace {

    TaskKey reservationKey(const JobId& job, std::size_t index)
    {
        // Attempts are numbered from 1, so this key never collides with that of a task.
        return TaskKey { job, 0, static_cast<int>(index) };
    }

}

void ReservationManager::create(JobEntry& entry, ReservationKind kind, const Placement& placement, Time stopVictimsAt)
{
    const JobId id = entry.spec_.id_;
    release(id);
    if (!placement.isBorrowed())
        releaseBorrowedOn(placement);
    state_.queue_.remove(entry);
    entry.hasReservation_ = true;
    state_.queue_.add(entry);
    state_.reservations_[id] = Reservation { kind, placement, stopVictimsAt, Time::max() };
    for (std::size_t index = 0; index < placement.tasks_.size(); ++index) {
        const TaskPlace& place = placement.tasks_[index];
        state_.workers_.reserve(place.worker_, reservationKey(id, index), Allocation { place.accelerators_, entry.shape_.processorMillis_, entry.shape_.memoryBytes_, place.guaranteedCell_ });
    }
    if (stopVictimsAt <= now_)
        stopVictims(id);
}

void ReservationManager::release(const JobId& id)
{
    const auto reservation = state_.reservations_.find(id);
    if (reservation == state_.reservations_.end())
        return;
    const auto& places = reservation->second.placement_.tasks_;
    for (std::size_t index = 0; index < places.size(); ++index)
        state_.workers_.releaseReservation(places[index].worker_, reservationKey(id, index));
    state_.reservations_.erase(reservation);
    JobEntry* entry = state_.findJob(id);
    if (!entry)
        return;
    state_.noteGuaranteeChange(entry->spec_.organisation_);
    const bool isQueued = entry->phase_ == JobPhase::Queued;
    if (isQueued)
        state_.queue_.remove(*entry);
    entry->hasReservation_ = false;
    if (isQueued)
        state_.queue_.add(*entry);
}

void ReservationManager::releaseBorrowedOn(const Placement& placement)
{
    std::set<JobId> released;
    for (const TaskPlace& place : placement.tasks_) {
        for (const auto& [key, reservation] : state_.workers_.at(place.worker_).reservations()) {
            const bool overlaps = (reservation.accelerators_ & place.accelerators_) != 0 || place.accelerators_ == 0;
            if (reservation.guaranteedCell_ == noGuaranteedCell && overlaps)
                released.insert(key.job_);
        }
    }
    for (const JobId& id : released)
        release(id);
}

void ReservationManager::releaseOn(int worker)
{
    std::set<JobId> released;
    for (const auto& [key, reservation] : state_.workers_.at(worker).reservations())
        released.insert(key.job_);
    for (const JobId& id : released)
        release(id);
}

void ReservationManager::releaseAll()
{
    while (!state_.reservations_.empty()) {
        const JobId id = state_.reservations_.begin()->first;
        release(id);
    }
}

bool ReservationManager::isReady(const JobEntry& entry) const
{
    const Reservation& reservation = state_.reservations_.at(entry.spec_.id_);
    return fitsNow(reservation.placement_, entry.shape_, state_.workers_);
}

Duration ReservationManager::checkpointTimeout(const JobEntry& entry) const
{
    const Duration usual = state_.configuration_.policy_.checkpointTimeout_;
    return entry.spec_.isUrgent_ ? std::min(usual, urgentCheckpointTimeout) : usual;
}

void ReservationManager::stopVictims(const JobId& id)
{
    Reservation& reservation = state_.reservations_.at(id);
    const JobEntry& entry = state_.jobs_.at(id);
    const Time deadline = now_ + checkpointTimeout(entry);
    reservation.stopVictimsAt_ = Time::max();
    if (reservation.kind_ != ReservationKind::Aged)
        reservation.expiresAt_ = deadline + reservationGracePeriod;
    const ReservationKind kind = reservation.kind_;
    const std::string reason = std::string("makes way for job ") + id.value() + " (" + reservationKindName(kind) + ")";
    const std::vector<JobId> victims = ReservationPlanner(state_, now_).victimsOf(entry, reservation.placement_, kind);
    for (const JobId& victim : victims) {
        JobEntry* victimEntry = state_.findJob(victim);
        if (!victimEntry)
            continue;
        if (kind == ReservationKind::Defragment)
            state_.defragmentationMoves_.push_back(now_);
        GangStateMachine(state_, now_).preempt(*victimEntry, deadline, reason);
    }
}

void ReservationManager::handleDue()
{
    std::vector<JobId> due;
    std::vector<JobId> expired;
    for (const auto& [id, reservation] : state_.reservations_) {
        if (reservation.stopVictimsAt_ <= now_)
            due.push_back(id);
        else if (reservation.expiresAt_ <= now_)
            expired.push_back(id);
    }
    for (const JobId& id : due)
        stopVictims(id);
    for (const JobId& id : expired)
        release(id);
}

}
