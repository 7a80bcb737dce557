#pragma once

#include "platform/objectstore.h"
#include "state/snapshot.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** Stores snapshots in the object store under names that sort by age. Thread-safe. */
class SnapshotStore {
public:
    /** The object store must outlive this object. */
    explicit SnapshotStore(ObjectStore& objects)
        : objects_(objects)
    {
    }

    /** Writes a snapshot, then deletes all but the two newest. Errors: Unavailable, OutcomeUnknown. */
    Result<void> save(const Snapshot&, Time deadline);

    /** The newest readable snapshot; empty if there is none. Errors: Unavailable. */
    Result<std::optional<Snapshot>> loadNewest(const DataCentreId&, Time deadline);

private:
    Result<std::vector<std::string>> namesNewestFirst(const DataCentreId&, Time deadline);

    ObjectStore& objects_;
};

/** Object name of a snapshot: zero-padded epoch and revision, so that names sort by age. */
std::string snapshotName(const Snapshot&);

}
