#include "pool/organisationorder.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Organisations without a weight get the share of one with this weight. */
    constexpr double defaultWeight = 1;
    /** Relative difference from the average below which rounding decides. */
    constexpr double tolerance = 1e-9;

}

OrganisationOrder::OrganisationOrder(const PoolState& state, const std::set<std::string>& waiting)
    : state_(state)
{
    const auto& policies = state.usage_.policies();
    hasWeights_ = std::any_of(policies.begin(), policies.end(), [](const auto& entry) { return entry.second.weight_ > 0; });
    if (!hasWeights_)
        return;
    Resources capacity;
    for (const auto& [key, worker] : state.workers_) {
        if (worker.takesNewWork(state.closedDataCentres_))
            capacity += worker.info_.capacity_;
    }
    std::map<std::string, double> shares;
    double shareSum = 0;
    double weightSum = 0;
    for (const std::string& organisation : waiting) {
        const double share = dominantShare(organisation, capacity);
        shares[organisation] = share;
        shareSum += share;
        weightSum += weightOf(organisation);
    }
    for (const auto& [organisation, share] : shares) {
        // Both sides multiplied by the weights, which may be small.
        if (share * weightSum > shareSum * weightOf(organisation) * (1 + tolerance))
            aboveShare_.insert(organisation);
    }
}

double OrganisationOrder::dominantShare(const std::string& organisation, const Resources& capacity) const
{
    const Resources used = state_.usage_.used(organisation);
    double share = 0;
    for (const ResourceKind kind : resourceKinds) {
        if (amountOf(capacity, kind) > 0)
            share = std::max(share, static_cast<double>(amountOf(used, kind)) / static_cast<double>(amountOf(capacity, kind)));
    }
    return share;
}

double OrganisationOrder::weightOf(const std::string& organisation) const
{
    const double weight = state_.usage_.policy(organisation).weight_;
    return weight > 0 ? weight : defaultWeight;
}

Turn OrganisationOrder::turnOf(const Job& job) const
{
    if (!hasWeights_)
        return Turn::WithinShare;
    const double rate = state_.usage_.policy(job.policy_.organisation_).weight_;
    const double allowed = std::max(1.0, rate * std::chrono::duration<double>(state_.submissions_.window()).count());
    if (rate > 0 && job.submissionsInWindow_ > allowed)
        return Turn::BeyondRate;
    return aboveShare_.count(job.policy_.organisation_) > 0 ? Turn::AboveShare : Turn::WithinShare;
}

void countSubmissions(PoolState& state, Time now)
{
    state.submissions_.assign([&state](const std::string& id, int submissions) {
        if (Job* const job = state.findJob(id))
            job->submissionsInWindow_ = submissions; }, now);
}

}
