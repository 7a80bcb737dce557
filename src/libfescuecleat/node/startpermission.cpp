#include "node/startpermission.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Part of a view's largest age that is left for the answers of two polls; a slow store answers in 240 ms. */
    constexpr int answerDivisor = 4;
    constexpr Duration minPollWait = std::chrono::milliseconds(50);

}

const char* viewName(View view)
{
    switch (view) {
    case View::Registry:
        return "registry";
    case View::OperatorRows:
        return "operator";
    case View::Intake:
        return "intake";
    }
    return "unknown";
}

Duration maxViewAge(Duration bound, Duration requestTimeout)
{
    return bound - std::min<Duration>(requestTimeout, bound / 2);
}

Duration pollWaitFor(Duration maxAge, Duration wait, Duration pause)
{
    if (maxAge == Duration::zero())
        return wait;
    const Duration polls = maxAge - maxAge / answerDivisor - pause;
    return std::clamp<Duration>(polls / 2, std::min(minPollWait, wait), wait);
}

std::optional<OutdatedView> findOutdatedView(const ViewTimes& times, const ViewLimits& limits, Time now)
{
    struct Candidate {
        View view_;
        Time asOf_;
        Duration limit_;
    };
    std::optional<OutdatedView> worst;
    Duration worstExcess {};
    for (const Candidate& candidate : { Candidate { View::Registry, times.registry_, limits.registry_ },
             Candidate { View::OperatorRows, times.operatorRows_, limits.operatorRows_ },
             Candidate { View::Intake, times.intake_, limits.intake_ } }) {
        const Duration age = now - candidate.asOf_;
        const Duration excess = age - candidate.limit_;
        if (candidate.limit_ == Duration::zero() || excess <= Duration::zero() || excess < worstExcess)
            continue;
        worst = OutdatedView { candidate.view_, age };
        worstExcess = excess;
    }
    return worst;
}

}
