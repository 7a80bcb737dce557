#pragma once

#include "pool/organisationpolicy.h"
#include "pool/workerinfo.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace fescuecleat {

/**
 * Counts the resources of all runs of each organisation that may exist, and compares them with its limit.
 * A filler counts with its full processor request, unlike on its worker.
 */
class OrganisationUsage {
public:
    /** Applies to starts that are decided or begun from now on. */
    void setPolicies(std::map<std::string, OrganisationPolicy> policies) { policies_ = std::move(policies); }
    const std::map<std::string, OrganisationPolicy>& policies() const { return policies_; }
    /** The organisation's policy; one without weight and limit if none is configured. */
    const OrganisationPolicy& policy(const std::string& organisation) const;

    void add(const std::string& organisation, const Resources&);
    void subtract(const std::string& organisation, const Resources&);
    /** Counts a task that runs until its job is cancelled, beside add(). */
    void addLasting(const std::string& organisation, const Resources&);
    /** Reverts addLasting(). */
    void subtractLasting(const std::string& organisation, const Resources&);
    /** Sets what a worker runs without a record, by organisation, in place of what it ran before. */
    void setUnrecorded(const WorkerKey&, std::map<std::string, Resources>);

    /** Resources of all runs of the organisation, with and without a record. */
    Resources used(const std::string& organisation) const;
    /** The part of used() that doesn't end by itself. */
    Resources lasting(const std::string& organisation) const;
    /** Use of all organisations that have any. */
    const std::map<std::string, Resources>& byOrganisation() const { return used_; }
    /** What workers run without a record, by organisation. */
    const std::map<WorkerKey, std::map<std::string, Resources>>& unrecorded() const { return unrecorded_; }
    /** The first resource whose limit doesn't leave room for `count` tasks of the size `each` beside all runs and `reserved`. */
    std::optional<ResourceKind> exceededBy(const std::string& organisation, const Resources& each, std::int64_t count, const Resources& reserved = {}) const;

private:
    std::map<std::string, OrganisationPolicy> policies_;
    std::map<std::string, Resources> used_;
    std::map<std::string, Resources> lasting_;
    /** The part of `used_` that workers run without a record. */
    std::map<WorkerKey, std::map<std::string, Resources>> unrecorded_;
};

}
