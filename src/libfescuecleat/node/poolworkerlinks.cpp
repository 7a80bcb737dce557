#include "node/poolworkerlinks.h"

#include "base/bootclock.h"
#include "node/startpermission.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    constexpr Duration registryPollWait = std::chrono::milliseconds(2000);
    /**
     * Workers rewrite their entries continuously, so changes are collected between two polls;
     * a leaving worker must still be noticed well within two seconds.
     */
    constexpr Duration registryPollPause = std::chrono::milliseconds(400);
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
    /** Part of the registry's largest permitted age that the pause between two polls may take. */
    constexpr int pauseDivisor = 4;

    Duration maxRegistryAge(const InstanceSettings& settings)
    {
        return maxViewAge(settings.drainLimit_, PoolWorkerLink::requestTimeout);
    }

    Duration pollPause(const InstanceSettings& settings)
    {
        const Duration maxAge = maxRegistryAge(settings);
        return maxAge == Duration::zero() ? registryPollPause : std::min<Duration>(registryPollPause, maxAge / pauseDivisor);
    }

    Duration pollWait(const InstanceSettings& settings)
    {
        return pollWaitFor(maxRegistryAge(settings), registryPollWait, pollPause(settings));
    }

}

PoolWorkerLinks::PoolWorkerLinks(const NodeContext& context, PoolScheduler& scheduler, const AcquiredLease& lease, Listener listener)
    : context_(context)
    , scheduler_(scheduler)
    , epoch_(lease.epoch_)
    , formerHolderActiveUntil_(lease.formerHolderActiveUntil_)
    , listener_(std::move(listener))
    , registry_(context.loop_, context.store_, context.clock_, context.log_, { context.registryFormat_.table() }, pollWait(context.settings_),
          { [this](const std::vector<StoredRow>& rows) { handleRegistryReset(rows); }, [this](const StoredRow& row) { handleRegistryRow(row); }, nullptr })
    , linkTimer_(context.loop_)
{
    registry_.setPollPause(pollPause(context.settings_));
}

void PoolWorkerLinks::addServices(const std::set<std::string>& services)
{
    const std::size_t known = services_.size();
    services_.insert(services.begin(), services.end());
    if (services_.size() == known)
        return;
    for (const auto& [worker, row] : std::exchange(skippedWorkers_, {}))
        handleRegistryRow(row);
}

void PoolWorkerLinks::skipWorker(const StoredRow& row, const std::string& service)
{
    if (skippedWorkers_.count(row.key_) == 0)
        context_.log_.write("worker.skipped", { { "worker", row.key_ }, { "version", row.version_ }, { "service", service } });
    skippedWorkers_[row.key_] = row;
    scheduler_.delistWorker(row.key_);
}

void PoolWorkerLinks::handleRegistryReset(const std::vector<StoredRow>& rows)
{
    skippedWorkers_.clear();
    std::set<std::string> listed;
    for (const StoredRow& row : rows) {
        listed.insert(row.key_);
        handleRegistryRow(row);
    }
    for (const auto& [id, link] : links_) {
        if (listed.count(id) > 0)
            continue;
        decodedEntries_.erase(id);
        scheduler_.delistWorker(id);
    }
    review();
    listener_.changed_();
}

void PoolWorkerLinks::handleRegistryRow(const StoredRow& row)
{
    if (row.isDeleted_) {
        decodedEntries_.erase(row.key_);
        if (skippedWorkers_.erase(row.key_) > 0)
            return;
        context_.log_.write("worker.delisted", { { "worker", row.key_ }, { "version", row.version_ } });
        scheduler_.delistWorker(row.key_);
        return listener_.changed_();
    }
    if (isOnlyHeartbeat(row))
        return;
    const Result<WorkerInfo> info = context_.registryFormat_.decode(row);
    decodedEntries_.erase(row.key_);
    if (!info) {
        context_.log_.write("worker.unreadable", { { "worker", row.key_ }, { "version", row.version_ }, { "cause", info.error().message_ } });
        scheduler_.delistWorker(row.key_);
        return listener_.changed_();
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
        return noteDecoded(row, current.key_); // only a heartbeat
    context_.log_.write("worker.seen", { { "worker", row.key_ }, { "version", row.version_ }, { "born", current.key_.startedUnixMs_ }, { "isDraining", current.isDraining_ }, { "dataCentre", current.dataCentre_ }, { "service", current.service_ }, { "labels", current.labels_ }, { "accelerators", current.capacity_.accelerators_ }, { "cpuMillis", current.capacity_.cpuMillis_ }, { "memoryMb", current.capacity_.memoryMb_ } });
    noteDecoded(row, current.key_);
    scheduler_.putWorker(current, bootTimeNow());
    if (link == links_.end() || link->second->key() != current.key_) {
        const bool isRestarted = links_.erase(row.key_) > 0;
        openLink(current, isRestarted);
    } else {
        link->second->update(current);
    }
    listener_.changed_();
}

void PoolWorkerLinks::noteDecoded(const StoredRow& row, const WorkerKey& key)
{
    decodedEntries_[row.key_] = { row.value_, key };
}

bool PoolWorkerLinks::isOnlyHeartbeat(const StoredRow& row)
{
    if (const auto skipped = skippedWorkers_.find(row.key_); skipped != skippedWorkers_.end()) {
        if (!context_.registryFormat_.isHeartbeat(skipped->second.value_, row.value_))
            return false;
        skipped->second = row;
        return true;
    }
    const auto decoded = decodedEntries_.find(row.key_);
    const auto link = links_.find(row.key_);
    if (decoded == decodedEntries_.end() || link == links_.end() || link->second->key() != decoded->second.key_)
        return false;
    const auto worker = scheduler_.state().workers_.find(decoded->second.key_);
    if (worker == scheduler_.state().workers_.end() || !worker->second.isListed_ || !worker->second.isDescribed_)
        return false;
    return context_.registryFormat_.isHeartbeat(decoded->second.value_, row.value_);
}

void PoolWorkerLinks::openLink(const WorkerInfo& info, bool isRestarted)
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

void PoolWorkerLinks::openQueuedLinks()
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

PoolWorkerLink* PoolWorkerLinks::find(const WorkerKey& key)
{
    const auto link = links_.find(key.id_);
    return link == links_.end() || link->second->key() != key ? nullptr : link->second.get();
}

PoolWorkerLink::Listener PoolWorkerLinks::makeLinkListener(const std::string& id)
{
    PoolWorkerLink::Listener listener;
    listener.reported_ = [this, id](const PoolWorkerReport& report, Time askedAt) { listener_.reported_(links_.at(id)->key(), report, askedAt); };
    listener.restarted_ = [this](const WorkerKey& former, const WorkerKey& current) {
        context_.log_.write("worker.reborn", { { "worker", current.id_ }, { "formerBorn", former.startedUnixMs_ }, { "born", current.startedUnixMs_ } });
        scheduler_.workerRestarted(former, current, bootTimeNow());
        listener_.changed_();
    };
    listener.answersAgain_ = [this, id] {
        context_.log_.write("worker.reachability", { { "worker", id }, { "isReachable", true }, { "cause", "answered" } });
        scheduler_.setReachable(links_.at(id)->key());
        listener_.changed_();
    };
    listener.fellSilent_ = [this, id](Time upUntil, const char* cause) {
        context_.log_.write("worker.reachability", { { "worker", id }, { "isReachable", false }, { "cause", cause } });
        scheduler_.setSilent(links_.at(id)->key(), upUntil, bootTimeNow());
        listener_.changed_();
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
        listener_.changed_();
    };
    listener.isLeaseHeld_ = listener_.isLeaseHeld_;
    listener.isStartWanted_ = listener_.mayStart_;
    // Starts outlast a suspension; they are sent once the lease is held again.
    listener.isStartPending_ = [this](const RunId& run) { return scheduler_.isStartPending(run); };
    listener.startSent_ = [this](const RunId& run) { scheduler_.startSent(run, bootTimeNow()); };
    listener.startUnanswered_ = [this](const RunId& run) { scheduler_.startUnanswered(run); };
    listener.startAnswered_ = [this, id](const RunId& run, StartAnswer answer) {
        if (answer != StartAnswer::Accepted)
            context_.log_.write("run.start_refused", { { "job", run.task_.job_ }, { "task", toString(run.task_) }, { "run", run.number_ }, { "worker", id }, { "cause", answer == StartAnswer::StaleRun ? "old" : "refused" } });
        scheduler_.startAnswered(run, answer, bootTimeNow());
        listener_.changed_();
    };
    listener.isStopWanted_ = [this](const RunId& run) {
        const auto entry = scheduler_.state().runs_.find(run);
        return entry == scheduler_.state().runs_.end() || entry->second.phase_ == RunPhase::Stopping;
    };
    listener.stopConfirmed_ = [this](const RunId& run) {
        scheduler_.stopConfirmed(run, bootTimeNow());
        listener_.changed_();
    };
    listener.epochRefused_ = [this, id] { listener_.leaseDoubted_("worker " + id + " has accepted a higher epoch"); };
    return listener;
}

void PoolWorkerLinks::reviewIfDue(Time now)
{
    if (isLoaded() && reviewedAt_ + linkReviewInterval < now)
        review();
}

void PoolWorkerLinks::review()
{
    reviewedAt_ = bootTimeNow();
    for (auto it = links_.begin(); it != links_.end();) {
        const bool isKnown = scheduler_.state().workers_.count(it->second->key()) > 0;
        it = isKnown ? std::next(it) : links_.erase(it);
    }
    // Workers that the registry no longer lists keep a link until their leases have expired.
    std::map<std::string, WorkerInfo> unlinked;
    std::vector<WorkerKey> superseded;
    for (const auto& [key, worker] : scheduler_.state().workers_) {
        if (find(key) != nullptr)
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
        listener_.changed_();
}

}
