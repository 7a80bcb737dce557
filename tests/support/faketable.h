#pragma once

#include "platform/table.h"

#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace fescuecleat {

/**
 * In-memory table with injected faults, for tests. Like the platform, it records
 * the outcome of each write id, including conflicts.
 */
class FakeTable : public Table {
public:
    /** Makes every call fail before it has any effect. */
    void setDown(bool isDown) { setFault(&FakeTable::isDown_, isDown); }
    /** Makes the next `count` commits take effect and report an unknown outcome. */
    void loseAnswers(int count) { setFault(&FakeTable::lostAnswers_, count); }
    /** Delays every call. */
    void setDelay(Duration delay) { setFault(&FakeTable::delay_, delay); }

    Result<CommitOutcome> commit(const Transaction& transaction, Time) override
    {
        delayCall();
        const std::lock_guard<std::mutex> lock(mutex_);
        if (isDown_)
            return failure(ErrorKind::Unavailable, "the table is down", "call setDown(false)");
        ++commits_;
        const CommitOutcome outcome = apply(transaction);
        if (lostAnswers_ > 0) {
            --lostAnswers_;
            return failure(ErrorKind::OutcomeUnknown, "the answer was lost", "retry with the same write id");
        }
        return outcome;
    }

    Result<Row> read(const std::string& key, Time) override
    {
        delayCall();
        const std::lock_guard<std::mutex> lock(mutex_);
        if (isDown_)
            return failure(ErrorKind::Unavailable, "the table is down", "call setDown(false)");
        return rowAt(key);
    }

    Result<RowScan> scan(const std::string& prefix, Time) override
    {
        delayCall();
        const std::lock_guard<std::mutex> lock(mutex_);
        if (isDown_)
            return failure(ErrorKind::Unavailable, "the table is down", "call setDown(false)");
        RowScan scan;
        scan.revision_ = revision_;
        for (auto at = rows_.lower_bound(prefix); at != rows_.end() && at->first.compare(0, prefix.size(), prefix) == 0; ++at)
            scan.rows_.push_back(at->second);
        return scan;
    }

    /** Returns all rows. */
    std::map<std::string, Row> rows() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return rows_;
    }
    int commits() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return commits_;
    }
    std::uint64_t rowsWritten() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return rowsWritten_;
    }

private:
    template <typename Value>
    void setFault(Value FakeTable::*fault, Value value)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        this->*fault = value;
    }

    void delayCall()
    {
        Duration delay;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            delay = delay_;
        }
        if (delay > Duration::zero())
            std::this_thread::sleep_for(delay);
    }

    Row rowAt(const std::string& key) const
    {
        const auto at = rows_.find(key);
        return at == rows_.end() ? Row { key, {}, 0 } : at->second;
    }

    CommitOutcome apply(const Transaction& transaction)
    {
        const auto recorded = outcomes_.find(transaction.writeId_);
        if (recorded != outcomes_.end())
            return recorded->second;
        Conflicted conflicted;
        for (const RowCondition& condition : transaction.conditions_) {
            if (rowAt(condition.key_).version_ != condition.version_)
                conflicted.current_.push_back(rowAt(condition.key_));
        }
        if (!conflicted.current_.empty())
            return outcomes_[transaction.writeId_] = conflicted;
        ++revision_;
        for (const RowWrite& write : transaction.writes_) {
            ++rowsWritten_;
            if (write.value_)
                rows_[write.key_] = { write.key_, *write.value_, revision_ };
            else
                rows_.erase(write.key_);
        }
        return outcomes_[transaction.writeId_] = Committed { revision_ };
    }

    mutable std::mutex mutex_;
    bool isDown_ = false;
    int lostAnswers_ = 0;
    Duration delay_ { 0 };
    std::map<std::string, Row> rows_;
    std::map<std::string, CommitOutcome> outcomes_;
    std::uint64_t revision_ = 0;
    std::uint64_t rowsWritten_ = 0;
    int commits_ = 0;
};

}
