#include "node/poolcontroller.h"

#include "base/bootclock.h"
#include "node/jobintake.h"
#include "node/storelayout.h"
#include "pool/jobrecordrows.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace fescuecleat {

namespace {

    constexpr Duration intakePollWait = std::chrono::milliseconds(2000);
    constexpr Duration registryPollWait = std::chrono::milliseconds(2000);
    /**
     * Workers rewrite their entries continuously, so changes are collected between two polls;
     * a leaving worker must still be noticed well within two seconds.
     */
    constexpr Duration registryPollPause = std::chrono::milliseconds(400);
    constexpr Duration readTimeout = std::chrono::milliseconds(1500);
    constexpr Duration readRetryDelay = std::chrono::milliseconds(100);
    /** Minimum time between two writes of the summary. */
    constexpr Duration summaryInterval = std::chrono::milliseconds(1000);
    /**
     * Poll wait per worker of the pool, within the bounds below. Polls report progress,
     * but each costs processor time.
     */
    constexpr Duration pollWaitPerWorker = std::chrono::milliseconds(6);
    constexpr Duration minPollWait = std::chrono::milliseconds(1000);
    constexpr Duration maxPollWait = std::chrono::milliseconds(2000);
    /** Links are opened in batches, so that an instance with little processor time can renew its lease in between. */
    constexpr std::size_t linksPerBatch = 12;
    constexpr Duration linkBatchInterval = std::chrono::milliseconds(15);
    /** Interval of the checks that each worker with runs has a link, and each link a worker. */
    constexpr Duration linkReviewInterval = std::chrono::milliseconds(250);
    /** Delay before starts are tried again that the lease didn't cover. */
    constexpr Duration deferredStartDelay = std::chrono::milliseconds(50);
    /** Shortest time between two passes while the lease is not held: they only take in what has happened. */
    constexpr Duration suspendedPassInterval = std::chrono::milliseconds(50);
    constexpr Duration minPassDelay = std::chrono::milliseconds(1);
    /** Longest time from the encoding of a record until callers may see it, as an outage delays its commit. */
    constexpr Duration maxRecordDelay = std::chrono::seconds(60);

    std::string describeState(PoolJobState state)
    {
        switch (state) {
        case PoolJobState::Queued:
            return "queued";
        case PoolJobState::Running:
            return "running";
        case PoolJobState::Completed:
            return "completed";
        case PoolJobState::Failed:
            return "failed";
        case PoolJobState::Cancelled:
            return "cancelled";
        }
        return "unknown";
    }

    /** The steps that not every worker of the service may run, or not any number of tasks at once. */
    nlohmann::json placementRestrictions(const PoolJobSpec& spec)
    {
        nlohmann::json restrictions = nlohmann::json::object();
        for (std::size_t i = 0; i < spec.steps_.size(); ++i) {
            const StepSpec& step = spec.steps_[i];
            if (!step.requiredLabel_.empty())
                restrictions[std::to_string(i)]["label"] = step.requiredLabel_;
            if (step.maxTasksPerWorker_ > 0)
                restrictions[std::to_string(i)]["maxTasksPerWorker"] = step.maxTasksPerWorker_;
        }
        return restrictions;
    }

}

PoolController::PoolController(const NodeContext& context, const AcquiredLease& lease, Listener listener)
    : context_(context)
    , runLog_(context.log_)
    , times_(context.log_)
    , epoch_(lease.epoch_)
    , listener_(std::move(listener))
    , recorder_(context.loop_, context.store_, context.log_, context.settings_.storeLimits_, lease.epoch_, lease.chainVersion_,
          { [this](const std::string& job) { return recordRows(job); },
              [this](const std::string& cause) { listener_.superseded_(cause); },
              [this](const std::string& job) { handleUnstorableRecord(job); },
              [this] { return listener_.isLeaseHeld_(); } })
    , retention_(context.loop_, context.store_, context.log_, context.settings_.storeLimits_,
          { [this](const std::string& job) { removeRecord(job); },
              [this](const std::string& job, const std::vector<StoredRow>& laterRows) { handleJobRemoved(job, laterRows); },
              [this] { return listener_.isLeaseHeld_(); } })
    , intake_(context.loop_, context.store_, context.clock_, context.log_, { intakeTable, intakeParts() }, intakePollWait,
          { [this](const std::vector<StoredRow>&) {
               if (!isReady_)
                   intakeLoaded();
               requestPass();
           },
              [this](const StoredRow& row) {
                  handleIntakeRow(row);
                  requestPass();
              },
              nullptr,
              [this](const StoredRow& row) { handleIntakeRow(row); } })
    , registry_(context.loop_, context.store_, context.clock_, context.log_, { context.registryFormat_.table() }, registryPollWait,
          { [this](const std::vector<StoredRow>& rows) { handleRegistryReset(rows); }, [this](const StoredRow& row) { handleRegistryRow(row); }, nullptr })
    , recordsTimer_(context.loop_)
    , passTimer_(context.loop_)
    , formerHolderActiveUntil_(lease.formerHolderActiveUntil_)
    , linkTimer_(context.loop_)
{
    registry_.setPollPause(registryPollPause);
    scheduler_.setRunLimit(context.settings_.runLimit());
    scheduler_.setGuaranteeLimit(context.settings_.guaranteeLimit_);
}

PoolController::~PoolController() = default;

void PoolController::start()
{
    loadRecords({});
}

void PoolController::resume()
{
    recorder_.resume();
    intake_.refresh();
    registry_.refresh();
    requestPass();
}

void PoolController::loadRecords(const std::string& from)
{
    context_.store_.read({ JobRecorder::table, schedulerPart, from, {} }, readTimeout, lifetime_.guard([this, from](const tl::expected<RowPage, StoreFailure>& page) {
        if (!page)
            return recordsTimer_.start(readRetryDelay, [this, from] { loadRecords(from); });
        {
            const ActivityTimes::Scope scope(times_, Activity::Loading);
            for (const StoredRow& row : page->rows_)
                addRecordRow(row);
        }
        if (page->hasMore_ && !page->rows_.empty())
            return loadRecords(boundAfter(page->rows_.back().key_));
        recordsLoaded();
    }));
}

void PoolController::addRecordRow(const StoredRow& row)
{
    const std::string job = JobRecordRows::jobOf(row.key_);
    // The first row of a job precedes its others.
    PoolJobRecord record = records_.count(job) > 0 ? std::move(records_[job]) : PoolJobRecord {};
    if (!JobRecordRows::decode(row.key_, row.value_, record)) {
        records_.erase(job);
        context_.log_.write("record.unreadable", { { "job", job }, { "row", row.key_ }, { "version", row.version_ } });
        return;
    }
    if (!isFinal(record.state_) || !JobRecordRows::isFirst(row.key_))
        recorder_.addStoredRow(job, row.key_, row.value_);
    records_[job] = std::move(record);
}

JobRecorder::Rows PoolController::recordRows(const std::string& job)
{
    const ActivityTimes::Scope scope(times_, Activity::Record, job);
    const std::int64_t nowMs = context_.clock_.earliestMs(bootTimeNow());
    const auto state = scheduler_.state().jobs_.find(job);
    if (state != scheduler_.state().jobs_.end() && unstorableJobs_.count(job) > 0)
        return { { job, encodePoolJobRecord({ state->second.state_, {}, {}, nowMs }) } };
    return scheduler_.recordRows(job, context_.settings_.storeLimits_.maxValueBytes(), nowMs);
}

void PoolController::handleUnstorableRecord(const std::string& job)
{
    unstorableJobs_.insert(job);
    context_.log_.write("job.unstorable", { { "job", job } });
    scheduler_.failJob(job, "the store rejects its record", bootTimeNow());
    requestPass();
}

void PoolController::recordsLoaded()
{
    context_.log_.write("scheduler.records_loaded", { { "epoch", epoch_ }, { "records", records_.size() } });
    intake_.start();
}

void PoolController::intakeLoaded()
{
    context_.log_.write("scheduler.jobs_loaded", { { "epoch", epoch_ }, { "jobs", storedStates_.size() }, { "open", openJobs() } });
    isReady_ = true;
    removeOrphanedRecords();
    retention_.start();
    // Workers are polled only now: before the jobs are loaded, their runs' ends would be those of unknown runs.
    registry_.start();
}

void PoolController::removeOrphanedRecords()
{
    for (auto record = records_.begin(); record != records_.end();) {
        const auto& [job, stored] = *record;
        if (retention_.hasRows(job) || !isFinal(stored.state_)) {
            if (!retention_.hasRows(job))
                context_.log_.write("record.orphaned", { { "job", job }, { "state", describeState(stored.state_) } });
            ++record;
            continue;
        }
        removeRecord(job);
        record = records_.erase(record);
    }
}

void PoolController::removeRecord(const std::string& job)
{
    recorder_.removeRecord(job);
    recorder_.whenStored({ job }, [this, job] { retention_.recordRemoved(job); });
    requestPass();
}

void PoolController::handleJobRemoved(const std::string& job, const std::vector<StoredRow>& laterRows)
{
    storedStates_.erase(job);
    cancelled_.erase(job);
    for (const StoredRow& row : laterRows)
        handleIntakeRow(row);
    if (!laterRows.empty())
        requestPass();
}

Time PoolController::removableAt(std::int64_t endedMs) const
{
    const Time now = bootTimeNow();
    const Time endedAt = endedMs == 0 ? now : std::min(now, context_.clock_.localTime(endedMs, now));
    return endedAt + maxRecordDelay + context_.settings_.endedJobTime_;
}

void PoolController::setConfiguration(const PoolConfiguration& configuration)
{
    std::map<std::string, std::int64_t> guarantees;
    for (const PoolOrganisationConfiguration& organisation : configuration.organisations_)
        guarantees[organisation.name_] = organisation.guaranteedAccelerators_;
    scheduler_.setGuarantees(std::move(guarantees));
    std::map<std::string, std::string> services;
    for (const QueueConfiguration& queue : configuration.queues_)
        services[queue.name_] = queue.service_;
    for (const std::string& queue : scheduler_.setQueueServices(configuration.version_, services))
        context_.log_.write("queue.moved", { { "queue", queue }, { "service", services.at(queue) }, { "configuration", configuration.version_ } });
    addServices(configuration.services_);
    requestPass();
}

void PoolController::setClosedDataCentres(const std::set<std::string>& dataCentres)
{
    scheduler_.setClosedDataCentres(dataCentres);
    requestPass();
}

void PoolController::handleStoredIntake(const StoredRow& row)
{
    // Before the records are loaded, it isn't known whether the job has already run.
    if (!isReady_)
        return;
    handleIntakeRow(row);
    requestPass();
}

void PoolController::handleIntakeRow(const StoredRow& row)
{
    if (row.isDeleted_ || row.key_.empty())
        return;
    const auto cancelled = jobOfCancelKey(row.key_);
    if (!retention_.addRow(cancelled.value_or(row.key_), row))
        return;
    if (!cancelled)
        return addJob(row.key_, row);
    const auto stored = storedStates_.find(*cancelled);
    const bool hasEnded = stored != storedStates_.end() && isFinal(stored->second);
    if (hasEnded || !cancelled_.insert(*cancelled).second)
        return;
    context_.log_.write("job.cancel_seen", { { "job", *cancelled }, { "version", row.version_ } });
    // The submission may still be under way; the job is then cancelled as soon as it arrives.
    if (stored == storedStates_.end())
        retention_.jobEnded(*cancelled, removableAt(cancelledAtMs(row.value_)));
    scheduler_.cancelJob(*cancelled, bootTimeNow());
}

bool PoolController::skipEndedJob(const std::string& id)
{
    const auto record = records_.find(id);
    if (record == records_.end() || !isFinal(record->second.state_))
        return false;
    const std::vector<UnitRecord>& units = record->second.units_;
    if (std::any_of(units.begin(), units.end(), [](const UnitRecord& unit) { return !unit.placements_.empty(); }))
        return false;
    storedStates_[id] = record->second.state_;
    retention_.jobEnded(id, removableAt(record->second.endedMs_));
    records_.erase(record);
    return true;
}

void PoolController::addJob(const std::string& id, const StoredRow& row)
{
    if (storedStates_.count(id) > 0 || skipEndedJob(id))
        return;
    const ActivityTimes::Scope scope(times_, Activity::Job, id);
    auto intake = decodeJobIntake(row.value_);
    if (!intake) {
        context_.log_.write("job.unreadable", { { "job", id }, { "version", row.version_ } });
        return;
    }
    const Time now = bootTimeNow();
    const auto record = records_.find(id);
    const PoolJobRecord* const stored = record == records_.end() ? nullptr : &record->second;
    const Time submittedAt = std::min(now, context_.clock_.localTime(intake->submittedMs_, now));
    nlohmann::json fields { { "job", id }, { "version", row.version_ }, { "queue", intake->policy_.queue_ }, { "organisation", intake->policy_.organisation_ }, { "ageMs", wholeMilliseconds(now - submittedAt) }, { "state", stored == nullptr ? "new" : describeState(stored->state_) }, { "service", intake->policy_.service_ } };
    if (nlohmann::json restrictions = placementRestrictions(intake->spec_); !restrictions.empty())
        fields["restrictions"] = std::move(restrictions);
    context_.log_.write("job.seen", std::move(fields));
    storedStates_[id] = stored == nullptr ? PoolJobState::Queued : stored->state_;
    addServices({ intake->policy_.service_ });
    payloads_[id] = std::make_shared<const std::string>(std::move(intake->spec_.payload_));
    intake->spec_.payload_.clear();
    scheduler_.addJob(id, std::move(intake->spec_), intake->policy_, submittedAt, stored, now);
    if (cancelled_.count(id) > 0)
        scheduler_.cancelJob(id, now);
    if (record != records_.end())
        records_.erase(record);
}

void PoolController::addServices(const std::set<std::string>& services)
{
    const std::size_t known = services_.size();
    services_.insert(services.begin(), services.end());
    if (services_.size() == known)
        return;
    for (const auto& [worker, row] : std::exchange(skippedWorkers_, {}))
        handleRegistryRow(row);
}

void PoolController::skipWorker(const StoredRow& row, const std::string& service)
{
    if (skippedWorkers_.count(row.key_) == 0)
        context_.log_.write("worker.skipped", { { "worker", row.key_ }, { "version", row.version_ }, { "service", service } });
    skippedWorkers_[row.key_] = row;
    scheduler_.delistWorker(row.key_);
}

void PoolController::handleRegistryReset(const std::vector<StoredRow>& rows)
{
    skippedWorkers_.clear();
    std::set<std::string> listed;
    for (const StoredRow& row : rows) {
        listed.insert(row.key_);
        handleRegistryRow(row);
    }
    for (const auto& [id, link] : links_) {
        if (listed.count(id) == 0)
            scheduler_.delistWorker(id);
    }
    reviewLinks();
    requestPass();
}

void PoolController::handleRegistryRow(const StoredRow& row)
{
    if (row.isDeleted_) {
        if (skippedWorkers_.erase(row.key_) > 0)
            return;
        context_.log_.write("worker.delisted", { { "worker", row.key_ }, { "version", row.version_ } });
        scheduler_.delistWorker(row.key_);
        return requestPass();
    }
    const Result<WorkerInfo> info = context_.registryFormat_.decode(row);
    if (!info) {
        context_.log_.write("worker.unreadable", { { "worker", row.key_ }, { "version", row.version_ }, { "cause", info.error().message_ } });
        scheduler_.delistWorker(row.key_);
        return requestPass();
    }
    if (services_.count(info->service_) == 0)
        return skipWorker(row, info->service_);
    skippedWorkers_.erase(row.key_);
    const auto link = links_.find(row.key_);
    WorkerInfo current = *info;
    if (link != links_.end() && link->second->key().startedUnixMs_ > current.key_.startedUnixMs_) {
        // The worker itself reported a newer incarnation, which may be of another kind.
        if (current.key_.startedUnixMs_ != 0)
            return;
        current.key_ = link->second->key(); // the registry doesn't tell incarnations apart
    }
    const PoolWorkerState* known = nullptr;
    const auto found = scheduler_.state().workers_.find(current.key_);
    if (found != scheduler_.state().workers_.end())
        known = &found->second;
    if (known != nullptr && known->isListed_ && known->isDescribed_ && known->info_ == current)
        return; // only a heartbeat
    context_.log_.write("worker.seen", { { "worker", row.key_ }, { "version", row.version_ }, { "born", current.key_.startedUnixMs_ }, { "isDraining", current.isDraining_ }, { "dataCentre", current.dataCentre_ }, { "service", current.service_ }, { "labels", current.labels_ }, { "accelerators", current.capacity_.accelerators_ }, { "cpuMillis", current.capacity_.cpuMillis_ }, { "memoryMb", current.capacity_.memoryMb_ } });
    scheduler_.putWorker(current, bootTimeNow());
    if (link == links_.end() || link->second->key() != current.key_) {
        const bool isRestarted = links_.erase(row.key_) > 0;
        openLink(current, isRestarted);
    } else {
        link->second->update(current);
    }
    requestPass();
}

void PoolController::openLink(const WorkerInfo& info, bool isRestarted)
{
    PoolWorkerLink::Parameters parameters;
    parameters.epoch_ = epoch_;
    parameters.maxLease_ = context_.settings_.maxWorkerLease_;
    // A former holder may renew leases until its own lease ends, and former links of this term until now.
    const Time lastGrantAt = std::max(formerHolderActiveUntil_, bootTimeNow()) + (isRestarted ? context_.settings_.maxRequestDelay_ : Duration::zero());
    parameters.earlierLeasesExpireAt_ = PoolWorkerLink::latestLeaseExpiry(context_.settings_.maxWorkerLease_, lastGrantAt);
    const auto wait = std::chrono::duration_cast<Duration>(pollWaitPerWorker * scheduler_.state().workers_.size());
    parameters.pollWait_ = std::clamp(wait, minPollWait, maxPollWait);
    parameters.maxRequestDelay_ = context_.settings_.maxRequestDelay_;
    auto link = std::make_unique<PoolWorkerLink>(context_.loop_, context_.workers_, info, parameters, makeLinkListener(info.key_.id_));
    links_[info.key_.id_] = std::move(link);
    linksToOpen_.push_back(info.key_.id_);
    if (linksToOpen_.size() == 1)
        linkTimer_.start(Duration::zero(), [this] { openQueuedLinks(); });
}

void PoolController::openQueuedLinks()
{
    for (std::size_t i = 0; i < linksPerBatch && !linksToOpen_.empty(); ++i) {
        const auto link = links_.find(linksToOpen_.front());
        linksToOpen_.pop_front();
        if (link != links_.end())
            link->second->open();
    }
    if (!linksToOpen_.empty())
        linkTimer_.start(linkBatchInterval, [this] { openQueuedLinks(); });
}

PoolWorkerLink* PoolController::findLink(const WorkerKey& key)
{
    const auto link = links_.find(key.id_);
    return link == links_.end() || link->second->key() != key ? nullptr : link->second.get();
}

PoolWorkerLink::Listener PoolController::makeLinkListener(const std::string& id)
{
    PoolWorkerLink::Listener listener;
    listener.reported_ = [this, id](const PoolWorkerReport& report, Time askedAt) {
        const ActivityTimes::Scope scope(times_, Activity::Report);
        PoolWorkerLink& link = *links_.at(id);
        logNewEnds(report, link.key());
        scheduler_.report(link.key(), report, askedAt, bootTimeNow());
        std::int64_t last = 0;
        std::set<std::string> endedJobs;
        for (const ReportedEnd& end : report.ended_) {
            last = std::max(last, end.sequence_);
            endedJobs.insert(end.run_.task_.job_);
        }
        executeDecisions();
        if (last > 0)
            acknowledgeWhenStored(link.key(), last, endedJobs);
        requestPass();
    };
    listener.restarted_ = [this](const WorkerKey& former, const WorkerKey& current) {
        context_.log_.write("worker.reborn", { { "worker", current.id_ }, { "formerBorn", former.startedUnixMs_ }, { "born", current.startedUnixMs_ } });
        scheduler_.workerRestarted(former, current, bootTimeNow());
        requestPass();
    };
    listener.answersAgain_ = [this, id] {
        context_.log_.write("worker.reachability", { { "worker", id }, { "isReachable", true }, { "cause", "answered" } });
        scheduler_.setReachable(links_.at(id)->key());
        requestPass();
    };
    listener.fellSilent_ = [this, id](Time upUntil, const char* cause) {
        context_.log_.write("worker.reachability", { { "worker", id }, { "isReachable", false }, { "cause", cause } });
        scheduler_.setSilent(links_.at(id)->key(), upUntil, bootTimeNow());
        requestPass();
    };
    listener.leasesExpired_ = [this, id](const PoolWorkerLink::LeaseExpiry& expiry) {
        const WorkerKey key = links_.at(id)->key();
        const auto worker = scheduler_.state().workers_.find(key);
        if (worker == scheduler_.state().workers_.end() || (worker->second.runs_.empty() && worker->second.unrecordedRuns_.empty()))
            return;
        const Time now = bootTimeNow();
        nlohmann::json fields { { "worker", id }, { "born", key.startedUnixMs_ }, { "runs", worker->second.runs_.size() }, { "expiredMsAgo", wholeMilliseconds(now - expiry.expiredAt_) }, { "isOwnGrant", expiry.isOwnGrant_ } };
        if (expiry.lastAnswerAt_)
            fields["lastAnswerMsAgo"] = wholeMilliseconds(now - *expiry.lastAnswerAt_);
        context_.log_.write("worker.lapsed", std::move(fields));
        scheduler_.workerLapsed(key, now);
        requestPass();
    };
    listener.isLeaseHeld_ = [this] { return listener_.isLeaseHeld_(); };
    listener.isStartWanted_ = [this](const RunId& run) { return listener_.isLeaseHeld_() && scheduler_.isStartWanted(run); };
    // Starts outlast a suspension; they are sent once the lease is held again.
    listener.isStartPending_ = [this](const RunId& run) { return scheduler_.isStartPending(run); };
    listener.startSent_ = [this](const RunId& run) { scheduler_.startSent(run, bootTimeNow()); };
    listener.startUnanswered_ = [this](const RunId& run) { scheduler_.startUnanswered(run); };
    listener.startAnswered_ = [this, id](const RunId& run, StartAnswer answer) {
        if (answer != StartAnswer::Accepted)
            context_.log_.write("run.start_refused", { { "job", run.task_.job_ }, { "task", toString(run.task_) }, { "run", run.number_ }, { "worker", id }, { "cause", answer == StartAnswer::StaleRun ? "old" : "refused" } });
        scheduler_.startAnswered(run, answer, bootTimeNow());
        requestPass();
    };
    listener.isStopWanted_ = [this](const RunId& run) {
        const auto entry = scheduler_.state().runs_.find(run);
        return entry == scheduler_.state().runs_.end() || entry->second.phase_ == RunPhase::Stopping;
    };
    listener.stopConfirmed_ = [this](const RunId& run) {
        scheduler_.stopConfirmed(run, bootTimeNow());
        requestPass();
    };
    listener.epochRefused_ = [this, id] { listener_.leaseDoubted_("worker " + id + " has accepted a higher epoch"); };
    return listener;
}

void PoolController::acknowledgeWhenStored(const WorkerKey& key, std::int64_t last, const std::set<std::string>& jobs)
{
    // Reports repeat ends that aren't acknowledged, during an outage of the store for long.
    std::int64_t& awaited = awaitedEnds_[key];
    if (awaited >= last)
        return;
    awaited = last;
    recorder_.whenStored(jobs, [this, key, last] {
        const auto entry = awaitedEnds_.find(key);
        if (entry != awaitedEnds_.end() && entry->second == last)
            awaitedEnds_.erase(entry);
        if (PoolWorkerLink* current = findLink(key))
            current->acknowledgeEnds(last);
    });
}

void PoolController::logNewEnds(const PoolWorkerReport& report, const WorkerKey& key)
{
    // Reports repeat the ends that are not acknowledged yet.
    const auto worker = scheduler_.state().workers_.find(key);
    const std::int64_t lastProcessed = worker == scheduler_.state().workers_.end() ? 0 : worker->second.lastProcessedEnd_;
    std::vector<ReportedEnd> newEnds;
    for (const ReportedEnd& end : report.ended_) {
        if (end.sequence_ > lastProcessed)
            newEnds.push_back(end);
    }
    runLog_.ended(key.id_, newEnds);
}

void PoolController::requestPass()
{
    if (isPassPosted_)
        return;
    isPassPosted_ = true;
    boost::asio::post(context_.loop_, lifetime_.guard([this] { runPass(); }));
}

void PoolController::runPass()
{
    const ActivityTimes::Scope scope(times_, Activity::Pass);
    isPassPosted_ = false;
    runScheduler();
    const Time now = bootTimeNow();
    if (isReady_ && registry_.isLoaded() && linksReviewedAt_ + linkReviewInterval < now)
        reviewLinks();
    Duration delay = std::max(minPassDelay, remaining(scheduler_.nextWake(now, unixMsNow()), now));
    if (!listener_.isLeaseHeld_())
        delay = suspendedPassInterval;
    else if (!deferredStarts_.empty())
        delay = std::min(delay, deferredStartDelay);
    passTimer_.start(delay, [this] { runPass(); });
}

void PoolController::runScheduler()
{
    const Time now = bootTimeNow();
    if (isReady_ && registry_.isLoaded() && listener_.isLeaseHeld_()) {
        sendStarts(std::exchange(deferredStarts_, {}));
        scheduler_.schedule(now, unixMsNow());
        writeSummary();
    }
    executeDecisions();
    recorder_.flush();
}

void PoolController::executeDecisions()
{
    const Decisions decisions = scheduler_.takeDecisions();
    workerCrashes_ += decisions.crashes_.size();
    deadlyTasks_ += decisions.deadlyTasks_.size();
    runLog_.crashed(decisions.crashes_, bootTimeNow());
    runLog_.givenUp(decisions.deadlyTasks_);
    runLog_.moved(decisions.movedRuns_);
    runLog_.lost(decisions.lostRuns_);
    runLog_.stopped(decisions.stops_);
    for (const StopDecision& stop : decisions.stops_) {
        if (PoolWorkerLink* link = findLink(stop.worker_))
            link->stop(stop.run_);
    }
    for (const std::string& job : decisions.changedJobs_)
        recorder_.markChanged(job);
    std::map<std::string, std::vector<StartDecision>> starts;
    for (const StartDecision& start : decisions.starts_)
        starts[start.run_.task_.job_].push_back(start);
    // Each job waits for its own record only, so that one that can't be stored delays no other.
    for (const std::string& job : decisions.changedJobs_) {
        const auto found = scheduler_.state().jobs_.find(job);
        if (found == scheduler_.state().jobs_.end())
            continue;
        recorder_.whenStored({ job }, [this, job, state = found->second.state_, starts = std::move(starts[job])] {
            handleJobStored(job, state);
            if (!starts.empty())
                sendStarts(starts);
        });
    }
}

void PoolController::handleJobStored(const std::string& job, PoolJobState state)
{
    PoolJobState& stored = storedStates_[job];
    if (stored != state)
        context_.log_.write("job.state", { { "job", job }, { "state", describeState(state) } });
    stored = state;
    // Finished jobs would slow each pass down, so only their state is kept.
    // A record that is still to be encoded needs the job.
    if (isFinal(state) && !recorder_.hasPendingChange(job) && scheduler_.forgetJob(job)) {
        payloads_.erase(job);
        unstorableJobs_.erase(job);
        recorder_.forget(job);
        retention_.jobEnded(job, removableAt(0));
    }
}

void PoolController::sendStarts(const std::vector<StartDecision>& decisions)
{
    if (!listener_.isLeaseHeld_()) {
        // A late renewal may still show that the lease is held; otherwise the next holder recovers the runs.
        deferredStarts_.insert(deferredStarts_.end(), decisions.begin(), decisions.end());
        return;
    }
    std::vector<StartDecision> begun;
    for (const StartDecision& decision : decisions) {
        if (scheduler_.beginStart(decision.run_, bootTimeNow()))
            begun.push_back(decision);
    }
    if (begun.size() < decisions.size())
        requestPass(); // some may be placed elsewhere now
    runLog_.started(begun);
    for (const StartDecision& decision : begun) {
        PoolWorkerLink* link = findLink(decision.worker_);
        if (link == nullptr)
            continue;
        StartRequest request;
        request.run_ = decision.run_;
        if (const auto payload = payloads_.find(decision.run_.task_.job_); payload != payloads_.end())
            request.payload_ = payload->second;
        request.checkpoint_ = decision.checkpoint_;
        link->start(std::move(request));
    }
}

void PoolController::writeSummary()
{
    const Time now = bootTimeNow();
    if (now - summaryWrittenAt_ < summaryInterval)
        return;
    const std::map<std::string, int> waiting = scheduler_.waitingJobs();
    if (waiting == summary_)
        return;
    summaryWrittenAt_ = now;
    summary_ = waiting;
    recorder_.addToNextCommit({ summaryTable, summaryKey, nlohmann::json(waiting).dump() });
}

void PoolController::reviewLinks()
{
    linksReviewedAt_ = bootTimeNow();
    for (auto it = links_.begin(); it != links_.end();) {
        const bool isKnown = scheduler_.state().workers_.count(it->second->key()) > 0;
        it = isKnown ? std::next(it) : links_.erase(it);
    }
    // Workers that the registry no longer lists keep a link until their leases have expired.
    std::map<std::string, WorkerInfo> unlinked;
    std::vector<WorkerKey> superseded;
    for (const auto& [key, worker] : scheduler_.state().workers_) {
        if (findLink(key) != nullptr)
            continue;
        const auto link = links_.find(key.id_);
        const auto older = unlinked.find(key.id_);
        if (link != links_.end() && link->second->key().startedUnixMs_ > key.startedUnixMs_) {
            superseded.push_back(key);
            continue;
        }
        // Incarnations of a worker are ordered by their start.
        if (older != unlinked.end())
            superseded.push_back(older->second.key_);
        unlinked[key.id_] = worker.info_;
    }
    for (const auto& [id, info] : unlinked) {
        const bool isRestarted = std::any_of(superseded.begin(), superseded.end(), [&id = id](const WorkerKey& key) { return key.id_ == id; });
        openLink(info, isRestarted);
    }
    for (const WorkerKey& key : superseded) {
        const WorkerKey current = links_.at(key.id_)->key();
        context_.log_.write("worker.superseded", { { "worker", key.id_ }, { "formerBorn", key.startedUnixMs_ }, { "born", current.startedUnixMs_ } });
        scheduler_.workerRestarted(key, current, bootTimeNow());
    }
    if (!superseded.empty())
        requestPass();
}

std::optional<PoolJobState> PoolController::stateOf(const std::string& job) const
{
    const auto state = storedStates_.find(job);
    if (state == storedStates_.end() || !listener_.isLeaseHeld_())
        return std::nullopt;
    // A commit without an answer yet may have been applied, and others may have shown what it stored.
    const auto current = scheduler_.state().jobs_.find(job);
    const bool hasNewState = current != scheduler_.state().jobs_.end() && current->second.state_ != state->second;
    if (hasNewState && recorder_.isBeingStored(job))
        return std::nullopt;
    return state->second;
}

std::optional<int> PoolController::waitingJobs(const std::string& queue) const
{
    if (!isReady_)
        return std::nullopt;
    const std::map<std::string, int> waiting = scheduler_.waitingJobs();
    const auto found = waiting.find(queue);
    return found == waiting.end() ? 0 : found->second;
}

std::size_t PoolController::openJobs() const
{
    std::size_t open = 0;
    for (const auto& [id, job] : scheduler_.state().jobs_)
        open += job.isOpen() ? 1 : 0;
    return open;
}

}
