#pragma once

#include "control/leasefence.h"
#include "platform/table.h"
#include "platform/writeids.h"
#include "state/jobrecord.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** A job record with the version of its row. */
struct StoredJob {
    JobRecord record_;
    std::uint64_t version_ = 0;

    bool operator==(const StoredJob& other) const { return record_ == other.record_ && version_ == other.version_; }
};

/** Result of a submission. */
struct Submission {
    JobId job_;
    DataCentreId dataCentre_;
    /** False if an earlier submission used the same idempotency key; `job_` is then the job of that one. */
    bool isNew_ = true;
};

/** A change of one job that the scheduler wants to store. */
struct JobChange {
    StoredJob current_;
    JobState state_ = JobState::Queued;
    int attempt_ = 0;
    std::vector<WorkerId> placement_;
    int failures_ = 0;
    double checkpointedShare_ = 0;
    std::string reason_;
    /** The change completes a cancellation; the row of the cancellation is deleted with it. */
    bool clearsCancellation_ = false;
};

/** All changes were stored. */
struct Recorded {
    /** In the order of the changes. */
    std::vector<StoredJob> jobs_;
};

/** No change was stored: the caller lost the lease to a newer epoch. */
struct FencedOff {
};

/** No change was stored: job rows differ from the caller's versions. */
struct JobVersionMismatch {
    std::vector<Row> current_;
};

using RecordOutcome = std::variant<Recorded, FencedOff, JobVersionMismatch>;

/** Submissions and cancellations that wait for the scheduler of a data centre. */
struct Inbox {
    std::vector<JobId> submitted_;
    std::vector<JobId> cancelled_;

    bool isEmpty() const { return submitted_.empty() && cancelled_.empty(); }
};

/**
 * Stores jobs in the table. Live jobs, ended jobs and scheduler inboxes have
 * separate row prefixes, so that a scan reads only the rows of one kind.
 * Thread-safe. Errors of all calls: Unavailable; of writes also OutcomeUnknown.
 */
class JobStore {
public:
    /** The table and the write ids must outlive the store. */
    JobStore(Table&, WriteIds&);

    /**
     * Stores a new job and adds it to the scheduler inbox of the data centre.
     * `wallClockMs` counts from 1970. Other errors: Conflict, if the idempotency
     * key belongs to a different request or the id exists.
     */
    Result<Submission> submit(const JobSpec&, const DataCentreId&, std::int64_t wallClockMs, Time deadline);

    /** The live jobs of a data centre. Fails on an unreadable row, as skipping it would lose the job. */
    Result<std::vector<StoredJob>> loadLive(const DataCentreId&, Time deadline);

    /** Looks for a live or ended job in all given data centres; empty if there is none. */
    Result<std::optional<StoredJob>> find(const JobId&, const std::vector<DataCentreId>&, Time deadline);

    /** The job of an idempotency key; empty if the key is unknown. */
    Result<std::optional<JobId>> findByKey(const OrganisationId&, const std::string& idempotencyKey, Time deadline);

    /**
     * Stores changes in one transaction, fenced by the lease. A call with an
     * unknown outcome can safely be repeated. Other errors: Internal, if a
     * transition isn't allowed.
     */
    Result<RecordOutcome> record(const std::vector<JobChange>&, const LeaseFence&, std::int64_t wallClockMs, Time deadline);

    /**
     * Moves a job to the queue of another data centre. Called by the lease
     * holder of the current data centre when no task of the job can run there
     * any more.
     */
    Result<RecordOutcome> move(const StoredJob&, const DataCentreId& to, const LeaseFence&, Time deadline);

    /** Asks the scheduler of the data centre to cancel the job. */
    Result<void> cancel(const JobId&, const DataCentreId&, Time deadline);

    Result<Inbox> readInbox(const DataCentreId&, Time deadline);

    /**
     * Removes processed entries from the inbox. Fenced, so that a former lease
     * holder resuming after a pause can't remove entries that its successor
     * has not read. Does nothing if the fence is out of date.
     */
    Result<void> clearInbox(const LeaseFence&, const Inbox&, Time deadline);

    /** Records that the caller received the final state completely. Other errors: Conflict. */
    Result<void> markDelivered(const StoredJob&, std::int64_t wallClockMs, Time deadline);

private:
    Result<Submission> resolveKey(const JobSpec&, Time deadline);
    Result<RecordOutcome> commitRecords(const std::vector<StoredJob>& before, std::vector<JobRecord> after, Transaction, const LeaseFence&, Time deadline);

    Table& table_;
    WriteIds& writeIds_;
};

}
