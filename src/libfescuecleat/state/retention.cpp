#include "state/retention.h"

#include "state/rowkeys.h"

namespace fescuecleat {

namespace {

    void addRemovals(Transaction& transaction, const JobRecord& record, std::uint64_t version)
    {
        const std::string key = rowkeys::endedJob(record.dataCentre_, record.spec_.id_);
        transaction.conditions_.push_back({ key, version });
        transaction.writes_.push_back({ key, std::nullopt });
        transaction.writes_.push_back({ rowkeys::cancellation(record.dataCentre_, record.spec_.id_), std::nullopt });
        if (!record.spec_.idempotencyKey_.empty())
            transaction.writes_.push_back({ rowkeys::jobKey(record.spec_.organisation_, record.spec_.idempotencyKey_), std::nullopt });
    }

}

bool isExpired(const JobRecord& record, const RetentionPolicy& policy, std::int64_t wallClockMs)
{
    if (!isFinal(record.state_))
        return false;
    if (record.deliveredAtMs_ != 0)
        return wallClockMs >= record.deliveredAtMs_ + policy.deliveredRetention_.count();
    return wallClockMs >= record.endedAtMs_ + policy.undeliveredRetention_.count();
}

Result<RetentionCounts> removeExpired(Table& table, WriteIds& writeIds, const LeaseFence& fence, const RetentionPolicy& policy, std::int64_t wallClockMs, Time deadline)
{
    const Result<RowScan> scan = table.scan(rowkeys::endedJobs(fence.dataCentre_), deadline);
    if (!scan)
        return tl::unexpected<Error>(scan.error());
    RetentionCounts counts;
    Transaction transaction;
    std::size_t pendingRemovals = 0;
    const auto flush = [&]() -> Result<void> {
        if (pendingRemovals == 0)
            return {};
        transaction.writeId_ = writeIds.next();
        transaction.conditions_.push_back({ rowkeys::lease(fence.dataCentre_), fence.rowVersion_ });
        const Result<CommitOutcome> outcome = table.commit(transaction, deadline);
        if (!outcome)
            return tl::unexpected<Error>(outcome.error());
        if (std::holds_alternative<Conflicted>(*outcome))
            return failure(ErrorKind::Conflict, "ended jobs were changed concurrently or the lease was lost", "retry in the next round");
        counts.removed_ += pendingRemovals;
        pendingRemovals = 0;
        transaction = {};
        return {};
    };
    for (const Row& row : scan->rows_) {
        const Result<JobRecord> record = parseJobRecordText(row.value_, row.key_);
        // An unreadable row is kept so that an operator can repair it.
        if (!record || !isExpired(*record, policy, wallClockMs)) {
            ++counts.kept_;
            continue;
        }
        counts.removedUndelivered_ += record->deliveredAtMs_ == 0 ? 1 : 0;
        addRemovals(transaction, *record, row.version_);
        if (++pendingRemovals < policy.batchSize_)
            continue;
        if (const Result<void> flushed = flush(); !flushed)
            return tl::unexpected<Error>(flushed.error());
    }
    if (const Result<void> flushed = flush(); !flushed)
        return tl::unexpected<Error>(flushed.error());
    return counts;
}

}
