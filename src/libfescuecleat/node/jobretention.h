#pragma once

#include "net/timer.h"
#include "node/jsoneventlog.h"
#include "node/lifetime.h"
#include "node/rowstore.h"
#include "node/storelimits.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescuecleat {

/**
 * Removes the rows of ended jobs once nobody may ask for their states any more, in bounded
 * transactions. A job's intake rows go first, then its record: a record without
 * intake rows starts nothing, while intake rows without a record would run the job again.
 */
class JobRetention {
public:
    struct Listener {
        /** The intake rows are removed: remove the record, then call recordRemoved(). */
        std::function<void(const std::string& job)> removeRecord_;
        /** Nothing is left of the job; `later` are rows of a new job with its id that were held back meanwhile. */
        std::function<void(const std::string& job, const std::vector<StoredRow>& later)> removed_;
        /** Whether rows may be removed now; always, if not set. */
        std::function<bool()> mayWrite_ = {};
    };

    JobRetention(boost::asio::io_context&, RowStore&, JsonEventLog&, const StoreLimits&, Listener);

    /**
     * Notes a row of the intake. Returns false if the row isn't to be handled now: it is one of a removed
     * job, or of a new job with the id of one whose removal isn't complete.
     */
    bool addRow(const std::string& job, const StoredRow&);
    /** Whether the intake has rows of this job. */
    bool hasRows(const std::string& job) const { return rows_.count(job) > 0; }
    /** The job has ended, or is only known to be cancelled, and its rows may be removed at this time. */
    void jobEnded(const std::string& job, Time removableAt);
    void recordRemoved(const std::string& job);

    /** Begins to remove rows; called once all rows of the intake are added. */
    void start();
    /** Number of ended jobs whose rows are kept. */
    std::size_t endedJobs() const { return due_.size() + collectedCount_; }

private:
    /** Versions of a job's rows in the intake; 0 for a row that it doesn't have. */
    struct IntakeRows {
        /** A job that was cancelled before its submission arrived has none. */
        std::uint64_t job_ = 0;
        std::uint64_t cancellation_ = 0;
        Time removableAt_ {};
    };
    /** Jobs of one part whose rows may be removed. */
    struct Collected {
        std::set<std::string> jobs_;
        /** The jobs are removed then, however few they are. */
        Time collectUntil_ {};
        /** The store has refused a removal; other parts are not affected. */
        Time retryAt_ {};
    };
    /** A job whose intake rows are removed. */
    struct Removed {
        /** Rows up to this version are those of the removed job. */
        std::uint64_t lastVersion_ = 0;
        bool isRecordRemoved_ = false;
        std::vector<StoredRow> later_;
    };

    void review();
    void collectDue(Time now);
    /** When the rows of these jobs are to be removed. */
    Time removalTime(const Collected&) const;
    void sendRemoval(const std::string& part);
    void handleRemoved(const std::string& part, const std::vector<std::string>& jobs);
    void handleConflict(const std::string& part, const std::vector<std::string>& jobs, const std::vector<StoredRow>& rows);
    void handleFailure(const std::string& part, const std::vector<std::string>& jobs, const StoreFailure&);
    /** The job's intake rows are removed. */
    void intakeRemoved(const std::string& part, const std::string& job);
    bool isCollected(const std::string& part, const std::string& job) const;
    /** Keeps the rows of a job. */
    void keep(const std::string& job);
    void uncollect(const std::string& part, const std::string& job);
    void forgetOldRemovals(Time now);
    void reviewAfter(Duration);

    RowStore& store_;
    JsonEventLog& log_;
    std::size_t jobsPerRemoval_;
    Listener listener_;
    Timer reviewTimer_;
    Time reviewAt_ = Time::max();
    Lifetime lifetime_;
    bool isStarted_ = false;

    std::map<std::string, IntakeRows> rows_;
    std::set<std::pair<Time, std::string>> due_;
    std::map<std::string, Collected> collected_;
    std::size_t collectedCount_ = 0;
    /** The jobs of the transaction in flight. */
    std::vector<std::string> removing_;
    std::map<std::string, Removed> removed_;
    /** Completed removals in their order, with the time until which stale rows are expected. */
    std::vector<std::pair<Time, std::string>> completed_;
};

}
