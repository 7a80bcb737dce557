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

/** The slot that a request was given, or why it got none. */
using SlotDecision = std::variant<SendToMinion, RefuseRequest>;

/** One service's dispatcher behind a lock, with the threads that wait for it. Thread-safe. */
class ServiceShard {
public:
    ServiceShard(DispatcherOptions, RouterCounters&);

    /** Blocks until a slot is given or refused. */
    SlotDecision acquire(const ServiceRequest&, const std::set<MinionId>& avoided);

    /** Passes an event on. */
    void apply(const DispatchEvent&);

    /** Takes one retry from the budget if there is one. */
    bool tryTakeRetry();
    void addSuccess();

    DispatcherSummary summary() const;
    std::vector<MinionSummary> minionSummaries() const;

private:
    struct Waiter {
        std::condition_variable decided_;
        std::optional<SlotDecision> decision_;
    };

    void deliver(const std::vector<DispatchAction>&);
    void settle(Ticket, SlotDecision);

    RouterCounters& counters_;
    mutable std::mutex mutex_;
    Dispatcher dispatcher_;
    RetryBudget budget_;
    std::unordered_map<Ticket, Waiter*> waiters_;
    Ticket newestTicket_ = 0;
};

}
