#pragma once

#include "base/time.h"
#include "scheduler/taskplace.h"

namespace fescuecleat {

/** Why a place is kept for a job. */
enum class ClaimKind {
    /** Borrowers leave cells that the job's organisation is guaranteed. */
    Reclaim,
    /** Borrowers make way for urgent work. */
    Urgent,
    /** The job has waited for long: what becomes free there is kept for it. */
    Aged,
    /** Small work is moved so that the cell becomes whole. */
    Defragment,
};

/** Stable name for dumps and explanations. */
const char* claimKindName(ClaimKind);

/** A place that is kept for a waiting job until it is free. */
struct Claim {
    ClaimKind kind_ = ClaimKind::Reclaim;
    Placement placement_;
    /** When borrowers that are still there are stopped; Time::max() once they were. */
    Time stopVictimsAt_ = Time::max();
    /** When the claim is given up, since what was stopped did not end. */
    Time expiresAt_ = Time::max();
};

}
