#pragma once

#include "pool/poolstate.h"

#include <map>
#include <set>
#include <string>

namespace fescuecleat {

/** Turn of an organisation's job among those of the same rank; lower values come first. */
enum class Turn {
    WithinShare = 0,
    /** The organisation uses more of the pool for its weight than the average of those that wait. */
    AboveShare = 1,
    /** The organisation submitted the job beyond its rate. */
    BeyondRate = 2,
};

/** Orders the waiting work of organisations by their weights and by the rates of their submissions. */
class OrganisationOrder {
public:
    /** `waiting`: the organisations with waiting work. */
    OrganisationOrder(const PoolState&, const std::set<std::string>& waiting);

    /** The same turn for all jobs if no organisation has a weight. */
    Turn turnOf(const Job&) const;

private:
    /** Share of the resource of which the organisation uses the largest part. */
    double dominantShare(const std::string& organisation, const Resources& capacity) const;
    double weightOf(const std::string& organisation) const;

    const PoolState& state_;
    bool hasWeights_ = false;
    std::set<std::string> aboveShare_;
};

/** Sets the number of submissions in the window of each job that was added since the last call. */
void countSubmissions(PoolState&, Time now);

}
