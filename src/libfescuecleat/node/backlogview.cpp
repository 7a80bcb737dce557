#include "node/backlogview.h"

#include "node/storelayout.h"

namespace fescuecleat {

namespace {

    constexpr Duration pollWait = std::chrono::milliseconds(2000);
    /** Nobody is refused on a view that is older, by the store's clock. */
    constexpr std::int64_t maxViewAgeMs = 2000;

}

BacklogView::BacklogView(const NodeContext& context)
    : context_(context)
    , follower_(context.loop_, context.store_, context.clock_, context.log_, { summaryTable, { schedulerPart } }, pollWait,
          { [this](const std::vector<StoredRow>& rows) {
               published_.reset();
               for (const StoredRow& row : rows)
                   applyRow(row);
           },
              [this](const StoredRow& row) { applyRow(row); }, nullptr })
{
}

void BacklogView::start()
{
    if (context_.settings_.refusesHopelessJobs_)
        follower_.start();
}

void BacklogView::applyRow(const StoredRow& row)
{
    if (row.key_ != backlogKey)
        return;
    published_ = row.isDeleted_ ? std::nullopt : decodeBacklog(row.value_);
    if (!row.isDeleted_ && !published_)
        context_.log_.write("backlog.unreadable", { { "version", row.version_ } });
}

std::optional<AdmissionRefusal> BacklogView::refusal(const AdmissionRequest& request, Time now) const
{
    if (!context_.settings_.refusesHopelessJobs_ || !published_ || !context_.clock_.isKnown())
        return std::nullopt;
    const std::int64_t ageMs = context_.clock_.latestMs(now) - published_->atMs_;
    if (ageMs < 0 || ageMs > maxViewAgeMs)
        return std::nullopt;
    return refuseHopeless(request, published_->backlog_, std::chrono::milliseconds(ageMs));
}

}
