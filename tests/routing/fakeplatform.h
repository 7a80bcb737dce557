#pragma once

#include "platform/objectstore.h"
#include "platform/table.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace fescuecleat {

/** Fault that a fake table injects. */
enum class TableFault {
    None,
    /** Commits and reads fail without effect. */
    Down,
    /** Commits take effect but their answer is lost. */
    LoseAnswer,
};

/** In-memory table. */
class FakeTable : public Table {
public:
    Result<CommitOutcome> commit(const Transaction& transaction, Time) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (fault_ == TableFault::Down)
            return fescuecleat::failure(ErrorKind::Unavailable, "the table is down", "wait");
        ++commits_;
        Conflicted conflicted;
        for (const RowCondition& condition : transaction.conditions_) {
            const Row row = rowOf(condition.key_);
            if (row.version_ != condition.version_)
                conflicted.current_.push_back(row);
        }
        if (!conflicted.current_.empty())
            return CommitOutcome(conflicted);
        ++revision_;
        for (const RowWrite& write : transaction.writes_) {
            rows_.erase(write.key_);
            if (write.value_)
                rows_[write.key_] = { write.key_, *write.value_, revision_ };
        }
        if (fault_ == TableFault::LoseAnswer)
            return fescuecleat::failure(ErrorKind::OutcomeUnknown, "the answer was lost", "read back");
        return CommitOutcome(Committed { revision_ });
    }

    Result<Row> read(const std::string& key, Time) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (fault_ == TableFault::Down)
            return fescuecleat::failure(ErrorKind::Unavailable, "the table is down", "wait");
        return rowOf(key);
    }

    Result<RowScan> scan(const std::string&, Time) override { return RowScan {}; }

    void setFault(TableFault fault)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        fault_ = fault;
    }

    std::size_t rowCount() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return rows_.size();
    }

private:
    Row rowOf(const std::string& key) const
    {
        const auto found = rows_.find(key);
        return found == rows_.end() ? Row { key, "", 0 } : found->second;
    }

    mutable std::mutex mutex_;
    std::map<std::string, Row> rows_;
    std::uint64_t revision_ = 0;
    int commits_ = 0;
    TableFault fault_ = TableFault::None;
};

/** In-memory object store. */
class FakeObjectStore : public ObjectStore {
public:
    Result<void> put(const std::string& name, const std::string& content, Time) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        objects_[name] = content;
        return {};
    }

    Result<std::string> get(const std::string& name, Time) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = objects_.find(name);
        if (found == objects_.end())
            return failure(ErrorKind::NotFound, "no such object", "check the name");
        return found->second;
    }

    Result<void> remove(const std::string& name, Time) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        objects_.erase(name);
        return {};
    }

    Result<std::vector<std::string>> list(const std::string&, Time) override { return std::vector<std::string> {}; }

private:
    std::mutex mutex_;
    std::map<std::string, std::string> objects_;
};

}
