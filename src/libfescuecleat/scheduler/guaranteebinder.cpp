#include "scheduler/guaranteebinder.h"

#include "scheduler/gangstatemachine.h"
#include "scheduler/reservationmanager.h"

#include <algorithm>

namespace fescuecleat {

void GuaranteeBinder::bindIfDue()
{
    if (state_.bindAt_ <= now_)
        bind();
}

void GuaranteeBinder::bind()
{
    state_.bindAt_ = Time::max();
    state_.guarantees_.bind(state_.configuration_, state_.workers_, ownedAccelerators());
    ++state_.bindCount_;
    chargeGangs();
    std::vector<JobId> withoutCell;
    for (const auto& [id, reservation] : state_.reservations_) {
        const bool isGone = !reservation.placement_.isBorrowed() && state_.guarantees_.cells().count(reservation.placement_.tasks_.front().guaranteedCell_) == 0;
        if (isGone)
            withoutCell.push_back(id);
    }
    for (const JobId& id : withoutCell)
        ReservationManager(state_, now_).release(id);
}

OwnedAccelerators GuaranteeBinder::ownedAccelerators() const
{
    OwnedAccelerators owned;
    for (const auto& [id, entry] : state_.jobs_) {
        for (const GangTask& task : entry.tasks_) {
            if (!hasEnded(task.state_))
                owned[entry.spec_.organisation_][task.worker_] |= task.accelerators_;
        }
    }
    return owned;
}

void GuaranteeBinder::chargeGangs()
{
    std::vector<std::pair<Time, JobId>> placed;
    for (const auto& [id, entry] : state_.jobs_) {
        if (entry.phase_ != JobPhase::Queued)
            placed.emplace_back(entry.submitted_, id);
    }
    std::sort(placed.begin(), placed.end());
    for (const auto& [submitted, id] : placed)
        chargeGang(state_.jobs_.at(id));
}

void GuaranteeBinder::chargeGang(JobEntry& entry)
{
    const auto hasLostCell = [&](const GangTask& task) { return task.guaranteedCell_ != noGuaranteedCell && state_.guarantees_.cells().count(task.guaranteedCell_) == 0; };
    GangStateMachine gangs(state_, now_);
    if (std::any_of(entry.tasks_.begin(), entry.tasks_.end(), hasLostCell))
        gangs.chargeToCells(entry, {});
    const bool mayMove = entry.isBorrower_ && entry.phase_ == JobPhase::Running;
    if (!mayMove)
        return;
    std::vector<TaskPlace> places;
    for (const GangTask& task : entry.tasks_)
        places.push_back(TaskPlace { task.worker_, task.accelerators_, noGuaranteedCell });
    const std::vector<int> cells = state_.guarantees_.cellsFor(entry.spec_.organisation_, entry.shape_, places, state_.workers_);
    if (!cells.empty())
        gangs.chargeToCells(entry, cells);
}

}
