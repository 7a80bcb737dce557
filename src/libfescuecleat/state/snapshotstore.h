#pragma once

#include "platform/objectstore.h"
#include "state/snapshot.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** Snapshots in the object store, named so that the newest sorts last. Thread-safe. */
class SnapshotStore {
public:
    /** The object store outlives this. */
    explicit SnapshotStore(ObjectStore& objects)
        : objects_(objects)
    {
    }

    /** Writes a snapshot, then removes all but the newest two. Errors: Unavailable, OutcomeUnknown. */
    Result<void> save(const Snapshot&, Time deadline);

    /** The newest snapshot that can be read; none if there is none. Errors: Unavailable. */
    Result<std::optional<Snapshot>> loadNewest(const DataCentreId&, Time deadline);

private:
    Result<std::vector<std::string>> namesNewestFirst(const DataCentreId&, Time deadline);

    ObjectStore& objects_;
};

/** Name of a snapshot's object: epoch, then revision, in digits of equal length. */
std::string snapshotName(const Snapshot&);

}
