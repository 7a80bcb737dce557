#pragma once

#include "routing/dispatcher.h"
#include "routing/requestoutcome.h"
#include "routing/retrybudget.h"
#include "routing/routercounters.h"
#include "routing/servicerequest.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <unordered_map>
#include <variant>

namespace fescuecleat {

/** The slot assigned to a request, or the refusal. */
using SlotDecision = std::variant<SendToMinion, RefuseRequest>;

/** Wraps the dispatcher of one service with a lock and blocks callers until it decides. Thread-safe. */
class ServiceShard {
public:
    ServiceShard(DispatcherOptions, RouterCounters&);

    /** Blocks until a slot is assigned or refused, at most until the request's deadline. */
    SlotDecision acquire(const ServiceRequest&, const std::set<MinionId>& avoided);

    /** Passes an event on to the dispatcher. */
    void apply(const DispatchEvent&);

    /** Takes a retry from the budget; false if none is available. */
    bool tryTakeRetry();
    void addSuccess();

    DispatcherSummary summary() const;
    std::vector<MinionSummary> minionSummaries() const;

private:
    struct Waiter {
        std::condition_variable decided_;
        std::optional<SlotDecision> decision_;
    };

    void handleActions(const std::vector<DispatchAction>&);
    void completeWaiter(Ticket, SlotDecision);

    RouterCounters& counters_;
    mutable std::mutex mutex_;
    Dispatcher dispatcher_;
    RetryBudget retryBudget_;
    std::unordered_map<Ticket, Waiter*> waiters_;
    Ticket lastTicket_ = 0;
};

}
