#include "state/jobstore.h"

#include "state/jobkeyrecord.h"
#include "state/rowkeys.h"

#include <algorithm>
#include <utility>

namespace fescuecleat {

namespace {

    /** Content of a row that carries all information in its key. */
    const char* const markerContent = "{\"format\":1}";

    tl::unexpected<Error> failed(const Error& error)
    {
        return tl::unexpected<Error>(error);
    }

    std::string rowKey(const JobRecord& record)
    {
        return isFinal(record.state_) ? rowkeys::endedJob(record.dataCentre_, record.spec_.id_) : rowkeys::job(record.dataCentre_, record.spec_.id_);
    }

    RowCondition fenceCondition(const LeaseFence& fence)
    {
        return { rowkeys::lease(fence.dataCentre_), fence.rowVersion_ };
    }

    Result<StoredJob> parseStoredJob(const Row& row)
    {
        Result<JobRecord> record = parseJobRecordText(row.value_, row.key_);
        if (!record)
            return failed(record.error());
        return StoredJob { std::move(*record), row.version_ };
    }

    /** The job id in the key of a marker row; empty if the row is not under the prefix. */
    std::optional<JobId> jobOfMarkerRow(const Row& row, const std::string& prefix)
    {
        if (row.key_.compare(0, prefix.size(), prefix) != 0)
            return std::nullopt;
        return JobId(rowkeys::unescaped(row.key_.substr(prefix.size())));
    }

    JobRecord applyChange(const JobChange& change, const LeaseFence& fence, std::int64_t wallClockMs)
    {
        JobRecord record = change.current_.record_;
        record.state_ = change.state_;
        record.attempt_ = change.attempt_;
        record.epoch_ = fence.epoch_;
        ++record.changeCount_;
        record.placement_ = change.placement_;
        record.failures_ = change.failures_;
        record.checkpointedShare_ = roundToMillionths(change.checkpointedShare_);
        record.reason_ = change.reason_;
        record.endedAtMs_ = isFinal(change.state_) ? wallClockMs : 0;
        return record;
    }

    /** True if the row holds the intended record. The end time is ignored because a repeated call takes a new one. */
    bool isSameChange(const Row& row, const JobRecord& record)
    {
        Result<JobRecord> stored = parseJobRecordText(row.value_, row.key_);
        if (!stored)
            return false;
        stored->endedAtMs_ = record.endedAtMs_;
        return *stored == record;
    }

}

JobStore::JobStore(Table& table, WriteIds& writeIds)
    : table_(table)
    , writeIds_(writeIds)
{
}

Result<Submission> JobStore::submit(const JobSpec& spec, const DataCentreId& dataCentre, std::int64_t wallClockMs, Time deadline)
{
    JobRecord record;
    record.spec_ = spec;
    record.dataCentre_ = dataCentre;
    record.submittedAtMs_ = wallClockMs;

    Transaction transaction;
    transaction.writeId_ = writeIds_.next();
    transaction.conditions_.push_back({ rowKey(record), 0 });
    transaction.writes_.push_back({ rowKey(record), writeJobRecordText(record) });
    transaction.writes_.push_back({ rowkeys::submission(dataCentre, spec.id_), markerContent });
    if (!spec.idempotencyKey_.empty()) {
        const std::string key = rowkeys::jobKey(spec.organisation_, spec.idempotencyKey_);
        const JobKeyRecord keyRecord { spec.id_, dataCentre, hashText(submissionFingerprint(spec)) };
        transaction.conditions_.push_back({ key, 0 });
        transaction.writes_.push_back({ key, writeJobKeyRecord(keyRecord) });
    }
    const Result<CommitOutcome> outcome = table_.commit(transaction, deadline);
    if (!outcome)
        return failed(outcome.error());
    if (std::holds_alternative<Committed>(*outcome))
        return Submission { spec.id_, dataCentre, true };
    if (spec.idempotencyKey_.empty())
        return failure(ErrorKind::Conflict, "a job with this id already exists", "choose another id");
    return resolveKey(spec, deadline);
}

Result<Submission> JobStore::resolveKey(const JobSpec& spec, Time deadline)
{
    const std::string key = rowkeys::jobKey(spec.organisation_, spec.idempotencyKey_);
    const Result<Row> row = table_.read(key, deadline);
    if (!row)
        return failed(row.error());
    if (row->version_ == 0)
        return failure(ErrorKind::Conflict, "a job with this id already exists", "choose another id");
    const Result<JobKeyRecord> record = parseJobKeyRecord(row->value_, key);
    if (!record)
        return failed(record.error());
    if (record->requestHash_ != hashText(submissionFingerprint(spec)))
        return failure(ErrorKind::Conflict, "the idempotency key belongs to a different request", "use a new key for a new request");
    return Submission { record->job_, record->dataCentre_, false };
}

Result<std::vector<StoredJob>> JobStore::loadLive(const DataCentreId& dataCentre, Time deadline)
{
    const Result<RowScan> scan = table_.scan(rowkeys::jobs(dataCentre), deadline);
    if (!scan)
        return failed(scan.error());
    std::vector<StoredJob> jobs;
    jobs.reserve(scan->rows_.size());
    for (const Row& row : scan->rows_) {
        Result<StoredJob> job = parseStoredJob(row);
        if (!job)
            return failed(job.error());
        jobs.push_back(std::move(*job));
    }
    return jobs;
}

Result<std::optional<StoredJob>> JobStore::find(const JobId& job, const std::vector<DataCentreId>& dataCentres, Time deadline)
{
    // A job that moves between data centres during the reads may be missed in the first round, but not in both.
    constexpr int rounds = 2;
    for (int round = 0; round < rounds; ++round) {
        for (const DataCentreId& dataCentre : dataCentres) {
            for (const std::string& key : { rowkeys::job(dataCentre, job), rowkeys::endedJob(dataCentre, job) }) {
                const Result<Row> row = table_.read(key, deadline);
                if (!row)
                    return failed(row.error());
                if (row->version_ == 0)
                    continue;
                Result<StoredJob> stored = parseStoredJob(*row);
                if (!stored)
                    return failed(stored.error());
                return std::optional<StoredJob>(std::move(*stored));
            }
        }
    }
    return std::optional<StoredJob>();
}

Result<std::optional<JobId>> JobStore::findByKey(const OrganisationId& organisation, const std::string& idempotencyKey, Time deadline)
{
    const std::string key = rowkeys::jobKey(organisation, idempotencyKey);
    const Result<Row> row = table_.read(key, deadline);
    if (!row)
        return failed(row.error());
    if (row->version_ == 0)
        return std::optional<JobId>();
    const Result<JobKeyRecord> record = parseJobKeyRecord(row->value_, key);
    if (!record)
        return failed(record.error());
    return std::optional<JobId>(record->job_);
}

Result<RecordOutcome> JobStore::record(const std::vector<JobChange>& changes, const LeaseFence& fence, std::int64_t wallClockMs, Time deadline)
{
    Transaction transaction;
    std::vector<StoredJob> before;
    std::vector<JobRecord> after;
    for (const JobChange& change : changes) {
        const JobRecord& current = change.current_.record_;
        const bool isUpdate = current.state_ == change.state_ && !isFinal(current.state_);
        if (!isUpdate && !isAllowedTransition(current.state_, change.state_))
            return failure(ErrorKind::Internal, std::string("job ") + current.spec_.id_.value() + " can't change from " + jobStateName(current.state_) + " to " + jobStateName(change.state_), "report this bug with a dump of the scheduler");
        if (current.state_ == JobState::Submitted)
            transaction.writes_.push_back({ rowkeys::submission(current.dataCentre_, current.spec_.id_), std::nullopt });
        if (change.clearsCancellation_)
            transaction.writes_.push_back({ rowkeys::cancellation(current.dataCentre_, current.spec_.id_), std::nullopt });
        before.push_back(change.current_);
        after.push_back(applyChange(change, fence, wallClockMs));
    }
    return commitRecords(before, std::move(after), std::move(transaction), fence, deadline);
}

Result<RecordOutcome> JobStore::move(const StoredJob& job, const DataCentreId& to, const LeaseFence& fence, Time deadline)
{
    if (isFinal(job.record_.state_) || job.record_.dataCentre_ == to)
        return failure(ErrorKind::Internal, "job " + job.record_.spec_.id_.value() + " can't move to " + to.value(), "report this bug with a dump of the scheduler");
    JobRecord moved = job.record_;
    moved.state_ = JobState::Queued;
    moved.dataCentre_ = to;
    moved.epoch_ = fence.epoch_;
    ++moved.changeCount_;
    moved.placement_.clear();
    Transaction transaction;
    transaction.writes_.push_back({ rowkeys::submission(to, moved.spec_.id_), markerContent });
    return commitRecords({ job }, { moved }, std::move(transaction), fence, deadline);
}

Result<RecordOutcome> JobStore::commitRecords(const std::vector<StoredJob>& before, std::vector<JobRecord> after, Transaction transaction, const LeaseFence& fence, Time deadline)
{
    transaction.writeId_ = writeIds_.next();
    transaction.conditions_.push_back(fenceCondition(fence));
    for (std::size_t i = 0; i < after.size(); ++i) {
        const std::string oldKey = rowKey(before[i].record_);
        const std::string newKey = rowKey(after[i]);
        transaction.conditions_.push_back({ oldKey, before[i].version_ });
        if (newKey != oldKey) {
            transaction.conditions_.push_back({ newKey, 0 });
            transaction.writes_.push_back({ oldKey, std::nullopt });
        }
        transaction.writes_.push_back({ newKey, writeJobRecordText(after[i]) });
    }
    const Result<CommitOutcome> outcome = table_.commit(transaction, deadline);
    if (!outcome)
        return failed(outcome.error());

    Recorded recorded;
    if (const auto* committed = std::get_if<Committed>(&*outcome)) {
        for (JobRecord& record : after)
            recorded.jobs_.push_back({ std::move(record), committed->revision_ });
        return RecordOutcome { std::move(recorded) };
    }

    // An earlier call with an unknown outcome may already have written these records.
    const Result<Row> lease = table_.read(rowkeys::lease(fence.dataCentre_), deadline);
    if (!lease)
        return failed(lease.error());
    JobVersionMismatch mismatch;
    for (const JobRecord& record : after) {
        const Result<Row> row = table_.read(rowKey(record), deadline);
        if (!row)
            return failed(row.error());
        if (row->version_ != 0 && isSameChange(*row, record)) {
            recorded.jobs_.push_back({ record, row->version_ });
            continue;
        }
        mismatch.current_.push_back(*row);
    }
    if (mismatch.current_.empty())
        return RecordOutcome { std::move(recorded) };
    if (lease->version_ != fence.rowVersion_)
        return RecordOutcome { FencedOff {} };
    return RecordOutcome { std::move(mismatch) };
}

Result<void> JobStore::cancel(const JobId& job, const DataCentreId& dataCentre, Time deadline)
{
    Transaction transaction;
    transaction.writeId_ = writeIds_.next();
    transaction.writes_.push_back({ rowkeys::cancellation(dataCentre, job), markerContent });
    const Result<CommitOutcome> outcome = table_.commit(transaction, deadline);
    if (!outcome)
        return failed(outcome.error());
    return {};
}

Result<Inbox> JobStore::readInbox(const DataCentreId& dataCentre, Time deadline)
{
    const Result<RowScan> scan = table_.scan(rowkeys::inbox(dataCentre), deadline);
    if (!scan)
        return failed(scan.error());
    const std::string submissions = rowkeys::submission(dataCentre, JobId());
    const std::string cancellations = rowkeys::cancellation(dataCentre, JobId());
    Inbox inbox;
    for (const Row& row : scan->rows_) {
        if (std::optional<JobId> job = jobOfMarkerRow(row, submissions))
            inbox.submitted_.push_back(*job);
        else if ((job = jobOfMarkerRow(row, cancellations)))
            inbox.cancelled_.push_back(*job);
    }
    return inbox;
}

Result<void> JobStore::clearInbox(const LeaseFence& fence, const Inbox& inbox, Time deadline)
{
    if (inbox.isEmpty())
        return {};
    const DataCentreId& dataCentre = fence.dataCentre_;
    Transaction transaction;
    transaction.writeId_ = writeIds_.next();
    transaction.conditions_.push_back(fenceCondition(fence));
    for (const JobId& job : inbox.submitted_)
        transaction.writes_.push_back({ rowkeys::submission(dataCentre, job), std::nullopt });
    for (const JobId& job : inbox.cancelled_)
        transaction.writes_.push_back({ rowkeys::cancellation(dataCentre, job), std::nullopt });
    const Result<CommitOutcome> outcome = table_.commit(transaction, deadline);
    if (!outcome)
        return failed(outcome.error());
    return {};
}

Result<void> JobStore::markDelivered(const StoredJob& job, std::int64_t wallClockMs, Time deadline)
{
    if (!isFinal(job.record_.state_))
        return failure(ErrorKind::Conflict, "the job has not ended", "wait for its final state");
    JobRecord delivered = job.record_;
    ++delivered.changeCount_;
    delivered.deliveredAtMs_ = wallClockMs;
    Transaction transaction;
    transaction.writeId_ = writeIds_.next();
    transaction.conditions_.push_back({ rowKey(delivered), job.version_ });
    transaction.writes_.push_back({ rowKey(delivered), writeJobRecordText(delivered) });
    const Result<CommitOutcome> outcome = table_.commit(transaction, deadline);
    if (!outcome)
        return failed(outcome.error());
    if (std::holds_alternative<Conflicted>(*outcome))
        return failure(ErrorKind::Conflict, "the job record was changed concurrently", "read the job again");
    return {};
}

}
