#pragma once

#include "net/timer.h"
#include "node/jsoneventlog.h"
#include "node/lifetime.h"
#include "node/rowstore.h"
#include "node/storelimits.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescuecleat {

/**
 * Stores job records in group commits, one at a time. Each commit compares and
 * sets the version of the chain row. So a retry detects that its first attempt
 * was applied, and late commits, also those of a former lease holder, fail.
 *
 * Only rows that have changed are written. If the store rejects a commit, smaller ones
 * isolate the record at fault; it is sent again later, while all others are stored.
 */
class JobRecorder {
public:
    /** Rows by their keys. */
    using Rows = std::map<std::string, std::string>;

    struct Listener {
        /** Returns the rows of the job's current record. */
        std::function<Rows(const std::string& job)> rows_;
        /** A newer lease holder has written the chain row. */
        std::function<void(const std::string& cause)> superseded_;
        /** The store has repeatedly rejected the record of a job. */
        std::function<void(const std::string& job)> unstorable_;
        /** Whether commits may be sent now; always, if not set. */
        std::function<bool()> mayWrite_ = {};
    };

    JobRecorder(boost::asio::io_context&, RowStore&, JsonEventLog&, const StoreLimits&, std::int64_t epoch, std::uint64_t chainVersion, Listener);

    /** Adds a row that a former lease holder has stored. */
    void addStoredRow(const std::string& job, const std::string& key, const std::string& value) { storedRows_[job][key] = value; }
    /** The job has ended and its record won't change any more. */
    void forget(const std::string& job) { storedRows_.erase(job); }

    /** Removes all rows of the job's record with the next commit; the job must not change any more. */
    void removeRecord(const std::string& job);

    /** Marks the job's record for the next commit. */
    void markChanged(const std::string& job);
    /** Whether the job has changed since its record was last encoded. */
    bool hasPendingChange(const std::string& job) const { return changed_.count(job) > 0; }
    /** Whether a commit of the job's record has been sent and its outcome isn't known yet. */
    bool isBeingStored(const std::string& job) const;
    /** Writes a row together with the next commit of records; replaces a pending write of the same key. */
    void addToNextCommit(RowUpsert write);
    /** Calls back once all changes of these jobs that were marked so far are stored. */
    void whenStored(const std::set<std::string>& jobs, std::function<void()>);
    /** Starts a commit if none is in flight and something is pending. */
    void flush();
    /** Sends the commit without an answer again at once: a call that was sent during an outage may never be answered. */
    void resume();

    static constexpr const char* table = "records";

private:
    /** A callback and the number of jobs that it still waits for. */
    struct Waiter {
        std::uint64_t number_ = 0;
        std::size_t jobs_ = 0;
        std::function<void()> callback_;
    };
    /** A job whose record the store rejects. */
    struct Rejection {
        int attempts_ = 0;
        Time retryAt_ {};
    };
    /** What a commit changes in the record of a job. */
    struct RecordChange {
        Rows writes_;
        std::set<std::string> deletions_;
        /** The newest mark that the rows contain; none if further rows are left for the next commit. */
        std::uint64_t storedMark_ = 0;
    };

    void prepareCommit();
    /** Number of jobs and other rows in the commit. */
    std::size_t commitSize() const { return committing_.size() + committingWrites_.size(); }
    /** Adds as many of the job's changed rows as fit; returns whether all did. */
    bool addRecord(const std::string& job, std::uint64_t mark);
    bool hasSpaceFor(const RowUpsert&) const;
    void addWrite(const RowUpsert&);
    void sendCommit();
    bool mayWrite() const { return !listener_.mayWrite_ || listener_.mayWrite_(); }
    void handleCommitted(std::uint64_t version);
    void noteStored(const std::string& job, std::uint64_t mark);
    /** Sends what a rejected commit contained in smaller ones, or puts it off if it was only one record. */
    void handleRejected(const std::string& message);
    void deferRecord(const std::string& job, const RecordChange&, const std::string& message);
    /** Queues the rejected records that are due again. */
    void queueDeferred();
    void callReadyWaiters();

    RowStore& store_;
    JsonEventLog& log_;
    StoreLimits limits_;
    std::int64_t epoch_;
    std::uint64_t chainVersion_;
    Listener listener_;
    Timer retryTimer_;
    Timer deferredTimer_;
    Lifetime lifetime_;

    std::uint64_t lastMark_ = 0;
    std::uint64_t lastWaiter_ = 0;
    /** Changed jobs with the marks of their first and newest change since the last commit. */
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> changed_;
    /** Changed jobs in the order of their first change. */
    std::set<std::pair<std::uint64_t, std::string>> order_;
    std::map<std::string, Rejection> rejected_;
    std::vector<RowUpsert> extraWrites_;
    /** By job: the marks that the waiters need to be stored. */
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::shared_ptr<Waiter>>>> waiters_;
    /** Waiters whose jobs are stored, in the order of their registration. */
    std::map<std::uint64_t, std::shared_ptr<Waiter>> readyWaiters_;
    /** The rows in the store of jobs that have not ended. */
    std::map<std::string, Rows> storedRows_;
    /** Jobs whose records are to be removed. */
    std::set<std::string> removals_;

    RowTransaction transaction_;
    std::size_t transactionBytes_ = 0;
    std::map<std::string, RecordChange> committing_;
    std::vector<RowUpsert> committingWrites_;
    bool isCommitting_ = false;
    /** Number of the newest attempt of a commit; the answers of earlier ones say nothing new. */
    std::uint64_t attempt_ = 0;
    std::uint64_t sequence_ = 0;
    /** Limit of a commit's size; halved by a rejection. */
    std::size_t maxCommitSize_;
};

}
