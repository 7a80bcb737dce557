#pragma once

#include "pool/pooljobstate.h"
#include "pool/workerinfo.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Where a task of the newest run was placed. */
struct PlacementRecord {
    int index_ = 0;
    WorkerKey worker_;
};

/** What is stored of a unit of work, a gang or a single task, that has ever been started. */
struct UnitRecord {
    int occurrence_ = 0;
    int step_ = 0;
    /** Index of the task; -1 for a gang. */
    int index_ = -1;
    int lastRun_ = 0;
    int failures_ = 0;
    bool isDone_ = false;
    std::string checkpoint_;
    /** The tasks of the newest run that have not ended, and where they were placed. */
    std::vector<PlacementRecord> placements_;
};

/** What is stored of a job's progress, one row a job. */
struct PoolJobRecord {
    PoolJobState state_ = PoolJobState::Queued;
    std::vector<UnitRecord> units_;
};

std::string encodePoolJobRecord(const PoolJobRecord&);
/** Nothing if the text is not a record. */
bool decodePoolJobRecord(const std::string& text, PoolJobRecord& record);

}
