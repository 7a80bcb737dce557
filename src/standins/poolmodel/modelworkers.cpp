#include "poolmodel/modelworkers.h"

#include "base/bootclock.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace fescuecleat {

namespace {

    constexpr Duration minTransit = std::chrono::microseconds(300);
    constexpr Duration minLateness = std::chrono::seconds(2);
    constexpr Duration maxLateness = std::chrono::seconds(12);
    constexpr Duration maxStopTime = std::chrono::milliseconds(200);
    constexpr Duration gangTimeout = std::chrono::seconds(4);
    constexpr Duration maxTimeToCrash = std::chrono::milliseconds(400);
    constexpr Duration minCrashDowntime = std::chrono::milliseconds(50);
    constexpr Duration maxCrashDowntime = std::chrono::seconds(4);
    /** How long a worker's former capacity counts: its entry in the registry is repeated within half of it. */
    constexpr Duration formerCapacityCounts = std::chrono::milliseconds(4500);
    /** So many crashes prove that a task is deadly, and so many starts are too many after them. */
    constexpr int crashesThatProve = 3;
    constexpr int startsTooMany = 3;

}

/** An instance's requests to the workers. */
class ModelWorkers::Client : public PoolWorkerClient {
public:
    Client(ModelWorkers& workers, int instance, const std::shared_ptr<boost::asio::io_context>& loop)
        : workers_(workers)
        , instance_(instance)
        , loop_(loop)
    {
    }

    void poll(const WorkerInfo& info, const PollRequest& request, Duration timeout, PollHandler handler) override
    {
        workers_.call<PoolWorkerReport>(
            instance_, loop_, info.key_.id_, timeout,
            [&workers = workers_, request](Worker& worker, const auto& respond) { workers.executePoll(worker, request, respond); }, std::move(handler));
    }

    void start(const WorkerInfo& info, const StartRequest& request, Duration timeout, StartHandler handler) override
    {
        workers_.call<StartAnswer>(
            instance_, loop_, info.key_.id_, timeout,
            [&workers = workers_, request, sentTo = info.key_.startedUnixMs_, sentAt = bootTimeNow()](Worker& worker, const auto& respond) { respond(workers.executeStart(worker, request, sentTo, sentAt)); }, std::move(handler));
    }

    void stop(const WorkerInfo& info, const StopRequest& request, Duration timeout, StopHandler handler) override
    {
        workers_.call<void>(
            instance_, loop_, info.key_.id_, timeout,
            [&workers = workers_, request](Worker& worker, const auto& respond) { respond(workers.executeStop(worker, request)); }, std::move(handler));
    }

private:
    ModelWorkers& workers_;
    int instance_;
    std::weak_ptr<boost::asio::io_context> loop_;
};

ModelWorkers::ModelWorkers(std::uint32_t seed, Duration maxLease)
    : random_(seed)
    , maxLease_(maxLease)
{
}

void ModelWorkers::addWorker(const std::string& id, const WorkerKind& kind)
{
    Worker worker;
    worker.id_ = id;
    worker.kind_ = kind;
    worker.clockRate_ = 1 - maxWorkerClockDriftRatio * std::uniform_real_distribution<>(0, 1)(random_);
    worker.startedAt_ = bootTimeNow() - std::chrono::hours(1);
    workers_.emplace(id, std::move(worker));
}

void ModelWorkers::addJob(const std::string& id, const std::string& queue, const ModelStep& step)
{
    addJob(id, queue, std::vector<ModelStep> { step });
}

void ModelWorkers::addJob(const std::string& id, const std::string& queue, std::vector<ModelStep> steps)
{
    JobModel job { queue, std::move(steps), {} };
    for (const ModelStep& step : job.steps_)
        job.progress_.isDeadly_ = job.progress_.isDeadly_ || step.deadlyTask_ >= 0;
    jobs_[id] = std::move(job);
}

int ModelWorkers::runningCount() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : workers_)
        count += worker.runs_.size();
    return static_cast<int>(count);
}

JobProgress ModelWorkers::progress(const std::string& job) const
{
    const auto known = jobs_.find(job);
    return known == jobs_.end() ? JobProgress {} : known->second.progress_;
}

bool ModelWorkers::isKnown(const TaskId& task) const
{
    const auto job = jobs_.find(task.job_);
    return job != jobs_.end() && task.step_ >= 0 && static_cast<std::size_t>(task.step_) < job->second.steps_.size();
}

std::unique_ptr<PoolWorkerClient> ModelWorkers::makeClient(int instance, const std::shared_ptr<boost::asio::io_context>& loop)
{
    return std::make_unique<Client>(*this, instance, loop);
}

bool ModelWorkers::draws(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

Duration ModelWorkers::drawDuration(Duration from, Duration to)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(random_));
}

void ModelWorkers::schedule(Time at, std::function<void()> event)
{
    events_.emplace(at, std::move(event));
}

void ModelWorkers::runDue()
{
    const Time now = bootTimeNow();
    while (!events_.empty() && events_.begin()->first <= now) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
    }
    for (auto& [id, worker] : workers_)
        advanceWorker(worker);
}

template <typename Answer>
void ModelWorkers::call(int instance, const std::weak_ptr<boost::asio::io_context>& loop, const std::string& id, Duration timeout,
    std::function<void(Worker&, std::function<void(tl::expected<Answer, WorkerFailure>)>)> execute,
    std::function<void(tl::expected<Answer, WorkerFailure>)> handler)
{
    const auto pending = std::make_shared<std::function<void(tl::expected<Answer, WorkerFailure>)>>(std::move(handler));
    const auto finish = [loop, pending](tl::expected<Answer, WorkerFailure> answer) {
        const auto target = loop.lock();
        if (target && *pending)
            boost::asio::post(*target, [handler = std::exchange(*pending, nullptr), answer = std::move(answer)] { handler(answer); });
    };
    const Time now = bootTimeNow();
    schedule(now + timeout, [finish] { finish(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer)); });
    const auto answerCut = [this, instance, id] { return cuts_[{ instance, id }].answersUntil_ > bootTimeNow(); };
    if (cuts_[{ instance, id }].requestsUntil_ > now || draws(faults_.lostRequests_))
        return;
    const bool isLate = draws(faults_.lateRequests_);
    const bool losesAnswer = isLate || draws(faults_.lostAnswers_);
    schedule(now + drawDuration(minTransit, faults_.maxDelay_), [this, id, execute, finish, isLate, losesAnswer, answerCut] {
        Worker& worker = workers_.at(id);
        if (!worker.isUp_)
            return finish(tl::unexpected<WorkerFailure>(WorkerFailure::NotSent));
        const auto respond = [this, finish, losesAnswer, answerCut](tl::expected<Answer, WorkerFailure> answer) {
            if (losesAnswer || answerCut())
                return;
            schedule(bootTimeNow() + drawDuration(minTransit, faults_.maxDelay_), [finish, answer = std::move(answer)] { finish(answer); });
        };
        if (!isLate)
            return execute(worker, respond);
        // An order that an incarnation has received ends with it.
        schedule(bootTimeNow() + drawDuration(minLateness, maxLateness), [this, id, born = worker.born_, execute, respond] {
            Worker& current = workers_.at(id);
            if (current.isUp_ && current.born_ == born)
                execute(current, respond);
        });
    });
}

std::int64_t ModelWorkers::clockMs(const Worker& worker) const
{
    return static_cast<std::int64_t>(worker.clockRate_ * static_cast<double>(wholeMilliseconds(bootTimeNow() - worker.startedAt_)));
}

bool ModelWorkers::acceptEpoch(Worker& worker, std::int64_t epoch)
{
    if (epoch < worker.epoch_)
        return false;
    worker.epoch_ = epoch;
    return true;
}

void ModelWorkers::extendLease(Worker& worker, std::int64_t untilMs) const
{
    const std::int64_t limit = clockMs(worker) + wholeMilliseconds(maxLease_);
    worker.leaseUntilMs_ = std::max(worker.leaseUntilMs_, std::min(untilMs, limit));
}

PoolWorkerReport ModelWorkers::reportOf(const Worker& worker) const
{
    PoolWorkerReport report;
    report.startedUnixMs_ = worker.born_;
    report.clockMs_ = clockMs(worker);
    for (const auto& [task, run] : worker.runs_)
        report.running_.push_back({ { task, run.number_ }, "", run.endsAt_ ? 50 : 0 });
    for (const ReportedEnd& end : worker.ends_) {
        if (end.sequence_ > worker.acknowledgedEnds_)
            report.ended_.push_back(end);
    }
    return report;
}

void ModelWorkers::executePoll(Worker& worker, const PollRequest& request, std::function<void(tl::expected<PoolWorkerReport, WorkerFailure>)> respond)
{
    if (!acceptEpoch(worker, request.epoch_))
        return respond(tl::unexpected<WorkerFailure>(WorkerFailure::StaleEpoch));
    if (request.leaseUntilMs_)
        extendLease(worker, *request.leaseUntilMs_);
    noteEnds(worker, request.acknowledgedEnds_);
    if (request.wait_ == Duration::zero() || worker.acknowledgedEnds_ + 1 < worker.nextEnd_)
        return respond(reportOf(worker));
    worker.longPolls_.push_back({ bootTimeNow() + request.wait_, std::move(respond) });
}

void ModelWorkers::noteEnds(Worker& worker, std::int64_t upTo)
{
    for (const ReportedEnd& end : worker.ends_) {
        if (end.sequence_ <= worker.acknowledgedEnds_ || end.sequence_ > upTo || end.sequence_ <= worker.expiredEnds_ || end.reason_ != EndReason::Done)
            continue;
        const TaskId& task = end.run_.task_;
        if (lastStarts_[task] > doneAt_[task])
            report("TWICE", worker, end.run_, "started again after its recorded end");
        recordedDone_.insert(task);
    }
    worker.acknowledgedEnds_ = std::max(worker.acknowledgedEnds_, std::min(upTo, worker.nextEnd_ - 1));
    // Ends are in the order of their numbers; those acknowledged are neither reported nor checked again.
    const auto firstOpen = std::find_if(worker.ends_.begin(), worker.ends_.end(), [&worker](const ReportedEnd& end) { return end.sequence_ > worker.acknowledgedEnds_; });
    worker.ends_.erase(worker.ends_.begin(), firstOpen);
}

tl::expected<StartAnswer, WorkerFailure> ModelWorkers::executeStart(Worker& worker, const StartRequest& request, std::int64_t sentTo, Time sentAt)
{
    if (!acceptEpoch(worker, request.epoch_))
        return tl::unexpected<WorkerFailure>(WorkerFailure::StaleEpoch);
    if (draws(faults_.refusedStarts_))
        return StartAnswer::Refused;
    const TaskId& task = request.run_.task_;
    const auto running = worker.runs_.find(task);
    if (running != worker.runs_.end() && running->second.number_ == request.run_.number_) {
        extendLease(worker, request.leaseUntilMs_);
        return StartAnswer::Accepted;
    }
    const auto barred = worker.barredRuns_.find(task);
    if (barred != worker.barredRuns_.end() && request.run_.number_ <= barred->second) {
        extendLease(worker, request.leaseUntilMs_);
        return StartAnswer::StaleRun;
    }
    if (request.leaseUntilMs_ <= clockMs(worker))
        return StartAnswer::Refused;
    if (!isKnown(task)) {
        report("UNASKED", worker, request.run_, "no job has such a task");
        return StartAnswer::Refused;
    }
    extendLease(worker, request.leaseUntilMs_);
    checkStart(worker, request.run_, sentAt);
    checkCrashBudget(worker, request.run_);
    // Who addressed the former incarnation couldn't know that the id now names a worker of another kind.
    if (sentTo == worker.born_)
        checkKind(worker, request.run_);
    ++startCount_;
    jobOf(task).progress_.isEverStarted_ = true;
    const Time now = bootTimeNow();
    lastStarts_[task] = now;
    Run& run = worker.runs_[task];
    run = { request.run_.number_, now, std::nullopt, std::nullopt };
    startGangIfComplete(request.run_);
    if (isDeadly(task))
        scheduleCrash(worker, request.run_);
    return StartAnswer::Accepted;
}

tl::expected<void, WorkerFailure> ModelWorkers::executeStop(Worker& worker, const StopRequest& request)
{
    if (!acceptEpoch(worker, request.epoch_))
        return tl::unexpected<WorkerFailure>(WorkerFailure::StaleEpoch);
    int& barred = worker.barredRuns_[request.run_.task_];
    barred = std::max(barred, request.run_.number_);
    const auto running = worker.runs_.find(request.run_.task_);
    if (running != worker.runs_.end() && running->second.number_ == request.run_.number_ && !running->second.stopsAt_)
        running->second.stopsAt_ = bootTimeNow() + drawDuration(Duration::zero(), maxStopTime);
    return {};
}

void ModelWorkers::startGangIfComplete(const RunId& run)
{
    const ModelStep& step = stepOf(run.task_);
    std::vector<Run*> members;
    for (auto& [id, worker] : workers_) {
        for (auto& [task, other] : worker.runs_) {
            const bool isMember = step.spec_.isGang_ ? areOfOneStep(task, run.task_) && other.number_ == run.number_ : task == run.task_ && other.number_ == run.number_;
            if (isMember)
                members.push_back(&other);
        }
    }
    if (step.spec_.isGang_ && static_cast<int>(members.size()) < step.spec_.taskCount_)
        return;
    for (Run* member : members)
        member->endsAt_ = bootTimeNow() + step.runTime_;
}

void ModelWorkers::advanceWorker(Worker& worker)
{
    if (!worker.isUp_)
        return;
    if (clockMs(worker) >= worker.leaseUntilMs_) {
        while (!worker.runs_.empty())
            endRun(worker, worker.runs_.begin()->first, EndReason::LeaseExpired);
        worker.expiredEnds_ = worker.nextEnd_ - 1;
    }
    const Time now = bootTimeNow();
    std::vector<std::pair<TaskId, EndReason>> ends;
    for (const auto& [task, run] : worker.runs_) {
        if (run.stopsAt_ && *run.stopsAt_ <= now)
            ends.emplace_back(task, EndReason::Stopped);
        else if (run.endsAt_ && *run.endsAt_ <= now)
            ends.emplace_back(task, EndReason::Done);
        else if (!run.endsAt_ && run.startedAt_ + gangTimeout <= now)
            ends.emplace_back(task, EndReason::GangIncomplete);
    }
    for (const auto& [task, reason] : ends)
        endRun(worker, task, reason);
    answerLongPolls(worker, true);
}

void ModelWorkers::endRun(Worker& worker, const TaskId& task, EndReason reason)
{
    const auto running = worker.runs_.find(task);
    if (running == worker.runs_.end())
        return; // ended together with another member of its gang
    const RunId run { task, running->second.number_ };
    worker.runs_.erase(running);
    worker.ends_.push_back({ worker.nextEnd_++, run, reason, "" });
    int& barred = worker.barredRuns_[run.task_];
    barred = std::max(barred, run.number_);
    if (reason == EndReason::Done) {
        const bool isFirst = doneAt_.insert_or_assign(run.task_, bootTimeNow()).second;
        jobOf(run.task_).progress_.doneTasks_ += isFirst ? 1 : 0;
    }
    answerLongPolls(worker, false);
    breakGang(run, reason == EndReason::Done ? EndReason::Done : EndReason::GangBroken);
}

void ModelWorkers::breakGang(const RunId& run, EndReason reason)
{
    if (!stepOf(run.task_).spec_.isGang_)
        return;
    for (auto& [id, worker] : workers_) {
        std::vector<TaskId> members;
        for (const auto& [task, other] : worker.runs_) {
            if (areOfOneStep(task, run.task_) && other.number_ == run.number_)
                members.push_back(task);
        }
        for (const TaskId& member : members)
            endRun(worker, member, reason);
    }
}

void ModelWorkers::answerLongPolls(Worker& worker, bool onlyDue)
{
    const Time now = bootTimeNow();
    for (LongPoll& poll : std::exchange(worker.longPolls_, {})) {
        if (onlyDue && poll.until_ > now)
            worker.longPolls_.push_back(std::move(poll));
        else
            poll.respond_(reportOf(worker));
    }
}

void ModelWorkers::crash(const std::string& id, Duration downtime, const WorkerKind& kind)
{
    Worker& worker = workers_.at(id);
    if (!worker.isUp_)
        return;
    worker.isUp_ = false;
    lastCrashAt_ = bootTimeNow();
    std::vector<RunId> lost;
    for (const auto& [task, run] : worker.runs_) {
        lost.push_back({ task, run.number_ });
        int& most = jobOf(task).progress_.maxCrashes_;
        most = std::max(most, ++crashes_[task]);
    }
    worker.runs_.clear();
    for (const RunId& run : lost)
        breakGang(run, EndReason::GangBroken);
    for (const LongPoll& poll : std::exchange(worker.longPolls_, {}))
        poll.respond_(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer));
    schedule(bootTimeNow() + downtime, [this, id, kind] {
        Worker& former = workers_.at(id);
        Worker next;
        next.id_ = id;
        next.kind_ = kind;
        next.clockRate_ = former.clockRate_;
        next.born_ = former.born_ + 1;
        next.startedAt_ = bootTimeNow();
        former = std::move(next);
    });
}

void ModelWorkers::setCapacity(const std::string& id, const Resources& capacity)
{
    Worker& worker = workers_.at(id);
    worker.formerCapacities_.push_back({ worker.kind_.capacity_, bootTimeNow() + formerCapacityCounts });
    worker.kind_.capacity_ = capacity;
}

void ModelWorkers::cut(int instance, const std::string& id, bool cutsRequests, bool cutsAnswers, Time until)
{
    Cut& cut = cuts_[{ instance, id }];
    if (cutsRequests)
        cut.requestsUntil_ = std::max(cut.requestsUntil_, until);
    if (cutsAnswers)
        cut.answersUntil_ = std::max(cut.answersUntil_, until);
}

void ModelWorkers::checkStart(const Worker& worker, const RunId& run, Time sentAt)
{
    for (const auto& [id, other] : workers_) {
        const auto running = other.runs_.find(run.task_);
        if (running != other.runs_.end())
            report("TWICE", worker, run, "run " + std::to_string(running->second.number_) + " is active on " + id);
    }
    if (recordedDone_.count(run.task_) > 0)
        report("TWICE", worker, run, "its end is recorded");
    Resources used = stepOf(run.task_).spec_.allocation();
    for (const auto& [task, other] : worker.runs_)
        used += stepOf(task).spec_.allocation();
    const bool fitsFormer = std::any_of(worker.formerCapacities_.begin(), worker.formerCapacities_.end(), [&used, sentAt](const FormerCapacity& former) { return sentAt <= former.countsUntil_ && former.capacity_.contains(used); });
    if (!fitsFormer && !worker.kind_.capacity_.contains(used))
        report("LIMIT", worker, run, "over its capacity");
    checkStepLimit(worker, run);
    checkOrganisationLimit(worker, run, sentAt);
}

void ModelWorkers::checkOrganisationLimit(const Worker& worker, const RunId& run, Time sentAt)
{
    const std::string organisation = limits_.organisationOf(run.task_.job_);
    const Resources& task = stepOf(run.task_).spec_.resources_;
    Resources used = task;
    for (const auto& [id, other] : workers_) {
        for (const auto& [running, state] : other.runs_) {
            if (limits_.organisationOf(running.job_) == organisation)
                used += stepOf(running).spec_.resources_;
        }
    }
    if (const auto kind = limits_.exceededBy(organisation, used, task, sentAt))
        report("LIMIT", worker, run, "organisation " + organisation + " uses " + std::to_string(amountOf(used, *kind)) + " " + toString(*kind));
}

void ModelWorkers::checkKind(const Worker& worker, const RunId& run)
{
    const JobModel& job = jobOf(run.task_);
    const std::string& label = stepOf(run.task_).spec_.requiredLabel_;
    const auto services = routes_.find(job.queue_);
    if (services == routes_.end() || services->second.count(worker.kind_.service_) == 0)
        report("ROUTE", worker, run, "no configuration sends " + job.queue_ + " to " + worker.kind_.service_);
    if (!label.empty() && label != worker.kind_.label_)
        report("ROUTE", worker, run, "its label is " + worker.kind_.label_ + " in place of " + label);
}

void ModelWorkers::checkCrashBudget(const Worker& worker, const RunId& run)
{
    if (!isDeadly(run.task_) || crashes_[run.task_] < crashesThatProve)
        return;
    const int starts = ++startsAfterProof_[run.task_];
    if (starts >= startsTooMany)
        report("BUDGET", worker, run, "start " + std::to_string(starts) + " after " + std::to_string(crashesThatProve) + " workers had crashed under it");
}

void ModelWorkers::scheduleCrash(const Worker& worker, const RunId& run)
{
    schedule(bootTimeNow() + drawDuration(Duration::zero(), maxTimeToCrash), [this, id = worker.id_, born = worker.born_, run] {
        const Worker& current = workers_.at(id);
        const auto running = current.runs_.find(run.task_);
        if (current.born_ == born && running != current.runs_.end() && running->second.number_ == run.number_)
            crash(id, drawDuration(minCrashDowntime, maxCrashDowntime), current.kind_);
    });
}

void ModelWorkers::checkStepLimit(const Worker& worker, const RunId& run)
{
    const int limit = stepOf(run.task_).spec_.maxTasksPerWorker_;
    const auto isOfStep = [&run](const auto& entry) { return areOfOneStep(entry.first, run.task_); };
    const auto others = std::count_if(worker.runs_.begin(), worker.runs_.end(), isOfStep);
    if (limit > 0 && others >= limit)
        report("ROUTE", worker, run, std::to_string(others) + " tasks of its step are active there");
}

void ModelWorkers::report(const std::string& rule, const Worker& worker, const RunId& run, const std::string& detail)
{
    violations_.push_back(rule + " at " + std::to_string(wholeMilliseconds(bootTimeNow().time_since_epoch())) + " ms: " + toString(run.task_) + " run " + std::to_string(run.number_) + " on " + worker.id_ + " (" + std::to_string(worker.born_) + "): " + detail);
}

}
