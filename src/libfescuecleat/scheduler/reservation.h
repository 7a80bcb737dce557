#pragma once

#include "base/time.h"
#include "scheduler/taskplace.h"

namespace fescuecleat {

/** Why a place is kept for a job. */
enum class ReservationKind {
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
const char* reservationKindName(ReservationKind);

/** A place that is kept for a waiting job until it is free. */
struct Reservation {
    ReservationKind kind_ = ReservationKind::Reclaim;
    Placement placement_;
    /** When borrowers that are still there are stopped; Time::max() once they were. */
    Time stopVictimsAt_ = Time::max();
    /** When the reservation is given up, since what was stopped did not end. */
    Time expiresAt_ = Time::max();
};

}
