#include "worker/workerfleet.h"

#include "control/clockdrift.h"

#include <algorithm>
#include <utility>

namespace fescuecleat {

namespace {

    /** Interval at which an idle shard checks for due renewals and lost workers. */
    constexpr Duration idlePollInterval = std::chrono::milliseconds(20);

    bool hasEnded(TaskState state)
    {
        return state != TaskState::Prepared && state != TaskState::Running;
    }

}

WorkerFleet::WorkerFleet(WorkerClient& client, const RunPermitPolicy& policy, EventSink sink, DurabilityCheck isOutcomeDurable)
    : client_(client)
    , policy_(policy)
    , sink_(std::move(sink))
    , isOutcomeDurable_(std::move(isOutcomeDurable))
{
    for (Shard& shard : shards_)
        shard.thread_ = std::thread([this, &shard] { run(shard); });
}

WorkerFleet::~WorkerFleet()
{
    isStopping_ = true;
    for (Shard& shard : shards_)
        shard.thread_.join();
}

void WorkerFleet::setWorkers(const std::vector<ListedInstance>& listed)
{
    for (Shard& shard : shards_) {
        const std::lock_guard<std::mutex> lock(shard.mutex_);
        for (auto& [id, entry] : shard.workers_)
            entry.isListed_ = false;
    }
    for (const ListedInstance& instance : listed) {
        if (instance.role_ != InstanceRole::Worker)
            continue;
        const WorkerId id(instance.id_);
        Shard& shard = shardOf(id);
        const std::lock_guard<std::mutex> lock(shard.mutex_);
        Entry& entry = shard.workers_[id];
        entry.address_ = instance.address_;
        entry.rack_ = RackId(instance.group_);
        entry.isListed_ = true;
    }
}

void WorkerFleet::begin(std::uint64_t epoch, Time leaseUntil, const std::set<WorkerId>& expected)
{
    for (const WorkerId& worker : expected) {
        Shard& shard = shardOf(worker);
        const std::lock_guard<std::mutex> lock(shard.mutex_);
        shard.workers_.emplace(worker, Entry {});
    }
    const Time now = monotonicNow();
    // Earlier holders may renew during the grace period after the expiry of their
    // lease, and their last renewal is valid for one permit duration more.
    const Time earlierPermitsUntil = now + localWaitCovering(policy_.gracePeriod_ + policy_.permitDuration_);
    {
        const std::lock_guard<std::mutex> lock(modeMutex_);
        mode_ = Mode::Active;
        epoch_ = epoch;
        renewUntil_ = leaseUntil + policy_.gracePeriod_;
    }
    for (Shard& shard : shards_) {
        const std::lock_guard<std::mutex> lock(shard.mutex_);
        for (auto& [id, entry] : shard.workers_) {
            entry.link_.emplace(policy_, earlierPermitsUntil, now);
            ++entry.term_;
            entry.isJoined_ = false;
            entry.isLost_ = false;
            entry.ended_.clear();
            entry.recentPrepares_.clear();
        }
    }
}

void WorkerFleet::leaseExtended(Time leaseUntil)
{
    const std::lock_guard<std::mutex> lock(modeMutex_);
    if (mode_ == Mode::Active)
        renewUntil_ = std::max(renewUntil_, leaseUntil + policy_.gracePeriod_);
}

void WorkerFleet::suspend()
{
    const std::lock_guard<std::mutex> lock(modeMutex_);
    if (mode_ != Mode::Active)
        return;
    mode_ = Mode::Suspended;
    // After a pause this call comes late, while the successor counts from the end of the lease.
    renewUntil_ = std::min(renewUntil_, monotonicNow() + policy_.gracePeriod_);
}

void WorkerFleet::end()
{
    const std::lock_guard<std::mutex> lock(modeMutex_);
    mode_ = Mode::Idle;
}

std::optional<WorkerTarget> WorkerFleet::target(const WorkerId& worker) const
{
    WorkerTarget target;
    {
        const std::lock_guard<std::mutex> lock(modeMutex_);
        if (mode_ != Mode::Active)
            return std::nullopt;
        target.epoch_ = epoch_;
    }
    const Shard& shard = shardOf(worker);
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    const auto found = shard.workers_.find(worker);
    if (found == shard.workers_.end() || found->second.isLost_)
        return std::nullopt;
    target.address_ = found->second.address_;
    return target;
}

void WorkerFleet::prepareSent(const WorkerId& worker, const TaskKey& task)
{
    Shard& shard = shardOf(worker);
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    shard.workers_[worker].recentPrepares_[task] = Time::max();
}

void WorkerFleet::prepareEnded(const WorkerId& worker, const TaskKey& task)
{
    Shard& shard = shardOf(worker);
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    shard.workers_[worker].recentPrepares_[task] = monotonicNow();
}

std::optional<std::int64_t> WorkerFleet::toWorkerClock(const WorkerId& worker, Time moment) const
{
    const Shard& shard = shardOf(worker);
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    const auto found = shard.workers_.find(worker);
    if (found == shard.workers_.end() || !found->second.link_)
        return std::nullopt;
    return found->second.link_->toWorkerClock(moment);
}

WorkerFleetCounts WorkerFleet::counts() const
{
    return { renewals_, unanswered_, fenced_, lost_ };
}

JsonValue WorkerFleet::dump(Time now) const
{
    JsonValue workers = jsonArray();
    for (const Shard& shard : shards_) {
        const std::lock_guard<std::mutex> lock(shard.mutex_);
        for (const auto& [id, entry] : shard.workers_) {
            JsonValue& worker = workers.addMember();
            worker.setCategory(JsonValue::Object);
            worker.addValue("worker", id.value());
            worker.addValue("rack", entry.rack_.value());
            worker.addValue("address", toString(entry.address_));
            worker.addValue("reachable", entry.link_ && entry.link_->isReachable(now));
            worker.addValue("lost", entry.isLost_);
            worker.addValue("listed", entry.isListed_);
        }
    }
    return workers;
}

WorkerFleet::Shard& WorkerFleet::shardOf(const WorkerId& worker)
{
    return shards_[std::hash<WorkerId>()(worker) % shardCount];
}

const WorkerFleet::Shard& WorkerFleet::shardOf(const WorkerId& worker) const
{
    return shards_[std::hash<WorkerId>()(worker) % shardCount];
}

void WorkerFleet::run(Shard& shard)
{
    while (!isStopping_) {
        const Time now = monotonicNow();
        std::optional<Renewal> renewal;
        if (mayRenew(now)) {
            declareLostWorkers(shard, now);
            renewal = nextDueRenewal(shard, now);
        }
        if (renewal)
            renew(shard, *renewal);
        else
            std::this_thread::sleep_for(idlePollInterval);
    }
}

bool WorkerFleet::mayRenew(Time now) const
{
    const std::lock_guard<std::mutex> lock(modeMutex_);
    return mode_ != Mode::Idle && now < renewUntil_;
}

std::optional<WorkerFleet::Renewal> WorkerFleet::nextDueRenewal(Shard& shard, Time now)
{
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    // The one that is due for the longest time: a worker that doesn't answer is due again when its renewal times out.
    auto next = shard.workers_.end();
    for (auto position = shard.workers_.begin(); position != shard.workers_.end(); ++position) {
        Entry& entry = position->second;
        if (!entry.link_)
            entry.link_.emplace(policy_, now + localWaitCovering(policy_.gracePeriod_ + policy_.permitDuration_), now);
        const bool hasAddress = entry.address_.port_ != 0;
        if (!hasAddress || entry.link_->nextRenewal() > now)
            continue;
        if (next == shard.workers_.end() || entry.link_->nextRenewal() < next->second.link_->nextRenewal())
            next = position;
    }
    if (next == shard.workers_.end())
        return std::nullopt;
    Entry& entry = next->second;
    return Renewal { next->first, entry.address_, entry.term_, entry.link_->plan(now), entry.ended_, now };
}

void WorkerFleet::renew(Shard& shard, const Renewal& renewal)
{
    std::uint64_t epoch = 0;
    {
        const std::lock_guard<std::mutex> lock(modeMutex_);
        epoch = epoch_;
    }
    std::vector<TaskKey> forget;
    std::copy_if(renewal.ended_.begin(), renewal.ended_.end(), std::back_inserter(forget), isOutcomeDurable_);
    ++renewals_;
    const Result<WorkerReport> report = client_.renew(renewal.address_, epoch, renewal.plan_.untilMicros_, forget, renewal.plan_.deadline_);
    if (report) {
        takeReport(shard, renewal, *report, monotonicNow());
        return;
    }
    if (report.error().kind_ == ErrorKind::Conflict)
        ++fenced_;
    else
        ++unanswered_;
}

void WorkerFleet::takeReport(Shard& shard, const Renewal& renewal, const WorkerReport& report, Time received)
{
    const WorkerId& worker = renewal.worker_;
    bool isJoining = false;
    bool isJoined = false;
    std::vector<TaskKey> known;
    {
        const std::lock_guard<std::mutex> lock(shard.mutex_);
        Entry& entry = shard.workers_[worker];
        // The worker may not have seen the present epoch yet, and the report may lack what was sent since.
        if (!entry.link_ || entry.term_ != renewal.term_)
            return;
        entry.link_->onReport(report.clockMicros_, received);
        entry.ended_.clear();
        known = knownTasks(entry, renewal, report);
        for (const TaskReported& task : report.tasks_) {
            if (hasEnded(task.state_))
                entry.ended_.push_back(task.task_);
        }
        // A worker joins with its first run permit: without one it refuses all tasks.
        isJoining = !entry.isJoined_ && renewal.plan_.untilMicros_ > 0;
        entry.isJoined_ = entry.isJoined_ || isJoining;
        entry.isLost_ = false;
        isJoined = entry.isJoined_;
    }
    if (!isJoined)
        return;
    if (isJoining)
        sink_(WorkerJoined { worker, report.rack_, report.capacity_ });
    for (const TaskReported& task : report.tasks_) {
        TaskReported reported = task;
        reported.worker_ = worker;
        sink_(std::move(reported));
    }
    sink_(WorkerReported { worker, std::move(known) });
}

/** Tasks of the report, and tasks whose prepare may be too recent to be in it. */
std::vector<TaskKey> WorkerFleet::knownTasks(Entry& entry, const Renewal& renewal, const WorkerReport& report)
{
    std::vector<TaskKey> known;
    for (const TaskReported& task : report.tasks_)
        known.push_back(task.task_);
    for (auto prepare = entry.recentPrepares_.begin(); prepare != entry.recentPrepares_.end();) {
        if (prepare->second < renewal.sentAt_) {
            prepare = entry.recentPrepares_.erase(prepare);
            continue;
        }
        known.push_back(prepare->first);
        ++prepare;
    }
    return known;
}

void WorkerFleet::declareLostWorkers(Shard& shard, Time now)
{
    std::vector<WorkerId> lost;
    {
        const std::lock_guard<std::mutex> lock(shard.mutex_);
        for (auto& [id, entry] : shard.workers_) {
            if (entry.isLost_ || !entry.link_ || !entry.link_->isLost(now))
                continue;
            entry.isLost_ = true;
            entry.isJoined_ = false;
            lost.push_back(id);
        }
    }
    for (const WorkerId& worker : lost) {
        ++lost_;
        sink_(WorkerLost { worker });
    }
}

}
