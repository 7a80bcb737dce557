#pragma once

#include "soakschedule.h"

#include <functional>

namespace fescuecleat::soak {

/** Looks for a shorter schedule that still fails, within a bounded number of runs. */
class SoakShrinker {
public:
    /** Runs a schedule and returns whether it fails in the way that matters. */
    using Fails = std::function<bool(const SoakSchedule&)>;

    SoakShrinker(Fails, int maxRuns);

    /** Tries halves, then single actions left out. Returns the shortest failing schedule that was found. */
    SoakSchedule shrink(SoakSchedule);
    int runs() const { return runs_; }

private:
    /** Whether the schedule without the actions from `first` to before `last` fails; it replaces the schedule then. */
    bool tryWithout(SoakSchedule&, std::size_t first, std::size_t last);

    Fails fails_;
    int maxRuns_;
    int runs_ = 0;
};

}
