#include "pool/jobrecordrows.h"

#include <algorithm>
#include <cstdio>

namespace fescuecleat {

namespace {

    /** Sorts a job's further rows directly after its first one. */
    constexpr char separator = '.';
    /** Space for one task: its entry, placement and crashes, with identifiers of usual lengths. */
    constexpr std::size_t bytesPerTask = 512;

    /** The division is part of the key, so rows of different divisions never replace each other. */
    std::string rowKey(const std::string& job, std::int64_t tasksPerRow, std::int64_t row)
    {
        if (row == 0)
            return job;
        char suffix[48];
        std::snprintf(suffix, sizeof(suffix), "%c%lld%c%012lld", separator, static_cast<long long>(tasksPerRow), separator, static_cast<long long>(row));
        return job + suffix;
    }

    /** A gang's members may belong to different rows; each of these has the gang's entry with its own members. */
    UnitRecord& unitIn(std::vector<UnitRecord>& units, const UnitRecord& unit)
    {
        if (units.empty() || units.back().occurrence_ != unit.occurrence_ || units.back().step_ != unit.step_ || units.back().index_ != unit.index_)
            units.push_back({ unit.occurrence_, unit.step_, unit.index_, unit.lastRun_, unit.failures_, unit.isDone_, unit.checkpoint_, {}, {}, unit.lastFailedRun_ });
        return units.back();
    }

}

JobRecordRows::JobRecordRows(const std::string& job, const PoolJobRecord& record, const TaskNumbering& numbering, std::size_t maxBytes)
{
    std::int64_t tasksPerRow = std::max<std::int64_t>(1, static_cast<std::int64_t>(maxBytes / bytesPerTask));
    while (divide(job, record, numbering, tasksPerRow) > maxBytes && tasksPerRow > 1)
        tasksPerRow /= 2;
}

std::size_t JobRecordRows::divide(const std::string& job, const PoolJobRecord& record, const TaskNumbering& numbering, std::int64_t tasksPerRow)
{
    struct Tasks {
        std::vector<UnitRecord> units_;
        PoolJobRecord done_;
    };
    std::map<std::int64_t, Tasks> rows;
    for (const UnitRecord& unit : record.units_) {
        const auto rowOf = [&](int index) { return numbering.number(unit.occurrence_, unit.step_, index) / tasksPerRow; };
        unitIn(rows[rowOf(unit.index_)].units_, unit);
        for (const PlacementRecord& placement : unit.placements_)
            unitIn(rows[rowOf(placement.index_)].units_, unit).placements_.push_back(placement);
        for (const CrashRecord& crash : unit.crashes_)
            unitIn(rows[rowOf(crash.index_)].units_, unit).crashes_.push_back(crash);
    }
    PoolJobRecord& first = rows[0].done_;
    for (const TaskRange& range : record.done_) {
        // Rows that are done altogether are noted in the first one and need none of their own.
        const std::int64_t firstRow = (range.first_ + tasksPerRow - 1) / tasksPerRow;
        const std::int64_t endRow = (range.last_ + 1) / tasksPerRow;
        if (firstRow >= endRow) {
            for (std::int64_t at = range.first_; at <= range.last_;) {
                const std::int64_t last = std::min(range.last_, (at / tasksPerRow + 1) * tasksPerRow - 1);
                rows[at / tasksPerRow].done_.addDone({ at, last });
                at = last + 1;
            }
            continue;
        }
        if (range.first_ < firstRow * tasksPerRow)
            rows[firstRow - 1].done_.addDone({ range.first_, firstRow * tasksPerRow - 1 });
        first.addDone({ firstRow * tasksPerRow, endRow * tasksPerRow - 1 });
        if (range.last_ >= endRow * tasksPerRow)
            rows[endRow].done_.addDone({ endRow * tasksPerRow, range.last_ });
    }
    values_.clear();
    std::size_t largest = 0;
    for (auto& [row, tasks] : rows) {
        std::string value = row == 0 ? encodePoolJobRecord({ record.state_, std::move(tasks.units_), std::move(tasks.done_.done_), record.endedMs_ }) : encodePoolJobTasks(tasks.units_, tasks.done_.done_);
        largest = std::max(largest, value.size());
        values_[rowKey(job, tasksPerRow, row)] = std::move(value);
    }
    return largest;
}

std::string JobRecordRows::jobOf(const std::string& key)
{
    return key.substr(0, key.find(separator));
}

bool JobRecordRows::isFirst(const std::string& key)
{
    return key.find(separator) == std::string::npos;
}

bool JobRecordRows::decode(const std::string& key, const std::string& value, PoolJobRecord& record)
{
    return isFirst(key) ? decodePoolJobRecord(value, record) : decodePoolJobTasks(value, record);
}

}
