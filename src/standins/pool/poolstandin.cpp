#include "poolstandin.h"

#include "base/bootclock.h"
#include "node/jobintake.h"
#include "server/workerserver.h"

#include <algorithm>
#include <cstdio>
#include <variant>

namespace fescuecleat {

namespace {

    /** Delay before the restart of a worker that is down is tried again. */
    constexpr Duration restartRetryDelay = std::chrono::milliseconds(50);
    constexpr Duration workerStep = std::chrono::milliseconds(2);
    /** Commits that are held back are applied at the next multiple of this. */
    constexpr Duration heldBackPeriod = std::chrono::seconds(4);
    /** A worker that is down for this many heartbeats leaves the registry. */
    constexpr int missedHeartbeats = 2;
    /** Long-running tasks run until they are stopped. */
    constexpr Duration longRunTime = std::chrono::hours(240);
    constexpr std::size_t historyLimit = 100000;

    ModelStep modelStep(const StepSpec& step, double runTimeFactor)
    {
        if (step.isLongRunning_)
            return { step, longRunTime };
        return { step, std::chrono::duration_cast<Duration>(step.estimate_ * runTimeFactor) };
    }

}

PoolStandin::PoolStandin(const std::shared_ptr<boost::asio::io_context>& loop, const StandinSettings& settings)
    : settings_(settings)
    , store_(*loop)
    , workers_(settings.seed_, settings.maxLease_)
    , client_(workers_.makeClient(0, loop))
    , storeEndpoint_(*loop, store_)
    , workerTimer_(*loop)
    , heldBackTimer_(*loop)
{
    store_.setHistoryLimit(historyLimit);
    store_.setWriteObserver([this](const std::string& table, const StoredRow& row) { observe(table, row); });
    for (int i = 0; i < settings.workerCount_; ++i) {
        const std::string id = "w" + std::to_string(i);
        const int rack = i / settings.workersPerRack_;
        // Both labels occur in each rack.
        workers_.addWorker(id, { settings.service_, i % 2 == 0 ? "a" : "b", settings.capacity_ });
        Member member;
        const SocketAddress address { settings.workerHost_, static_cast<std::uint16_t>(settings.firstWorkerPort_ + i) };
        member.endpoint_ = std::make_unique<WorkerEndpoint>(*loop, workers_, *client_, id, address);
        member.rack_ = "r" + std::to_string(rack);
        member.dataCentre_ = settings.dataCentres_[static_cast<std::size_t>(rack) % settings.dataCentres_.size()];
        // Spread over the period, as independent workers send them.
        member.nextHeartbeat_ = bootTimeNow() + settings.heartbeatPeriod_ * i / settings.workerCount_;
        members_.push_back(std::move(member));
    }
}

Result<void> PoolStandin::start()
{
    if (auto listening = storeEndpoint_.listen(settings_.store_); !listening)
        return listening;
    for (Member& member : members_) {
        if (auto listening = member.endpoint_->update(); !listening)
            return listening;
        enter(member);
    }
    runWorkers();
    applyHeldBack();
    return {};
}

void PoolStandin::runWorkers()
{
    workers_.runDue();
    const Time now = bootTimeNow();
    for (Member& member : members_)
        update(member, now);
    workerTimer_.start(workerStep, [this] { runWorkers(); });
}

void PoolStandin::applyHeldBack()
{
    store_.applyHeldBack();
    heldBackTimer_.start(heldBackPeriod, [this] { applyHeldBack(); });
}

void PoolStandin::update(Member& member, Time now)
{
    const std::string& id = member.endpoint_->id();
    // The address may be taken while the worker is down; it is tried again with the next step.
    if (const auto listening = member.endpoint_->update(); !listening)
        std::fprintf(stderr, "fescuecleat-standin-pool: %s: %s\n", id.c_str(), describe(listening.error()).c_str());
    if (workers_.isUp(id))
        member.lastUp_ = now;
    const bool isGone = member.lastUp_ + settings_.heartbeatPeriod_ * missedHeartbeats < now;
    if (isGone || member.hiddenUntil_ > now)
        return leave(member);
    if (!workers_.isUp(id))
        return;
    if (member.registered_ != workers_.born(id) || member.nextHeartbeat_ <= now)
        enter(member);
}

void PoolStandin::enter(Member& member)
{
    const WorkerEndpoint& endpoint = *member.endpoint_;
    const WorkerKind& kind = workers_.kind(endpoint.id());
    WorkerInfo info;
    info.key_ = { endpoint.id(), workers_.born(endpoint.id()) };
    info.machine_ = "machine-" + endpoint.id();
    info.service_ = kind.service_;
    info.dataCentre_ = member.dataCentre_;
    info.labels_ = { kind.label_, member.rack_ };
    info.endpoint_ = endpoint.address();
    info.capacity_ = kind.capacity_;
    store_.put(registryRows_.table(), endpoint.id(), workerserver::encodeEntry(info, ++member.sequence_));
    member.registered_ = info.key_.startedUnixMs_;
    member.nextHeartbeat_ = std::max(member.nextHeartbeat_, bootTimeNow()) + settings_.heartbeatPeriod_;
}

void PoolStandin::leave(Member& member)
{
    if (member.registered_ == 0)
        return;
    store_.erase(registryRows_.table(), member.endpoint_->id());
    member.registered_ = 0;
}

PoolStandin::Member* PoolStandin::find(const std::string& worker)
{
    const auto member = std::find_if(members_.begin(), members_.end(), [&worker](const Member& other) { return other.endpoint_->id() == worker; });
    return member == members_.end() ? nullptr : &*member;
}

void PoolStandin::applyFaults(const PlatformFaults& faults)
{
    faults_ = faults;
    storeEndpoint_.setMode(faults.storeMode_);
    storeEndpoint_.setFeedsSilent(faults.areFeedsSilent_);
    store_.setRefusingFeeds(faults.areFeedsRefused_);
    store_.setRefusedParts({ faults.refusedParts_.begin(), faults.refusedParts_.end() });
    store_.setCommitDelay(faults.commitDelay_);
    if (faults.answersToLose_ > 0)
        store_.loseAnswers(faults.answersToLose_);
    if (faults.commitsToHoldBack_ > 0)
        store_.holdBackCommits(faults.commitsToHoldBack_);
    if (faults.dropsHistory_)
        store_.dropHistory();
    workers_.setFaults(faults.delivery_);
}

Result<void> PoolStandin::restart(const WorkerRestart& restart)
{
    if (find(restart.worker_) == nullptr)
        return failure(ErrorKind::NotFound, "no worker is called " + restart.worker_, "name one of the workers");
    if (!workers_.isUp(restart.worker_)) {
        // A task may have crashed it; it must still come back as the requested kind.
        workers_.schedule(bootTimeNow() + restartRetryDelay, [this, restart] { (void)this->restart(restart); });
        return {};
    }
    WorkerKind kind = workers_.kind(restart.worker_);
    if (!restart.label_.empty())
        kind.label_ = restart.label_;
    if (!restart.service_.empty())
        kind.service_ = restart.service_;
    workers_.crash(restart.worker_, restart.downtime_, kind);
    return {};
}

Result<void> PoolStandin::hide(const std::string& worker, Time until)
{
    Member* const member = find(worker);
    if (member == nullptr)
        return failure(ErrorKind::NotFound, "no worker is called " + worker, "name one of the workers");
    member->hiddenUntil_ = until;
    return {};
}

Result<void> PoolStandin::resize(const std::string& worker, std::int64_t accelerators)
{
    if (find(worker) == nullptr)
        return failure(ErrorKind::NotFound, "no worker is called " + worker, "name one of the workers");
    const Resources& full = settings_.capacity_;
    if (accelerators > full.accelerators_)
        return failure(ErrorKind::InvalidSyntax, worker + " can't have that many accelerators", "ask for at most " + std::to_string(full.accelerators_));
    workers_.setCapacity(worker, { full.cpuMillis_ * accelerators / full.accelerators_, full.memoryMb_ * accelerators / full.accelerators_, accelerators });
    return {};
}

Result<void> PoolStandin::setConfiguration(const std::string& text)
{
    const OperatorChange change = operatorRows_.decode({ OperatorRows::configurationKey, text, 0, false });
    if (const auto* unreadable = std::get_if<UnreadableRow>(&change))
        return failure(ErrorKind::InvalidSyntax, unreadable->reason_, "correct the configuration");
    store_.put(operatorRows_.table(), OperatorRows::configurationKey, text);
    return {};
}

void PoolStandin::setClosed(const std::string& dataCentre, bool isClosed)
{
    const std::string key = OperatorRows::evacuationPrefix + dataCentre;
    if (isClosed)
        store_.put(operatorRows_.table(), key, "{}");
    else
        store_.erase(operatorRows_.table(), key);
}

void PoolStandin::observe(const std::string& table, const StoredRow& row)
{
    if (table == intakeTable)
        return learnJob(row);
    if (table != operatorRows_.table())
        return;
    const OperatorChange change = operatorRows_.decode(row);
    const auto* const configuration = std::get_if<PoolConfiguration>(&change);
    if (configuration == nullptr)
        return;
    for (const QueueConfiguration& queue : configuration->queues_)
        workers_.addRoute(queue.name_, queue.service_);
}

void PoolStandin::learnJob(const StoredRow& row)
{
    if (jobOfCancelKey(row.key_) || jobs_.count(row.key_) > 0)
        return;
    const auto intake = decodeJobIntake(row.value_);
    if (!intake)
        return;
    std::vector<ModelStep> steps;
    int tasks = 0;
    for (const StepSpec& step : intake->spec_.steps_) {
        steps.push_back(modelStep(step, settings_.runTimeFactor_));
        tasks += step.taskCount_;
    }
    if (!settings_.deadlyPayload_.empty() && intake->spec_.payload_ == settings_.deadlyPayload_)
        steps.front().deadlyTask_ = 0;
    jobs_[row.key_] = tasks * std::max(1, intake->spec_.occurrences_);
    workers_.addJob(row.key_, intake->policy_.queue_, std::move(steps));
}

nlohmann::json PoolStandin::audit() const
{
    nlohmann::json jobs = nlohmann::json::object();
    for (const auto& [id, tasks] : jobs_) {
        const JobProgress progress = workers_.progress(id);
        jobs[id] = { { "tasks", tasks }, { "done", progress.doneTasks_ }, { "everStarted", progress.isEverStarted_ } };
    }
    return { { "violations", workers_.violations() }, { "starts", workers_.startCount() }, { "running", workers_.runningCount() }, { "jobs", std::move(jobs) } };
}

}
