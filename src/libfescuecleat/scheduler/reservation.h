#pragma once

#include "base/time.h"
#include "scheduler/taskplace.h"

namespace fescuecleat {

/** Why capacity is reserved for a job. */
enum class ReservationKind {
    /** Preempt borrowers in guaranteed cells of the job's organisation. */
    Reclaim,
    /** Preempt borrowers for an urgent job. */
    Urgent,
    /** The job exceeded the ageing time: capacity freed in the placement is kept for it. */
    Aged,
    /** Move small jobs to free a contiguous cell. */
    Defragment,
};

/** Name of a kind in state dumps, explanations and preemption reasons. */
const char* reservationKindName(ReservationKind);

/** A placement reserved for a queued job until all of it is free. */
struct Reservation {
    ReservationKind kind_ = ReservationKind::Reclaim;
    Placement placement_;
    /** When the remaining victims are preempted; Time::max() once that is done. */
    Time stopVictimsAt_ = Time::max();
    /** When the reservation expires if the victims have not ended; Time::max() if never. */
    Time expiresAt_ = Time::max();
};

}
