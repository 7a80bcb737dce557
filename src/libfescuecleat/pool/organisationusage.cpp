#include "pool/organisationusage.h"

#include <utility>

namespace fescuecleat {

namespace {

    void addTo(std::map<std::string, Resources>& sums, const std::string& organisation, const Resources& resources)
    {
        if (resources != Resources {})
            sums[organisation] += resources;
    }

    void subtractFrom(std::map<std::string, Resources>& sums, const std::string& organisation, const Resources& resources)
    {
        const auto sum = sums.find(organisation);
        if (sum == sums.end())
            return;
        sum->second -= resources;
        if (sum->second == Resources {})
            sums.erase(sum);
    }

    Resources sumOf(const std::map<std::string, Resources>& sums, const std::string& organisation)
    {
        const auto sum = sums.find(organisation);
        return sum == sums.end() ? Resources {} : sum->second;
    }

}

const OrganisationPolicy& OrganisationUsage::policy(const std::string& organisation) const
{
    static const OrganisationPolicy none;
    const auto policy = policies_.find(organisation);
    return policy == policies_.end() ? none : policy->second;
}

void OrganisationUsage::add(const std::string& organisation, const Resources& resources)
{
    addTo(used_, organisation, resources);
}

void OrganisationUsage::subtract(const std::string& organisation, const Resources& resources)
{
    subtractFrom(used_, organisation, resources);
}

void OrganisationUsage::addLasting(const std::string& organisation, const Resources& resources)
{
    addTo(lasting_, organisation, resources);
}

void OrganisationUsage::subtractLasting(const std::string& organisation, const Resources& resources)
{
    subtractFrom(lasting_, organisation, resources);
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
    return sumOf(used_, organisation);
}

Resources OrganisationUsage::lasting(const std::string& organisation) const
{
    return sumOf(lasting_, organisation);
}

std::optional<ResourceKind> OrganisationUsage::exceededBy(const std::string& organisation, const Resources& each, std::int64_t count, const Resources& reserved) const
{
    const auto policy = policies_.find(organisation);
    if (policy == policies_.end() || policy->second.limit_ == Resources {})
        return std::nullopt;
    return exceededResource(policy->second.limit_, used(organisation) + reserved, each, count);
}

}
