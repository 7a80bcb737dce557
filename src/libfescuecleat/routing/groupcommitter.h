#pragma once

#include "platform/table.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace fescuecleat {

/** A conditional write of one row. */
struct ConditionalWrite {
    RowCondition condition_;
    RowWrite write_;
};

/**
 * Group commit: combines conditional writes of single rows into few transactions,
 * because the table handles only a few hundred commits per second. Thread-safe.
 */
class GroupCommitter {
public:
    /** `writeIdPrefix` must never be used again, for example instance and incarnation. */
    GroupCommitter(Table&, std::string writeIdPrefix);
    ~GroupCommitter();
    GroupCommitter(const GroupCommitter&) = delete;
    GroupCommitter& operator=(const GroupCommitter&) = delete;

    /** Blocks until the write is committed or fails. Errors: Unavailable, OutcomeUnknown. */
    Result<CommitOutcome> write(ConditionalWrite, Time deadline);

    /** Writes in the background and retries until the deadline. */
    void writeInBackground(ConditionalWrite, Time deadline);

    /** Number of writes that are neither committed nor failed yet. */
    std::size_t pending() const;

private:
    struct Entry {
        ConditionalWrite write_;
        Time deadline_;
        bool isBackground_ = false;
        std::optional<Result<CommitOutcome>> outcome_;
    };
    using EntryPointer = std::shared_ptr<Entry>;

    void run();
    std::vector<EntryPointer> takeBatch(std::unique_lock<std::mutex>&);
    void commitBatch(const std::vector<EntryPointer>&);
    void completeBatch(const std::vector<EntryPointer>&, const Result<CommitOutcome>&);
    void completeConflict(const std::vector<EntryPointer>&, const Conflicted&);
    bool requeueUnlessExpired(const EntryPointer&);

    Table& table_;
    std::string writeIdPrefix_;
    mutable std::mutex mutex_;
    std::condition_variable queueChanged_;
    std::condition_variable completed_;
    std::deque<EntryPointer> queue_;
    std::uint64_t commitCount_ = 0;
    std::size_t inFlight_ = 0;
    bool isStopping_ = false;
    std::thread thread_;
};

}
