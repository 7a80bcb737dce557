#include "soakshrinker.h"

#include <utility>

namespace fescuecleat::soak {

SoakShrinker::SoakShrinker(Fails fails, int maxRuns)
    : fails_(std::move(fails))
    , maxRuns_(maxRuns)
{
}

SoakSchedule SoakShrinker::shrink(SoakSchedule schedule)
{
    bool isShorter = true;
    while (isShorter && schedule.actions_.size() > 1) {
        const std::size_t size = schedule.actions_.size();
        isShorter = tryWithout(schedule, size / 2, size) || tryWithout(schedule, 0, size / 2);
    }
    for (std::size_t position = schedule.actions_.size(); position > 0; --position)
        tryWithout(schedule, position - 1, position);
    return schedule;
}

bool SoakShrinker::tryWithout(SoakSchedule& schedule, std::size_t first, std::size_t last)
{
    if (runs_ >= maxRuns_)
        return false;
    ++runs_;
    SoakSchedule shorter = schedule;
    shorter.actions_.erase(shorter.actions_.begin() + static_cast<std::ptrdiff_t>(first), shorter.actions_.begin() + static_cast<std::ptrdiff_t>(last));
    if (!fails_(shorter))
        return false;
    schedule = std::move(shorter);
    return true;
}

}
