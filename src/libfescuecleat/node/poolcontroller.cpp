#include "node/poolcontroller.h"

#include "base/bootclock.h"
#include "node/jobintake.h"
#include "node/storelayout.h"
#include "node/waitingsummary.h"
#include "pool/jobrecordrows.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace fescuecleat {

namespace {

    constexpr Duration intakePollWait = std::chrono::milliseconds(2000);
    constexpr Duration readTimeout = std::chrono::milliseconds(1500);
    constexpr Duration readRetryDelay = std::chrono::milliseconds(100);
    /** Time between two writes of the summary; a slow store takes 0.9 s for one, and what other instances answer must be younger than 2 s. */
    constexpr Duration summaryInterval = std::chrono::milliseconds(800);
    /** Delay before starts are tried again that the lease didn't cover, or that a view was too old for. */
    constexpr Duration deferredStartDelay = std::chrono::milliseconds(50);
    /** Longest time between two passes. Reports of progress alone don't cause one; it is judged in the next. */
    constexpr Duration progressPassInterval = std::chrono::milliseconds(100);
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
    , preemptionLog_(context.log_)
    , times_(context.log_)
    , startGate_(context.log_, context.settings_)
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
    , intake_(context.loop_, context.store_, context.clock_, context.log_, { intakeTable, intakeParts() },
          pollWaitFor(maxViewAge(context.settings_.cancelLimit_, PoolWorkerLink::requestTimeout), intakePollWait, Duration::zero()),
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
    , links_(context, scheduler_, lease,
          { [this](const WorkerKey& worker, const PoolWorkerReport& report, Time askedAt) { handleReport(worker, report, askedAt); },
              [this] { return listener_.isLeaseHeld_(); },
              [this](const RunId& run) { return mayStart(run); },
              [this](const std::string& cause) { listener_.leaseDoubted_(cause); },
              [this] { requestPass(); } })
    , recordsTimer_(context.loop_)
    , passTimer_(context.loop_)
    , backlog_(context)
{
    scheduler_.setRunLimit(context.settings_.runLimit());
    scheduler_.setGuaranteeLimit(context.settings_.guaranteeLimit_);
    scheduler_.setStopCosts(context.settings_.stopCosts_);
    scheduler_.setSubmissionWindow(context.settings_.submissionWindow_);
    scheduler_.setOverloadOrder(context.settings_.usesOverloadOrder_);
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
    links_.refresh();
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
    links_.start();
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
    scheduler_.setOrganisations(configuration.organisationPolicies());
    std::map<std::string, std::string> services;
    for (const QueueConfiguration& queue : configuration.queues_)
        services[queue.name_] = queue.service_;
    for (const std::string& queue : scheduler_.setQueueServices(configuration.version_, services))
        context_.log_.write("queue.moved", { { "queue", queue }, { "service", services.at(queue) }, { "configuration", configuration.version_ } });
    links_.addServices(configuration.services_);
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
    links_.addServices({ intake->policy_.service_ });
    payloads_[id] = std::make_shared<const std::string>(std::move(intake->spec_.payload_));
    intake->spec_.payload_.clear();
    scheduler_.addJob(id, std::move(intake->spec_), intake->policy_, submittedAt, stored, now);
    if (cancelled_.count(id) > 0)
        scheduler_.cancelJob(id, now);
    if (record != records_.end())
        records_.erase(record);
}

void PoolController::handleReport(const WorkerKey& worker, const PoolWorkerReport& report, Time askedAt)
{
    const ActivityTimes::Scope scope(times_, Activity::Report);
    logNewEnds(report, worker);
    scheduler_.report(worker, report, askedAt, bootTimeNow());
    std::int64_t last = 0;
    std::set<std::string> endedJobs;
    for (const ReportedEnd& end : report.ended_) {
        last = std::max(last, end.sequence_);
        endedJobs.insert(end.run_.task_.job_);
    }
    const bool hasChanged = executeDecisions() || !report.ended_.empty();
    if (last > 0)
        acknowledgeWhenStored(worker, last, endedJobs);
    // A pass looks at all workers, and most reports say only that the runs go on.
    if (hasChanged)
        requestPass();
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
        if (PoolWorkerLink* current = links_.find(key))
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
    if (isReady_)
        links_.reviewIfDue(now);
    Duration delay = std::max(minPassDelay, remaining(scheduler_.nextWake(now, unixMsNow()), now));
    if (!listener_.isLeaseHeld_())
        delay = suspendedPassInterval;
    else if (!deferredStarts_.empty())
        delay = std::min(delay, deferredStartDelay);
    if (isReady_ && listener_.isLeaseHeld_())
        delay = std::max(minPassDelay, std::min({ delay, progressPassInterval, remaining(summaryDueAt_, now) }));
    passTimer_.start(delay, [this] { runPass(); });
}

void PoolController::runScheduler()
{
    const Time now = bootTimeNow();
    const bool isHolder = isReady_ && listener_.isLeaseHeld_();
    if (isHolder && links_.isLoaded()) {
        if (!deferredStarts_.empty() && startGate_.isOpen(viewTimes(), now))
            sendStarts(std::exchange(deferredStarts_, {}));
        scheduler_.schedule(now, unixMsNow());
        if (auto row = backlog_.rowDue(scheduler_.state(), now))
            recorder_.addToNextCommit(std::move(*row));
    }
    if (isHolder)
        writeSummary(now);
    executeDecisions();
    recorder_.flush();
}

bool PoolController::executeDecisions()
{
    const Decisions decisions = scheduler_.takeDecisions();
    const bool hasDecisions = !decisions.isEmpty();
    workerCrashes_ += decisions.crashes_.size();
    deadlyTasks_ += decisions.deadlyTasks_.size();
    runLog_.crashed(decisions.crashes_, bootTimeNow());
    runLog_.givenUp(decisions.deadlyTasks_);
    runLog_.limited(decisions.limitChanges_);
    runLog_.moved(decisions.movedRuns_);
    runLog_.lost(decisions.lostRuns_);
    runLog_.stopped(decisions.stops_);
    preemptionLog_.update(scheduler_.state().preemptionAccount_, bootTimeNow());
    runLog_.postponed(decisions.postponedJobs_, bootTimeNow());
    for (const StopDecision& stop : decisions.stops_) {
        if (PoolWorkerLink* link = links_.find(stop.worker_))
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
    return hasDecisions;
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
    if (!decisions.empty() && !startGate_.isOpen(viewTimes(), bootTimeNow())) {
        startGate_.countWithheld(decisions.size());
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
        PoolWorkerLink* link = links_.find(decision.worker_);
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

ViewTimes PoolController::viewTimes() const
{
    return { links_.registryAsOf(), listener_.operatorRowsAsOf_ ? listener_.operatorRowsAsOf_() : bootTimeNow(), intake_.currentAsOf() };
}

bool PoolController::mayStart(const RunId& run)
{
    if (!listener_.isLeaseHeld_())
        return false;
    const Time now = bootTimeNow();
    if (const auto revocation = scheduler_.giveUpRevokedStart(run, now)) {
        startGate_.noteRevoked(run, *revocation);
        requestPass();
        return false;
    }
    if (!startGate_.isOpen(viewTimes(), now)) {
        startGate_.countWithheld(1);
        return false;
    }
    return scheduler_.isStartWanted(run);
}

void PoolController::writeSummary(Time now)
{
    // A number of zero is published as well: without it, other instances could not tell it from a summary that is too old.
    if (now < summaryDueAt_)
        return;
    summaryDueAt_ = now + summaryInterval;
    recorder_.addToNextCommit({ summaryTable, summaryKey, encodeWaitingSummary({ scheduler_.waitingJobs(), context_.clock_.earliestMs(now) }) });
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
    if (!isReady_ || !listener_.isLeaseHeld_())
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
