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

/** How many transactions share one commit. */
struct GroupCommitLimits {
    std::size_t transactions_ = 64;
    /** Commits in progress at once. */
    std::size_t commits_ = 4;
};

/** Counters of a group commit since its start. */
struct GroupCommitCounts {
    std::uint64_t transactions_ = 0;
    std::uint64_t commits_ = 0;
    /** Groups that met a conflict and were tried again one by one. */
    std::uint64_t split_ = 0;
};

/**
 * Joins transactions of many threads into one commit. While commits are in
 * progress new transactions gather, so groups grow with the load and an idle
 * table adds no delay. Transactions whose order matters never share a
 * group. A group that conflicts changed nothing and is split, so every caller
 * gets the outcome of its own transaction; a group with an unknown outcome is
 * unknown to each, and repeating one's write id settles the group's. Control writes don't wait in line. Thread-safe.
 */
class GroupCommitTable : public Table {
public:
    /** Table and write ids outlive this. */
    GroupCommitTable(Table&, WriteIds&, const GroupCommitLimits& = {});
    /** Every call must have returned. */
    ~GroupCommitTable() override;
    GroupCommitTable(const GroupCommitTable&) = delete;
    GroupCommitTable& operator=(const GroupCommitTable&) = delete;

    Result<CommitOutcome> commit(const Transaction&, Time deadline) override;
    Result<Row> read(const std::string& key, Time deadline) override { return table_.read(key, deadline); }
    Result<RowScan> scan(const std::string& prefix, Time deadline) override { return table_.scan(prefix, deadline); }

    GroupCommitCounts counts() const;

private:
    struct Waiting {
        const Transaction* transaction_ = nullptr;
        Time deadline_;
        Result<CommitOutcome> outcome_ = CommitOutcome {};
        bool isDone_ = false;
    };
    using Group = std::vector<Waiting*>;

    void run();
    Group takeGroup(Time now);
    void commitGroup(const Group&);
    void remember(const Group&, const std::shared_ptr<const Transaction>& joined);
    std::shared_ptr<const Transaction> unsettledGroup(const std::string& writeId) const;
    void finish(const Group&, const Result<CommitOutcome>&);

    Table& table_;
    WriteIds& writeIds_;
    GroupCommitLimits limits_;

    mutable std::mutex mutex_;
    std::condition_variable arrived_;
    std::condition_variable finished_;
    std::deque<Waiting*> waiting_;
    bool isStopping_ = false;
    GroupCommitCounts counts_;
    /** Groups whose outcome is unknown, by the write ids that they carried. */
    std::map<std::string, std::shared_ptr<const Transaction>> unsettled_;
    std::deque<std::string> unsettledOrder_;
    std::vector<std::thread> threads_;
};

}
