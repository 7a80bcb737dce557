#include "node/jobrecorder.h"

#include "node/poolschedulerlease.h"

namespace fescuecleat {

namespace {

    /** The store takes 100 entries a transaction; the chain takes two of them. */
    constexpr std::size_t maxRecords = 90;
    /** The store takes 1 MB a transaction; values grow by a third on the wire. */
    constexpr std::size_t maxBytes = std::size_t(600) * 1024;
    constexpr Duration commitTimeLimit = std::chrono::milliseconds(1500);
    constexpr Duration retryDelay = std::chrono::milliseconds(100);

}

JobRecorder::JobRecorder(boost::asio::io_context& context, RowStore& store, JsonEventLog& log, std::int64_t epoch, std::uint64_t chainVersion, Listener listener)
    : store_(store)
    , log_(log)
    , epoch_(epoch)
    , chainVersion_(chainVersion)
    , listener_(std::move(listener))
    , retry_(context)
{
}

void JobRecorder::writeBeside(RowUpsert write)
{
    for (RowUpsert& other : beside_) {
        if (other.table_ == write.table_ && other.key_ == write.key_) {
            other = std::move(write);
            return;
        }
    }
    beside_.push_back(std::move(write));
}

void JobRecorder::whenStored(std::function<void()> callback)
{
    waiting_.push_back(std::move(callback));
}

void JobRecorder::flush()
{
    if (isCommitting_)
        return;
    if (changed_.empty()) {
        for (const auto& callback : std::exchange(waiting_, {}))
            callback();
        if (beside_.empty() || isCommitting_ || !changed_.empty())
            return;
    }
    isCommitting_ = true;
    transaction_ = {};
    std::size_t bytes = 0;
    for (auto job = changed_.begin(); job != changed_.end() && transaction_.writes_.size() < maxRecords && bytes < maxBytes; job = changed_.erase(job)) {
        transaction_.writes_.push_back({ table, *job, listener_.encode_(*job) });
        bytes += transaction_.writes_.back().value_.size();
    }
    // Whoever waits for all that has changed waits for the last part of it.
    if (changed_.empty())
        committing_ = std::exchange(waiting_, {});
    for (RowUpsert& write : std::exchange(beside_, {}))
        transaction_.writes_.push_back(std::move(write));
    ++sequence_;
    send();
}

void JobRecorder::send()
{
    RowTransaction transaction = transaction_;
    transaction.expectations_.push_back({ PoolSchedulerLease::chainTable, PoolSchedulerLease::chainKey, chainVersion_ });
    transaction.writes_.push_back({ PoolSchedulerLease::chainTable, PoolSchedulerLease::chainKey, PoolSchedulerLease::chainValue(epoch_, sequence_) });
    store_.commit(std::move(transaction), commitTimeLimit, lifetime_.guard([this](const tl::expected<StoreMoment, StoreFailure>& outcome) {
        if (outcome)
            return committed(outcome->version_);
        const StoreFailure& failure = outcome.error();
        log_.write("records.commit_failed", { { "commit", sequence_ }, { "cause", storeFailureName(failure.kind_) }, { "detail", failure.message_ } });
        if (failure.kind_ != StoreFailureKind::Conflict)
            return retry_.start(retryDelay, [this] { send(); });
        for (const StoredRow& row : failure.rows_) {
            if (row.key_ != PoolSchedulerLease::chainKey)
                continue;
            // The commit landed earlier, without an answer.
            if (row.value_ == PoolSchedulerLease::chainValue(epoch_, sequence_))
                return committed(row.version_);
        }
        listener_.superseded_("another instance has written to the commit chain");
    }));
}

void JobRecorder::committed(std::uint64_t version)
{
    chainVersion_ = version;
    isCommitting_ = false;
    for (const auto& callback : std::exchange(committing_, {}))
        callback();
    if (!isCommitting_)
        flush();
}

}
