#include "routing/dispatcher.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** A minion that refused for want of a slot gets nothing for this long. */
    constexpr Duration fullPause { std::chrono::milliseconds(20) };
    /** At most this share of a service's minions is ejected at once. */
    constexpr double largestEjectedShare = 0.34;
    /** Answers after which estimates are trusted. */
    constexpr double trustedWeight = 20;
    /** An idempotent attempt is given up after this multiple of the 99th percentile. */
    constexpr int attemptPatience = 3;
    constexpr Duration shortestAttempt { std::chrono::milliseconds(100) };
    /** A minion this many times slower than usual is ejected. */
    constexpr double slowdownToEject = 4;
    /** Weight of the newest answer in a minion's slowdown. */
    constexpr double slowdownWeight = 0.1;
    /**
     * A request waits for at most this part of its time. A longer queue adds
     * waiting time for all and no work done.
     */
    constexpr int waitDivisor = 4;
    /** Pairs of random minions tried before all are looked at. */
    constexpr int randomPairs = 2;

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
        refuse(request.ticket_, "no minion of the service can be used now", now, actions);
        return;
    }
    const Duration cost = expectedTime(request.kind_);
    const Duration wait = expectedWait(request.organisation_, now);
    const bool isTooLate = now + wait + cost > request.deadline_;
    if (isTooLate || wait > (request.deadline_ - now) / waitDivisor) {
        refuse(request.ticket_, "the queue is too long for the deadline", now, actions);
        return;
    }
    waiting_[request.ticket_] = request;
    // Without a slot the request waits for peers to lend one, but not for long.
    const Time latest = request.deadline_ - cost;
    const Time startBefore = usableSlots(now) > 0 ? latest : std::min(latest, now + (request.deadline_ - now) / waitDivisor);
    queue_.push({ request.ticket_, request.organisation_, cost, startBefore });
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
        state.fullUntil_ = now + fullPause;
    if (ended.verdict_ == AttemptVerdict::Good) {
        const Duration latency = now - attempt.startedAt_;
        LatencyEstimate& kind = kinds_[attempt.kind_];
        if (kind.weight() >= trustedWeight && kind.mean() > Duration::zero()) {
            const double ratio = static_cast<double>(latency.count()) / static_cast<double>(kind.mean().count());
            state.slowdown_ += slowdownWeight * (ratio - state.slowdown_);
        }
        state.latency_.add(latency);
        kind.add(latency);
        serviceTime_.add(latency);
        delays_[state.minion_.dataCentre_].add(latency);
    }
    const bool isTimeout = ended.verdict_ == AttemptVerdict::TimedOut;
    judge(attempt.minion_, isTimeout ? settleTimeout(attempt, now) : ended.verdict_, now, actions);
}

void Dispatcher::on(const MinionsListed& listed, Time, Actions& actions)
{
    for (MinionState& state : minions_)
        state.isListed_ = false;
    for (const Minion& minion : listed.minions_) {
        MinionState& state = minions_[indexOf(minion)];
        const bool wasLeaving = isLeaving(state);
        // Seen anew after it was gone, was leaving or moved: a fresh sign.
        const bool isFresh = state.minion_.address_ != minion.address_ || (state.minion_.isLeaving_ && !minion.isLeaving_);
        if (isFresh) {
            state.isSeenLeaving_ = false;
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
    groupByDataCentre();
}

void Dispatcher::on(const LeavingSeen& seen, Time, Actions& actions)
{
    const auto found = indexes_.find(seen.minion_);
    if (found == indexes_.end())
        return;
    MinionState& state = minions_[found->second];
    if (!isLeaving(state))
        actions.emplace_back(MinionConditionChanged { seen.minion_, "leaving" });
    state.isSeenLeaving_ = true;
}

void Dispatcher::on(const StayingSeen& seen, Time, Actions& actions)
{
    const auto found = indexes_.find(seen.minion_);
    if (found == indexes_.end() || !minions_[found->second].isSeenLeaving_)
        return;
    minions_[found->second].isSeenLeaving_ = false;
    actions.emplace_back(MinionConditionChanged { seen.minion_, "staying" });
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
        refuse(expired.ticket_, "no slot became free in time", now, actions);
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
        const bool isExpired = next->startBefore_ <= now;
        if (!isExpired && !trySend(request, now, actions))
            return;
        queue_.pop();
        waiting_.erase(next->ticket_);
        if (isExpired)
            refuse(next->ticket_, "no slot became free in time", now, actions);
    }
}

void Dispatcher::refuse(Ticket ticket, const std::string& reason, Time now, Actions& actions)
{
    const int slots = std::max(1, usableSlots(now));
    const Time retryAt = calendar_.next(now, queue_.work() / slots, serviceTime_.mean() / slots, random_);
    actions.emplace_back(RefuseRequest { ticket, reason, retryAt });
}

bool Dispatcher::trySend(const Submit& request, Time now, Actions& actions)
{
    const Time attemptEnd = attemptDeadline(request, now);
    const std::optional<std::size_t> index = choose(request, attemptEnd, now);
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

void Dispatcher::judge(std::size_t index, AttemptVerdict verdict, Time now, Actions& actions)
{
    MinionState& state = minions_[index];
    const bool wasHealthy = state.health_.condition(now) == MinionCondition::Healthy;
    const bool isBad = state.health_.record(verdict, now);
    const bool isSlow = wasHealthy && verdict == AttemptVerdict::Good && state.latency_.weight() >= trustedWeight
        && state.slowdown_ > slowdownToEject;
    if (!wasHealthy && state.health_.condition(now) == MinionCondition::Healthy)
        actions.emplace_back(MinionConditionChanged { state.minion_.id_, "healthy" });
    if (!isBad && !isSlow)
        return;
    // A probe that failed doesn't add to the ejected share.
    if (wasHealthy && !mayEjectOneMore(now))
        return;
    state.health_.eject(now);
    state.slowdown_ = 1;
    state.latency_ = LatencyEstimate();
    actions.emplace_back(MinionConditionChanged { state.minion_.id_, "ejected" });
}

AttemptVerdict Dispatcher::settleTimeout(const InProgress& attempt, Time now) const
{
    // A caller's own short deadline is no fault of the minion.
    const auto kind = kinds_.find(attempt.kind_);
    if (kind == kinds_.end() || kind->second.weight() < trustedWeight)
        return AttemptVerdict::Bad;
    const bool wasAmple = now - attempt.startedAt_ >= kind->second.quantile(0.99) * attemptPatience;
    return wasAmple ? AttemptVerdict::Bad : AttemptVerdict::Neutral;
}

bool Dispatcher::mayEjectOneMore(Time now) const
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
    return ejected + 1 <= largestEjectedShare * listed;
}

Time Dispatcher::attemptDeadline(const Submit& request, Time now) const
{
    if (!request.isIdempotent_)
        return request.deadline_;
    const auto kind = kinds_.find(request.kind_);
    if (kind == kinds_.end() || kind->second.weight() < trustedWeight)
        return request.deadline_;
    const Duration patience = std::max(shortestAttempt, kind->second.quantile(0.99) * attemptPatience);
    // Without time for a second attempt, cutting the first one short gains nothing.
    if (now + patience * 2 > request.deadline_)
        return request.deadline_;
    return now + patience;
}

Duration Dispatcher::expectedTime(const std::string& kind) const
{
    const auto found = kinds_.find(kind);
    return found == kinds_.end() ? serviceTime_.mean() : found->second.mean();
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
    return state.isSeenLeaving_ || state.minion_.isLeaving_;
}

bool Dispatcher::hasRoom(const MinionState& state, const Submit& request, Time attemptEnd, Time now) const
{
    if (!state.isListed_ || isLeaving(state) || now < state.fullUntil_)
        return false;
    const MinionCondition condition = state.health_.condition(now);
    if (condition == MinionCondition::Ejected)
        return false;
    if (condition == MinionCondition::Probing && (!request.isIdempotent_ || state.probesInProgress_ > 0))
        return false;
    return fescuecleat::hasRoom(state.allowance_, state.busyUntil_, attemptEnd, now);
}

std::optional<std::size_t> Dispatcher::choose(const Submit& request, Time attemptEnd, Time now)
{
    if (const auto index = chooseIn(own_, request, attemptEnd, now))
        return index;
    std::vector<std::pair<Duration, const std::vector<std::size_t>*>> byDelay;
    byDelay.reserve(others_.size());
    for (const auto& [dataCentre, indexes] : others_) {
        const auto delay = delays_.find(dataCentre);
        byDelay.emplace_back(delay == delays_.end() ? Duration::zero() : delay->second.mean(), &indexes);
    }
    std::stable_sort(byDelay.begin(), byDelay.end(), [](const auto& first, const auto& second) { return first.first < second.first; });
    for (const auto& [delay, indexes] : byDelay) {
        if (const auto index = chooseIn(*indexes, request, attemptEnd, now))
            return index;
    }
    return std::nullopt;
}

std::optional<std::size_t> Dispatcher::chooseIn(const std::vector<std::size_t>& indexes, const Submit& request, Time attemptEnd, Time now)
{
    const auto index = chooseAmong(indexes, request, attemptEnd, now);
    if (index || request.avoided_.empty())
        return index;
    // Better the same minion again than none: a retry must not hold up the queue.
    Submit anywhere = request;
    anywhere.avoided_.clear();
    return chooseAmong(indexes, anywhere, attemptEnd, now);
}

std::optional<std::size_t> Dispatcher::chooseAmong(const std::vector<std::size_t>& indexes, const Submit& request, Time attemptEnd, Time now)
{
    const auto suits = [&](std::size_t index) {
        return hasRoom(minions_[index], request, attemptEnd, now) && !isIn(request.avoided_, minions_[index].minion_.id_);
    };
    if (options_.choice_ == ChoicePolicy::TwoChoices && !indexes.empty()) {
        for (int pair = 0; pair < randomPairs; ++pair) {
            const std::size_t first = indexes[random_.below(indexes.size())];
            const std::size_t second = indexes[random_.below(indexes.size())];
            const bool firstSuits = suits(first);
            const bool secondSuits = suits(second);
            if (firstSuits && secondSuits)
                return freer(first, second, now);
            if (firstSuits || secondSuits)
                return firstSuits ? first : second;
        }
    }
    std::optional<std::size_t> best;
    // The start is random so that equals share the load.
    const std::size_t start = random_.below(indexes.size());
    for (std::size_t offset = 0; offset < indexes.size(); ++offset) {
        const std::size_t index = indexes[(start + offset) % indexes.size()];
        if (suits(index))
            best = best ? freer(*best, index, now) : index;
    }
    return best;
}

std::size_t Dispatcher::freer(std::size_t first, std::size_t second, Time now) const
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

void Dispatcher::groupByDataCentre()
{
    std::vector<bool> isUsed(minions_.size());
    for (const auto& [ticket, attempt] : inProgress_)
        isUsed[attempt.minion_] = true;
    std::vector<std::size_t> movedTo(minions_.size());
    std::vector<MinionState> kept;
    indexes_.clear();
    own_.clear();
    others_.clear();
    for (std::size_t index = 0; index < minions_.size(); ++index) {
        MinionState& state = minions_[index];
        if (!state.isListed_ && !isUsed[index])
            continue;
        movedTo[index] = kept.size();
        indexes_[state.minion_.id_] = kept.size();
        if (state.isListed_ && state.minion_.dataCentre_ == options_.dataCentre_)
            own_.push_back(kept.size());
        else if (state.isListed_)
            others_[state.minion_.dataCentre_].push_back(kept.size());
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
        summary.isOnlySeenLeaving_ = state.isListed_ && state.isSeenLeaving_ && !state.minion_.isLeaving_;
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
        consider(state.fullUntil_);
        for (Time end : state.busyUntil_)
            consider(end);
    }
    return next;
}

}
