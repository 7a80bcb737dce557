#pragma once

#include "base/time.h"
#include "pool/organisationpolicy.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** The limits of organisations as operators set them over time, and whether a start was permitted when it was sent. */
class OrganisationLimitCheck {
public:
    void setOrganisation(const std::string& job, const std::string& organisation) { organisations_[job] = organisation; }
    /** The organisation of a job; empty if none was set. */
    std::string organisationOf(const std::string& job) const;
    /** Puts limits in force; former ones still count for starts that were sent before. */
    void setLimits(std::map<std::string, Resources> limits, Time now);
    /**
     * A resource that the task needs and of which `used` exceeds both the limit that was in force when the start
     * was sent and all later ones; `used` includes the task.
     */
    std::optional<ResourceKind> exceededBy(const std::string& organisation, const Resources& used, const Resources& task, Time sentAt) const;

private:
    struct Version {
        Time since_ {};
        std::map<std::string, Resources> limits_;
    };

    std::map<std::string, std::string> organisations_;
    std::vector<Version> versions_;
};

}
