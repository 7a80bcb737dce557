#pragma once

#include "base/bootclock.h"
#include "node/poolfixture.h"
#include "node/storelayout.h"
#include "node/virtualclock.h"

#include <memory>
#include <string>
#include <vector>

namespace fescuecleat {

/** A store, a worker and one scheduler in virtual time. */
class SuspensionFixture {
public:
    SuspensionFixture()
    {
        pool_.addWorker("w1");
        pool_.store_.setWriteObserver([this](const std::string& table, const StoredRow& row) {
            if (table == "lease")
                leaseWrites_.push_back(*decodePoolLease(row.value_));
        });
        scheduler_ = pool_.scheduler("a");
    }

    bool runUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(8))
    {
        const Time deadline = bootTimeNow() + limit;
        while (!condition()) {
            if (bootTimeNow() >= deadline)
                return false;
            clock_.advance(std::chrono::milliseconds(2));
            VirtualClock::poll(pool_.loop_);
        }
        return true;
    }

    void runFor(Duration duration)
    {
        runUntil([] { return false; }, duration);
    }

    /** Runs until the scheduler polls the worker and has renewed its lease. */
    bool settle()
    {
        if (!runUntil([this] { return worker().epoch_ > 0 && worker().lastPoll_.leaseUntilMs_.has_value(); }))
            return false;
        runFor(std::chrono::milliseconds(700));
        return isHeld();
    }

    /** The store is silent until the scheduler is suspended. */
    bool suspend()
    {
        pool_.store_.setSilent(true);
        return runUntil([this] { return lease().isSuspended(); });
    }

    bool resume(Duration limit = std::chrono::milliseconds(500))
    {
        pool_.store_.setSilent(false);
        return runUntil([this] { return isHeld(); }, limit);
    }

    /** Writes the lease row as another instance that has acquired it. */
    void takeOver()
    {
        const PoolLeaseRecord lease { "b", epoch() + 1, std::int64_t(1) << 50 };
        pool_.store_.put("lease", "pool", encodePoolLease(lease), schedulerPart);
        pool_.store_.put(PoolSchedulerLease::chainTable, PoolSchedulerLease::chainKey, PoolSchedulerLease::chainValue(lease.epoch_, 0), schedulerPart);
    }

    PoolSchedulerLease& lease() { return scheduler_->lease(); }
    bool isHeld() { return lease().isHeld(bootTimeNow()); }
    PoolController* controller() { return scheduler_->controller(); }
    FakeWorkers::Worker& worker() { return pool_.workers_.worker("w1"); }
    std::int64_t epoch() const { return decodePoolLease(pool_.store_.value("lease", "pool").value()).value().epoch_; }
    int starts() const { return pool_.workers_.startsSeen(); }

    VirtualClock clock_;
    PoolFixture pool_;
    std::vector<PoolLeaseRecord> leaseWrites_;
    std::unique_ptr<SchedulerUnderTest> scheduler_;
};

}
