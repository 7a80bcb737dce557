#pragma once

#include "base/time.h"
#include "node/nodecontext.h"
#include "pool/poolstate.h"

#include <optional>

namespace fescuecleat {

/** Prepares the lease holder's row with the backlog, about once a second while work waits. */
class BacklogPublisher {
public:
    explicit BacklogPublisher(const NodeContext&);

    /** The row to write; nothing if it isn't due or nothing waits. */
    std::optional<RowUpsert> rowDue(const PoolState&, Time now);

private:
    NodeContext context_;
    Time writtenAt_ {};
    /** The highest rate that was measured. */
    double bestRate_ = 1;
};

}
