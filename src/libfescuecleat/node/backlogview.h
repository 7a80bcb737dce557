#pragma once

#include "node/admission.h"
#include "node/backlogrow.h"
#include "node/nodecontext.h"
#include "node/tablefollower.h"

#include <optional>

namespace fescuecleat {

/** Follows the backlog that the lease holder publishes, and refuses jobs by it if the settings say so. */
class BacklogView {
public:
    explicit BacklogView(const NodeContext&);

    /** Starts to follow; does nothing unless refusals are enabled. */
    void start();
    /** The refusal of a job; nothing if it is accepted, or if the view is missing or too old. */
    std::optional<AdmissionRefusal> refusal(const AdmissionRequest&, Time now) const;
    /** Applies a row of the table of summaries. */
    void applyRow(const StoredRow&);

private:
    NodeContext context_;
    TableFollower follower_;
    std::optional<PublishedBacklog> published_;
};

}
