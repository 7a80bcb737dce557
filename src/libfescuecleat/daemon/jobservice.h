#pragma once

#include "base/id.h"
#include "control/datacentrecontrol.h"
#include "scheduler/jobspec.h"
#include "state/jobstore.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace fescuecleat {

/**
 * Jobs as callers see them, whichever data centre runs them: submission,
 * status and cancellation through the table. Thread-safe.
 */
class JobService {
public:
    /** Store and control outlive the service. */
    JobService(JobStore&, DataCentreControl&, const InstanceId&, const DataCentreId& own, const std::vector<DataCentreId>& all);

    /** Makes the job durable in a data centre that is in service, the own one first. */
    Result<Submission> submit(JobSpec, Time deadline);

    /** The job if the organisation owns it. Errors: NotFound, Unavailable. */
    Result<StoredJob> find(const JobId&, const OrganisationId&, Time deadline);

    /** Waits until the job has ended or the time is up, then returns what it is. */
    Result<StoredJob> wait(const JobId&, const OrganisationId&, Time until);

    /** Errors: NotFound, Unavailable, OutcomeUnknown. */
    Result<StoredJob> cancel(const JobId&, const OrganisationId&, Time deadline);

    /** The organisation's live jobs in all data centres. */
    Result<std::vector<StoredJob>> list(const OrganisationId&, Time deadline);

    /** A data centre in service other than the own one; empty if there is none. */
    std::optional<DataCentreId> otherInService();

private:
    /** What was last read of a data centre's service. */
    struct ServiceView {
        bool isInService_ = true;
        Time validUntil_;
    };

    bool isInService(const DataCentreId&, Time deadline);
    std::optional<DataCentreId> chooseDataCentre(Time deadline);
    JobId nextId();

    JobStore& store_;
    DataCentreControl& control_;
    const DataCentreId own_;
    const std::vector<DataCentreId> all_;
    const std::string idPrefix_;

    std::mutex mutex_;
    std::uint64_t count_ = 0;
    std::map<DataCentreId, ServiceView> service_;
};

}
