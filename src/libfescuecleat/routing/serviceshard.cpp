#include "routing/serviceshard.h"

#include "base/overloaded.h"

namespace fescuecleat {

namespace {

    /** Callers that timed out while waiting may retry after this time. */
    constexpr Duration timeoutRetryDelay { std::chrono::seconds(1) };

}

ServiceShard::ServiceShard(DispatcherOptions options, RouterCounters& counters)
    : counters_(counters)
    , dispatcher_(std::move(options))
{
}

SlotDecision ServiceShard::acquire(const ServiceRequest& request, const std::set<MinionId>& avoided)
{
    Waiter waiter;
    std::unique_lock<std::mutex> lock(mutex_);
    const Ticket ticket = ++lastTicket_;
    waiters_[ticket] = &waiter;
    const Submit submit { ticket, request.organisation_, request.kind_, request.deadline_, request.isIdempotent_, avoided };
    handleActions(dispatcher_.apply(submit, monotonicNow()));
    waiter.decided_.wait_until(lock, request.deadline_, [&] { return waiter.decision_.has_value(); });
    waiters_.erase(ticket);
    if (waiter.decision_)
        return *waiter.decision_;
    const Time now = monotonicNow();
    handleActions(dispatcher_.apply(Withdraw { ticket }, now));
    return RefuseRequest { ticket, "timed out while waiting for a free slot", now + timeoutRetryDelay };
}

void ServiceShard::apply(const DispatchEvent& event)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    handleActions(dispatcher_.apply(event, monotonicNow()));
}

bool ServiceShard::tryTakeRetry()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return retryBudget_.tryTake();
}

void ServiceShard::addSuccess()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    retryBudget_.addSuccess();
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

void ServiceShard::handleActions(const std::vector<DispatchAction>& actions)
{
    for (const DispatchAction& action : actions) {
        std::visit(Overloaded {
                       [&](const SendToMinion& send) { completeWaiter(send.ticket_, send); },
                       [&](const RefuseRequest& refusal) { completeWaiter(refusal.ticket_, refusal); },
                       [&](const MinionConditionChanged& changed) {
                           if (changed.condition_ == "ejected")
                               ++counters_.ejections_;
                           if (changed.condition_ == "leaving")
                               ++counters_.departures_;
                       } },
            action);
    }
}

void ServiceShard::completeWaiter(Ticket ticket, SlotDecision decision)
{
    const auto waiter = waiters_.find(ticket);
    if (waiter == waiters_.end())
        return;
    waiter->second->decision_ = std::move(decision);
    waiter->second->decided_.notify_one();
}

}
