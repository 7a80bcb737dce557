#pragma once

#include "platform/table.h"
#include "platform/writeids.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fescuecleat {

/** Limits of a group commit. */
struct GroupCommitLimits {
    /** Transactions in one commit. */
    std::size_t transactions_ = 64;
    /** Concurrent commits, each on a thread of its own. */
    std::size_t commits_ = 4;
};

/** Counters since the start. */
struct GroupCommitCounts {
    std::uint64_t transactions_ = 0;
    std::uint64_t commits_ = 0;
    /** Groups that conflicted and were committed again one transaction at a time. */
    std::uint64_t split_ = 0;
};

/**
 * Group commit: merges transactions of several threads into one commit.
 * Transactions queue up while commits are in progress, so groups grow with the
 * load and an idle table adds no delay. Transactions that depend on each other
 * never share a group. If a group conflicts, nothing was written and its
 * transactions are committed one by one, so that each caller gets the outcome of
 * its own. If the outcome of a group is unknown, it is unknown to each caller;
 * repeating one of the write ids repeats the whole group. Control writes bypass
 * the queue. Thread-safe.
 */
class GroupCommitTable : public Table {
public:
    /** Table and write ids must outlive this object. */
    GroupCommitTable(Table&, WriteIds&, const GroupCommitLimits& = {});
    /** All calls must have returned. */
    ~GroupCommitTable() override;
    GroupCommitTable(const GroupCommitTable&) = delete;
    GroupCommitTable& operator=(const GroupCommitTable&) = delete;

    Result<CommitOutcome> commit(const Transaction&, Time deadline) override;
    Result<Row> read(const std::string& key, Time deadline) override { return table_.read(key, deadline); }
    Result<RowScan> scan(const std::string& prefix, Time deadline) override { return table_.scan(prefix, deadline); }

    GroupCommitCounts counts() const;

private:
    struct PendingCommit {
        const Transaction* transaction_ = nullptr;
        Time deadline_;
        Result<CommitOutcome> outcome_ = CommitOutcome {};
        bool isDone_ = false;
    };
    using Group = std::vector<PendingCommit*>;

    void run();
    Group takeGroup(Time now);
    void commitGroup(const Group&);
    void rememberUnresolved(const Group&, const std::shared_ptr<const Transaction>& merged);
    std::shared_ptr<const Transaction> unresolvedGroup(const std::string& writeId) const;
    void finish(const Group&, const Result<CommitOutcome>&);

    Table& table_;
    WriteIds& writeIds_;
    GroupCommitLimits limits_;

    mutable std::mutex mutex_;
    std::condition_variable pendingAdded_;
    std::condition_variable groupFinished_;
    std::deque<PendingCommit*> pending_;
    bool isStopping_ = false;
    GroupCommitCounts counts_;
    /** Groups with unknown outcome, by the write ids of their transactions. */
    std::map<std::string, std::shared_ptr<const Transaction>> unresolved_;
    /** Write ids of unresolved_, oldest first. */
    std::deque<std::string> unresolvedOrder_;
    std::vector<std::thread> threads_;
};

}
