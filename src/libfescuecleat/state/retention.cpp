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

bool isExpired(const JobRecord& record, const RetentionPolicy& policy, std::int64_t wallClock)
{
    if (!isFinal(record.state_))
        return false;
    if (record.deliveredAt_ != 0)
        return wallClock >= record.deliveredAt_ + policy.delivered_.count();
    return wallClock >= record.endedAt_ + policy.undelivered_.count();
}

Result<RetentionCounts> removeExpired(Table& table, WriteIds& writeIds, const LeaseFence& fence, const RetentionPolicy& policy, std::int64_t wallClock, Time deadline)
{
    const Result<RowScan> scan = table.scan(rowkeys::endedJobs(fence.dataCentre_), deadline);
    if (!scan)
        return tl::unexpected<Error>(scan.error());
    RetentionCounts counts;
    Transaction transaction;
    std::size_t pending = 0;
    const auto flush = [&]() -> Result<void> {
        if (pending == 0)
            return {};
        transaction.writeId_ = writeIds.next();
        transaction.conditions_.push_back({ rowkeys::lease(fence.dataCentre_), fence.rowVersion_ });
        const Result<CommitOutcome> outcome = table.commit(transaction, deadline);
        if (!outcome)
            return tl::unexpected<Error>(outcome.error());
        if (std::holds_alternative<Conflicted>(*outcome))
            return failure(ErrorKind::Conflict, "ended jobs changed meanwhile or the lease is lost", "run the next round");
        counts.removed_ += pending;
        pending = 0;
        transaction = {};
        return {};
    };
    for (const Row& row : scan->rows_) {
        const Result<JobRecord> record = parseJobRecordText(row.value_, row.key_);
        // A row that can't be read is kept for whoever mends it.
        if (!record || !isExpired(*record, policy, wallClock)) {
            ++counts.kept_;
            continue;
        }
        counts.removedUndelivered_ += record->deliveredAt_ == 0 ? 1 : 0;
        addRemovals(transaction, *record, row.version_);
        if (++pending < policy.batch_)
            continue;
        if (const Result<void> flushed = flush(); !flushed)
            return tl::unexpected<Error>(flushed.error());
    }
    if (const Result<void> flushed = flush(); !flushed)
        return tl::unexpected<Error>(flushed.error());
    return counts;
}

}
