#include "scheduler/placementpass.h"

#include "scheduler/gangmachine.h"
#include "scheduler/schedulerlimits.h"

namespace fescuecleat {

void PlacementPass::run()
{
    while (state_.mayStart(now_) && state_.gangsStarting_ < maxGangsStarting) {
        JobLine* line = nextLine();
        if (!line)
            return;
        JobEntry& entry = state_.jobs_.at(line->jobs_.begin()->second);
        if (!tryPlace(entry))
            line->blockedAt_ = state_.workers_.freedVersion();
    }
}

JobLine* PlacementPass::nextLine()
{
    JobLine* best = nullptr;
    for (auto& [jobClass, line] : state_.queue_.lines()) {
        if (line.blockedAt_ == state_.workers_.freedVersion())
            continue;
        if (!best || *line.jobs_.begin() < *best->jobs_.begin())
            best = &line;
    }
    return best;
}

bool PlacementPass::tryPlace(JobEntry& entry)
{
    if (entry.strays_ > 0)
        return false;
    const auto placement = finder_.findFree(entry, state_.workers_);
    if (!placement)
        return false;
    GangMachine(state_, now_).place(entry, *placement);
    return true;
}

}
