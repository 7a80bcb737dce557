#include "routing/serviceshard.h"

#include "base/overloaded.h"

namespace fescuecleat {

ServiceShard::ServiceShard(DispatcherOptions options, RouterCounters& counters)
    : counters_(counters)
    , dispatcher_(std::move(options))
{
}

SlotDecision ServiceShard::acquire(const ServiceRequest& request, const std::set<MinionId>& avoided)
{
    Waiter waiter;
    std::unique_lock<std::mutex> lock(mutex_);
    const Ticket ticket = ++newestTicket_;
    waiters_[ticket] = &waiter;
    const Submit submit { ticket, request.organisation_, request.kind_, request.deadline_, request.isIdempotent_, avoided };
    deliver(dispatcher_.apply(submit, monotonicNow()));
    waiter.decided_.wait_until(lock, request.deadline_, [&] { return waiter.decision_.has_value(); });
    waiters_.erase(ticket);
    if (waiter.decision_)
        return *waiter.decision_;
    const Time now = monotonicNow();
    deliver(dispatcher_.apply(Withdraw { ticket }, now));
    return RefuseRequest { ticket, "no slot became free in time", now + std::chrono::seconds(1) };
}

void ServiceShard::apply(const DispatchEvent& event)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    deliver(dispatcher_.apply(event, monotonicNow()));
}

bool ServiceShard::tryTakeRetry()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return budget_.tryTake();
}

void ServiceShard::addSuccess()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    budget_.addSuccess();
}

DispatcherSummary ServiceShard::summary() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return dispatcher_.summary(monotonicNow());
}

std::vector<MinionSummary> ServiceShard::minionSummaries() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return dispatcher_.minionSummaries(monotonicNow());
}

void ServiceShard::deliver(const std::vector<DispatchAction>& actions)
{
    for (const DispatchAction& action : actions) {
        std::visit(Overloaded {
                       [&](const SendToMinion& send) { settle(send.ticket_, send); },
                       [&](const RefuseRequest& refusal) { settle(refusal.ticket_, refusal); },
                       [&](const MinionConditionChanged& changed) {
                           if (changed.condition_ == "ejected")
                               ++counters_.ejections_;
                           if (changed.condition_ == "leaving")
                               ++counters_.departures_;
                       } },
            action);
    }
}

void ServiceShard::settle(Ticket ticket, SlotDecision decision)
{
    const auto waiter = waiters_.find(ticket);
    if (waiter == waiters_.end())
        return;
    waiter->second->decision_ = std::move(decision);
    waiter->second->decided_.notify_one();
}

}
