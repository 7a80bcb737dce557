#include "routing/minionhealth.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    constexpr int badInRowToEject = 4;
    constexpr double badShareToEject = 0.5;
    constexpr int attemptsToJudgeShare = 10;
    /** Weight of the newest attempt in the share. */
    constexpr double shareWeight = 0.1;
    constexpr int goodProbesToReturn = 3;
    constexpr Duration firstEjection { std::chrono::seconds(1) };
    constexpr int largestDoubling = 5;

}

MinionCondition MinionHealth::condition(Time now) const
{
    if (!isEjected_)
        return MinionCondition::Healthy;
    return now < probeAt_ ? MinionCondition::Ejected : MinionCondition::Probing;
}

bool MinionHealth::record(AttemptVerdict verdict, Time now)
{
    if (verdict == AttemptVerdict::Neutral)
        return false;
    const bool isBad = verdict == AttemptVerdict::Bad;
    if (isEjected_) {
        // What began before the ejection proves nothing.
        if (now < probeAt_)
            return false;
        if (isBad)
            return true;
        if (++goodProbes_ >= goodProbesToReturn)
            reset();
        return false;
    }
    ++attempts_;
    badInRow_ = isBad ? badInRow_ + 1 : 0;
    badShare_ += shareWeight * ((isBad ? 1.0 : 0.0) - badShare_);
    if (attempts_ >= attemptsToJudgeShare && badShare_ < shareWeight)
        ejectionsInRow_ = 0;
    return shouldEject();
}

void MinionHealth::eject(Time now)
{
    const int doubling = std::min(ejectionsInRow_, largestDoubling);
    isEjected_ = true;
    ++ejectionsInRow_;
    goodProbes_ = 0;
    badInRow_ = 0;
    badShare_ = 0;
    attempts_ = 0;
    probeAt_ = now + firstEjection * (1 << doubling);
}

bool MinionHealth::shouldEject() const
{
    if (badInRow_ >= badInRowToEject)
        return true;
    return attempts_ >= attemptsToJudgeShare && badShare_ >= badShareToEject;
}

}
