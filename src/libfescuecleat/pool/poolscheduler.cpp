#include "pool/poolscheduler.h"

#include "pool/crashreview.h"
#include "pool/healthreview.h"
#include "pool/jobrecordrows.h"
#include "pool/schedulingpass.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fescuecleat {

namespace {

    /** A run that reports progress after this time counts as healthy. */
    constexpr Duration minHealthyRunTime = std::chrono::seconds(1);
    /** Backoff before a unit is placed again after a worker refused it. */
    constexpr Duration refusalBackoff = std::chrono::milliseconds(200);
    /** Limit of ends per report; a report with this many may omit others. */
    constexpr std::size_t maxEndsPerReport = 500;
    /** Timeout of unanswered starts; well below the time that gang members wait for each other. */
    constexpr Duration startTimeout = std::chrono::milliseconds(1500);
    /** Interval at which an unconfirmed stop is sent again. */
    constexpr Duration stopRetryInterval = std::chrono::milliseconds(1000);
    /** Workers report about once a second, so more frequent reviews would see no new data. */
    constexpr Duration reviewInterval = std::chrono::milliseconds(250);
    /** Occurrences that are due in quick succession are opened together, so that a job's period doesn't set the rate of passes. */
    constexpr Duration minOpeningInterval = std::chrono::milliseconds(20);
    /** Limit of the time between two schedule() calls, for checks that depend on time alone. */
    constexpr Duration maxScheduleInterval = std::chrono::seconds(1);

}

void PoolScheduler::addJob(const std::string& id, PoolJobSpec spec, JobPolicy policy, Time submittedAt, const PoolJobRecord* record, Time now)
{
    if (state_.jobs_.count(id) > 0)
        return;
    Job job;
    job.id_ = id;
    job.spec_ = std::move(spec);
    job.policy_ = std::move(policy);
    job.submittedAt_ = submittedAt;
    job.progress_ = WorkProgress(job.spec_);
    job.computeTargets();
    followQueue(job);
    Job& added = state_.jobs_.emplace(id, std::move(job)).first->second;
    if (added.spec_.isTimed())
        timedJobs_.insert(id);
    if (record == nullptr || !isFinal(record->state_))
        state_.submissions_.add(added.policy_.organisation_, id, submittedAt);
    if (record != nullptr)
        restore(added, *record, now);
    else if (!added.spec_.isTimed())
        added.progress_.open(1, now);
}

std::set<std::string> PoolScheduler::setQueueServices(std::uint64_t version, std::map<std::string, std::string> services)
{
    configurationVersion_ = version;
    queueServices_ = std::move(services);
    std::set<std::string> moved;
    for (auto& [id, job] : state_.jobs_) {
        if (job.isOpen() && followQueue(job))
            moved.insert(job.policy_.queue_);
    }
    return moved;
}

bool PoolScheduler::followQueue(Job& job) const
{
    const auto queue = queueServices_.find(job.policy_.queue_);
    if (queue == queueServices_.end() || configurationVersion_ <= job.policy_.configurationVersion_)
        return false;
    job.policy_.configurationVersion_ = configurationVersion_;
    return std::exchange(job.policy_.service_, queue->second) != queue->second;
}

void PoolScheduler::restore(Job& job, const PoolJobRecord& record, Time now)
{
    job.state_ = record.state_;
    const std::map<UnitId, UnitRecord> units = unitRecords(job, record);
    job.progress_.restoreDone(record.done_, job.occurrences(), now);
    job.hasBegun_ = !record.done_.empty();
    int started = job.spec_.isTimed() ? job.progress_.doneOccurrencesEnd() : 1;
    for (const auto& [unit, stored] : units)
        started = std::max(started, unit.occurrence_ + 1);
    job.progress_.open(started, now);
    for (const auto& [unit, stored] : units)
        restoreUnit(job, unit, stored, now);
    if (!isFinal(job.state_))
        return completeIfDone(job);
    for (const UnitId& unit : job.progress_.unitsWithRuns()) {
        if (job.unit(unit).state_ == UnitState::Active)
            state_.stopUnit(job, unit, "the job has ended", now);
    }
}

std::map<UnitId, UnitRecord> PoolScheduler::unitRecords(const Job& job, const PoolJobRecord& record)
{
    std::map<UnitId, UnitRecord> result;
    for (const UnitRecord& stored : record.units_) {
        const UnitId unit { stored.occurrence_, stored.step_, stored.index_ };
        if (!job.progress_.contains(unit, job.occurrences()))
            continue;
        const auto [entry, isNew] = result.emplace(unit, stored);
        if (isNew)
            continue;
        // A gang has an entry in the row of each of its members. After a failover between two commits, some may be of an earlier run.
        UnitRecord& merged = entry->second;
        const bool isDone = merged.isDone_ || stored.isDone_;
        if (merged.lastRun_ < stored.lastRun_)
            merged = stored;
        else if (merged.lastRun_ == stored.lastRun_) {
            merged.placements_.insert(merged.placements_.end(), stored.placements_.begin(), stored.placements_.end());
            merged.crashes_.insert(merged.crashes_.end(), stored.crashes_.begin(), stored.crashes_.end());
        }
        merged.isDone_ = isDone;
    }
    return result;
}

void PoolScheduler::restoreUnit(Job& job, const UnitId& id, const UnitRecord& stored, Time now)
{
    const bool isDone = stored.isDone_ || job.progress_.isDone(id);
    WorkUnit& unit = job.progress_.start(id);
    unit.lastRun_ = stored.lastRun_;
    unit.failures_ = stored.failures_;
    unit.lastFailedRun_ = stored.lastFailedRun_;
    unit.checkpoint_ = stored.checkpoint_;
    job.hasBegun_ = job.hasBegun_ || isDone || unit.failures_ > 0 || !unit.checkpoint_.empty();
    for (const CrashRecord& crash : stored.crashes_)
        unit.crashes_[crash.index_] = crash.crashes_;
    const Resources allocation = job.step(unit).allocation();
    std::size_t placed = 0;
    for (const PlacementRecord& placement : stored.placements_) {
        const RunId run { { job.id_, id.occurrence_, id.step_, placement.index_ }, unit.lastRun_ };
        if (state_.runs_.count(run) > 0)
            continue;
        PoolWorkerState& worker = state_.workers_[placement.worker_];
        if (worker.info_.key_ != placement.worker_) {
            // This incarnation is not in the registry; its runs keep their resources until they are known to have ended.
            worker.info_.key_ = placement.worker_;
            worker.info_.machine_ = placement.machine_;
            worker.isListed_ = false;
        }
        TaskRun taskRun;
        taskRun.worker_ = placement.worker_;
        taskRun.phase_ = RunPhase::Starting;
        taskRun.resources_ = allocation;
        taskRun.unit_ = id;
        taskRun.startedAt_ = now;
        // Fencing: the worker rejects requests of the former lease holder that are still in flight.
        taskRun.acknowledgedAt_ = now;
        state_.addRun(run, taskRun, job);
        unansweredStarts_.emplace_back(now, run);
        ++placed;
    }
    if (isDone) {
        job.progress_.setState(id, UnitState::Done, now);
        return job.progress_.dropDone(id);
    }
    if (placed == 0)
        return;
    job.progress_.setState(id, UnitState::Active, now);
    unit.startedAt_ = now;
    if (static_cast<int>(placed) < unit.taskCount_)
        abortRun(job, id, "part of the gang had ended", now);
}

void PoolScheduler::openDueOccurrences(Job& job, std::int64_t unixMs, Time now)
{
    job.progress_.open(job.spec_.occurrencesDueAt(unixMs), now);
}

void PoolScheduler::cancelJob(const std::string& id, Time now)
{
    Job* job = state_.findJob(id);
    if (job == nullptr || !job->isOpen())
        return;
    endJob(*job, PoolJobState::Cancelled, "the job was cancelled", now);
}

void PoolScheduler::endJob(Job& job, PoolJobState state, const std::string& cause, Time now)
{
    job.state_ = state;
    for (const UnitId& unit : job.progress_.unitsWithRuns())
        state_.stopUnit(job, unit, cause, now);
    state_.decisions_.changedJobs_.insert(job.id_);
}

void PoolScheduler::failJob(const std::string& id, const std::string& cause, Time now)
{
    Job* job = state_.findJob(id);
    if (job != nullptr && job->isOpen())
        endJob(*job, PoolJobState::Failed, cause, now);
}

bool PoolScheduler::forgetJob(const std::string& id)
{
    const Job* job = state_.findJob(id);
    if (job == nullptr || job->isOpen() || state_.decisions_.changedJobs_.count(id) > 0 || job->progress_.hasRuns())
        return false;
    state_.jobs_.erase(id);
    timedJobs_.erase(id);
    return true;
}

void PoolScheduler::putWorker(const WorkerInfo& info, Time now)
{
    // A machine runs one worker at a time, and a worker has one current incarnation.
    std::vector<WorkerKey> former;
    for (auto& [key, worker] : state_.workers_) {
        // Workers of services that share a machine live side by side; records don't name the service.
        const bool isSameService = worker.info_.service_.empty() || worker.info_.service_ == info.service_;
        const bool isSameMachine = !info.machine_.empty() && worker.info_.machine_ == info.machine_ && isSameService;
        if (key != info.key_ && (key.id_ == info.key_.id_ || isSameMachine) && key.startedUnixMs_ < info.key_.startedUnixMs_)
            former.push_back(key);
    }
    Time lastCrashAt {};
    for (const WorkerKey& key : former) {
        lastCrashAt = std::max(lastCrashAt, state_.workers_.at(key).lastCrashAt_);
        if (key.id_ == info.key_.id_) {
            workerRestarted(key, info.key_, now);
        } else {
            lastCrashAt = std::max(lastCrashAt, noteCrash(key, now));
            workerLost(key, "another worker runs on its machine", now);
            state_.workers_.erase(key);
        }
    }
    PoolWorkerState& worker = state_.workers_[info.key_];
    const bool wasDescribed = worker.isDescribed_ && worker.info_.key_ == info.key_;
    if (info.isDraining_ && !worker.info_.isDraining_)
        worker.leavesAt_ = now + info.leavesIn_;
    worker.lastCrashAt_ = std::max(worker.lastCrashAt_, lastCrashAt);
    worker.info_ = info;
    worker.isListed_ = true;
    worker.isDescribed_ = true;
    if (!wasDescribed)
        stopUnsuitableRuns(info.key_, now);
    giveUpTasks(CrashReview(state_, now).workerAppeared(info), now);
}

bool PoolScheduler::isSuitable(const PoolWorkerState& worker, const RunId& run, const TaskRun& taskRun) const
{
    const auto job = state_.jobs_.find(run.task_.job_);
    if (!worker.isDescribed_ || job == state_.jobs_.end())
        return false;
    const StepSpec& step = job->second.step(taskRun.unit_.step_);
    if (!isEligible(worker.info_, step, job->second.policy_.service_) || !worker.info_.capacity_.contains(worker.used_ + worker.unrecorded_))
        return false;
    if (step.maxTasksPerWorker_ == 0)
        return true;
    const auto isOfStep = [&run](const RunId& other) { return areOfOneStep(other.task_, run.task_); };
    const auto tasks = std::count_if(worker.runs_.begin(), worker.runs_.end(), isOfStep) + std::count_if(worker.unrecordedRuns_.begin(), worker.unrecordedRuns_.end(), isOfStep);
    return tasks <= step.maxTasksPerWorker_;
}

bool PoolScheduler::isActiveWithoutRecord(const TaskId& task) const
{
    return std::any_of(state_.workers_.begin(), state_.workers_.end(), [&task](const auto& entry) {
        const std::vector<RunId>& runs = entry.second.unrecordedRuns_;
        return std::any_of(runs.begin(), runs.end(), [&task](const RunId& run) { return run.task_ == task; });
    });
}

void PoolScheduler::stopUnsuitableRuns(const WorkerKey& key, Time now)
{
    const PoolWorkerState& worker = state_.workers_.at(key);
    for (const RunId& run : std::set<RunId>(worker.runs_)) {
        const auto entry = state_.runs_.find(run);
        if (entry == state_.runs_.end())
            continue;
        const TaskRun& taskRun = entry->second;
        Job* job = state_.findJob(run.task_.job_);
        if (job != nullptr && taskRun.phase_ != RunPhase::Stopping && !isSuitable(worker, run, taskRun))
            abortRun(*job, taskRun.unit_, "its worker came back as another kind", now);
    }
}

void PoolScheduler::delistWorker(const std::string& id)
{
    for (auto it = state_.workers_.begin(); it != state_.workers_.end();) {
        if (it->first.id_ != id) {
            ++it;
            continue;
        }
        it->second.isListed_ = false;
        const WorkerKey key = (it++)->first;
        state_.eraseWorkerIfGone(key);
    }
}

void PoolScheduler::setReachable(const WorkerKey& key)
{
    PoolWorkerState* const worker = state_.findWorker(key);
    if (worker == nullptr)
        return;
    worker->isReachable_ = true;
    worker->silentSince_.reset();
}

void PoolScheduler::setSilent(const WorkerKey& key, Time upUntil, Time now)
{
    PoolWorkerState* const worker = state_.findWorker(key);
    if (worker == nullptr || !std::exchange(worker->isReachable_, false))
        return;
    // To have been up is as good as a report for what has started long enough before.
    for (const RunId& id : std::set<RunId>(worker->startingRuns_)) {
        TaskRun& run = state_.runs_.at(id);
        Job* const job = state_.findJob(id.task_.job_);
        if (job != nullptr && state_.isAtWorkSince(job->unit(run.unit_), upUntil - minHealthyRunTime))
            state_.noteSurvivedStart(id, run);
    }
    state_.noteSilence(*worker, now);
}

void PoolScheduler::giveUp(const RunId& run, const std::string& cause, Time now)
{
    const auto entry = state_.runs_.find(run);
    if (entry == state_.runs_.end())
        return;
    state_.decisions_.lostRuns_.push_back({ run, entry->second.worker_, cause });
    applyEnd(run, EndReason::LeaseExpired, {}, now);
}

Time PoolScheduler::noteCrash(const WorkerKey& key, Time now)
{
    const PoolWorkerState* const worker = state_.findWorker(key);
    if (worker == nullptr || worker->info_.isDraining_)
        return {};
    giveUpTasks(CrashReview(state_, now).workerCrashed(key), now);
    return now;
}

void PoolScheduler::giveUpTasks(const std::vector<TaskId>& tasks, Time now)
{
    for (const TaskId& task : tasks) {
        Job* const job = state_.findJob(task.job_);
        if (job == nullptr || !job->isOpen())
            continue;
        state_.decisions_.deadlyTasks_.push_back({ task, job->crashesOf(task) });
        endJob(*job, PoolJobState::Failed, "a task crashes the workers that start it", now);
    }
}

void PoolScheduler::workerLapsed(const WorkerKey& key, Time now)
{
    CrashReview(state_, now).workerLapsed(key);
    workerLost(key, "its lease has expired", now);
}

void PoolScheduler::workerLost(const WorkerKey& key, const std::string& cause, Time now)
{
    const PoolWorkerState* worker = state_.findWorker(key);
    if (worker == nullptr)
        return;
    for (const RunId& run : std::set<RunId>(worker->runs_))
        giveUp(run, cause, now);
    PoolWorkerState* current = state_.findWorker(key);
    if (current == nullptr)
        return;
    // What it may run without a record has ended as well.
    current->unrecorded_ = {};
    current->unrecordedRuns_.clear();
    countUnrecordedRuns(*current);
    state_.eraseWorkerIfGone(key);
}

void PoolScheduler::workerRestarted(const WorkerKey& former, const WorkerKey& current, Time now)
{
    const Time crashedAt = noteCrash(former, now);
    const PoolWorkerState* old = state_.findWorker(former);
    if (old == nullptr)
        return;
    PoolWorkerState& restarted = state_.workers_[current];
    restarted.lastCrashAt_ = std::max({ restarted.lastCrashAt_, old->lastCrashAt_, crashedAt });
    if (restarted.info_.key_ != current) {
        restarted.info_ = old->info_;
        restarted.info_.key_ = current;
        restarted.isListed_ = old->isListed_;
        restarted.isDescribed_ = false;
    }
    for (const RunId& run : std::set<RunId>(old->runs_)) {
        const auto entry = state_.runs_.find(run);
        if (entry == state_.runs_.end())
            continue; // ended with another run of its gang
        TaskRun& taskRun = entry->second;
        if (taskRun.wasReceivedBefore(old->lastReportRequestedAt_) || taskRun.phase_ == RunPhase::Recording)
            continue;
        // The run ended with the former incarnation, but only a stop keeps the next one from executing an earlier request.
        Job* job = state_.findJob(run.task_.job_);
        if (job != nullptr && taskRun.phase_ == RunPhase::Running && taskRun.mayStartLate_)
            abortRun(*job, taskRun.unit_, "its worker restarted", now);
        taskRun.hasMoved_ = true;
        state_.rebindRun(run, taskRun, current, now);
        state_.decisions_.movedRuns_.push_back({ run, former, current });
    }
    workerLost(former, "the worker restarted", now);
    state_.workers_.erase(former);
}

void PoolScheduler::report(const WorkerKey& key, const PoolWorkerReport& report, Time requestedAt, Time now)
{
    PoolWorkerState* worker = state_.findWorker(key);
    if (worker == nullptr)
        return;
    // The end of its last run doesn't remove the worker while the report is read, which may list runs without a record.
    const bool wasListed = std::exchange(worker->isListed_, true);
    applyReport(key, report, requestedAt, now);
    worker->isListed_ = wasListed;
    state_.eraseWorkerIfGone(key);
}

void PoolScheduler::applyReport(const WorkerKey& key, const PoolWorkerReport& report, Time requestedAt, Time now)
{
    PoolWorkerState* const worker = state_.findWorker(key);
    worker->isReachable_ = true;
    worker->silentSince_.reset();
    // The worker was only silent.
    std::deque<WorkerCrash>& lapsed = state_.lapsedWorkers_;
    lapsed.erase(std::remove_if(lapsed.begin(), lapsed.end(), [&key](const WorkerCrash& other) { return other.worker_ == key; }), lapsed.end());
    worker->lastReportRequestedAt_ = std::max(worker->lastReportRequestedAt_, requestedAt);
    std::set<RunId> listed;
    for (const ReportedEnd& end : report.ended_) {
        listed.insert(end.run_);
        if (end.sequence_ <= worker->lastProcessedEnd_)
            continue;
        worker->lastProcessedEnd_ = end.sequence_;
        const auto entry = state_.runs_.find(end.run_);
        if (entry == state_.runs_.end() || entry->second.worker_ != key)
            continue;
        // A run that is stopped before its start arrives ends as stopped, too.
        if (Job* const job = state_.findJob(end.run_.task_.job_); job != nullptr && end.reason_ != EndReason::Stopped)
            job->hasBegun_ = true;
        applyEnd(end.run_, end.reason_, end.checkpoint_, now);
    }
    worker->unrecorded_ = {};
    worker->unrecordedRuns_.clear();
    for (const ReportedRun& reported : report.running_) {
        listed.insert(reported.run_);
        const auto entry = state_.runs_.find(reported.run_);
        if (entry == state_.runs_.end() || entry->second.worker_ != key) {
            worker->unrecorded_ += unrecordedAllocation(reported.run_, *worker);
            worker->unrecordedRuns_.push_back(reported.run_);
            state_.decisions_.stops_.push_back({ reported.run_, key, "no record of this run" });
            continue;
        }
        TaskRun& run = entry->second;
        if (!run.startConfirmedAt_)
            run.startConfirmedAt_ = requestedAt;
        if (run.phase_ == RunPhase::Starting) {
            run.phase_ = RunPhase::Running;
            run.acknowledgedAt_ = now;
        }
        run.observeProgress(reported.percentDone_, now);
        Job* job = state_.findJob(reported.run_.task_.job_);
        if (job == nullptr)
            continue;
        job->hasBegun_ = true;
        if (!run.hasSurvivedStart_ && state_.isAtWorkSince(job->unit(run.unit_), requestedAt - minHealthyRunTime))
            state_.noteSurvivedStart(reported.run_, run);
        clearOfCrashes(*job, reported.run_, run, requestedAt);
        if (!reported.checkpoint_.empty())
            job->unit(run.unit_).checkpoint_ = reported.checkpoint_;
        if (run.phase_ == RunPhase::Running && reported.percentDone_ > 0 && run.startedAt_ + minHealthyRunTime < now)
            noteHealthyRun(*job, run);
    }
    countUnrecordedRuns(*worker);
    if (report.ended_.size() >= maxEndsPerReport)
        return;
    for (const RunId& run : std::set<RunId>(worker->runs_)) {
        const auto entry = state_.runs_.find(run);
        if (entry == state_.runs_.end())
            continue;
        TaskRun& taskRun = entry->second;
        if (taskRun.phase_ == RunPhase::Stopping && !taskRun.acknowledgedAt_ && taskRun.stopRequestedAt_ + stopRetryInterval < now) {
            // The stop was lost, or there was no connection to the worker yet.
            taskRun.stopRequestedAt_ = now;
            state_.decisions_.stops_.push_back({ run, key, "the stop is not confirmed" });
        }
        if (listed.count(run) > 0)
            continue;
        if (entry->second.acknowledgedAt_ && *entry->second.acknowledgedAt_ < requestedAt)
            giveUp(run, "the worker no longer reports it", now);
    }
}

void PoolScheduler::countUnrecordedRuns(const PoolWorkerState& worker)
{
    std::map<std::string, Resources> resources;
    for (const RunId& run : worker.unrecordedRuns_) {
        const Job* const job = state_.findJob(run.task_.job_);
        if (job != nullptr && static_cast<std::size_t>(run.task_.step_) < job->spec_.steps_.size())
            resources[job->policy_.organisation_] += job->step(run.task_.step_).resources_;
    }
    state_.usage_.setUnrecorded(worker.info_.key_, std::move(resources));
}

bool PoolScheduler::isWithinOrganisationLimit(const RunId& run, const TaskRun& taskRun) const
{
    const auto job = state_.jobs_.find(run.task_.job_);
    // The run itself is counted already.
    return job == state_.jobs_.end() || !state_.usage_.exceededBy(job->second.policy_.organisation_, job->second.step(taskRun.unit_.step_).resources_, 0);
}

void PoolScheduler::clearOfCrashes(Job& job, const RunId& run, const TaskRun& taskRun, Time now)
{
    WorkUnit& unit = job.unit(taskRun.unit_);
    const auto crashes = unit.crashes_.find(run.task_.index_);
    if (crashes == unit.crashes_.end() || !taskRun.hasSurvivedStart_ || !state_.isAtWorkSince(unit, now - crashes->second.longestRun_))
        return;
    unit.crashes_.erase(crashes);
    state_.decisions_.changedJobs_.insert(job.id_);
}

Resources PoolScheduler::unrecordedAllocation(const RunId& run, const PoolWorkerState& worker) const
{
    const auto job = state_.jobs_.find(run.task_.job_);
    const auto step = static_cast<std::size_t>(run.task_.step_);
    if (job == state_.jobs_.end() || step >= job->second.spec_.steps_.size())
        return worker.info_.capacity_;
    return job->second.spec_.steps_[step].allocation();
}

void PoolScheduler::applyEnd(const RunId& run, EndReason reason, const std::string& checkpoint, Time now)
{
    const auto entry = state_.runs_.find(run);
    if (entry == state_.runs_.end())
        return;
    const TaskRun taskRun = entry->second;
    Job* job = state_.findJob(run.task_.job_);
    if (job == nullptr)
        return state_.releaseRun(run, now);
    WorkUnit& unit = job->unit(taskRun.unit_);
    if (!checkpoint.empty())
        unit.checkpoint_ = checkpoint;
    const bool isLongRunning = job->step(unit).isLongRunning_;
    if (reason == EndReason::Done && !isLongRunning) {
        job->progress_.setState(taskRun.unit_, UnitState::Done, now);
        noteHealthyRun(*job, taskRun);
    }
    const bool isDone = unit.state_ == UnitState::Done;
    if (reason == EndReason::Failed && !isDone)
        recordFailure(*job, unit, run.number_, taskRun, now);
    state_.releaseRun(run, now);
    // A done unit is dropped with its last run.
    if (isDone)
        return completeIfDone(*job);
    if (job->isOpen() && !unit.openRuns_.empty())
        abortRun(*job, taskRun.unit_, "another task of the gang ended", now);
}

void PoolScheduler::abortRun(Job& job, UnitId unit, const std::string& cause, Time now)
{
    // A done unit may have been dropped with its last run.
    const WorkUnit* const started = job.progress_.find(unit);
    if (started != nullptr && !started->isRunAborted_)
        state_.stopUnit(job, unit, cause, now);
}

void PoolScheduler::recordFailure(Job& job, WorkUnit& unit, int number, const TaskRun& run, Time now)
{
    unit.failedOn_.insert(run.worker_.id_);
    noteFailedRun(job, run, now);
    // A gang fails as a whole, however many of its members do.
    if (unit.lastFailedRun_ == number)
        return;
    unit.lastFailedRun_ = number;
    ++unit.failures_;
    if (job.step(unit).isLongRunning_ || unit.failures_ < job.policy_.maxAttempts_ || !job.isOpen())
        return;
    if (!job.hasHealthyRun_ && job.failedOn_.size() > 1)
        retractFailures(job);
    endJob(job, PoolJobState::Failed, "a task failed as often as the queue allows", now);
}

void PoolScheduler::noteFailedRun(Job& job, const TaskRun& run, Time now)
{
    const bool wasSuspect = job.isSuspect();
    job.failedOn_.insert(run.worker_);
    PoolWorkerState* worker = state_.findWorker(run.worker_);
    if (!job.isSuspect()) {
        if (worker != nullptr)
            worker->health_.runFailed(job.id_, run.startedAt_, now);
        return;
    }
    if (!wasSuspect)
        retractFailures(job);
}

void PoolScheduler::retractFailures(const Job& job)
{
    for (const WorkerKey& key : job.failedOn_) {
        if (PoolWorkerState* worker = state_.findWorker(key))
            worker->health_.retractFailures(job.id_);
    }
}

void PoolScheduler::noteHealthyRun(Job& job, const TaskRun& run)
{
    job.hasHealthyRun_ = true;
    if (PoolWorkerState* worker = state_.findWorker(run.worker_))
        worker->health_.runSucceeded(run.startedAt_);
}

void PoolScheduler::completeIfDone(Job& job)
{
    if (!job.isOpen() || !job.progress_.areDone(job.occurrences()))
        return;
    job.state_ = PoolJobState::Completed;
    state_.decisions_.changedJobs_.insert(job.id_);
}

bool PoolScheduler::isStartWanted(const RunId& run) const
{
    const auto entry = state_.runs_.find(run);
    if (entry == state_.runs_.end() || entry->second.phase_ != RunPhase::Starting)
        return false;
    // The former incarnation may have crashed at this start, as others did before.
    const auto job = state_.jobs_.find(run.task_.job_);
    if (entry->second.hasMoved_ && entry->second.mayStartLate_ && job != state_.jobs_.end() && job->second.crashesOf(run.task_).total_ > 1)
        return false;
    const auto worker = state_.workers_.find(entry->second.worker_);
    return worker != state_.workers_.end() && worker->second.takesNewWork(state_.closedDataCentres_) && isSuitable(worker->second, run, entry->second) && !isActiveWithoutRecord(run.task_) && isWithinOrganisationLimit(run, entry->second);
}

std::optional<StartRevocation> PoolScheduler::giveUpRevokedStart(const RunId& run, Time now)
{
    const auto revocation = findStartRevocation(state_, run);
    Job* const job = state_.findJob(run.task_.job_);
    if (!revocation || job == nullptr)
        return std::nullopt;
    const TaskRun taskRun = state_.runs_.at(run);
    abortRun(*job, taskRun.unit_, std::string("its start is no longer permitted: ") + startRevocationName(*revocation), now);
    if (!taskRun.mayBeKnownToWorker()) {
        std::vector<StopDecision>& stops = state_.decisions_.stops_;
        stops.erase(std::remove_if(stops.begin(), stops.end(), [&run](const StopDecision& stop) { return stop.run_ == run; }), stops.end());
        state_.releaseRun(run, now);
    }
    return revocation;
}

bool PoolScheduler::isStartPending(const RunId& run) const
{
    const auto entry = state_.runs_.find(run);
    return entry != state_.runs_.end() && entry->second.phase_ == RunPhase::Starting;
}

bool PoolScheduler::beginStart(const RunId& run, Time now)
{
    const auto entry = state_.runs_.find(run);
    if (entry == state_.runs_.end() || entry->second.phase_ != RunPhase::Recording)
        return false;
    const PoolWorkerState* worker = state_.findWorker(entry->second.worker_);
    Job* job = state_.findJob(run.task_.job_);
    if (job != nullptr && (worker == nullptr || !worker->takesNewWork(state_.closedDataCentres_) || !isSuitable(*worker, run, entry->second) || isActiveWithoutRecord(run.task_))) {
        // The record was stored late; nothing has been sent, so the task can be placed again at once.
        abortRun(*job, entry->second.unit_, "its worker takes no new work", now);
        return false;
    }
    if (job != nullptr && !isWithinOrganisationLimit(run, entry->second)) {
        abortRun(*job, entry->second.unit_, "the limit of its organisation was lowered", now);
        return false;
    }
    entry->second.phase_ = RunPhase::Starting;
    entry->second.startedAt_ = now;
    unansweredStarts_.emplace_back(now, run);
    return true;
}

void PoolScheduler::startSent(const RunId& run, Time now)
{
    const auto entry = state_.runs_.find(run);
    if (entry != state_.runs_.end())
        entry->second.startSentAt_ = now;
}

void PoolScheduler::startUnanswered(const RunId& run)
{
    const auto entry = state_.runs_.find(run);
    if (entry != state_.runs_.end())
        entry->second.mayStartLate_ = true;
}

void PoolScheduler::startAnswered(const RunId& run, StartAnswer answer, Time now)
{
    const auto entry = state_.runs_.find(run);
    if (entry == state_.runs_.end())
        return;
    TaskRun& taskRun = entry->second;
    if (answer == StartAnswer::Refused && taskRun.phase_ == RunPhase::Starting) {
        Job* job = state_.findJob(run.task_.job_);
        if (job != nullptr) {
            job->unit(taskRun.unit_).retryAt_ = now + refusalBackoff;
            retryTimes_.push_back(now + refusalBackoff);
        }
        if (!taskRun.mayStartLate_ || job == nullptr)
            return applyEnd(run, EndReason::Stopped, {}, now);
        // Only a confirmed stop keeps the worker from executing an earlier request after all.
        return abortRun(*job, taskRun.unit_, "the worker refused the start after an earlier request without an answer", now);
    }
    // A refusal says nothing about earlier requests.
    if (answer == StartAnswer::Refused)
        return;
    Job* const started = state_.findJob(run.task_.job_);
    if (answer == StartAnswer::Accepted && started != nullptr)
        started->hasBegun_ = true;
    if (!taskRun.startConfirmedAt_)
        taskRun.startConfirmedAt_ = now;
    // An answer to the start doesn't confirm a stop that was decided meanwhile.
    if (taskRun.phase_ == RunPhase::Stopping)
        return;
    taskRun.acknowledgedAt_ = now;
    if (taskRun.phase_ == RunPhase::Starting && answer == StartAnswer::Accepted)
        taskRun.phase_ = RunPhase::Running;
}

void PoolScheduler::stopConfirmed(const RunId& run, Time now)
{
    const auto entry = state_.runs_.find(run);
    if (entry != state_.runs_.end())
        entry->second.acknowledgedAt_ = now;
}

void PoolScheduler::abortStalledStarts(Time now)
{
    std::vector<std::pair<std::string, UnitId>> stalled;
    const Duration timeout = state_.stopCosts_ ? state_.stopCosts_->startTimeout(startTimeout) : startTimeout;
    while (!unansweredStarts_.empty() && unansweredStarts_.front().first + timeout < now) {
        const auto entry = state_.runs_.find(unansweredStarts_.front().second);
        if (entry != state_.runs_.end() && entry->second.phase_ == RunPhase::Starting)
            stalled.emplace_back(entry->first.task_.job_, entry->second.unit_);
        unansweredStarts_.pop_front();
    }
    for (const auto& [id, unit] : stalled) {
        if (Job* job = state_.findJob(id))
            abortRun(*job, unit, "a worker does not answer the start", now);
    }
}

void PoolScheduler::schedule(Time now, std::int64_t unixMs)
{
    abortStalledStarts(now);
    if (now >= nextReviewAt_) {
        HealthReview(state_, now).run();
        nextReviewAt_ = now + reviewInterval;
    }
    for (const std::string& id : timedJobs_) {
        Job& job = state_.jobs_.at(id);
        if (job.isOpen())
            openDueOccurrences(job, unixMs, now);
    }
    while (!retryTimes_.empty() && retryTimes_.front() <= now)
        retryTimes_.pop_front();
    isPassComplete_ = SchedulingPass(state_, now).run();
}

Time PoolScheduler::nextWake(Time now, std::int64_t unixMs) const
{
    if (!isPassComplete_)
        return now;
    Time wake = std::max(now, std::min<Time>(now + maxScheduleInterval, state_.nextPreemptionReview_));
    for (const std::string& id : timedJobs_) {
        const Job& job = state_.jobs_.at(id);
        if (!job.isOpen() || job.progress_.openedOccurrences() >= job.spec_.occurrences_)
            continue;
        const std::int64_t left = std::max<std::int64_t>(1, job.spec_.dueUnixMs(job.progress_.openedOccurrences()) - unixMs);
        const Time dueAt = now + std::chrono::milliseconds(std::min<std::int64_t>(left, 1000));
        wake = std::min(wake, std::max(dueAt, job.progress_.lastOpenedAt() + minOpeningInterval));
    }
    const auto retry = std::upper_bound(retryTimes_.begin(), retryTimes_.end(), now);
    return retry == retryTimes_.end() ? wake : std::min(wake, *retry);
}

Decisions PoolScheduler::takeDecisions()
{
    return std::exchange(state_.decisions_, Decisions {});
}

PoolJobRecord PoolScheduler::record(const std::string& id) const
{
    PoolJobRecord record;
    const auto found = state_.jobs_.find(id);
    if (found == state_.jobs_.end())
        return record;
    const Job& job = found->second;
    record.state_ = job.state_;
    if (job.isOpen())
        record.done_ = job.progress_.doneTasks();
    for (const WorkUnit* started : job.progress_.started()) {
        const WorkUnit& unit = *started;
        const bool isDone = unit.state_ == UnitState::Done;
        // What is done or belongs to an ended job never starts again; only its open runs are still to be ended.
        if (unit.lastRun_ == 0 || ((isDone || !job.isOpen()) && unit.openRuns_.empty()))
            continue;
        UnitRecord stored { unit.id_.occurrence_, unit.id_.step_, unit.id_.index_, unit.lastRun_, unit.failures_, isDone, unit.checkpoint_, {}, {}, unit.lastFailedRun_ };
        for (const RunId& run : unit.openRuns_) {
            const auto entry = state_.runs_.find(run);
            if (entry == state_.runs_.end())
                continue;
            const auto worker = state_.workers_.find(entry->second.worker_);
            stored.placements_.push_back({ run.task_.index_, entry->second.worker_, worker == state_.workers_.end() ? std::string() : worker->second.info_.machine_ });
        }
        for (const auto& [index, crashes] : unit.crashes_)
            stored.crashes_.push_back({ index, crashes });
        record.units_.push_back(std::move(stored));
    }
    return record;
}

std::map<std::string, std::string> PoolScheduler::recordRows(const std::string& id, std::size_t maxRowBytes, std::int64_t nowMs) const
{
    const auto job = state_.jobs_.find(id);
    if (job == state_.jobs_.end())
        return {};
    PoolJobRecord stored = record(id);
    stored.endedMs_ = job->second.isOpen() ? 0 : nowMs;
    return JobRecordRows(id, stored, job->second.progress_.numbering(), maxRowBytes).values();
}

std::map<std::string, int> PoolScheduler::waitingJobs() const
{
    std::map<std::string, int> waiting;
    for (const auto& [id, job] : state_.jobs_)
        waiting[job.policy_.queue_] += job.isOpen() && !job.hasBegun_ && !job.spec_.isTimed() ? 1 : 0;
    return waiting;
}

}
