#include "node/backlogpublisher.h"

#include "node/backlogrow.h"
#include "node/storelayout.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Below half of the age up to which instances rely on the row, as passes may be a second apart. */
    constexpr Duration publicationInterval = std::chrono::milliseconds(900);
    /** The row shares the commits of the job records, so it stays well below the limit of one row. */
    constexpr std::size_t maxBacklogBytes = 16384;

}

BacklogPublisher::BacklogPublisher(const NodeContext& context)
    : context_(context)
{
}

std::optional<RowUpsert> BacklogPublisher::rowDue(const PoolState& state, Time now)
{
    if (!context_.settings_.refusesHopelessJobs_ || now < writtenAt_ + publicationInterval)
        return std::nullopt;
    writtenAt_ = now;
    const Backlog backlog = measureBacklog(state, bestRate_, now);
    bestRate_ = backlog.bestRate_;
    if (backlog.waiting_.empty())
        return std::nullopt;
    const std::size_t maxBytes = std::min(maxBacklogBytes, context_.settings_.storeLimits_.maxValueBytes());
    return RowUpsert { summaryTable, backlogKey, encodeBacklog({ backlog, context_.clock_.earliestMs(now) }, maxBytes) };
}

}
