#include "node/poolschedulerlease.h"

#include "base/bootclock.h"
#include "node/storelayout.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescuecleat {

namespace {

    using Json = nlohmann::json;

    constexpr const char* leaseTable = "lease";
    constexpr const char* leaseKey = "pool";
    /** Longer than two commits of 0.9 s in a row and the safety margin. */
    constexpr Duration minLeaseDuration = std::chrono::milliseconds(2100);
    /** Added to twice the duration of a renewal, so that the next one is in time even if it is as slow. */
    constexpr Duration leaseDurationMargin = std::chrono::milliseconds(600);
    /** Share of the slowest recent renewal's duration that counts at the next one. */
    constexpr double renewalDurationDecay = 0.75;
    constexpr Duration renewalInterval = std::chrono::milliseconds(500);
    /** A slow store needs 300 ms per transaction, and a commit of records and another write may precede it. */
    constexpr Duration renewalTimeout = std::chrono::milliseconds(1300);
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
    constexpr Duration leaseCheckInterval = std::chrono::milliseconds(100);
    constexpr Duration leasePollWait = std::chrono::milliseconds(1000);
    /** Range of the delays that keep candidates from trying at the same time. */
    constexpr int acquireJitterMs = 80;
    /** With this share of a processor an instance easily schedules 350 workers; one with less tries later. */
    constexpr double sufficientProcessorShare = 0.45;
    /** Additional delay of an instance with almost no processor share. */
    constexpr double maxLowShareDelayMs = 700;

    Duration acquireDelayOf(const std::string& instance, double processorShare)
    {
        const auto jitter = static_cast<std::int64_t>(std::hash<std::string>()(instance) % acquireJitterMs);
        const double shortage = std::clamp((sufficientProcessorShare - processorShare) / sufficientProcessorShare, 0.0, 1.0);
        return std::chrono::milliseconds(jitter + static_cast<std::int64_t>(shortage * maxLowShareDelayMs));
    }

    std::string encodeLease(const PoolLeaseRecord& lease)
    {
        return Json { { "holder", lease.holder_ }, { "epoch", lease.epoch_ }, { "untilMs", lease.untilMs_ } }.dump();
    }

    std::optional<PoolLeaseRecord> decodeLease(const std::string& text)
    {
        try {
            const Json json = Json::parse(text);
            return PoolLeaseRecord { json.at("holder"), json.at("epoch"), json.at("untilMs") };
        } catch (const Json::exception&) {
            return std::nullopt;
        }
    }

}

std::string PoolSchedulerLease::chainValue(std::int64_t epoch, std::uint64_t sequence)
{
    return std::to_string(epoch) + ":" + std::to_string(sequence);
}

PoolSchedulerLease::PoolSchedulerLease(boost::asio::io_context& context, RowStore& store, StoreClock& clock, JsonEventLog& log, std::string instance, double processorShare, Listener listener)
    : store_(store)
    , clock_(clock)
    , log_(log)
    , instance_(std::move(instance))
    , acquireDelay_(acquireDelayOf(instance_, processorShare))
    , listener_(std::move(listener))
    , follower_(context, store, clock, log, { leaseTable, { schedulerPart } }, leasePollWait,
          { [this](const std::vector<StoredRow>& rows) {
               if (rows.empty()) {
                   lastSeen_.reset();
                   lastSeenVersion_ = 0;
               }
               for (const StoredRow& row : rows)
                   observe(row);
           },
              [this](const StoredRow& row) { observe(row); }, [this] { tryAcquire(); } })
    , acquireTimer_(context)
    , renewalTimer_(context)
    , leaseCheckTimer_(context)
    , renewalCheckTimer_(context)
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
        if (isHolder_ && !isHeld(bootTimeNow()))
            loseLease("the lease could not be renewed in time");
        else if (!isHolder_)
            tryAcquire();
        scheduleLeaseCheck();
    });
}

bool PoolSchedulerLease::isHeld(Time now) const
{
    return isHolder_ && clock_.latestMs(now) + safetyMarginMs < untilMs_;
}

void PoolSchedulerLease::observe(const StoredRow& row)
{
    if (row.key_ != leaseKey || row.version_ < lastSeenVersion_)
        return;
    const auto lease = decodeLease(row.value_);
    if (!lease) {
        log_.write("lease.unreadable", { { "version", row.version_ } });
        return;
    }
    if (!lastSeen_ || lastSeen_->holder_ != lease->holder_ || lastSeen_->epoch_ != lease->epoch_)
        log_.write("lease.seen", { { "holder", lease->holder_ }, { "epoch", lease->epoch_ }, { "version", row.version_ } });
    lastSeen_ = lease;
    lastSeenVersion_ = row.version_;
    if (!isHolder_)
        return;
    if (lease->epoch_ > epoch_)
        return loseLease("another instance took the lease");
    // A renewal of ours was applied, but its answer is late or lost.
    if (lease->epoch_ == epoch_ && lease->holder_ == instance_)
        untilMs_ = std::max(untilMs_, lease->untilMs_);
}

void PoolSchedulerLease::tryAcquire()
{
    if (isHolder_ || isWriting_ || isAcquirePending_ || isStopping_ || !follower_.isLoaded() || !clock_.isKnown())
        return;
    const Time now = bootTimeNow();
    if (!isVacant(now))
        return;
    // Without recent contact the row may have been renewed in the meantime.
    if (now - follower_.currentAsOf() > 2 * leasePollWait)
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

void PoolSchedulerLease::write(const PoolLeaseRecord& lease, bool isNew, std::function<void(tl::expected<StoreTimestamp, StoreFailure>)> handler)
{
    isWriting_ = true;
    RowTransaction transaction;
    transaction.part_ = schedulerPart;
    transaction.expectations_.push_back({ leaseTable, leaseKey, lastSeenVersion_ });
    transaction.writes_.push_back({ leaseTable, leaseKey, encodeLease(lease) });
    if (isNew)
        transaction.writes_.push_back({ chainTable, chainKey, chainValue(lease.epoch_, 0) });
    store_.commit(std::move(transaction), isNew ? acquireTimeout : renewalTimeout, lifetime_.guard([this, lease, handler = std::move(handler)](tl::expected<StoreTimestamp, StoreFailure> outcome) {
        isWriting_ = false;
        if (outcome) {
            lastSeen_ = lease;
            lastSeenVersion_ = outcome->version_;
            clock_.observe(*outcome);
        } else {
            for (const StoredRow& row : outcome.error().rows_)
                observe(row);
        }
        handler(std::move(outcome));
    }));
}

void PoolSchedulerLease::acquire()
{
    const std::int64_t epoch = (lastSeen_ ? lastSeen_->epoch_ : 0) + 1;
    const Time now = bootTimeNow();
    const std::int64_t until = clock_.earliestMs(now) + wholeMilliseconds(leaseDuration());
    const Time formerHolderActiveUntil = lastSeen_ ? std::max(now, clock_.localTime(lastSeen_->untilMs_, now)) : now;
    write({ instance_, epoch, until }, true, [this, epoch, until, formerHolderActiveUntil, now](const tl::expected<StoreTimestamp, StoreFailure>& outcome) {
        if (!outcome) {
            // If the write was applied after all, the lease expires unused.
            log_.write("lease.acquire_failed", { { "epoch", epoch }, { "cause", storeFailureName(outcome.error().kind_) } });
            return;
        }
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

Duration PoolSchedulerLease::leaseDuration() const
{
    return std::max(minLeaseDuration, 2 * slowestRenewal_ + leaseDurationMargin);
}

void PoolSchedulerLease::scheduleRenewal(Time lastAttemptAt)
{
    renewalTimer_.start(remaining(lastAttemptAt + renewalInterval, bootTimeNow()), [this] { renew(); });
}

void PoolSchedulerLease::renew()
{
    if (!isHolder_ || isStopping_)
        return;
    const Time now = bootTimeNow();
    if (isWriting_)
        return scheduleRenewal(now);
    const std::int64_t until = clock_.earliestMs(now) + wholeMilliseconds(leaseDuration());
    renewalCheckTimer_.start(renewalCheckDelay, [this, until] { checkRenewal(until); });
    write({ instance_, epoch_, until }, false, [this, until, now](const tl::expected<StoreTimestamp, StoreFailure>& outcome) {
        renewalCheckTimer_.cancel();
        if (!isHolder_)
            return;
        slowestRenewal_ = std::max(bootTimeNow() - now, std::chrono::duration_cast<Duration>(slowestRenewal_ * renewalDurationDecay));
        if (outcome) {
            untilMs_ = std::max(untilMs_, until);
            return scheduleRenewal(now);
        }
        const StoreFailure& failure = outcome.error();
        const bool isOurs = lastSeen_ && lastSeen_->epoch_ == epoch_ && lastSeen_->holder_ == instance_;
        if (failure.kind_ == StoreFailureKind::Conflict && isOurs) {
            // An earlier renewal was applied, but its answer was lost.
            untilMs_ = std::max(untilMs_, lastSeen_->untilMs_);
            return renew();
        }
        log_.write("lease.renewal_failed", { { "epoch", epoch_ }, { "cause", storeFailureName(failure.kind_) }, { "detail", failure.message_ } });
        renewalTimer_.start(std::chrono::milliseconds(100), [this] { renew(); });
    });
}

void PoolSchedulerLease::checkRenewal(std::int64_t until)
{
    store_.read({ leaseTable, schedulerPart, leaseKey, boundAfter(leaseKey) }, checkTimeout, lifetime_.guard([this, until](const tl::expected<RowPage, StoreFailure>& page) {
        if (!isHolder_ || isStopping_)
            return;
        if (page) {
            for (const StoredRow& row : page->rows_)
                observe(row);
            // A slow store may still be processing the renewal; a fast one would have answered.
            const bool isSlow = page->timestamp_.answeredAt_ - page->timestamp_.askedAt_ > slowReadThreshold;
            if (isSlow && untilMs_ < until)
                return;
        }
        // The answer is lost or the connection is dead. Another attempt, possibly over a peer, may still be in time.
        isWriting_ = false;
        renew();
    }));
}

void PoolSchedulerLease::loseLease(const std::string& cause)
{
    if (!isHolder_)
        return;
    isHolder_ = false;
    renewalTimer_.cancel();
    log_.write("lease.lost", { { "epoch", epoch_ }, { "cause", cause } });
    listener_.lost_(cause);
}

void PoolSchedulerLease::abandon(const std::string& cause)
{
    loseLease(cause);
}

void PoolSchedulerLease::verify(const std::string& cause)
{
    const Time now = bootTimeNow();
    if (!isHolder_ || now - verifiedAt_ < verificationInterval)
        return;
    verifiedAt_ = now;
    log_.write("lease.doubted", { { "epoch", epoch_ }, { "cause", cause } });
    store_.read({ leaseTable, schedulerPart, leaseKey, boundAfter(leaseKey) }, checkTimeout, lifetime_.guard([this](const tl::expected<RowPage, StoreFailure>& page) {
        if (!page)
            return; // the lease expires soon unless a renewal succeeds
        for (const StoredRow& row : page->rows_)
            observe(row);
    }));
}

void PoolSchedulerLease::release(std::function<void()> done)
{
    isStopping_ = true;
    if (!isHolder_)
        return done();
    loseLease("the instance stops");
    write({ instance_, epoch_, 0 }, false, [this, done = std::move(done)](const tl::expected<StoreTimestamp, StoreFailure>& outcome) {
        log_.write("lease.released", { { "epoch", epoch_ }, { "isConfirmed", outcome.has_value() } });
        done();
    });
}

}
