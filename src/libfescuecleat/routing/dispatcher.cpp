#include "routing/dispatcher.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** A minion that refused a request because all its slots were busy gets none for this long. */
    constexpr Duration noSlotBackoff { std::chrono::milliseconds(20) };
    /** Share of a service's minions that may be ejected at the same time. */
    constexpr double maxEjectedShare = 0.34;
    /** Estimates with fewer samples are not used for decisions. */
    constexpr double minReliableWeight = 20;
    /** Timeout of an attempt of an idempotent request: a multiple of this quantile of the latency. */
    constexpr double attemptTimeoutQuantile = 0.99;
    constexpr int attemptTimeoutFactor = 3;
    constexpr Duration minAttemptTimeout { std::chrono::milliseconds(100) };
    /** A minion whose latencies exceed the mean of their kinds by this factor is ejected. */
    constexpr double ejectionSlowdown = 4;
    /** Weight of the newest sample in the moving average of a minion's slowdown. */
    constexpr double slowdownSmoothingFactor = 0.1;
    /**
     * A request waits for at most this fraction (1 / n) of the time to its
     * deadline. A longer queue adds latency without adding throughput.
     */
    constexpr int maxWaitDivisor = 4;
    /** Pairs of random minions tried before all minions are scanned. */
    constexpr int maxRandomPairs = 2;

    bool isIn(const std::set<MinionId>& minions, const MinionId& minion)
    {
        return minions.find(minion) != minions.end();
    }

}

Dispatcher::Dispatcher(DispatcherOptions options)
    : options_(std::move(options))
    , random_(options_.seed_)
{
}

std::vector<DispatchAction> Dispatcher::apply(const DispatchEvent& event, Time now)
{
    Actions actions;
    releaseSlots(now);
    std::visit([&](const auto& specific) { on(specific, now, actions); }, event);
    serveQueue(now, actions);
    return actions;
}

void Dispatcher::on(const Submit& request, Time now, Actions& actions)
{
    if (request.deadline_ <= now) {
        refuse(request.ticket_, "the deadline has passed", now, actions);
        return;
    }
    if (queue_.isEmpty() && trySend(request, now, actions))
        return;
    if (!hasUsableMinion(now)) {
        refuse(request.ticket_, "the service has no available minion", now, actions);
        return;
    }
    const Duration cost = expectedServiceTime(request.kind_);
    const Duration wait = expectedWait(request.organisation_, now);
    const bool isTooLate = now + wait + cost > request.deadline_;
    if (isTooLate || wait > (request.deadline_ - now) / maxWaitDivisor) {
        refuse(request.ticket_, "the queue is too long for the deadline", now, actions);
        return;
    }
    waiting_[request.ticket_] = request;
    // Without own slots the request waits only a limited time for a loan from a peer.
    const Time latestByDeadline = request.deadline_ - cost;
    const Time latestStart = usableSlots(now) > 0 ? latestByDeadline : std::min(latestByDeadline, now + (request.deadline_ - now) / maxWaitDivisor);
    queue_.push({ request.ticket_, request.organisation_, cost, latestStart });
}

void Dispatcher::on(const Withdraw& withdrawal, Time, Actions&)
{
    if (queue_.remove(withdrawal.ticket_))
        waiting_.erase(withdrawal.ticket_);
}

void Dispatcher::on(const AttemptEnded& ended, Time now, Actions& actions)
{
    const auto found = inProgress_.find(ended.ticket_);
    if (found == inProgress_.end())
        return;
    const InProgress attempt = found->second;
    inProgress_.erase(found);
    MinionState& state = minions_[attempt.minion_];
    if (attempt.isProbe_)
        --state.probesInProgress_;
    const auto slot = std::find(state.busyUntil_.begin(), state.busyUntil_.end(), attempt.deadline_);
    if (slot != state.busyUntil_.end())
        state.busyUntil_.erase(slot);
    if (ended.slotBusyUntil_ > now)
        state.busyUntil_.push_back(std::min(ended.slotBusyUntil_, attempt.deadline_));
    if (ended.wasRefused_)
        state.backoffUntil_ = now + noSlotBackoff;
    if (ended.healthSignal_ == HealthSignal::Success) {
        const Duration latency = now - attempt.startedAt_;
        LatencyEstimate& kind = latencyByKind_[attempt.kind_];
        if (kind.weight() >= minReliableWeight && kind.mean() > Duration::zero()) {
            const double ratio = static_cast<double>(latency.count()) / static_cast<double>(kind.mean().count());
            state.slowdown_ += slowdownSmoothingFactor * (ratio - state.slowdown_);
        }
        state.latency_.add(latency);
        kind.add(latency);
        serviceTime_.add(latency);
        latencyByDataCentre_[state.minion_.dataCentre_].add(latency);
    }
    const bool isTimeout = ended.healthSignal_ == HealthSignal::TimedOut;
    updateHealth(attempt.minion_, isTimeout ? classifyTimeout(attempt, now) : ended.healthSignal_, now, actions);
}

void Dispatcher::on(const MinionsListed& listed, Time, Actions& actions)
{
    for (MinionState& state : minions_)
        state.isListed_ = false;
    for (const Minion& minion : listed.minions_) {
        MinionState& state = minions_[indexOf(minion)];
        const bool wasLeaving = isLeaving(state);
        // A minion with a new address, or listed in service again, counts as restarted.
        const bool isRestarted = state.minion_.address_ != minion.address_ || (state.minion_.isLeaving_ && !minion.isLeaving_);
        if (isRestarted) {
            state.isReportedLeaving_ = false;
            state.health_.reset();
            state.slowdown_ = 1;
        }
        state.minion_ = minion;
        state.isListed_ = true;
        if (!wasLeaving && isLeaving(state))
            actions.emplace_back(MinionConditionChanged { minion.id_, "leaving" });
    }
    for (MinionState& state : minions_) {
        if (!state.isListed_)
            state.minion_.isLeaving_ = true;
    }
    rebuildIndexes();
}

void Dispatcher::on(const LeavingReported& report, Time, Actions& actions)
{
    const auto found = indexes_.find(report.minion_);
    if (found == indexes_.end())
        return;
    MinionState& state = minions_[found->second];
    if (!isLeaving(state))
        actions.emplace_back(MinionConditionChanged { report.minion_, "leaving" });
    state.isReportedLeaving_ = true;
}

void Dispatcher::on(const StayingConfirmed& report, Time, Actions& actions)
{
    const auto found = indexes_.find(report.minion_);
    if (found == indexes_.end() || !minions_[found->second].isReportedLeaving_)
        return;
    minions_[found->second].isReportedLeaving_ = false;
    actions.emplace_back(MinionConditionChanged { report.minion_, "staying" });
}

void Dispatcher::on(const AllowancesChanged& changed, Time, Actions&)
{
    for (MinionState& state : minions_) {
        const auto found = changed.allowances_.find(state.minion_.id_);
        state.allowance_ = found == changed.allowances_.end() ? SlotAllowance() : found->second;
    }
}

void Dispatcher::on(const ClockTick&, Time now, Actions& actions)
{
    for (const WaitingRequest& expired : queue_.takeExpired(now)) {
        waiting_.erase(expired.ticket_);
        refuse(expired.ticket_, "timed out while waiting for a free slot", now, actions);
    }
}

void Dispatcher::releaseSlots(Time now)
{
    for (MinionState& state : minions_) {
        auto& ends = state.busyUntil_;
        ends.erase(std::remove_if(ends.begin(), ends.end(), [&](Time end) { return end <= now; }), ends.end());
    }
}

void Dispatcher::serveQueue(Time now, Actions& actions)
{
    while (const std::optional<WaitingRequest> next = queue_.front()) {
        const Submit request = waiting_.at(next->ticket_);
        const bool isExpired = next->latestStart_ <= now;
        if (!isExpired && !trySend(request, now, actions))
            return;
        queue_.pop();
        waiting_.erase(next->ticket_);
        if (isExpired)
            refuse(next->ticket_, "timed out while waiting for a free slot", now, actions);
    }
}

void Dispatcher::refuse(Ticket ticket, const std::string& reason, Time now, Actions& actions)
{
    const int slots = std::max(1, usableSlots(now));
    const Time retryAt = retrySchedule_.next(now, queue_.work() / slots, serviceTime_.mean() / slots, random_);
    actions.emplace_back(RefuseRequest { ticket, reason, retryAt });
}

bool Dispatcher::trySend(const Submit& request, Time now, Actions& actions)
{
    const Time attemptEnd = attemptDeadline(request, now);
    const std::optional<std::size_t> index = selectMinion(request, attemptEnd, now);
    if (!index)
        return false;
    MinionState& state = minions_[*index];
    const bool isProbe = state.health_.condition(now) == MinionCondition::Probing;
    if (isProbe)
        ++state.probesInProgress_;
    state.busyUntil_.push_back(attemptEnd);
    inProgress_[request.ticket_] = { *index, now, attemptEnd, request.kind_, isProbe };
    actions.emplace_back(SendToMinion { request.ticket_, state.minion_, attemptEnd });
    return true;
}

void Dispatcher::updateHealth(std::size_t index, HealthSignal signal, Time now, Actions& actions)
{
    MinionState& state = minions_[index];
    const bool wasHealthy = state.health_.condition(now) == MinionCondition::Healthy;
    const bool shouldEject = state.health_.record(signal, now);
    const bool isSlow = wasHealthy && signal == HealthSignal::Success && state.latency_.weight() >= minReliableWeight
        && state.slowdown_ > ejectionSlowdown;
    if (!wasHealthy && state.health_.condition(now) == MinionCondition::Healthy)
        actions.emplace_back(MinionConditionChanged { state.minion_.id_, "healthy" });
    if (!shouldEject && !isSlow)
        return;
    // After a failed probe the minion is already part of the ejected share.
    if (wasHealthy && !canEjectAnother(now))
        return;
    state.health_.eject(now);
    state.slowdown_ = 1;
    state.latency_ = LatencyEstimate();
    actions.emplace_back(MinionConditionChanged { state.minion_.id_, "ejected" });
}

HealthSignal Dispatcher::classifyTimeout(const InProgress& attempt, Time now) const
{
    // A timeout caused by a short deadline of the caller says nothing about the minion.
    const auto kind = latencyByKind_.find(attempt.kind_);
    if (kind == latencyByKind_.end() || kind->second.weight() < minReliableWeight)
        return HealthSignal::Failure;
    const bool hadEnoughTime = now - attempt.startedAt_ >= kind->second.quantile(attemptTimeoutQuantile) * attemptTimeoutFactor;
    return hadEnoughTime ? HealthSignal::Failure : HealthSignal::Neutral;
}

bool Dispatcher::canEjectAnother(Time now) const
{
    int listed = 0;
    int ejected = 0;
    for (const MinionState& state : minions_) {
        if (!state.isListed_)
            continue;
        ++listed;
        if (state.health_.condition(now) != MinionCondition::Healthy)
            ++ejected;
    }
    return ejected + 1 <= maxEjectedShare * listed;
}

Time Dispatcher::attemptDeadline(const Submit& request, Time now) const
{
    if (!request.isIdempotent_)
        return request.deadline_;
    const auto kind = latencyByKind_.find(request.kind_);
    if (kind == latencyByKind_.end() || kind->second.weight() < minReliableWeight)
        return request.deadline_;
    const Duration timeout = std::max(minAttemptTimeout, kind->second.quantile(attemptTimeoutQuantile) * attemptTimeoutFactor);
    // A shorter timeout is useful only if there is time for a second attempt.
    if (now + timeout * 2 > request.deadline_)
        return request.deadline_;
    return now + timeout;
}

Duration Dispatcher::expectedServiceTime(const std::string& kind) const
{
    const auto found = latencyByKind_.find(kind);
    return found == latencyByKind_.end() ? serviceTime_.mean() : found->second.mean();
}

Duration Dispatcher::expectedWait(const OrganisationId& organisation, Time now) const
{
    return queue_.workAhead(organisation) / std::max(1, usableSlots(now));
}

int Dispatcher::usableSlots(Time now) const
{
    int slots = 0;
    for (const MinionState& state : minions_) {
        if (!isLeaving(state) && state.health_.condition(now) != MinionCondition::Ejected)
            slots += state.allowance_.slotsAt(now);
    }
    return slots;
}

bool Dispatcher::hasUsableMinion(Time now) const
{
    return std::any_of(minions_.begin(), minions_.end(), [&](const MinionState& state) {
        return state.isListed_ && !isLeaving(state) && state.health_.condition(now) != MinionCondition::Ejected;
    });
}

bool Dispatcher::isLeaving(const MinionState& state) const
{
    return state.isReportedLeaving_ || state.minion_.isLeaving_;
}

bool Dispatcher::canAccept(const MinionState& state, const Submit& request, Time attemptEnd, Time now) const
{
    if (!state.isListed_ || isLeaving(state) || now < state.backoffUntil_)
        return false;
    const MinionCondition condition = state.health_.condition(now);
    if (condition == MinionCondition::Ejected)
        return false;
    if (condition == MinionCondition::Probing && (!request.isIdempotent_ || state.probesInProgress_ > 0))
        return false;
    return fescuecleat::hasFreeSlot(state.allowance_, state.busyUntil_, attemptEnd, now);
}

std::optional<std::size_t> Dispatcher::selectMinion(const Submit& request, Time attemptEnd, Time now)
{
    if (const auto index = selectInDataCentre(localMinions_, request, attemptEnd, now))
        return index;
    std::vector<std::pair<Duration, const std::vector<std::size_t>*>> byLatency;
    byLatency.reserve(remoteMinions_.size());
    for (const auto& [dataCentre, indexes] : remoteMinions_) {
        const auto latency = latencyByDataCentre_.find(dataCentre);
        byLatency.emplace_back(latency == latencyByDataCentre_.end() ? Duration::zero() : latency->second.mean(), &indexes);
    }
    std::stable_sort(byLatency.begin(), byLatency.end(), [](const auto& first, const auto& second) { return first.first < second.first; });
    for (const auto& [latency, indexes] : byLatency) {
        if (const auto index = selectInDataCentre(*indexes, request, attemptEnd, now))
            return index;
    }
    return std::nullopt;
}

std::optional<std::size_t> Dispatcher::selectInDataCentre(const std::vector<std::size_t>& indexes, const Submit& request, Time attemptEnd, Time now)
{
    const auto index = selectFrom(indexes, request, attemptEnd, now);
    if (index || request.avoided_.empty())
        return index;
    // Falls back to an avoided minion: a waiting retry would block the queue.
    Submit withoutAvoided = request;
    withoutAvoided.avoided_.clear();
    return selectFrom(indexes, withoutAvoided, attemptEnd, now);
}

std::optional<std::size_t> Dispatcher::selectFrom(const std::vector<std::size_t>& indexes, const Submit& request, Time attemptEnd, Time now)
{
    const auto isSuitable = [&](std::size_t index) {
        return canAccept(minions_[index], request, attemptEnd, now) && !isIn(request.avoided_, minions_[index].minion_.id_);
    };
    if (options_.selection_ == SelectionPolicy::TwoRandomChoices && !indexes.empty()) {
        for (int pair = 0; pair < maxRandomPairs; ++pair) {
            const std::size_t first = indexes[random_.below(indexes.size())];
            const std::size_t second = indexes[random_.below(indexes.size())];
            const bool isFirstSuitable = isSuitable(first);
            const bool isSecondSuitable = isSuitable(second);
            if (isFirstSuitable && isSecondSuitable)
                return lessLoaded(first, second, now);
            if (isFirstSuitable || isSecondSuitable)
                return isFirstSuitable ? first : second;
        }
    }
    std::optional<std::size_t> best;
    // The random start spreads the load over equally loaded minions.
    const std::size_t start = random_.below(indexes.size());
    for (std::size_t offset = 0; offset < indexes.size(); ++offset) {
        const std::size_t index = indexes[(start + offset) % indexes.size()];
        if (isSuitable(index))
            best = best ? lessLoaded(*best, index, now) : index;
    }
    return best;
}

std::size_t Dispatcher::lessLoaded(std::size_t first, std::size_t second, Time now) const
{
    const auto load = [&](std::size_t index) {
        const MinionState& state = minions_[index];
        const double allowed = std::max(1, state.allowance_.slotsAt(now));
        return (static_cast<double>(state.busyUntil_.size()) + 1) / allowed * state.slowdown_;
    };
    return load(second) < load(first) ? second : first;
}

std::size_t Dispatcher::indexOf(const Minion& minion)
{
    const auto found = indexes_.find(minion.id_);
    if (found != indexes_.end())
        return found->second;
    const std::size_t index = minions_.size();
    minions_.emplace_back();
    minions_[index].minion_ = minion;
    indexes_[minion.id_] = index;
    return index;
}

void Dispatcher::rebuildIndexes()
{
    std::vector<bool> isUsed(minions_.size());
    for (const auto& [ticket, attempt] : inProgress_)
        isUsed[attempt.minion_] = true;
    std::vector<std::size_t> movedTo(minions_.size());
    std::vector<MinionState> kept;
    indexes_.clear();
    localMinions_.clear();
    remoteMinions_.clear();
    for (std::size_t index = 0; index < minions_.size(); ++index) {
        MinionState& state = minions_[index];
        if (!state.isListed_ && !isUsed[index])
            continue;
        movedTo[index] = kept.size();
        indexes_[state.minion_.id_] = kept.size();
        if (state.isListed_ && state.minion_.dataCentre_ == options_.dataCentre_)
            localMinions_.push_back(kept.size());
        else if (state.isListed_)
            remoteMinions_[state.minion_.dataCentre_].push_back(kept.size());
        kept.push_back(std::move(state));
    }
    for (auto& [ticket, attempt] : inProgress_)
        attempt.minion_ = movedTo[attempt.minion_];
    minions_ = std::move(kept);
}

DispatcherSummary Dispatcher::summary(Time now) const
{
    DispatcherSummary summary;
    summary.waiting_ = queue_.size();
    summary.allowedSlots_ = usableSlots(now);
    summary.meanServiceTime_ = serviceTime_.mean();
    for (const MinionState& state : minions_) {
        summary.busySlots_ += static_cast<int>(state.busyUntil_.size());
        if (!state.isListed_)
            continue;
        ++summary.minions_;
        summary.leaving_ += isLeaving(state) ? 1 : 0;
        summary.ejected_ += state.health_.condition(now) != MinionCondition::Healthy ? 1 : 0;
    }
    summary.wantedSlots_ = static_cast<int>(queue_.size());
    return summary;
}

std::vector<MinionSummary> Dispatcher::minionSummaries(Time now) const
{
    std::vector<MinionSummary> summaries;
    summaries.reserve(minions_.size());
    for (const MinionState& state : minions_) {
        MinionSummary summary;
        summary.minion_ = state.minion_;
        summary.busy_ = static_cast<int>(state.busyUntil_.size());
        summary.allowed_ = state.allowance_.slotsAt(now);
        summary.meanLatency_ = state.latency_.mean();
        summary.isLeavingUnconfirmed_ = state.isListed_ && state.isReportedLeaving_ && !state.minion_.isLeaving_;
        const MinionCondition condition = state.health_.condition(now);
        summary.condition_ = condition == MinionCondition::Healthy ? "healthy" : "ejected";
        if (condition == MinionCondition::Probing)
            summary.condition_ = "probing";
        if (isLeaving(state))
            summary.condition_ = "leaving";
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

std::optional<Time> Dispatcher::nextTick(Time now) const
{
    if (queue_.isEmpty())
        return std::nullopt;
    std::optional<Time> next;
    const auto consider = [&](Time moment) {
        if (moment > now && (!next || moment < *next))
            next = moment;
    };
    for (const MinionState& state : minions_) {
        consider(state.backoffUntil_);
        for (Time end : state.busyUntil_)
            consider(end);
    }
    return next;
}

}
