#include "callerdraw.h"

#include <algorithm>
#include <cmath>

namespace fescuecleat {

namespace {

    constexpr int casesPerDeadlyJob = 25;

}

CallerDraw::CallerDraw(std::uint32_t seed)
    : random_(seed)
{
}

Duration CallerDraw::between(Duration min, Duration max)
{
    return min + Duration(static_cast<std::int64_t>(below(static_cast<std::size_t>((max - min).count()) + 1)));
}

Duration CallerDraw::untilNext(double perSecond)
{
    constexpr std::size_t resolution = 1 << 30;
    const double uniform = (static_cast<double>(below(resolution)) + 1) / static_cast<double>(resolution);
    return Duration(static_cast<std::int64_t>(-std::log(uniform) / perSecond * 1e6));
}

std::string CallerDraw::jobId()
{
    constexpr std::size_t digits = 16;
    std::string id;
    while (id.size() < digits)
        id += "0123456789abcdef"[below(16)];
    return id;
}

PoolJobSpec CallerDraw::job()
{
    PoolJobSpec job;
    job.payload_ = oneIn(casesPerDeadlyJob) ? deadlyPayload : "soak";
    job.steps_.push_back(step());
    if (oneIn(3)) {
        job.steps_.push_back(step());
        if (!oneIn(4))
            job.steps_.back().after_ = { 0 };
    }
    return job;
}

StepSpec CallerDraw::step()
{
    constexpr int maxTasks = 6;
    StepSpec step;
    step.taskCount_ = 1 + static_cast<int>(below(maxTasks));
    // Most tasks need few accelerators, and some a whole worker.
    const std::int64_t accelerators = oneIn(8) ? 8 : 1 + static_cast<std::int64_t>(std::min(below(8), below(8)));
    step.resources_ = { accelerators * 1000, accelerators * 4000, accelerators };
    step.estimate_ = between(std::chrono::milliseconds(300), std::chrono::seconds(2));
    step.isGang_ = step.taskCount_ > 1 && oneIn(3);
    step.savesProgress_ = oneIn(10);
    if (oneIn(20))
        step.requiredLabel_ = "a";
    if (oneIn(6))
        step.maxTasksPerWorker_ = 1 + static_cast<int>(below(2));
    return step;
}

}
