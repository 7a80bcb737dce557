#include "scheduler/scheduler.h"

#include "scheduler/indexedfinder.h"
#include "scheduler/schedulercore.h"
#include "scheduler/schedulerdump.h"

namespace fescuecleat {

struct Scheduler::Impl {
    SchedulerCore core_ { std::make_unique<IndexedFinder>() };
};

Scheduler::Scheduler()
    : impl_(std::make_unique<Impl>())
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

std::vector<SchedulerAction> Scheduler::handle(const SchedulerEvent& event, Time now)
{
    return impl_->core_.handle(event, now);
}

Time Scheduler::nextDeadline() const
{
    return impl_->core_.nextDeadline();
}

JsonValue Scheduler::dump(Time now) const
{
    return dumpState(impl_->core_.state(), now);
}

std::string Scheduler::explain(const JobId& job, Time now) const
{
    return explainJob(impl_->core_.state(), job, now);
}

}
