#include "pool/limittracker.h"

namespace fescuecleat {

std::optional<ResourceKind> LimitTracker::exceededBy(const Job& job, const PlacementRequest& request) const
{
    const std::string& organisation = job.policy_.organisation_;
    return state_.usage_.exceededBy(organisation, request.step_->resources_, request.taskCount_, reserved(organisation));
}

bool LimitTracker::canEverFit(const Job& job, const PlacementRequest& request) const
{
    return !exceededResource(state_.usage_.policy(job.policy_.organisation_).limit_, {}, request.step_->resources_, request.taskCount_);
}

bool LimitTracker::canFitBesideLasting(const Job& job, const PlacementRequest& request) const
{
    const std::string& organisation = job.policy_.organisation_;
    return !exceededResource(state_.usage_.policy(organisation).limit_, state_.usage_.lasting(organisation), request.step_->resources_, request.taskCount_);
}

void LimitTracker::reserve(const Job& job, const PlacementRequest& request)
{
    const Resources& limit = state_.usage_.policy(job.policy_.organisation_).limit_;
    if (limit == Resources {} || !canEverFit(job, request))
        return;
    Resources& reserved = reserved_[job.policy_.organisation_];
    const Resources& each = request.step_->resources_;
    // Resources without a limit aren't added: callers declare any amount of them, so sums could overflow.
    if (limit.cpuMillis_ > 0)
        reserved.cpuMillis_ += each.cpuMillis_ * request.taskCount_;
    if (limit.memoryMb_ > 0)
        reserved.memoryMb_ += each.memoryMb_ * request.taskCount_;
    if (limit.accelerators_ > 0)
        reserved.accelerators_ += each.accelerators_ * request.taskCount_;
}

Resources LimitTracker::reserved(const std::string& organisation) const
{
    const auto reserved = reserved_.find(organisation);
    return reserved == reserved_.end() ? Resources {} : reserved->second;
}

void LimitTracker::noteBlocked(const Job& job, ResourceKind resource)
{
    blocked_.emplace(job.policy_.organisation_, Blocked { resource, {} }).first->second.jobs_.insert(&job);
}

LimitChange LimitTracker::changeOf(const std::string& organisation, ResourceKind resource, bool isWaiting) const
{
    return { organisation, isWaiting, resource, amountOf(state_.usage_.policy(organisation).limit_, resource), amountOf(state_.usage_.used(organisation), resource) };
}

void LimitTracker::publish(bool isPassComplete)
{
    std::map<std::string, LimitWait>& waits = state_.limitWaits_;
    if (isPassComplete) {
        for (auto wait = waits.begin(); wait != waits.end();) {
            if (blocked_.count(wait->first) > 0) {
                ++wait;
                continue;
            }
            state_.decisions_.limitChanges_.push_back(changeOf(wait->first, wait->second.resource_, false));
            wait = waits.erase(wait);
        }
    }
    for (const auto& [organisation, blocked] : blocked_) {
        const auto [wait, isNew] = waits.emplace(organisation, LimitWait { blocked.resource_, 0 });
        if (isNew)
            state_.decisions_.limitChanges_.push_back(changeOf(organisation, blocked.resource_, true));
        wait->second.jobs_ = static_cast<int>(blocked.jobs_.size());
    }
}

}
