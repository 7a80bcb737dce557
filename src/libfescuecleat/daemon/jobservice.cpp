#include "daemon/jobservice.h"

#include "daemon/wallclock.h"

#include <algorithm>
#include <chrono>
#include <sodium.h>
#include <thread>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr Duration serviceCacheLifetime = std::chrono::milliseconds(500);
    constexpr Duration waitPollInterval = std::chrono::milliseconds(200);
    constexpr Duration storeTimeout = std::chrono::seconds(2);

    /** Prefix that makes job ids unique across processes, including earlier ones of the same instance. */
    std::string makeIdPrefix(const InstanceId& instance)
    {
        return instance.value() + "-" + std::to_string(wallClockMs()) + "-" + std::to_string(randombytes_uniform(1'000'000)) + "-";
    }

}

JobService::JobService(JobStore& store, DataCentreControl& control, const InstanceId& instance, const DataCentreId& ownDataCentre, const std::vector<DataCentreId>& dataCentres)
    : store_(store)
    , control_(control)
    , ownDataCentre_(ownDataCentre)
    , dataCentres_(dataCentres)
    , idPrefix_(makeIdPrefix(instance))
{
}

Result<Submission> JobService::submit(JobSpec spec, Time deadline)
{
    const std::optional<DataCentreId> dataCentre = chooseDataCentre(deadline);
    if (!dataCentre)
        return failure(ErrorKind::Unavailable, "no data centre is in service", "try again when one has returned to service");
    spec.id_ = nextId();
    return store_.submit(spec, *dataCentre, wallClockMs(), deadline);
}

Result<StoredJob> JobService::find(const JobId& id, const OrganisationId& organisation, Time deadline)
{
    const Result<std::optional<StoredJob>> job = store_.find(id, dataCentres_, deadline);
    if (!job)
        return tl::unexpected<Error>(job.error());
    // Don't reveal whether another organisation's job exists.
    if (!*job || (*job)->record_.spec_.organisation_ != organisation)
        return failure(ErrorKind::NotFound, "unknown job " + id.value(), "check the job id and the key");
    return **job;
}

Result<StoredJob> JobService::wait(const JobId& id, const OrganisationId& organisation, Time until)
{
    while (true) {
        Result<StoredJob> job = find(id, organisation, monotonicNow() + storeTimeout);
        const Time now = monotonicNow();
        if (!job || isFinal(job->record_.state_) || now >= until)
            return job;
        std::this_thread::sleep_for(std::min(waitPollInterval, remaining(until, now)));
    }
}

Result<StoredJob> JobService::cancel(const JobId& id, const OrganisationId& organisation, Time deadline)
{
    Result<StoredJob> job = find(id, organisation, deadline);
    if (!job || isFinal(job->record_.state_))
        return job;
    const Result<void> requested = store_.cancel(id, job->record_.dataCentre_, deadline);
    if (!requested)
        return tl::unexpected<Error>(requested.error());
    return job;
}

Result<std::vector<StoredJob>> JobService::list(const OrganisationId& organisation, Time deadline)
{
    std::vector<StoredJob> jobs;
    for (const DataCentreId& dataCentre : dataCentres_) {
        Result<std::vector<StoredJob>> live = store_.loadLive(dataCentre, deadline);
        if (!live)
            return live;
        std::copy_if(live->begin(), live->end(), std::back_inserter(jobs), [&](const StoredJob& job) { return job.record_.spec_.organisation_ == organisation; });
    }
    return jobs;
}

std::optional<DataCentreId> JobService::otherDataCentreInService()
{
    const Time deadline = monotonicNow() + storeTimeout;
    for (const DataCentreId& dataCentre : dataCentres_) {
        if (dataCentre != ownDataCentre_ && isInService(dataCentre, deadline))
            return dataCentre;
    }
    return std::nullopt;
}

std::optional<DataCentreId> JobService::chooseDataCentre(Time deadline)
{
    if (isInService(ownDataCentre_, deadline))
        return ownDataCentre_;
    return otherDataCentreInService();
}

bool JobService::isInService(const DataCentreId& dataCentre, Time deadline)
{
    const Time now = monotonicNow();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const CachedService& cached = serviceCache_[dataCentre];
        if (cached.validUntil_ > now)
            return cached.isInService_;
    }
    const Result<ServiceStatus> status = control_.status(dataCentre, deadline);
    const std::lock_guard<std::mutex> lock(mutex_);
    CachedService& cached = serviceCache_[dataCentre];
    if (status) {
        cached.isInService_ = status->record_.isInService_;
        cached.validUntil_ = now + serviceCacheLifetime;
    }
    return cached.isInService_;
}

JobId JobService::nextId()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return JobId(idPrefix_ + std::to_string(++jobCount_));
}

}
