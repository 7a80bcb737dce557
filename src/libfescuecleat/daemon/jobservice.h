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
 * Submits, finds and cancels jobs in all data centres on behalf of callers,
 * through the table. Thread-safe.
 */
class JobService {
public:
    /** Store and control must outlive the service. */
    JobService(JobStore&, DataCentreControl&, const InstanceId&, const DataCentreId& ownDataCentre, const std::vector<DataCentreId>& dataCentres);

    /** Stores the job in a data centre that is in service, preferably the own one. Errors: Unavailable and those of the store. */
    Result<Submission> submit(JobSpec, Time deadline);

    /** Finds the job if the organisation owns it. Errors: NotFound, Unavailable. */
    Result<StoredJob> find(const JobId&, const OrganisationId&, Time deadline);

    /** Waits until the job has ended or `until` is reached, then returns the job. */
    Result<StoredJob> wait(const JobId&, const OrganisationId&, Time until);

    /** Requests cancellation unless the job has ended. Errors: NotFound, Unavailable, OutcomeUnknown. */
    Result<StoredJob> cancel(const JobId&, const OrganisationId&, Time deadline);

    /** The organisation's live jobs in all data centres. */
    Result<std::vector<StoredJob>> list(const OrganisationId&, Time deadline);

    /** A data centre in service other than the own one; no value if there is none. */
    std::optional<DataCentreId> otherDataCentreInService();

private:
    /** The last service state that was read of a data centre. */
    struct CachedService {
        bool isInService_ = true;
        Time validUntil_;
    };

    bool isInService(const DataCentreId&, Time deadline);
    std::optional<DataCentreId> chooseDataCentre(Time deadline);
    JobId nextId();

    JobStore& store_;
    DataCentreControl& control_;
    const DataCentreId ownDataCentre_;
    const std::vector<DataCentreId> dataCentres_;
    const std::string idPrefix_;

    std::mutex mutex_;
    std::uint64_t jobCount_ = 0;
    std::map<DataCentreId, CachedService> serviceCache_;
};

}
