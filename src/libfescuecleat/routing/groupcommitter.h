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
 * Joins conditional writes of single rows into few transactions, as the table
 * takes only some hundred commits a second. Thread-safe.
 */
class GroupCommitter {
public:
    /** `writeIdPrefix` is unique for ever, for example instance and incarnation. */
    GroupCommitter(Table&, std::string writeIdPrefix);
    ~GroupCommitter();
    GroupCommitter(const GroupCommitter&) = delete;
    GroupCommitter& operator=(const GroupCommitter&) = delete;

    /** Blocks until the write is decided. Errors: Unavailable, OutcomeUnknown. */
    Result<CommitOutcome> write(ConditionalWrite, Time deadline);

    /** Writes in the background; tried again until the deadline. */
    void writeLater(ConditionalWrite, Time deadline);

    /** Writes that are not decided yet. */
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
    void settle(const std::vector<EntryPointer>&, const Result<CommitOutcome>&);
    void settleConflict(const std::vector<EntryPointer>&, const Conflicted&);
    bool tryAgain(const EntryPointer&);

    Table& table_;
    std::string writeIdPrefix_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::condition_variable settled_;
    std::deque<EntryPointer> queue_;
    std::uint64_t commits_ = 0;
    std::size_t inFlight_ = 0;
    bool isStopping_ = false;
    std::thread thread_;
};

}
