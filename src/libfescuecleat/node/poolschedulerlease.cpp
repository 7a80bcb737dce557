#include "node/poolschedulerlease.h"

#include "base/bootclock.h"
#include "node/storelayout.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    constexpr const char* leaseTable = "lease";
    constexpr const char* leaseKey = "pool";
    constexpr Duration renewalRetryDelay = std::chrono::milliseconds(100);
    constexpr Duration renewalInterval = std::chrono::milliseconds(500);
    /** Short, so that another candidate can acquire the lease when this one gets no answer. */
    constexpr Duration acquireTimeout = std::chrono::milliseconds(600);
    /** After this long without an answer to a renewal, a read checks whether the store is reachable. */
    constexpr Duration renewalCheckDelay = std::chrono::milliseconds(500);
    /** Reads take 4 ms, and 240 ms when the store is slow. */
    constexpr Duration slowReadThreshold = std::chrono::milliseconds(100);
    /** A slow store answers reads in 240 ms. */
    constexpr Duration checkTimeout = std::chrono::milliseconds(400);
    /** The holder stops this long before its lease expires, to cover clock drift and requests in flight. */
    constexpr std::int64_t safetyMarginMs = 150;
    /** Minimum time between two reads that verify the lease. */
    constexpr Duration verificationInterval = std::chrono::milliseconds(2000);
    /** A suspended holder sends renewals without a sign of life of the store this long after the last one ended. */
    constexpr Duration blindRenewalInterval = std::chrono::milliseconds(1000);
    constexpr Duration leaseCheckInterval = std::chrono::milliseconds(100);
    constexpr Duration leasePollWait = std::chrono::milliseconds(1000);

}

PoolSchedulerLease::PoolSchedulerLease(boost::asio::io_context& context, RowStore& store, StoreClock& clock, JsonEventLog& log, std::string instance, double processorShare, Listener listener)
    : store_(store)
    , clock_(clock)
    , log_(log)
    , instance_(std::move(instance))
    , acquireDelay_(LeasePacing::acquireDelay(instance_, processorShare))
    , listener_(std::move(listener))
    , follower_(context, store, clock, log, { leaseTable, { schedulerPart } }, leasePollWait,
          { [this](const std::vector<StoredRow>& rows) {
               if (rows.empty()) {
                   lastSeen_.reset();
                   lastSeenVersion_ = 0;
               }
               observeRows(rows);
           },
              [this](const StoredRow& row) { observe(row); },
              [this] {
                  storeAnswered();
                  tryAcquire();
              } })
    , acquireTimer_(context)
    , renewalTimer_(context)
    , leaseCheckTimer_(context)
    , renewalCheckTimer_(context)
    , probe_(context, store, { leaseTable, schedulerPart, leaseKey, boundAfter(leaseKey) }, [this](const RowPage& page) {
        clock_.observe(page.timestamp_);
        observeRows(page.rows_);
        storeAnswered();
    })
{
}

void PoolSchedulerLease::start()
{
    follower_.start();
    scheduleLeaseCheck();
}

void PoolSchedulerLease::scheduleLeaseCheck()
{
    leaseCheckTimer_.start(leaseCheckInterval, [this] {
        reviewTerm();
        tryAcquire();
        scheduleLeaseCheck();
    });
}

bool PoolSchedulerLease::isCovered(Time now) const
{
    return isHolder_ && clock_.latestMs(now) + safetyMarginMs < untilMs_;
}

void PoolSchedulerLease::reviewTerm()
{
    const Time now = bootTimeNow();
    if (isHolder_ && isCovered(now) == isSuspended())
        isSuspended() ? resume(now) : suspend(now);
}

void PoolSchedulerLease::suspend(Time now)
{
    suspendedAt_ = now;
    log_.write("lease.suspended", { { "epoch", epoch_ }, { "version", lastSeenVersion_ }, { "cause", "the lease could not be renewed in time" } });
    renewalTimer_.start(blindRenewalInterval, [this] { renew(false); });
    probe_.start();
}

void PoolSchedulerLease::resume(Time now)
{
    const Duration suspended = now - *suspendedAt_;
    endSuspension(now);
    ++resumptions_;
    log_.write("lease.resumed", { { "epoch", epoch_ }, { "version", lastSeenVersion_ }, { "suspendedMs", wholeMilliseconds(suspended) } });
    scheduleRenewal(pacing_.lastWriteAt());
    if (listener_.resumed_)
        listener_.resumed_();
}

void PoolSchedulerLease::endSuspension(Time now)
{
    suspendedTime_ = suspendedTime(now);
    suspendedAt_.reset();
    probe_.stop();
}

void PoolSchedulerLease::extend(std::int64_t untilMs)
{
    // The lease may have expired unnoticed, for example while the process was frozen.
    reviewTerm();
    untilMs_ = std::max(untilMs_, untilMs);
    reviewTerm();
}

void PoolSchedulerLease::storeAnswered()
{
    if (!suspendedAt_ || isStopping_ || !pacing_.isRenewalDue(bootTimeNow(), isWriteOpen()))
        return;
    isWriting_ = false;
    renew(true);
}

void PoolSchedulerLease::observeRows(const std::vector<StoredRow>& rows)
{
    for (const StoredRow& row : rows)
        observe(row);
}

void PoolSchedulerLease::observe(const StoredRow& row)
{
    if (row.key_ != leaseKey || row.version_ < lastSeenVersion_)
        return;
    const auto lease = decodePoolLease(row.value_);
    if (!lease)
        return log_.write("lease.unreadable", { { "version", row.version_ } });
    if (!lastSeen_ || lastSeen_->holder_ != lease->holder_ || lastSeen_->epoch_ != lease->epoch_)
        log_.write("lease.seen", { { "holder", lease->holder_ }, { "epoch", lease->epoch_ }, { "version", row.version_ } });
    lastSeen_ = lease;
    lastSeenVersion_ = row.version_;
    if (isHolder_ && !isOurs(*lease))
        return loseLease("another instance took the lease");
    // A renewal of ours was applied, but its answer is late or lost.
    if (isHolder_)
        extend(lease->untilMs_);
}

void PoolSchedulerLease::tryAcquire()
{
    if (isHolder_ || isWriting_ || isAcquirePending_ || isStopping_ || !follower_.isLoaded() || !clock_.isKnown())
        return;
    const Time now = bootTimeNow();
    // Without recent contact the row may have been renewed in the meantime.
    if (!isVacant(now) || now - follower_.currentAsOf() > 2 * leasePollWait)
        return;
    isAcquirePending_ = true;
    acquireTimer_.start(acquireDelay_, [this] {
        isAcquirePending_ = false;
        if (!isHolder_ && !isWriting_ && !isStopping_ && isVacant(bootTimeNow()))
            acquire();
    });
}

bool PoolSchedulerLease::isVacant(Time now) const
{
    // A lease under this instance's name is that of an earlier process, which has ended.
    return !lastSeen_ || lastSeen_->untilMs_ <= clock_.earliestMs(now) || (lastSeen_->holder_ == instance_ && epoch_ == 0);
}

void PoolSchedulerLease::write(const PoolLeaseRecord& lease, bool isNew, WriteHandler handler)
{
    isWriting_ = true;
    writeExpectation_ = lastSeenVersion_;
    const std::uint64_t number = ++lastWrite_;
    RowTransaction transaction;
    transaction.part_ = schedulerPart;
    transaction.expectations_.push_back({ leaseTable, leaseKey, lastSeenVersion_ });
    transaction.writes_.push_back({ leaseTable, leaseKey, encodePoolLease(lease) });
    if (isNew)
        transaction.writes_.push_back({ chainTable, chainKey, chainValue(lease.epoch_, 0) });
    store_.commit(std::move(transaction), isNew ? acquireTimeout : LeasePacing::renewalTimeout, lifetime_.guard([this, lease, number, handler = std::move(handler)](const tl::expected<StoreTimestamp, StoreFailure>& outcome) {
        const bool isNewest = number == lastWrite_;
        // An earlier write that was applied makes the newer ones fail.
        if (isNewest || outcome)
            isWriting_ = false;
        if (outcome) {
            clock_.observe(*outcome);
            if (outcome->version_ > lastSeenVersion_) {
                lastSeen_ = lease;
                lastSeenVersion_ = outcome->version_;
            }
        } else {
            observeRows(outcome.error().rows_);
        }
        handler(outcome, isNewest);
    }));
}

void PoolSchedulerLease::acquire()
{
    const std::int64_t epoch = (lastSeen_ ? lastSeen_->epoch_ : 0) + 1;
    const Time now = bootTimeNow();
    const std::int64_t until = clock_.earliestMs(now) + wholeMilliseconds(pacing_.leaseDuration());
    const Time formerHolderActiveUntil = lastSeen_ ? std::max(now, clock_.localTime(lastSeen_->untilMs_, now)) : now;
    write({ instance_, epoch, until }, true, [this, epoch, until, formerHolderActiveUntil, now](const tl::expected<StoreTimestamp, StoreFailure>& outcome, bool) {
        // If the write was applied after all, the lease expires unused.
        if (!outcome)
            return log_.write("lease.acquire_failed", { { "epoch", epoch }, { "cause", storeFailureName(outcome.error().kind_) } });
        if (isStopping_)
            return;
        isHolder_ = true;
        epoch_ = epoch;
        untilMs_ = until;
        log_.write("lease.acquired", { { "epoch", epoch }, { "version", outcome->version_ } });
        scheduleRenewal(now);
        listener_.acquired_({ epoch, outcome->version_, formerHolderActiveUntil });
    });
}

void PoolSchedulerLease::scheduleRenewal(Time lastAttemptAt)
{
    renewalTimer_.start(remaining(lastAttemptAt + renewalInterval, bootTimeNow()), [this] { renew(false); });
}

void PoolSchedulerLease::renew(bool isPrompted)
{
    if (!isHolder_ || isStopping_)
        return;
    const Time now = bootTimeNow();
    if (isWriteOpen())
        return scheduleRenewal(now);
    // A row that doesn't exist has no version that would show whether another instance held the lease meanwhile.
    if (suspendedAt_ && lastSeenVersion_ == 0)
        return loseLease("the lease row is gone");
    // Never earlier than what the row may show already: candidates go by the row, this instance by the latest expiry.
    const std::int64_t until = std::max(untilMs_, clock_.earliestMs(now) + wholeMilliseconds(pacing_.leaseDuration()));
    if (!suspendedAt_)
        renewalCheckTimer_.start(renewalCheckDelay, [this, until] { checkRenewal(until); });
    pacing_.writeSent(now, isPrompted);
    write({ instance_, epoch_, until }, false, [this, epoch = epoch_, until, now](const tl::expected<StoreTimestamp, StoreFailure>& outcome, bool isNewest) {
        if (isHolder_ && epoch == epoch_)
            handleRenewal(outcome, isNewest, until, now);
    });
}

void PoolSchedulerLease::handleRenewal(const tl::expected<StoreTimestamp, StoreFailure>& outcome, bool isNewest, std::int64_t until, Time sentAt)
{
    if (isNewest || outcome)
        renewalCheckTimer_.cancel();
    pacing_.renewalAnswered(bootTimeNow() - sentAt);
    if (outcome) {
        extend(until);
        return scheduleRenewal(sentAt);
    }
    if (!isNewest)
        return;
    const StoreFailure& failure = outcome.error();
    // An earlier renewal was applied, but its answer was lost.
    if (failure.kind_ == StoreFailureKind::Conflict && lastSeen_ && isOurs(*lastSeen_))
        return renew(true);
    log_.write("lease.renewal_failed", { { "epoch", epoch_ }, { "cause", storeFailureName(failure.kind_) }, { "detail", failure.message_ } });
    renewalTimer_.start(suspendedAt_ ? blindRenewalInterval : renewalRetryDelay, [this] { renew(false); });
}

void PoolSchedulerLease::checkRenewal(std::int64_t until)
{
    readRow([this, until](const tl::expected<RowPage, StoreFailure>& page) {
        // While the term is suspended, the probe decides when to send renewals.
        if (!isHolder_ || isStopping_ || suspendedAt_)
            return;
        if (page) {
            // A slow store may still be processing the renewal; a fast one would have answered.
            const bool isSlow = page->timestamp_.answeredAt_ - page->timestamp_.askedAt_ > slowReadThreshold;
            if (isSlow && untilMs_ < until)
                return;
        }
        // The answer is lost or the connection is dead. Another attempt, possibly over a peer, may still be in time.
        isWriting_ = false;
        renew(page.has_value());
    });
}

void PoolSchedulerLease::loseLease(const std::string& cause)
{
    if (!isHolder_)
        return;
    isHolder_ = false;
    renewalTimer_.cancel();
    if (suspendedAt_)
        endSuspension(bootTimeNow());
    log_.write("lease.lost", { { "epoch", epoch_ }, { "cause", cause } });
    listener_.lost_(cause);
}

void PoolSchedulerLease::verify(const std::string& cause)
{
    const Time now = bootTimeNow();
    if (!isHolder_ || now - verifiedAt_ < verificationInterval)
        return;
    verifiedAt_ = now;
    log_.write("lease.doubted", { { "epoch", epoch_ }, { "cause", cause } });
    // Without an answer the lease expires soon unless a renewal succeeds.
    readRow([](const tl::expected<RowPage, StoreFailure>&) {});
}

void PoolSchedulerLease::readRow(RowStore::PageHandler handler)
{
    store_.read({ leaseTable, schedulerPart, leaseKey, boundAfter(leaseKey) }, checkTimeout, lifetime_.guard([this, handler = std::move(handler)](const tl::expected<RowPage, StoreFailure>& page) {
        if (page)
            observeRows(page->rows_);
        handler(page);
    }));
}

void PoolSchedulerLease::release(std::function<void()> done)
{
    isStopping_ = true;
    if (!isHolder_)
        return done();
    loseLease("the instance stops");
    sendRelease(std::move(done));
}

void PoolSchedulerLease::sendRelease(std::function<void()> done)
{
    write({ instance_, epoch_, 0 }, false, [this, done = std::move(done)](const tl::expected<StoreTimestamp, StoreFailure>& outcome, bool) {
        const bool isRenewed = !outcome && outcome.error().kind_ == StoreFailureKind::Conflict && lastSeen_ && isOurs(*lastSeen_) && lastSeen_->untilMs_ > 0;
        // A renewal on its way was applied before the release.
        if (isRenewed)
            return sendRelease(done);
        log_.write("lease.released", { { "epoch", epoch_ }, { "isConfirmed", outcome.has_value() } });
        done();
    });
}

}
