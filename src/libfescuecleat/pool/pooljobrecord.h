#pragma once

#include "pool/intervalset.h"
#include "pool/pooljobstate.h"
#include "pool/taskcrashes.h"
#include "pool/workerinfo.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat {

/** Placement of one task of a unit's newest run. */
struct PlacementRecord {
    int index_ = 0;
    WorkerKey worker_;
    /** The next worker on it shows that this one has ended. */
    std::string machine_;
};

/** Crashes of workers under one task. */
struct CrashRecord {
    int index_ = 0;
    TaskCrashes crashes_;
};

/** Stored progress of a unit (a gang or a single task) that has been started at least once. */
struct UnitRecord {
    int occurrence_ = 0;
    int step_ = 0;
    /** Index of the task; -1 for a gang. */
    int index_ = -1;
    int lastRun_ = 0;
    int failures_ = 0;
    bool isDone_ = false;
    std::string checkpoint_;
    /** Tasks of the newest run that have not ended. */
    std::vector<PlacementRecord> placements_;
    std::vector<CrashRecord> crashes_;
    /** The last run that counts as failed; members of a gang that fail in the same run count once. */
    int lastFailedRun_ = 0;
};

/** Consecutive tasks of a job by their numbers (TaskNumbering). */
using TaskRange = Interval;

/** Stored progress of a job. Its size is bounded by the tasks that are not done, not by those that ever ran. */
struct PoolJobRecord {
    PoolJobState state_ = PoolJobState::Queued;
    /** The started units that are not done, and those that are but have tasks that have not ended. */
    std::vector<UnitRecord> units_;
    /** The tasks that are done, in order. Empty once the job has ended. */
    std::vector<TaskRange> done_ = {};
    /** When the job ended, by the store's clock; 0 if it hasn't, or in records of earlier versions. */
    std::int64_t endedMs_ = 0;

    /** Adds done tasks that come after those added so far. */
    void addDone(TaskRange);
};

/** Encodes a record into one row. Records of any size are divided into several rows by JobRecordRows. */
std::string encodePoolJobRecord(const PoolJobRecord&);
/** Encodes only the tasks, for the further rows of a record. */
std::string encodePoolJobTasks(const std::vector<UnitRecord>&, const std::vector<TaskRange>& done);
/** Returns false if the text is not a valid record; `record` may then be partly filled. */
bool decodePoolJobRecord(const std::string& text, PoolJobRecord& record);
/** Adds the tasks of a further row to the record; returns false if the text is malformed. */
bool decodePoolJobTasks(const std::string& text, PoolJobRecord& record);

}
