#include "node/poolconfiguration.h"

#include <algorithm>

namespace fescuecleat {

const QueueConfiguration* PoolConfiguration::findQueue(const std::string& host, const std::string& path) const
{
    const QueueConfiguration* best = nullptr;
    for (const QueueConfiguration& queue : queues_) {
        if (queue.host_ != host || path.compare(0, queue.prefix_.size(), queue.prefix_) != 0)
            continue;
        if (best == nullptr || queue.prefix_.size() > best->prefix_.size())
            best = &queue;
    }
    return best;
}

const PoolOrganisationConfiguration* PoolConfiguration::findByKey(const std::string& key) const
{
    if (key.empty())
        return nullptr;
    for (const PoolOrganisationConfiguration& organisation : organisations_) {
        if (std::find(organisation.keys_.begin(), organisation.keys_.end(), key) != organisation.keys_.end())
            return &organisation;
    }
    return nullptr;
}

std::map<std::string, OrganisationPolicy> PoolConfiguration::organisationPolicies() const
{
    std::map<std::string, OrganisationPolicy> policies;
    for (const PoolOrganisationConfiguration& organisation : organisations_)
        policies[organisation.name_] = organisation.policy_;
    return policies;
}

}
