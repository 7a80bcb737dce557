#include "control/appliedconfiguration.h"

#include <algorithm>

namespace fescuecleat {

void AppliedConfiguration::noteVersion(std::uint64_t version)
{
    highestKnown_ = std::max(highestKnown_, version);
}

bool AppliedConfiguration::apply(std::uint64_t version, ConfigurationSource source)
{
    noteVersion(version);
    if (version <= version_)
        return false;
    if (version_ == 0 && source == ConfigurationSource::Other)
        return false;
    version_ = version;
    return true;
}

std::uint64_t versionInForce(const std::vector<std::uint64_t>& instanceVersions)
{
    const auto lowest = std::min_element(instanceVersions.begin(), instanceVersions.end());
    return lowest == instanceVersions.end() ? 0 : *lowest;
}

}
