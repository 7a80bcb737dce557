#include "standins/platform/tablemodel.h"

namespace fescuecleat::standins {

std::variant<Committed, Conflicted> TableModel::commit(const Transaction& transaction)
{
    const auto known = committedRevisions_.find(transaction.writeId_);
    if (known != committedRevisions_.end())
        return Committed { known->second };

    Conflicted conflicted;
    for (const RowCondition& condition : transaction.conditions_) {
        Row row = read(condition.key_);
        if (row.version_ != condition.version_)
            conflicted.current_.push_back(std::move(row));
    }
    if (!conflicted.current_.empty())
        return conflicted;

    ++revision_;
    for (const RowWrite& write : transaction.writes_) {
        if (write.value_)
            rows_[write.key_] = { *write.value_, revision_ };
        else
            rows_.erase(write.key_);
    }
    committedRevisions_[transaction.writeId_] = revision_;
    return Committed { revision_ };
}

Row TableModel::read(const std::string& key) const
{
    const auto found = rows_.find(key);
    if (found == rows_.end())
        return { key, "", 0 };
    return { key, found->second.value_, found->second.version_ };
}

std::vector<Row> TableModel::scan(const std::string& prefix) const
{
    std::vector<Row> rows;
    for (auto row = rows_.lower_bound(prefix); row != rows_.end() && row->first.compare(0, prefix.size(), prefix) == 0; ++row)
        rows.push_back({ row->first, row->second.value_, row->second.version_ });
    return rows;
}

std::optional<std::uint64_t> TableModel::committedRevision(const std::string& writeId) const
{
    const auto found = committedRevisions_.find(writeId);
    if (found == committedRevisions_.end())
        return std::nullopt;
    return found->second;
}

}
