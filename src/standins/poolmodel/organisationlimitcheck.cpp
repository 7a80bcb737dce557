#include "poolmodel/organisationlimitcheck.h"

#include <utility>

namespace fescuecleat {

std::string OrganisationLimitCheck::organisationOf(const std::string& job) const
{
    const auto organisation = organisations_.find(job);
    return organisation == organisations_.end() ? std::string() : organisation->second;
}

void OrganisationLimitCheck::setLimits(std::map<std::string, Resources> limits, Time now)
{
    versions_.push_back({ now, std::move(limits) });
}

std::optional<ResourceKind> OrganisationLimitCheck::exceededBy(const std::string& organisation, const Resources& used, const Resources& task, Time sentAt) const
{
    for (const ResourceKind kind : resourceKinds) {
        bool isExceeded = amountOf(task, kind) > 0 && !versions_.empty();
        for (std::size_t i = 0; i < versions_.size(); ++i) {
            const bool wasReplaced = i + 1 < versions_.size() && versions_[i + 1].since_ < sentAt;
            if (wasReplaced)
                continue;
            const auto limit = versions_[i].limits_.find(organisation);
            const std::int64_t amount = limit == versions_[i].limits_.end() ? 0 : amountOf(limit->second, kind);
            isExceeded = isExceeded && amount > 0 && amountOf(used, kind) > amount;
        }
        if (isExceeded)
            return kind;
    }
    return std::nullopt;
}

}
