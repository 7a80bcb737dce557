#pragma once

#include "pool/overloadplan.h"
#include "pool/poolstate.h"
#include "pool/remainingwork.h"

#include <functional>

namespace fescuecleat {

/** Keeps PoolState::overload_ up to date: measures the pool's rate and plans which jobs are postponed. */
class OverloadReview {
public:
    using RankOf = std::function<int(const Job&)>;

    /** `guaranteedRank`: jobs of this rank are never postponed. */
    OverloadReview(PoolState&, RankOf, int guaranteedRank, Time now);

    /** Plans anew if the last plan is old enough; does nothing unless enabled. */
    void run();

    /** From when on a job is placed with those in time although it was postponed, or late in an overload. */
    static Time postponementEnd(const Job&);
    /** Whether the job's postponement has reached its bound. */
    static bool isPostponementOver(const OverloadState&, const Job&, int rank, Time now);

private:
    void addRuns(const PoolShare&);
    void addJobs(const PoolShare&);
    void observeRate();
    double rate() const;

    PoolState& state_;
    RankOf rankOf_;
    int guaranteedRank_;
    Time now_;
    OverloadInput input_;
    /** The job of each of `input_.jobs_`. */
    std::vector<const Job*> jobs_;
    /** Shares of the pool that runs use and that waiting units could use. */
    double usedShare_ = 0;
    double waitingShare_ = 0;
};

}
