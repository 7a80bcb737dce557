#include "pool/organisationusage.h"

#include <utility>

namespace fescuecleat {

const OrganisationPolicy& OrganisationUsage::policy(const std::string& organisation) const
{
    static const OrganisationPolicy none;
    const auto policy = policies_.find(organisation);
    return policy == policies_.end() ? none : policy->second;
}

void OrganisationUsage::add(const std::string& organisation, const Resources& resources)
{
    if (resources != Resources {})
        used_[organisation] += resources;
}

void OrganisationUsage::subtract(const std::string& organisation, const Resources& resources)
{
    const auto used = used_.find(organisation);
    if (used == used_.end())
        return;
    used->second -= resources;
    if (used->second == Resources {})
        used_.erase(used);
}

void OrganisationUsage::setUnrecorded(const WorkerKey& worker, std::map<std::string, Resources> runs)
{
    const auto former = unrecorded_.find(worker);
    if (former != unrecorded_.end()) {
        for (const auto& [organisation, resources] : former->second)
            subtract(organisation, resources);
        unrecorded_.erase(former);
    }
    for (const auto& [organisation, resources] : runs)
        add(organisation, resources);
    if (!runs.empty())
        unrecorded_.emplace(worker, std::move(runs));
}

Resources OrganisationUsage::used(const std::string& organisation) const
{
    const auto used = used_.find(organisation);
    return used == used_.end() ? Resources {} : used->second;
}

std::optional<ResourceKind> OrganisationUsage::exceededBy(const std::string& organisation, const Resources& each, std::int64_t count, const Resources& reserved) const
{
    const auto policy = policies_.find(organisation);
    if (policy == policies_.end() || policy->second.limit_ == Resources {})
        return std::nullopt;
    return exceededResource(policy->second.limit_, used(organisation) + reserved, each, count);
}

}
