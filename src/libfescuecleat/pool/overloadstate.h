#pragma once

#include "base/time.h"

#include <cstdint>
#include <set>
#include <string>

namespace fescuecleat {

/** The postponed jobs, and what the pool has shown of its rate. Empty unless the order by overload is enabled. */
struct OverloadState {
    bool isEnabled_ = false;
    Time plannedAt_ {};
    /** Jobs that the newest plan postpones. */
    std::set<std::string> postponed_;
    /** Open jobs that some plan has postponed. */
    std::set<std::string> everPostponed_;
    /** Ranks in which the newest plan postpones jobs. */
    std::set<int> overloadedRanks_;
    /** Jobs postponed in all. */
    std::uint64_t postponedJobs_ = 0;
    /** Pool-seconds that waiting jobs need by estimate. */
    double backlogSeconds_ = 0;
    /** Mean dominant share of the pool in use while work waits for capacity, and when it was measured; zero if never. */
    double packedShare_ = 0;
    Time packedAt_ {};
    /** Units waited for capacity at the end of the last pass. */
    bool isShort_ = false;
};

}
