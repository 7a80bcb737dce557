#include "pool/poolday.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace fescuecleat {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration commitDelay = milliseconds(12);
    constexpr Duration passInterval = milliseconds(4);
    constexpr Duration reportDelay = milliseconds(4);
    /** How long a run lasts on a worker that fails all of them. */
    constexpr Duration failureDelay = milliseconds(130);
    constexpr Duration reportInterval = milliseconds(2000);
    constexpr Duration observeInterval = milliseconds(100);
    constexpr double crossRackFactor = 3;

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
    Duration fromSeconds(double value) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value)); }

    std::string unitKey(const RunId& run, const StepSpec& step)
    {
        TaskId task = run.task_;
        if (step.isGang_)
            task.index_ = -1;
        return toString(task);
    }

    /** The part of a stop's cause before the job that it names. */
    std::string causeKind(const std::string& cause)
    {
        return cause.substr(0, cause.find(" job "));
    }

}

double DayResult::share() const
{
    double earned = 0;
    double owed = 0;
    for (const DayKindResult& kind : kinds_) {
        earned += kind.earned_;
        owed += kind.owed_;
    }
    return owed > 0 ? earned / owed : 1;
}

double DayResult::lostWork() const
{
    double lost = 0;
    for (const auto& [cause, work] : lostByCause_)
        lost += work;
    return lost;
}

DayCounts& DayCounts::operator+=(const DayCounts& other)
{
    jobs_ += other.jobs_;
    inTime_ += other.inTime_;
    late_ += other.late_;
    expired_ += other.expired_;
    return *this;
}

DayCounts DayResult::countsOf(int kind, double largestShare) const
{
    std::vector<const DayJobResult*> ofKind;
    for (const DayJobResult& job : jobs_) {
        if (job.kind_ == kind)
            ofKind.push_back(&job);
    }
    std::stable_sort(ofKind.begin(), ofKind.end(), [](const DayJobResult* left, const DayJobResult* right) { return left->work_ > right->work_; });
    ofKind.resize(static_cast<std::size_t>(std::ceil(largestShare * static_cast<double>(ofKind.size()))));
    DayCounts counts;
    for (const DayJobResult* job : ofKind) {
        ++counts.jobs_;
        counts.inTime_ += job->outcome_ == DayOutcome::InTime ? 1 : 0;
        counts.late_ += job->outcome_ == DayOutcome::Late ? 1 : 0;
        counts.expired_ += job->outcome_ == DayOutcome::Expired ? 1 : 0;
    }
    return counts;
}

PoolDay::PoolDay(DayDeployment deployment, std::vector<DayTrouble> troubles, unsigned seed)
    : deployment_(std::move(deployment))
    , troubles_(std::move(troubles))
    , random_(seed)
    , burstFactors_(deployment_.kinds_.size(), 1.0)
{
    result_.kinds_.resize(deployment_.kinds_.size());
    const int perDataCentre = deployment_.workers_ / deployment_.dataCentres_;
    for (int i = 0; i < deployment_.workers_; ++i) {
        char name[16];
        std::snprintf(name, sizeof name, "w%06u", static_cast<unsigned>(random_() % 1000000));
        if (workers_.count(name) > 0) {
            --i;
            continue;
        }
        WorkerModel worker;
        WorkerInfo& info = worker.info_;
        const int dataCentre = std::min(i / perDataCentre, deployment_.dataCentres_ - 1);
        info.key_ = { name, 1 };
        info.machine_ = "m" + std::to_string(i);
        info.service_ = "service";
        info.dataCentre_ = "dc" + std::to_string(dataCentre);
        info.rack_ = "r" + std::to_string(dataCentre) + "-" + std::to_string((i % perDataCentre) / deployment_.workersPerRack_);
        info.labels_ = { "a", info.rack_ };
        info.capacity_ = deployment_.capacity_;
        worker.slowness_ = deployment_.slowness_[static_cast<std::size_t>(i) % deployment_.slowness_.size()];
        scheduler_.putWorker(info, now_);
        scheduler_.setReachable(info.key_);
        workers_.emplace(name, worker);
        at(now_ + fromSeconds(seconds(reportInterval) * i / deployment_.workers_), [this, id = std::string(name)] { report(id, true); });
    }
    std::vector<double> weights;
    weights.reserve(static_cast<std::size_t>(deployment_.organisations_));
    for (int i = 0; i < deployment_.organisations_; ++i)
        weights.push_back(std::pow(i + 1, -0.3));
    double sum = 0;
    for (const double weight : weights)
        sum += weight;
    const double guaranteed = deployment_.guaranteedShare_ * deployment_.workers_ * static_cast<double>(deployment_.capacity_.accelerators_);
    for (int i = 0; i < deployment_.organisations_; ++i)
        guarantees_["o" + std::to_string(i)] = static_cast<std::int64_t>(guaranteed * weights[static_cast<std::size_t>(i)] / sum);
    scheduler_.setGuarantees(guarantees_);
    scheduler_.setGuaranteeLimit(deployment_.guaranteeLimit_);
    scheduler_.setStopCosts(deployment_.stopCosts_);
}

void PoolDay::at(Time time, Event event)
{
    events_.push({ time, nextOrder_++, std::move(event) });
}

DayResult PoolDay::run(Duration arrivals, Duration rest)
{
    const Time begin = now_;
    const Time until = begin + arrivals;
    for (const DayTrouble& trouble : troubles_) {
        at(begin + trouble.startsAfter_, [this, trouble] { this->begin(trouble); });
        at(begin + trouble.startsAfter_ + trouble.lasts_, [this, trouble] { end(trouble); });
    }
    for (std::size_t kind = 0; kind < deployment_.kinds_.size(); ++kind)
        scheduleArrival(kind, until);
    for (Time time = begin; time < until + rest; time += observeInterval)
        at(time, [this] { observeJobs(); });
    while (!events_.empty() && events_.top().at_ < until + rest) {
        const Scheduled next = events_.top();
        events_.pop();
        now_ = std::max(now_, next.at_);
        next.event_();
    }
    return result();
}

void PoolDay::scheduleArrival(std::size_t kind, Time until)
{
    const double rate = deployment_.kinds_[kind].jobsPerSecond_ * burstFactors_[kind];
    const Time next = now_ + fromSeconds(std::exponential_distribution<double>(rate)(random_));
    if (next >= until)
        return;
    at(next, [this, kind, until] {
        arrive(kind);
        scheduleArrival(kind, until);
    });
}

void PoolDay::arrive(std::size_t kindIndex)
{
    const DayJobKind& kind = deployment_.kinds_[kindIndex];
    std::uniform_real_distribution<double> unit(0, 1);
    const auto logNormal = [this](double mean, double spread) {
        return mean * std::exp(std::normal_distribution<double>(-spread * spread / 2, spread)(random_));
    };
    JobModel job;
    job.kind_ = static_cast<int>(kindIndex);
    job.workSeconds_ = logNormal(kind.meanSeconds_, kind.spread_);
    job.isHopeless_ = unit(random_) < kind.hopelessShare_;
    job.organisation_ = "o" + std::to_string(static_cast<int>(std::pow(unit(random_), 1.3) * deployment_.organisations_));
    job.submittedAt_ = now_;
    StepSpec step;
    step.taskCount_ = std::clamp(static_cast<int>(std::lround(logNormal(kind.meanTasks_, 0.8))), 1, kind.maxTasks_);
    step.resources_ = kind.resources_;
    step.resources_.accelerators_ = kind.accelerators_[random_() % kind.accelerators_.size()];
    step.estimate_ = fromSeconds(job.workSeconds_ * std::exp(std::normal_distribution<double>(0, kind.estimateError_)(random_)));
    step.isGang_ = kind.isGang_;
    step.wantsOneRack_ = unit(random_) < kind.oneRackShare_;
    step.savesProgress_ = unit(random_) < kind.savingShare_;
    job.spec_.steps_.push_back(step);
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(random_()), nextJob_++);
    JobPolicy policy { kind.name_, "service", job.organisation_, kind.priority_, kind.maxAttempts_, kind.stretch_, kind.latencyTarget_, false };
    std::int64_t held = step.taskCount_ * step.resources_.accelerators_;
    for (const std::string& other : openJobs_) {
        const JobModel& model = jobs_.at(other);
        if (model.organisation_ == job.organisation_ && deployment_.kinds_[static_cast<std::size_t>(model.kind_)].priority_ == 0)
            held += model.spec_.steps_.front().taskCount_ * model.spec_.steps_.front().resources_.accelerators_;
    }
    job.isGuaranteed_ = kind.priority_ == 0 && held <= guarantees_.at(job.organisation_);
    const bool isCancelled = unit(random_) < std::max(kind.cancelledShare_, cancelShare_);
    scheduler_.addJob(id, job.spec_, policy, now_, nullptr, now_);
    jobs_.emplace(id, job);
    openJobs_.insert(id);
    if (isCancelled) {
        at(now_ + fromSeconds(unit(random_) * 2 * kind.meanSeconds_), [this, name = std::string(id)] {
            jobs_.at(name).isCancelled_ = openJobs_.count(name) > 0;
            scheduler_.cancelJob(name, now_);
            requestPass();
        });
    }
    requestPass();
}

std::vector<std::string> PoolDay::drawWorkers(double share)
{
    std::vector<std::string> names;
    for (const auto& [name, worker] : workers_) {
        if (std::uniform_real_distribution<double>(0, 1)(random_) < share)
            names.push_back(name);
    }
    return names;
}

void PoolDay::begin(const DayTrouble& trouble)
{
    switch (trouble.kind_) {
    case DayTroubleKind::Burst:
        for (std::size_t kind = 0; kind < burstFactors_.size(); ++kind) {
            if (trouble.jobKind_ < 0 || trouble.jobKind_ == static_cast<int>(kind))
                burstFactors_[kind] = trouble.strength_;
        }
        return;
    case DayTroubleKind::CancelWave:
        cancelShare_ = trouble.share_;
        return;
    case DayTroubleKind::FailingWorkers:
        for (const std::string& name : drawWorkers(trouble.share_))
            workers_.at(name).isFailing_ = true;
        return;
    case DayTroubleKind::SlowWorkers:
        for (const std::string& name : drawWorkers(trouble.share_)) {
            workers_.at(name).troubleFactor_ = trouble.strength_;
            updateWorker(name);
        }
        return;
    case DayTroubleKind::DataCentreOut:
        for (auto& [name, worker] : workers_) {
            if (worker.info_.dataCentre_ == "dc" + std::to_string(trouble.dataCentre_))
                loseWorker(name);
        }
        return requestPass();
    }
}

void PoolDay::end(const DayTrouble& trouble)
{
    switch (trouble.kind_) {
    case DayTroubleKind::Burst:
        for (double& factor : burstFactors_)
            factor = 1;
        return;
    case DayTroubleKind::CancelWave:
        cancelShare_ = 0;
        return;
    case DayTroubleKind::FailingWorkers:
        for (auto& [name, worker] : workers_)
            worker.isFailing_ = false;
        return;
    case DayTroubleKind::SlowWorkers:
        for (auto& [name, worker] : workers_) {
            worker.troubleFactor_ = 1;
            updateWorker(name);
        }
        return;
    case DayTroubleKind::DataCentreOut:
        for (auto& [name, worker] : workers_) {
            if (worker.info_.dataCentre_ != "dc" + std::to_string(trouble.dataCentre_))
                continue;
            scheduler_.putWorker(worker.info_, now_);
            scheduler_.setReachable(worker.info_.key_);
        }
        return requestPass();
    }
}

void PoolDay::loseWorker(const std::string& name)
{
    WorkerModel& worker = workers_.at(name);
    std::vector<RunId> lost;
    for (const auto& [id, run] : runs_) {
        if (run.worker_ == name)
            lost.push_back(id);
    }
    for (const RunId& id : lost)
        endRun(id, EndReason::LeaseExpired, "lost with its worker");
    scheduler_.delistWorker(name);
    scheduler_.workerLost(worker.info_.key_, "its lease has expired", now_);
    ++worker.info_.key_.startedUnixMs_;
    worker.nextEnd_ = 1;
    worker.ended_.clear();
}

void PoolDay::requestPass()
{
    if (isPassPending_)
        return;
    isPassPending_ = true;
    at(now_ + passInterval, [this] { pass(); });
}

void PoolDay::pass()
{
    isPassPending_ = false;
    scheduler_.schedule(now_, 0);
    const Decisions decisions = scheduler_.takeDecisions();
    for (const StopDecision& decision : decisions.stops_)
        stop(decision);
    if (!decisions.starts_.empty()) {
        at(now_ + commitDelay, [this, starts = decisions.starts_] {
            for (const StartDecision& decision : starts) {
                if (scheduler_.beginStart(decision.run_, now_))
                    start(decision);
            }
        });
    }
}

const StepSpec& PoolDay::stepOf(const RunId& run) const
{
    return jobs_.at(run.task_.job_).spec_.steps_[static_cast<std::size_t>(run.task_.step_)];
}

void PoolDay::start(const StartDecision& decision)
{
    ++result_.starts_;
    const StepSpec& step = stepOf(decision.run_);
    JobModel& job = jobs_.at(decision.run_.task_.job_);
    RunModel run;
    run.worker_ = decision.worker_.id_;
    run.since_ = now_;
    run.workSeconds_ = job.workSeconds_;
    if (step.savesProgress_ && checkpoints_.count(unitKey(decision.run_, step)) > 0)
        run.doneSeconds_ = checkpoints_[unitKey(decision.run_, step)] - seconds(deployment_.restore_);
    runs_.emplace(decision.run_, run);
    unitRuns_[unitKey(decision.run_, step)].insert(decision.run_);
    scheduler_.startAnswered(decision.run_, StartAnswer::Accepted, now_);
    if (!job.startedAt_)
        job.startedAt_ = now_;
    const WorkerModel& worker = workers_.at(run.worker_);
    if (worker.isFailing_ || job.isHopeless_) {
        result_.runsOnFailingWorkers_ += worker.isFailing_ ? 1 : 0;
        at(now_ + failureDelay, [this, id = decision.run_] { endRun(id, EndReason::Failed, "failed"); });
        return;
    }
    updateUnit(decision.run_);
}

void PoolDay::advance(RunModel& run) const
{
    run.doneSeconds_ += seconds(now_ - run.since_) * run.rate_;
    run.since_ = now_;
}

void PoolDay::updateUnit(const RunId& id)
{
    const StepSpec& step = stepOf(id);
    const std::set<RunId>& members = unitRuns_[unitKey(id, step)];
    if (step.isGang_ && static_cast<int>(members.size()) < step.taskCount_)
        return;
    std::set<std::string> racks;
    double slowest = 0;
    for (const RunId& member : members) {
        const WorkerModel& worker = workers_.at(runs_.at(member).worker_);
        racks.insert(worker.info_.rack_);
        slowest = std::max(slowest, worker.slowness_ * worker.troubleFactor_);
    }
    const double rate = 1 / (slowest * (step.wantsOneRack_ && racks.size() > 1 ? crossRackFactor : 1));
    for (const RunId& member : members) {
        RunModel& run = runs_.at(member);
        advance(run);
        run.rate_ = run.isSaving_ ? 0 : rate;
        ++run.generation_;
    }
    const RunModel& first = runs_.at(*members.begin());
    const double left = std::max(0.0, first.workSeconds_ - first.doneSeconds_) / rate;
    at(now_ + fromSeconds(left), [this, first = *members.begin(), generation = first.generation_] {
        const auto run = runs_.find(first);
        if (run != runs_.end() && run->second.generation_ == generation)
            endRun(first, EndReason::Done, {});
    });
}

void PoolDay::updateWorker(const std::string& name)
{
    std::vector<RunId> affected;
    for (const auto& [id, run] : runs_) {
        if (run.worker_ == name)
            affected.push_back(id);
    }
    for (const RunId& id : affected)
        updateUnit(id);
}

void PoolDay::stop(const StopDecision& decision)
{
    ++result_.stops_;
    const auto entry = runs_.find(decision.run_);
    if (entry != runs_.end() && stepOf(decision.run_).savesProgress_) {
        if (!stepOf(decision.run_).isGang_ || static_cast<int>(unitRuns_[unitKey(decision.run_, stepOf(decision.run_))].size()) == stepOf(decision.run_).taskCount_)
            advance(entry->second);
        entry->second.since_ = now_;
        entry->second.rate_ = 0;
        entry->second.isSaving_ = true;
        ++entry->second.generation_;
    }
    at(now_ + deployment_.stop_, [this, decision] {
        scheduler_.stopConfirmed(decision.run_, now_);
        endRun(decision.run_, EndReason::Stopped, causeKind(decision.cause_));
    });
}

void PoolDay::endRun(const RunId& id, EndReason reason, const std::string& cause)
{
    const auto entry = runs_.find(id);
    if (entry == runs_.end())
        return;
    const StepSpec& step = stepOf(id);
    const std::string unit = unitKey(id, step);
    const std::set<RunId> members = unitRuns_[unit];
    for (const RunId& member : members) {
        RunModel& run = runs_.at(member);
        const bool isWhole = !step.isGang_ || static_cast<int>(members.size()) == step.taskCount_;
        if (isWhole)
            advance(run);
        const double work = std::min(run.doneSeconds_, run.workSeconds_) * step.weightInCores();
        const EndReason end = member == id || reason == EndReason::Done ? reason : EndReason::GangBroken;
        if (end == EndReason::Done)
            result_.completedWork_ += work;
        else if (step.savesProgress_) {
            checkpoints_[unit] = std::max(0.0, run.doneSeconds_);
            if (run.isSaving_ && !jobs_.at(id.task_.job_).isCancelled_)
                result_.lostByCause_["stops and restores of saved work"] += seconds(deployment_.stop_ + std::min(deployment_.restore_, fromSeconds(checkpoints_[unit]))) * step.weightInCores();
        } else if (!jobs_.at(id.task_.job_).isCancelled_)
            result_.lostByCause_[cause] += work;
        WorkerModel& worker = workers_.at(run.worker_);
        worker.ended_.push_back({ worker.nextEnd_++, member, end, step.savesProgress_ ? "saved" : "" });
        const bool wasReporting = worker.ended_.size() > 1;
        if (!wasReporting)
            at(now_ + reportDelay, [this, name = run.worker_] { report(name, false); });
        runs_.erase(member);
    }
    unitRuns_.erase(unit);
}

void PoolDay::report(const std::string& name, bool isPeriodic)
{
    if (isPeriodic)
        at(now_ + reportInterval, [this, name] { report(name, true); });
    WorkerModel& worker = workers_.at(name);
    if (scheduler_.state().workers_.count(worker.info_.key_) == 0)
        return;
    PoolWorkerReport report;
    report.startedUnixMs_ = worker.info_.key_.startedUnixMs_;
    for (const RunId& id : scheduler_.state().workers_.at(worker.info_.key_).runs_) {
        const auto entry = runs_.find(id);
        if (entry == runs_.end())
            continue;
        RunModel run = entry->second;
        const StepSpec& step = stepOf(id);
        if (!step.isGang_ || static_cast<int>(unitRuns_[unitKey(id, step)].size()) == step.taskCount_)
            advance(run);
        report.running_.push_back({ id, "", std::clamp(static_cast<int>(100 * run.doneSeconds_ / run.workSeconds_), 0, 100) });
    }
    report.ended_ = std::exchange(worker.ended_, {});
    scheduler_.report(worker.info_.key_, report, now_ - reportDelay, now_);
    requestPass();
}

void PoolDay::observeJobs()
{
    for (auto it = openJobs_.begin(); it != openJobs_.end();) {
        const Job& job = scheduler_.state().jobs_.at(*it);
        const JobModel& model = jobs_.at(*it);
        if (job.isOpen()) {
            ++it;
            continue;
        }
        const DayJobKind& kind = deployment_.kinds_[static_cast<std::size_t>(model.kind_)];
        DayKindResult& result = result_.kinds_[static_cast<std::size_t>(model.kind_)];
        const double target = kind.stretch_ * model.workSeconds_ + seconds(kind.latencyTarget_);
        const double took = seconds(now_ - model.submittedAt_);
        const bool isServed = job.state_ == PoolJobState::Completed || (job.state_ == PoolJobState::Failed && model.isHopeless_);
        if (!model.isCancelled_) {
            addOwed(model, result);
            result.inTime_ += isServed && took <= target ? 1 : 0;
            result.late_ += isServed && took > target && took <= 3 * target ? 1 : 0;
            result.failed_ += !isServed ? 1 : 0;
            if (!model.isHopeless_) {
                const DayOutcome outcome = !isServed || took > 3 * target ? DayOutcome::Expired : took > target ? DayOutcome::Late
                                                                                                                : DayOutcome::InTime;
                result_.jobs_.push_back({ model.kind_, workOf(model), outcome, took / target });
            }
            if (isServed && took <= 3 * target)
                result.earned_ += valueOf(model) * (took <= target ? 1 : kind.lateWorth_ / kind.worth_);
        }
        it = openJobs_.erase(it);
    }
    std::int64_t used = 0;
    for (const auto& [key, worker] : scheduler_.state().workers_)
        used += worker.used_.accelerators_;
    usageSum_ += static_cast<double>(used);
    ++usageSamples_;
}

double PoolDay::valueOf(const JobModel& job) const
{
    const DayJobKind& kind = deployment_.kinds_[static_cast<std::size_t>(job.kind_)];
    double meanAccelerators = 0;
    for (const std::int64_t count : kind.accelerators_)
        meanAccelerators += static_cast<double>(count) / static_cast<double>(kind.accelerators_.size());
    const double meanWork = kind.meanTasks_ * kind.meanSeconds_ * (static_cast<double>(kind.resources_.cpuMillis_) / 1000 + 8 * meanAccelerators);
    const double relative = workOf(job) / meanWork;
    return kind.worth_ * std::min(4.0, 0.3 + 0.7 * relative);
}

double PoolDay::workOf(const JobModel& job) const
{
    const StepSpec& step = job.spec_.steps_.front();
    return step.weightInCores() * step.taskCount_ * job.workSeconds_;
}

void PoolDay::addOwed(const JobModel& job, DayKindResult& result) const
{
    ++result.jobs_;
    result.owed_ += valueOf(job);
    if (job.startedAt_)
        result.slowestStartSeconds_ = std::max(result.slowestStartSeconds_, seconds(*job.startedAt_ - job.submittedAt_));
}

DayResult PoolDay::result() const
{
    DayResult result = result_;
    for (const auto& [id, job] : jobs_) {
        const bool isLate = !job.startedAt_ || *job.startedAt_ > job.submittedAt_ + deployment_.guaranteeLimit_;
        result.lateGuarantees_ += job.isGuaranteed_ && !job.isCancelled_ && isLate ? 1 : 0;
        if (openJobs_.count(id) > 0 && !job.isCancelled_)
            addOwed(job, result.kinds_[static_cast<std::size_t>(job.kind_)]);
        if (openJobs_.count(id) > 0 && !job.isCancelled_ && !job.isHopeless_)
            result.jobs_.push_back({ job.kind_, workOf(job), DayOutcome::Expired, 0 });
    }
    const double accelerators = static_cast<double>(deployment_.workers_) * static_cast<double>(deployment_.capacity_.accelerators_);
    result.meanUsage_ = usageSamples_ > 0 ? usageSum_ / usageSamples_ / accelerators : 0;
    return result;
}

namespace {

    DayDeployment deploymentOf(const char* name, int workers, int perRack, int dataCentres, std::int64_t memoryMb, int organisations, double load)
    {
        DayDeployment deployment;
        deployment.name_ = name;
        deployment.workers_ = workers;
        deployment.workersPerRack_ = perRack;
        deployment.dataCentres_ = dataCentres;
        deployment.capacity_ = { 64000, memoryMb, 8 };
        deployment.organisations_ = organisations;
        DayJobKind large;
        large.name_ = "large";
        large.jobsPerSecond_ = 0.0043 * load * workers;
        large.worth_ = 3;
        large.lateWorth_ = 1.5;
        large.priority_ = 1;
        large.stretch_ = 3;
        large.latencyTarget_ = milliseconds(1000);
        large.meanTasks_ = std::min(13.0, workers / 9.0);
        large.maxTasks_ = static_cast<int>(large.meanTasks_ * 6);
        large.resources_ = { 26000, 53000, 1 };
        large.accelerators_ = { 1, 2, 4, 8, 8 };
        large.meanSeconds_ = 10;
        large.isGang_ = true;
        large.oneRackShare_ = 0.6;
        large.savingShare_ = 0.45;
        large.cancelledShare_ = 0.05;
        large.hopelessShare_ = 0.01;
        DayJobKind urgent;
        urgent.name_ = "urgent";
        urgent.jobsPerSecond_ = 0.0215 * load * workers;
        urgent.worth_ = 4;
        urgent.lateWorth_ = 0.8;
        urgent.priority_ = 0;
        urgent.stretch_ = 1.5;
        urgent.latencyTarget_ = milliseconds(250);
        urgent.meanTasks_ = 5.3;
        urgent.maxTasks_ = 32;
        urgent.resources_ = { 7500, 20000, 1 };
        urgent.accelerators_ = { 1, 2, 4, 8, 8 };
        urgent.meanSeconds_ = 2.5;
        urgent.spread_ = 0.5;
        urgent.estimateError_ = 0.5;
        urgent.isGang_ = true;
        urgent.oneRackShare_ = 0.8;
        DayJobKind small;
        small.name_ = "small";
        small.jobsPerSecond_ = 0.0053 * load * workers;
        small.worth_ = 1;
        small.lateWorth_ = 0.5;
        small.priority_ = 2;
        small.maxAttempts_ = 4;
        small.stretch_ = 3;
        small.latencyTarget_ = milliseconds(3000);
        small.meanTasks_ = std::min(45.0, workers / 3.0);
        small.maxTasks_ = 230;
        small.resources_ = { 5600, 15000, 1 };
        small.accelerators_ = { 1 };
        small.meanSeconds_ = 7.6;
        small.savingShare_ = 0.45;
        small.cancelledShare_ = 0.15;
        small.hopelessShare_ = 0.01;
        deployment.kinds_ = { large, urgent, small };
        return deployment;
    }

}

DayDeployment smallDeployment() { return deploymentOf("small", 48, 8, 3, 262144, 4, 1.0); }
DayDeployment grownDeployment() { return deploymentOf("grown", 350, 20, 3, 262144, 10, 1.0); }
DayDeployment largeDeployment() { return deploymentOf("large", 540, 12, 5, 131072, 24, 1.0); }

std::vector<DayTrouble> heavyDay(unsigned seed)
{
    std::mt19937 random(seed);
    const auto between = [&random](double low, double high) { return std::uniform_real_distribution<double>(low, high)(random); };
    const auto trouble = [&](DayTroubleKind kind, double from, double to, double lasts, double share, double strength, int jobKind) {
        return DayTrouble { kind, fromSeconds(between(from, to)), fromSeconds(lasts), share, strength, jobKind, static_cast<int>(random() % 3) };
    };
    return {
        trouble(DayTroubleKind::Burst, 3, 7, between(4, 6), 0, between(2.0, 2.6), 1),
        trouble(DayTroubleKind::Burst, 14, 18, between(3, 5), 0, between(2.0, 2.8), 0),
        trouble(DayTroubleKind::FailingWorkers, 9, 13, between(5, 7), between(0.05, 0.09), 1, 0),
        trouble(DayTroubleKind::CancelWave, 8, 10, 5, between(0.2, 0.35), 1, 0),
        trouble(DayTroubleKind::SlowWorkers, 20, 24, between(4, 6), between(0.06, 0.12), between(4, 6), 0),
        trouble(DayTroubleKind::DataCentreOut, 24, 28, between(4, 6), 0, 1, 0),
    };
}

}
