#include "daemon/datacentrescheduler.h"

#include "base/overloaded.h"
#include "daemon/wallclock.h"
#include "telemetry/log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr std::size_t commandThreads = 16;
    /** Job records in one transaction. */
    constexpr std::size_t maxRecordsPerCommit = 64;
    constexpr Duration storeTimeout = std::chrono::seconds(2);
    constexpr Duration commandTimeout = std::chrono::seconds(1);
    constexpr Duration retryInterval = std::chrono::milliseconds(250);
    constexpr Duration leasePollInterval = std::chrono::milliseconds(20);
    constexpr Duration inboxPollInterval = std::chrono::milliseconds(200);
    /** Limits each wait of the decision and record threads, so that they see a stop. */
    constexpr Duration maxIdleSleep = std::chrono::milliseconds(200);

    void sleepUntil(Time moment, const std::atomic<bool>& isStopping)
    {
        while (!isStopping && monotonicNow() < moment)
            std::this_thread::sleep_for(std::min(leasePollInterval, remaining(moment, monotonicNow())));
    }

    /** Time of the monotonic clock that is as long ago as the wall-clock time; `now` if that lies in the future. */
    Time toMonotonic(std::int64_t timestampMs, Time now)
    {
        return now - std::chrono::milliseconds(std::max<std::int64_t>(0, wallClockMs() - timestampMs));
    }

    /** Workers named in the records: one that never reports must be declared lost at some point. */
    std::set<WorkerId> placedWorkers(const std::vector<StoredJob>& jobs)
    {
        std::set<WorkerId> workers;
        for (const StoredJob& job : jobs)
            workers.insert(job.record_.placement_.begin(), job.record_.placement_.end());
        return workers;
    }

    JobSubmitted submittedEvent(const JobRecord& record, Time now)
    {
        JobSubmitted event;
        event.spec_ = record.spec_;
        event.submitted_ = toMonotonic(record.submittedAtMs_, now);
        event.attempts_ = record.attempt_;
        event.checkpointedShare_ = record.checkpointedShare_;
        event.state_ = record.state_;
        event.placement_ = record.placement_;
        event.failures_ = record.failures_;
        return event;
    }

}

DataCentreScheduler::DataCentreScheduler(const DataCentreId& dataCentre, LeaseService& lease, JobStore& store, WorkerClient& workers, Metrics& metrics, DataCentreChooser chooseDataCentre, const RunPermitPolicy& policy)
    : dataCentre_(dataCentre)
    , lease_(lease)
    , store_(store)
    , workers_(workers)
    , chooseDataCentre_(std::move(chooseDataCentre))
    , events_(metrics.counter("fescuecleat_scheduler_events_total", "Events that the scheduler handled"))
    , records_(metrics.counter("fescuecleat_job_records_total", "Changes of jobs that were made durable"))
    , recordFailures_(metrics.counter("fescuecleat_job_record_failures_total", "Commits of job changes that failed and are repeated"))
    , takeovers_(metrics.counter("fescuecleat_scheduler_takeovers_total", "Times this instance became the scheduler"))
    , decisionTime_(metrics.latency("fescuecleat_decision_seconds", "Time of one decision of the scheduler"))
    , recordTime_(metrics.latency("fescuecleat_job_record_seconds", "Time of one commit of job changes"))
    , commands_(commandThreads)
    , fleet_(
          workers, policy, [this](SchedulerEvent event) { post(std::move(event)); },
          [this](const TaskKey& task) { return isAttemptOver(task); })
{
    threads_.emplace_back([this] {
        while (!isStopping_)
            sleepUntil(lease_.step(), isStopping_);
    });
    threads_.emplace_back([this] { watchLease(); });
    threads_.emplace_back([this] { decide(); });
    threads_.emplace_back([this] { writeRecords(); });
    threads_.emplace_back([this] { watchInbox(); });
}

DataCentreScheduler::~DataCentreScheduler()
{
    isStopping_ = true;
    eventPosted_.notify_all();
    recordAdded_.notify_all();
    for (std::thread& thread : threads_)
        thread.join();
    commands_.clear();
}

void DataCentreScheduler::setConfiguration(const Configuration& configuration)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        configuration_ = configuration;
    }
    post(ConfigurationChanged { configuration });
}

std::optional<std::string> DataCentreScheduler::explain(const JobId& job) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!isActive_ || !scheduler_)
        return std::nullopt;
    return scheduler_->explain(job, monotonicNow());
}

JsonValue DataCentreScheduler::dump() const
{
    const Time now = monotonicNow();
    JsonValue state = jsonObject();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        state.addValue("active", isActive_.load());
        state.addValue("epoch", fence_.epoch_);
        state.addValue("pending_records", sequencer_.pendingRecords());
        state.addValue("queued_events", queue_.size());
        if (scheduler_)
            addMember(state, "core", scheduler_->dump(now));
    }
    state.addValue("waiting_commands", commands_.queued());
    addMember(state, "workers", fleet_.dump(now));
    return state;
}

// Lease and start permits

void DataCentreScheduler::watchLease()
{
    while (!isStopping_) {
        const ControlStatus status = lease_.status(monotonicNow());
        const bool isSameEpoch = status.fence_.epoch_ == fence().epoch_;
        if (isActive_ && needsReload_)
            logStateChange("scheduler", "stored jobs differ from those in memory; reloading all jobs", {}, LogLevel::Error);
        if (isActive_ && (!status.isHeld_ || !isSameEpoch || needsReload_))
            stepDown();
        if (!isActive_ && status.isHeld_)
            takeOver(status);
        if (isActive_)
            applyControlStatus(status);
        sleepUntil(monotonicNow() + leasePollInterval, isStopping_);
    }
}

void DataCentreScheduler::takeOver(const ControlStatus& status)
{
    const Result<std::vector<StoredJob>> live = store_.loadLive(dataCentre_, monotonicNow() + storeTimeout);
    if (!live) {
        logStateChange("scheduler", "loading jobs failed", { { "error", describe(live.error()) } }, LogLevel::Warn);
        return;
    }
    if (!lease_.status(monotonicNow()).isHeld_)
        return;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const Time now = monotonicNow();
        scheduler_.emplace();
        sequencer_ = ActionSequencer();
        queue_.clear();
        jobs_.clear();
        fence_ = status.fence_;
        serviceVersion_ = 0;
        isTakenOut_ = false;
        needsReload_ = false;
        if (configuration_)
            queue_.emplace_back(ConfigurationChanged { *configuration_ });
        for (const StoredJob& job : *live) {
            jobs_[job.record_.spec_.id_] = job;
            queue_.emplace_back(submittedEvent(job.record_, now));
        }
        isActive_ = true;
    }
    eventPosted_.notify_all();
    takeovers_.add();
    fleet_.begin(status.fence_.epoch_, status.heldUntil_, placedWorkers(*live));
    logStateChange("scheduler", "took over", { { "data_centre", dataCentre_.value() }, { "epoch", std::to_string(status.fence_.epoch_) }, { "jobs", std::to_string(live->size()) } });
}

void DataCentreScheduler::stepDown()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isActive_ = false;
        scheduler_.reset();
        sequencer_ = ActionSequencer();
        queue_.clear();
    }
    commands_.clear();
    fleet_.suspend();
    logStateChange("scheduler", "stepped down", { { "data_centre", dataCentre_.value() } });
}

void DataCentreScheduler::applyControlStatus(const ControlStatus& status)
{
    fleet_.leaseExtended(status.heldUntil_);
    if (status.service_.isInService_)
        post(StartPermitExtended { status.startPermitUntil_ });
    if (status.serviceVersion_ == serviceVersion_)
        return;
    serviceVersion_ = status.serviceVersion_;
    if (isTakenOut_ == !status.service_.isInService_)
        return;
    isTakenOut_ = !status.service_.isInService_;
    if (isTakenOut_)
        post(DataCentreTakenOut { monotonicNow() + std::chrono::milliseconds(status.service_.drainMillis_) });
    else
        post(DataCentreReturned {});
    logStateChange("scheduler", isTakenOut_ ? "data centre taken out of service" : "data centre returned to service", { { "data_centre", dataCentre_.value() }, { "by", status.service_.by_ } });
}

// Decisions

void DataCentreScheduler::post(SchedulerEvent event)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!isActive_)
            return;
        queue_.push_back(std::move(event));
    }
    eventPosted_.notify_one();
}

void DataCentreScheduler::decide()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!isStopping_) {
        if (!scheduler_) {
            eventPosted_.wait_for(lock, maxIdleSleep);
            continue;
        }
        const Time now = monotonicNow();
        SchedulerEvent event = Tick {};
        if (!queue_.empty()) {
            event = std::move(queue_.front());
            queue_.pop_front();
        } else if (scheduler_->nextDeadline() > now) {
            eventPosted_.wait_until(lock, std::min(scheduler_->nextDeadline(), now + maxIdleSleep));
            continue;
        }
        handle(event, now);
    }
}

/** Requires the decision lock. */
void DataCentreScheduler::handle(const SchedulerEvent& event, Time now)
{
    events_.add();
    ActionSequencer::Step step = sequencer_.add(scheduler_->handle(event, now));
    decisionTime_.record(monotonicNow() - now);
    if (sequencer_.hasRecordsToTake())
        recordAdded_.notify_one();
    execute(std::move(step));
}

/** Requires the decision lock; only queues commands for the command threads. */
void DataCentreScheduler::execute(ActionSequencer::Step step)
{
    for (const SchedulerAction& dropped : step.dropped_) {
        if (const auto* prepare = std::get_if<PrepareTask>(&dropped))
            queue_.emplace_back(TaskRefused { prepare->task_, prepare->worker_, "the prepare was never sent" });
    }
    const Time now = monotonicNow();
    for (SchedulerAction& action : step.ready_)
        commands_.post(now, [this, action = std::move(action)] { issue(action); });
}

// Commands to workers

void DataCentreScheduler::issue(SchedulerAction action)
{
    std::visit(Overloaded {
                   [this](const PrepareTask& prepare) { issuePrepare(prepare); },
                   [this](const StartTask& start) { issueStart(start); },
                   [this](const StopTask& stop) { issueStop(stop); },
                   [this](const CheckpointTask& checkpoint) { issueCheckpoint(checkpoint); },
                   [this](const ThrottleTask& throttle) { issueThrottle(throttle); },
                   [this](const OfferJob& offer) { issueOffer(offer); },
                   [](const RecordJob&) {},
               },
        action);
}

void DataCentreScheduler::issuePrepare(const PrepareTask& prepare)
{
    const std::optional<WorkerTarget> target = fleet_.target(prepare.worker_);
    const std::optional<JobSpec> spec = specOf(prepare.task_.job_);
    if (!target || !spec)
        return reportRefused(prepare.task_, prepare.worker_, "the worker or the job is gone");
    fleet_.prepareSent(prepare.worker_, prepare.task_);
    const WorkerAnswer answer = workers_.prepare(target->address_, target->epoch_, { prepare.task_, prepare.accelerators_, *spec }, monotonicNow() + commandTimeout);
    fleet_.prepareEnded(prepare.worker_, prepare.task_);
    std::visit(Overloaded {
                   [&](const WorkerDone&) { reportState(prepare.task_, prepare.worker_, TaskState::Prepared); },
                   [&](const WorkerRefused& refused) { reportRefused(prepare.task_, prepare.worker_, refused.message_); },
                   [&](const WorkerNotReached& unreached) { reportRefused(prepare.task_, prepare.worker_, unreached.message_); },
                   // Fenced: a newer scheduler decides. Outcome unknown: the worker's next report shows the outcome.
                   [](const WorkerFenced&) {},
                   [](const WorkerOutcomeUnknown&) {},
               },
        answer);
}

void DataCentreScheduler::issueStart(const StartTask& start)
{
    const std::optional<WorkerTarget> target = fleet_.target(start.worker_);
    const auto reportNotStarted = [&](const std::string& reason) {
        // An earlier request can outlive this one; only the worker knows whether the task runs.
        if (!start.mayHaveBeenSent_)
            reportRefused(start.task_, start.worker_, reason);
    };
    const std::optional<Time> permit = lease_.beginStart(monotonicNow());
    if (!permit)
        return reportNotStarted("there is no start permit");
    const Time deadline = std::min(start.deadline_, *permit);
    const std::optional<std::int64_t> startBefore = fleet_.toWorkerClock(start.worker_, deadline);
    if (!target || !startBefore) {
        lease_.endStart();
        return reportNotStarted("the worker is gone");
    }
    const WorkerAnswer answer = workers_.start(target->address_, target->epoch_, start.task_, *startBefore, monotonicNow() + commandTimeout);
    lease_.endStart(std::holds_alternative<WorkerOutcomeUnknown>(answer) ? deadline : Time::min());
    // The start may be sent again: it is idempotent and expires by the worker's clock.
    const auto repeat = [&] {
        StartTask repeated = start;
        repeated.mayHaveBeenSent_ = true;
        if (monotonicNow() < deadline)
            commands_.post(monotonicNow() + retryInterval, [this, repeated] { issueStart(repeated); });
    };
    std::visit(Overloaded {
                   [&](const WorkerDone&) { reportState(start.task_, start.worker_, TaskState::Running); },
                   [&](const WorkerRefused& refused) {
                       reportNotStarted(refused.message_);
                       if (start.mayHaveBeenSent_)
                           repeat();
                   },
                   [&](const WorkerNotReached& unreached) {
                       reportNotStarted(unreached.message_);
                       if (start.mayHaveBeenSent_)
                           repeat();
                   },
                   [](const WorkerFenced&) {},
                   [&](const WorkerOutcomeUnknown&) { repeat(); },
               },
        answer);
}

void DataCentreScheduler::issueStop(const StopTask& stop)
{
    const std::optional<WorkerTarget> target = fleet_.target(stop.worker_);
    if (!target)
        return;
    const WorkerAnswer answer = workers_.stop(target->address_, target->epoch_, stop.task_, monotonicNow() + commandTimeout);
    if (std::holds_alternative<WorkerDone>(answer))
        reportState(stop.task_, stop.worker_, TaskState::Stopped);
    else if (!std::holds_alternative<WorkerFenced>(answer))
        commands_.post(monotonicNow() + retryInterval, [this, stop] { issueStop(stop); });
}

void DataCentreScheduler::issueCheckpoint(const CheckpointTask& checkpoint)
{
    const std::optional<WorkerTarget> target = fleet_.target(checkpoint.worker_);
    const std::optional<std::int64_t> deadline = fleet_.toWorkerClock(checkpoint.worker_, checkpoint.deadline_);
    if (!target || !deadline)
        return;
    const WorkerAnswer answer = workers_.checkpoint(target->address_, target->epoch_, checkpoint.task_, *deadline, monotonicNow() + commandTimeout);
    const bool isUnanswered = std::holds_alternative<WorkerOutcomeUnknown>(answer) || std::holds_alternative<WorkerNotReached>(answer);
    if (isUnanswered && monotonicNow() < checkpoint.deadline_)
        commands_.post(monotonicNow() + retryInterval, [this, checkpoint] { issueCheckpoint(checkpoint); });
}

void DataCentreScheduler::issueThrottle(const ThrottleTask& throttle)
{
    if (const std::optional<WorkerTarget> target = fleet_.target(throttle.worker_))
        workers_.throttle(target->address_, target->epoch_, throttle.task_, monotonicNow() + commandTimeout);
}

void DataCentreScheduler::issueOffer(const OfferJob& offer)
{
    std::optional<StoredJob> job;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = jobs_.find(offer.job_);
        if (found != jobs_.end())
            job = found->second;
    }
    const std::optional<DataCentreId> other = job ? chooseDataCentre_(job->record_.spec_) : std::nullopt;
    if (!other)
        return;
    const Result<RecordOutcome> outcome = store_.move(*job, *other, fence(), monotonicNow() + storeTimeout);
    if (!outcome || !std::holds_alternative<Recorded>(*outcome))
        return;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        jobs_.erase(offer.job_);
    }
    post(JobMoved { offer.job_ });
}

void DataCentreScheduler::reportRefused(const TaskKey& task, const WorkerId& worker, const std::string& reason)
{
    post(TaskRefused { task, worker, reason });
}

void DataCentreScheduler::reportState(const TaskKey& task, const WorkerId& worker, TaskState state)
{
    TaskReported reported;
    reported.task_ = task;
    reported.worker_ = worker;
    reported.state_ = state;
    post(std::move(reported));
}

// Durable records

void DataCentreScheduler::writeRecords()
{
    while (!isStopping_) {
        std::vector<JobId> jobs;
        std::vector<JobChange> changes;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            recordAdded_.wait_for(lock, maxIdleSleep, [this] { return isStopping_ || (isActive_ && sequencer_.hasRecordsToTake()); });
            if (isActive_)
                changes = takeChanges(jobs);
        }
        if (changes.empty())
            continue;
        applyOutcome(jobs, write(changes));
    }
}

/** Writes the changes until it is known whether they are durable; while it is unknown only the identical call may be repeated. */
Result<RecordOutcome> DataCentreScheduler::write(const std::vector<JobChange>& changes)
{
    const std::int64_t wallClock = wallClockMs();
    const LeaseFence fence = this->fence();
    while (true) {
        const Time begin = monotonicNow();
        Result<RecordOutcome> outcome = store_.record(changes, fence, wallClock, begin + storeTimeout);
        recordTime_.record(monotonicNow() - begin);
        if (outcome)
            return outcome;
        recordFailures_.add();
        sleepUntil(monotonicNow() + retryInterval, isStopping_);
        const bool isUndecided = outcome.error().kind_ == ErrorKind::OutcomeUnknown;
        if (!isUndecided || isStopping_ || !isActive_)
            return outcome;
    }
}

/** Requires the decision lock. */
std::vector<JobChange> DataCentreScheduler::takeChanges(std::vector<JobId>& jobs)
{
    std::vector<JobChange> changes;
    for (const RecordJob& record : sequencer_.takeRecords(maxRecordsPerCommit)) {
        const auto found = jobs_.find(record.job_);
        if (found == jobs_.end()) {
            execute(sequencer_.committed(record.job_));
            continue;
        }
        JobChange change;
        change.current_ = found->second;
        change.state_ = record.state_;
        change.attempt_ = record.attempt_;
        change.placement_ = record.placement_;
        change.failures_ = record.failures_;
        change.checkpointedShare_ = record.checkpointedShare_;
        change.reason_ = record.reason_;
        change.clearsCancellation_ = isFinal(record.state_);
        jobs.push_back(record.job_);
        changes.push_back(std::move(change));
    }
    return changes;
}

void DataCentreScheduler::applyOutcome(const std::vector<JobId>& jobs, const Result<RecordOutcome>& outcome)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto* recorded = outcome ? std::get_if<Recorded>(&*outcome) : nullptr;
    if (!recorded) {
        for (const JobId& job : jobs)
            sequencer_.commitFailed(job);
        // If the write was fenced, watchLease() steps down. A version mismatch means
        // that the state of this instance is stale, so it reloads all jobs.
        if (outcome && std::holds_alternative<JobVersionMismatch>(*outcome))
            needsReload_ = true;
        return;
    }
    records_.add(jobs.size());
    for (const StoredJob& job : recorded->jobs_) {
        const JobId& id = job.record_.spec_.id_;
        if (isFinal(job.record_.state_))
            jobs_.erase(id);
        else
            jobs_[id] = job;
        execute(sequencer_.committed(id));
    }
    eventPosted_.notify_one();
}

// Inbox

void DataCentreScheduler::watchInbox()
{
    while (!isStopping_) {
        if (isActive_)
            processInbox();
        sleepUntil(monotonicNow() + inboxPollInterval, isStopping_);
    }
}

bool DataCentreScheduler::processInbox()
{
    const LeaseFence fence = this->fence();
    const Result<Inbox> inbox = store_.readInbox(dataCentre_, monotonicNow() + storeTimeout);
    if (!inbox || inbox->isEmpty())
        return false;
    Inbox taken;
    for (const JobId& id : inbox->submitted_) {
        if (specOf(id)) {
            taken.submitted_.push_back(id);
            continue;
        }
        const Result<std::optional<StoredJob>> job = store_.find(id, { dataCentre_ }, monotonicNow() + storeTimeout);
        if (!job)
            return false;
        taken.submitted_.push_back(id);
        if (!*job || isFinal((*job)->record_.state_))
            continue;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            jobs_.emplace(id, **job);
        }
        post(submittedEvent((*job)->record_, monotonicNow()));
    }
    for (const JobId& id : inbox->cancelled_) {
        // The row is deleted together with the write of the job's final record.
        // Until then it stays, so that a successor sees the cancellation too.
        if (specOf(id))
            post(JobCancelled { id });
        else
            taken.cancelled_.push_back(id);
    }
    if (!taken.isEmpty())
        store_.clearInbox(fence, taken, monotonicNow() + storeTimeout);
    return true;
}

bool DataCentreScheduler::isAttemptOver(const TaskKey& task) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!isActive_)
        return false;
    const auto found = jobs_.find(task.job_);
    if (found == jobs_.end())
        return true;
    const JobRecord& record = found->second.record_;
    if (task.attempt_ < record.attempt_)
        return true;
    const bool isOver = record.state_ == JobState::Queued || record.state_ == JobState::Submitted || record.state_ == JobState::Checkpointed;
    return task.attempt_ == record.attempt_ && isOver;
}

std::optional<JobSpec> DataCentreScheduler::specOf(const JobId& job) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = jobs_.find(job);
    if (found == jobs_.end())
        return std::nullopt;
    return found->second.record_.spec_;
}

LeaseFence DataCentreScheduler::fence() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return fence_;
}

}
