#pragma once

#include "pool/pooljobrecord.h"
#include "pool/tasknumbering.h"

#include <cstddef>
#include <map>
#include <string>

namespace fescuecleat {

/**
 * The rows of a job's record, by key. The first row has the state, the ranges of tasks that
 * are done, and the tasks with the lowest numbers; each further row has a fixed range of the tasks
 * that are left. So no row grows with the job, and a change rewrites only the rows that it concerns.
 */
class JobRecordRows {
public:
    /** Divides the record so that each row's value has at most `maxBytes`, if any division does. */
    JobRecordRows(const std::string& job, const PoolJobRecord&, const TaskNumbering&, std::size_t maxBytes);

    const std::map<std::string, std::string>& values() const { return values_; }

    /** The job that a row belongs to. */
    static std::string jobOf(const std::string& key);
    /** Whether it is the first row of its job. */
    static bool isFirst(const std::string& key);
    /** Adds a row to the record of its job; returns false if its value is malformed. */
    static bool decode(const std::string& key, const std::string& value, PoolJobRecord& record);

private:
    /** Returns the size of the largest row. */
    std::size_t divide(const std::string& job, const PoolJobRecord&, const TaskNumbering&, std::int64_t tasksPerRow);

    std::map<std::string, std::string> values_;
};

}
