#include "scheduler/reservation.h"

namespace fescuecleat {

const char* reservationKindName(ReservationKind kind)
{
    switch (kind) {
    case ReservationKind::Reclaim:
        return "reclaim";
    case ReservationKind::Urgent:
        return "urgent";
    case ReservationKind::Aged:
        return "aged";
    case ReservationKind::Defragment:
        return "defragment";
    }
    return "reclaim";
}

}
