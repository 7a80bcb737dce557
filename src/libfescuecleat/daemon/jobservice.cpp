#include "daemon/jobservice.h"

#include "daemon/wallclock.h"

#include <algorithm>
#include <chrono>
#include <sodium.h>
#include <thread>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr Duration serviceViewTime = std::chrono::milliseconds(500);
    constexpr Duration waitPollTime = std::chrono::milliseconds(200);
    constexpr Duration storeTime = std::chrono::seconds(2);

    /** Tells this process's jobs from those of any other, an earlier one of the same name included. */
    std::string makeIdPrefix(const InstanceId& instance)
    {
        return instance.value() + "-" + std::to_string(wallClockMillis()) + "-" + std::to_string(randombytes_uniform(1'000'000)) + "-";
    }

}

JobService::JobService(JobStore& store, DataCentreControl& control, const InstanceId& instance, const DataCentreId& own, const std::vector<DataCentreId>& all)
    : store_(store)
    , control_(control)
    , own_(own)
    , all_(all)
    , idPrefix_(makeIdPrefix(instance))
{
}

Result<Submission> JobService::submit(JobSpec spec, Time deadline)
{
    const std::optional<DataCentreId> dataCentre = chooseDataCentre(deadline);
    if (!dataCentre)
        return failure(ErrorKind::Unavailable, "no data centre is in service", "wait until operators bring one back");
    spec.id_ = nextId();
    return store_.submit(spec, *dataCentre, wallClockMillis(), deadline);
}

Result<StoredJob> JobService::find(const JobId& id, const OrganisationId& organisation, Time deadline)
{
    const Result<std::optional<StoredJob>> job = store_.find(id, all_, deadline);
    if (!job)
        return tl::unexpected<Error>(job.error());
    // Another organisation's job is not even said to exist.
    if (!*job || (*job)->record_.spec_.organisation_ != organisation)
        return failure(ErrorKind::NotFound, "there is no job " + id.value(), "check the id and the key");
    return **job;
}

Result<StoredJob> JobService::wait(const JobId& id, const OrganisationId& organisation, Time until)
{
    while (true) {
        Result<StoredJob> job = find(id, organisation, monotonicNow() + storeTime);
        const Time now = monotonicNow();
        if (!job || isFinal(job->record_.state_) || now >= until)
            return job;
        std::this_thread::sleep_for(std::min(waitPollTime, remaining(until, now)));
    }
}

Result<StoredJob> JobService::cancel(const JobId& id, const OrganisationId& organisation, Time deadline)
{
    Result<StoredJob> job = find(id, organisation, deadline);
    if (!job || isFinal(job->record_.state_))
        return job;
    const Result<void> asked = store_.cancel(id, job->record_.dataCentre_, deadline);
    if (!asked)
        return tl::unexpected<Error>(asked.error());
    return job;
}

Result<std::vector<StoredJob>> JobService::list(const OrganisationId& organisation, Time deadline)
{
    std::vector<StoredJob> jobs;
    for (const DataCentreId& dataCentre : all_) {
        Result<std::vector<StoredJob>> live = store_.loadLive(dataCentre, deadline);
        if (!live)
            return live;
        std::copy_if(live->begin(), live->end(), std::back_inserter(jobs), [&](const StoredJob& job) { return job.record_.spec_.organisation_ == organisation; });
    }
    return jobs;
}

std::optional<DataCentreId> JobService::otherInService()
{
    const Time deadline = monotonicNow() + storeTime;
    for (const DataCentreId& dataCentre : all_) {
        if (dataCentre != own_ && isInService(dataCentre, deadline))
            return dataCentre;
    }
    return std::nullopt;
}

std::optional<DataCentreId> JobService::chooseDataCentre(Time deadline)
{
    if (isInService(own_, deadline))
        return own_;
    return otherInService();
}

bool JobService::isInService(const DataCentreId& dataCentre, Time deadline)
{
    const Time now = monotonicNow();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const ServiceView& view = service_[dataCentre];
        if (view.validUntil_ > now)
            return view.isInService_;
    }
    const Result<ServiceStatus> status = control_.status(dataCentre, deadline);
    const std::lock_guard<std::mutex> lock(mutex_);
    ServiceView& view = service_[dataCentre];
    if (status) {
        view.isInService_ = status->record_.isInService_;
        view.validUntil_ = now + serviceViewTime;
    }
    return view.isInService_;
}

JobId JobService::nextId()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return JobId(idPrefix_ + std::to_string(++count_));
}

}
