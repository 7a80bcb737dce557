#include "pool/placementexplanation.h"

#include <numeric>

namespace fescuecleat {

const char* waitCauseName(WaitCause cause)
{
    switch (cause) {
    case WaitCause::None:
        return "none";
    case WaitCause::NotDue:
        return "not_due";
    case WaitCause::NoSuitableWorker:
        return "no_suitable_worker";
    case WaitCause::TaskTooLarge:
        return "task_too_large";
    case WaitCause::RoomIsBeingFreed:
        return "room_is_being_freed";
    case WaitCause::GangDoesNotFit:
        return "gang_does_not_fit";
    case WaitCause::NoRoom:
        return "no_room";
    case WaitCause::RoomIsKept:
        return "room_is_kept";
    }
    return "unknown";
}

int StepExplanation::startedTasks() const
{
    return std::accumulate(starts_.begin(), starts_.end(), 0, [](int sum, const auto& entry) { return sum + entry.second; });
}

}
