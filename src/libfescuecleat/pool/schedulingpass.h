#pragma once

#include "pool/placementview.h"
#include "pool/poolstate.h"

#include <optional>
#include <vector>

namespace fescuecleat {

/** Places what waits, once, in order of rank; preempts for urgent work. */
class SchedulingPass {
public:
    SchedulingPass(PoolState&, Time now);

    void run();

private:
    /** Smaller ranks go first and may take room from larger ones. */
    enum Rank {
        Guaranteed = 0,
        Urgent = 1,
        Ordinary = 2,
    };

    struct Candidate {
        Job* job_;
        std::size_t unit_;
        int rank_;
        /** The work can't be worth anything any more. */
        bool isHopeless_;
        Time latestStart_;
    };

    void rankJobs();
    void keepHeadroom();
    int rankOf(const Job&) const;
    std::vector<Candidate> candidates() const;
    PlacementRequest request(const Candidate&) const;
    bool mayWaitForRack(const Candidate&, const PlacementRequest&) const;
    bool place(const Candidate&);
    bool preempt(const Candidate&, const PlacementRequest&);

    struct Victim {
        Job* job_;
        std::size_t unit_;
        double cost_;
    };
    /** Units of lesser rank in a rack, or anywhere if no rack is named, the cheapest first. */
    std::vector<Victim> victims(const Candidate&, const PlacementRequest&, const std::string& rack) const;
    /** The victims that make room in a rack, or anywhere; none if they can't. */
    std::vector<Victim> choose(const Candidate&, const PlacementRequest&, const std::string& rack);
    double lostWork(const Job&, const WorkUnit&) const;
    void addVictimRoom(const Victim&, bool isAdded);

    PoolState& state_;
    Time now_;
    PlacementView view_;
    std::set<std::string> guaranteedJobs_;
};

}
