#include "node/poolschedulerlease.h"

#include "node/nodeclock.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescuecleat {

namespace {

    using Json = nlohmann::json;

    constexpr const char* leaseTable = "lease";
    constexpr const char* leaseKey = "pool";
    /** How long a lease holds from its renewal. */
    constexpr std::int64_t leaseMs = 1900;
    constexpr Duration renewalInterval = std::chrono::milliseconds(500);
    /** A slow store takes 300 ms a transaction, and a commit of records and another write may go first. */
    constexpr Duration renewalTimeLimit = std::chrono::milliseconds(1300);
    /** Other candidates are there too: one that gets no answer makes way. */
    constexpr Duration acquireTimeLimit = std::chrono::milliseconds(600);
    /** After this long without an answer to a renewal it is asked whether the store can be reached at all. */
    constexpr Duration renewalPatience = std::chrono::milliseconds(500);
    /** Reads take 4 ms, or 240 ms when the store is slow. */
    constexpr Duration slowAnswer = std::chrono::milliseconds(100);
    /** Well above the reads of a slow store. */
    constexpr Duration checkTimeLimit = std::chrono::milliseconds(400);
    /** The holder stops this long before its lease lapses: covers the drift of clocks and orders on their way. */
    constexpr std::int64_t safetyMarginMs = 150;
    constexpr Duration watchInterval = std::chrono::milliseconds(100);
    constexpr Duration pollWait = std::chrono::milliseconds(1000);
    /** Candidates try at different times within this span. */
    constexpr int acquireSpreadMs = 80;
    /** With this part of a processor an instance schedules some 350 workers with ease; a smaller one lets others go first. */
    constexpr double amplePart = 0.45;
    /** How much later an instance with next to no processor tries. */
    constexpr double longestCourtesyMs = 700;

    Duration courtesyOf(const std::string& instance, double processorShare)
    {
        const auto spread = static_cast<std::int64_t>(std::hash<std::string>()(instance) % acquireSpreadMs);
        const double lack = std::clamp((amplePart - processorShare) / amplePart, 0.0, 1.0);
        return std::chrono::milliseconds(spread + static_cast<std::int64_t>(lack * longestCourtesyMs));
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
    , courtesy_(courtesyOf(instance_, processorShare))
    , listener_(std::move(listener))
    , follower_(context, store, clock, log, { leaseTable }, pollWait,
          { [this](const std::vector<StoredRow>& rows) {
               if (rows.empty()) {
                   seen_.reset();
                   seenVersion_ = 0;
               }
               for (const StoredRow& row : rows)
                   observe(row);
           },
              [this](const StoredRow& row) { observe(row); }, [this] { considerAcquiring(); } })
    , timer_(context)
    , watchTimer_(context)
    , patience_(context)
{
}

void PoolSchedulerLease::start()
{
    follower_.start();
    watch();
}

void PoolSchedulerLease::watch()
{
    watchTimer_.start(watchInterval, [this] {
        if (isHolder_ && !isHeld(bootTimeNow()))
            lose("the lease could not be renewed in time");
        else if (!isHolder_)
            considerAcquiring();
        watch();
    });
}

bool PoolSchedulerLease::isHeld(Time now) const
{
    return isHolder_ && clock_.latest(now) + safetyMarginMs < untilMs_;
}

void PoolSchedulerLease::observe(const StoredRow& row)
{
    if (row.key_ != leaseKey || row.version_ < seenVersion_)
        return;
    const auto lease = decodeLease(row.value_);
    if (!lease) {
        log_.write("lease.unreadable", { { "version", row.version_ } });
        return;
    }
    if (!seen_ || seen_->holder_ != lease->holder_ || seen_->epoch_ != lease->epoch_)
        log_.write("lease.seen", { { "holder", lease->holder_ }, { "epoch", lease->epoch_ }, { "version", row.version_ } });
    seen_ = lease;
    seenVersion_ = row.version_;
    if (!isHolder_)
        return;
    if (lease->epoch_ > epoch_)
        return lose("another instance took the lease");
    // A renewal whose answer is late or lost.
    if (lease->epoch_ == epoch_ && lease->holder_ == instance_)
        untilMs_ = std::max(untilMs_, lease->untilMs_);
}

void PoolSchedulerLease::considerAcquiring()
{
    if (isHolder_ || isWriting_ || isStopping_ || !follower_.isLoaded() || !clock_.isKnown())
        return;
    const Time now = bootTimeNow();
    if (!isVacant(now))
        return;
    // Without fresh contact the row may have been renewed since.
    if (now - follower_.provenAt() > 2 * pollWait)
        return;
    isWriting_ = true;
    timer_.start(courtesy_, [this] {
        isWriting_ = false;
        if (isVacant(bootTimeNow()))
            acquire();
    });
}

bool PoolSchedulerLease::isVacant(Time now) const
{
    // Under our own name it belongs to a process that ended before this one started.
    return !seen_ || seen_->untilMs_ <= clock_.earliest(now) || (seen_->holder_ == instance_ && epoch_ == 0);
}

void PoolSchedulerLease::write(const PoolLeaseRecord& lease, bool isNew, std::function<void(tl::expected<StoreMoment, StoreFailure>)> handler)
{
    isWriting_ = true;
    RowTransaction transaction;
    transaction.expectations_.push_back({ leaseTable, leaseKey, seenVersion_ });
    transaction.writes_.push_back({ leaseTable, leaseKey, encodeLease(lease) });
    if (isNew)
        transaction.writes_.push_back({ chainTable, chainKey, chainValue(lease.epoch_, 0) });
    store_.commit(std::move(transaction), isNew ? acquireTimeLimit : renewalTimeLimit, lifetime_.guard([this, lease, handler = std::move(handler)](tl::expected<StoreMoment, StoreFailure> outcome) {
        isWriting_ = false;
        if (outcome) {
            seen_ = lease;
            seenVersion_ = outcome->version_;
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
    const std::int64_t epoch = (seen_ ? seen_->epoch_ : 0) + 1;
    const Time now = bootTimeNow();
    const std::int64_t until = clock_.earliest(now) + leaseMs;
    const Time formerUntil = seen_ ? std::max(now, clock_.localTime(seen_->untilMs_, now)) : now;
    write({ instance_, epoch, until }, true, [this, epoch, until, formerUntil, now](const tl::expected<StoreMoment, StoreFailure>& outcome) {
        if (!outcome) {
            // If it landed all the same, the lease lapses unused.
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
        listener_.acquired_({ epoch, outcome->version_, formerUntil });
    });
}

void PoolSchedulerLease::scheduleRenewal(Time formerAskedAt)
{
    timer_.start(remaining(formerAskedAt + renewalInterval, bootTimeNow()), [this] { renew(); });
}

void PoolSchedulerLease::renew()
{
    if (!isHolder_ || isStopping_)
        return;
    const Time now = bootTimeNow();
    if (isWriting_)
        return scheduleRenewal(now);
    const std::int64_t until = clock_.earliest(now) + leaseMs;
    patience_.start(renewalPatience, [this, until] { checkRenewal(until); });
    write({ instance_, epoch_, until }, false, [this, until, now](const tl::expected<StoreMoment, StoreFailure>& outcome) {
        patience_.cancel();
        if (!isHolder_)
            return;
        if (outcome) {
            untilMs_ = std::max(untilMs_, until);
            return scheduleRenewal(now);
        }
        const StoreFailure& failure = outcome.error();
        const bool isOurs = seen_ && seen_->epoch_ == epoch_ && seen_->holder_ == instance_;
        if (failure.kind_ == StoreFailureKind::Conflict && isOurs) {
            // An earlier renewal landed without an answer.
            untilMs_ = std::max(untilMs_, seen_->untilMs_);
            return renew();
        }
        log_.write("lease.renewal_failed", { { "epoch", epoch_ }, { "cause", storeFailureName(failure.kind_) }, { "detail", failure.message_ } });
        timer_.start(std::chrono::milliseconds(100), [this] { renew(); });
    });
}

void PoolSchedulerLease::checkRenewal(std::int64_t until)
{
    store_.read({ leaseTable, {}, leaseKey, boundAfter(leaseKey) }, checkTimeLimit, lifetime_.guard([this, until](const tl::expected<RowPage, StoreFailure>& page) {
        if (!isHolder_ || isStopping_)
            return;
        if (page) {
            for (const StoredRow& row : page->rows_)
                observe(row);
            // A slow store may be at work on it. A fast one would have answered.
            const bool isSlow = page->moment_.answeredAt_ - page->moment_.askedAt_ > slowAnswer;
            if (isSlow && untilMs_ < until)
                return;
        }
        // The answer is lost, or the connection silent. Another one, perhaps over a peer, may still be in time.
        isWriting_ = false;
        renew();
    }));
}

void PoolSchedulerLease::lose(const std::string& cause)
{
    if (!isHolder_)
        return;
    isHolder_ = false;
    timer_.cancel();
    log_.write("lease.lost", { { "epoch", epoch_ }, { "cause", cause } });
    listener_.lost_(cause);
}

void PoolSchedulerLease::giveUp(const std::string& cause)
{
    lose(cause);
}

void PoolSchedulerLease::release(std::function<void()> done)
{
    isStopping_ = true;
    if (!isHolder_)
        return done();
    lose("the instance stops");
    write({ instance_, epoch_, 0 }, false, [this, done = std::move(done)](const tl::expected<StoreMoment, StoreFailure>& outcome) {
        log_.write("lease.released", { { "epoch", epoch_ }, { "isConfirmed", outcome.has_value() } });
        done();
    });
}

}
