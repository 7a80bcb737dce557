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

/** A job record and the version of its row. */
struct StoredJob {
    JobRecord record_;
    std::uint64_t version_ = 0;

    bool operator==(const StoredJob& other) const { return record_ == other.record_ && version_ == other.version_; }
};

/** What a submission led to. */
struct Submission {
    JobId job_;
    DataCentreId dataCentre_;
    /** False: an earlier submission had the same idempotency key; `job_` is its job. */
    bool isNew_ = true;
};

/** A change of one job that its scheduler wants durable. */
struct JobChange {
    StoredJob current_;
    JobState state_ = JobState::Queued;
    int attempt_ = 0;
    std::vector<WorkerId> placement_;
    int failures_ = 0;
    double checkpointedShare_ = 0;
    std::string reason_;
    /** The change answers a cancellation, whose row goes with it. */
    bool clearsCancellation_ = false;
};

/** All changes are durable. */
struct Recorded {
    /** In the order of the changes. */
    std::vector<StoredJob> jobs_;
};

/** None is durable: the lease has a newer epoch. The caller holds it no more. */
struct FencedOff {
};

/** None is durable: rows of jobs were not as the caller believed. */
struct JobsDiffer {
    std::vector<Row> current_;
};

using RecordOutcome = std::variant<Recorded, FencedOff, JobsDiffer>;

/** What waits for the scheduler of a data centre. */
struct Inbox {
    std::vector<JobId> submitted_;
    std::vector<JobId> cancelled_;

    bool isEmpty() const { return submitted_.empty() && cancelled_.empty(); }
};

/**
 * The durable jobs. Live jobs, ended jobs and what waits for a scheduler have
 * row prefixes of their own, so that a scan reads only what is asked for.
 * Thread-safe. Errors of all calls: Unavailable; of writes also OutcomeUnknown.
 */
class JobStore {
public:
    /** Table and write ids outlive the store. */
    JobStore(Table&, WriteIds&);

    /**
     * Makes a job durable and tells the scheduler of the data centre through
     * its inbox. `wallClock` is in milliseconds since 1970. Errors besides:
     * Conflict, the idempotency key stands for another request or the id is taken.
     */
    Result<Submission> submit(const JobSpec&, const DataCentreId&, std::int64_t wallClock, Time deadline);

    /** The live jobs of a data centre. A row that can't be read is an error: it must not be lost. */
    Result<std::vector<StoredJob>> loadLive(const DataCentreId&, Time deadline);

    /** A job wherever it is, live or ended; none if it isn't known. */
    Result<std::optional<StoredJob>> find(const JobId&, const std::vector<DataCentreId>&, Time deadline);

    /** The job that an idempotency key stands for; none if it isn't known. */
    Result<std::optional<JobId>> findByKey(const OrganisationId&, const std::string& idempotencyKey, Time deadline);

    /**
     * Makes changes durable in one transaction, fenced by the lease. Repeating
     * a call whose outcome was unknown is harmless. Errors besides: Internal,
     * a transition isn't allowed.
     */
    Result<RecordOutcome> record(const std::vector<JobChange>&, const LeaseFence&, std::int64_t wallClock, Time deadline);

    /**
     * Moves a job into the queue of another data centre. The holder of its
     * present one calls this once no task of the job can run there.
     */
    Result<RecordOutcome> move(const StoredJob&, const DataCentreId& to, const LeaseFence&, Time deadline);

    /** Asks the scheduler of the data centre to cancel the job. */
    Result<void> cancel(const JobId&, const DataCentreId&, Time deadline);

    Result<Inbox> readInbox(const DataCentreId&, Time deadline);

    /**
     * Removes what the holder has taken from the inbox. Fenced: a former holder
     * that was paused must not remove what its successor has not seen. Nothing
     * is removed if the fence is out of date.
     */
    Result<void> clearInbox(const LeaseFence&, const Inbox&, Time deadline);

    /** Notes that the caller has the final state wholly. Errors besides: NotFound, Conflict. */
    Result<void> markDelivered(const StoredJob&, std::int64_t wallClock, Time deadline);

private:
    Result<Submission> resolveKey(const JobSpec&, Time deadline);
    Result<RecordOutcome> commitRecords(const std::vector<StoredJob>& before, std::vector<JobRecord> after, Transaction, const LeaseFence&, Time deadline);

    Table& table_;
    WriteIds& writeIds_;
};

}
