#include "scheduler/guaranteekeeper.h"

#include "scheduler/gangmachine.h"
#include "scheduler/reservationkeeper.h"

#include <algorithm>

namespace fescuecleat {

void GuaranteeKeeper::bindIfDue()
{
    if (state_.bindAt_ <= now_)
        bind();
}

void GuaranteeKeeper::bind()
{
    state_.bindAt_ = Time::max();
    state_.ledger_.bind(state_.configuration_, state_.workers_, ownedAccelerators());
    ++state_.binds_;
    chargeGangs();
    std::vector<JobId> homeless;
    for (const auto& [id, reservation] : state_.reservations_) {
        const bool isGone = !reservation.placement_.isBorrowed() && state_.ledger_.homes().count(reservation.placement_.tasks_.front().home_) == 0;
        if (isGone)
            homeless.push_back(id);
    }
    for (const JobId& id : homeless)
        ReservationKeeper(state_, now_).drop(id);
}

OwnedAccelerators GuaranteeKeeper::ownedAccelerators() const
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

void GuaranteeKeeper::chargeGangs()
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

void GuaranteeKeeper::chargeGang(JobEntry& entry)
{
    const auto isHomeless = [&](const GangTask& task) { return task.home_ != noHome && state_.ledger_.homes().count(task.home_) == 0; };
    GangMachine gangs(state_, now_);
    if (std::any_of(entry.tasks_.begin(), entry.tasks_.end(), isHomeless))
        gangs.moveToHomes(entry, {});
    const bool mayMove = entry.isBorrower_ && entry.phase_ == JobPhase::Running;
    if (!mayMove)
        return;
    std::vector<TaskPlace> places;
    for (const GangTask& task : entry.tasks_)
        places.push_back(TaskPlace { task.worker_, task.accelerators_, noHome });
    const std::vector<int> homes = state_.ledger_.homesFor(entry.spec_.organisation_, entry.shape_, places, state_.workers_);
    if (!homes.empty())
        gangs.moveToHomes(entry, homes);
}

}
