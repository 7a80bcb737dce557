#include "scheduler/scheduler.h"

#include "scheduler/firstfitfinder.h"
#include "scheduler/schedulerdump.h"
#include "scheduler/schedulerimpl.h"

namespace fescuecleat {

Scheduler::Scheduler()
    : impl_(std::make_unique<Impl>(std::make_unique<FirstFitFinder>()))
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

std::vector<SchedulerAction> Scheduler::handle(const SchedulerEvent& event, Time now)
{
    return impl_->handle(event, now);
}

Time Scheduler::nextDeadline() const
{
    return impl_->nextDeadline();
}

JsonValue Scheduler::dump(Time now) const
{
    return dumpState(impl_->state_, now);
}

std::string Scheduler::explain(const JobId& job, Time now) const
{
    return explainJob(impl_->state_, job, now);
}

}
