#include "routing/minionlimiter.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace fescuecleat {

namespace {

    /**
     * After this time without a sign of an unlisted instance its share is used
     * again: it has read the list itself by then and its attempts have ended.
     */
    constexpr Duration reuseTime { std::chrono::seconds(10) };
    /** Own slots lapse when the process stands still for this long. */
    constexpr Duration pauseTime { std::chrono::seconds(3) };
    /** An unlisted instance goes on while a peer acknowledged it within this time. */
    constexpr Duration acknowledgedTime { std::chrono::seconds(3) };
    /** The list shows a new instance to everyone within this time. */
    constexpr Duration listLag { std::chrono::seconds(10) };
    constexpr Duration loanTime { std::chrono::seconds(5) };
    /** Clocks of two machines run apart by less than this share. */
    constexpr int clockDriftDivisor = 100;
    constexpr Duration shortestAskPause { std::chrono::milliseconds(250) };
    constexpr int largestAskDoubling = 3;
    constexpr std::size_t mostMinionsAsked = 8;
    constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325U;
    constexpr std::uint64_t fnvPrime = 0x100000001b3U;

    std::uint64_t hashOf(const std::string& text, std::uint64_t hash = fnvOffset)
    {
        for (const char character : text) {
            hash ^= static_cast<unsigned char>(character);
            hash *= fnvPrime;
        }
        return hash * fnvPrime;
    }

    bool hasLapsed(const SlotLoan& loan, Time now)
    {
        return loan.until_ <= now;
    }

}

MinionLimiter::MinionLimiter(InstanceId self, DataCentreId dataCentre, std::uint64_t seed)
    : self_(std::move(self))
    , dataCentre_(std::move(dataCentre))
    , random_(seed)
    // Numbers of an earlier start must not match.
    , newestLoan_(random_.next() / 2)
{
}

LimiterDecision MinionLimiter::tick(const MembershipView& view, const SlotUsage& usage, Time now)
{
    usage_ = usage;
    // Paused for so long that others may have taken over: begins anew.
    if (now > tickedAt_ + pauseTime) {
        isEstablished_ = false;
        listedAt_ = now;
    }
    tickedAt_ = now;
    dropLapsed(now);
    updateParticipants(view, now);
    updateStanding(now);
    LimiterDecision decision;
    askForLoans(view, now, decision.messages_);
    decision.allowances_ = allowances(now);
    decision.shareView_ = shareView_;
    return decision;
}

void MinionLimiter::updateParticipants(const MembershipView& view, Time now)
{
    const auto self = view.members_.find(self_);
    const bool isSelfListed = self != view.members_.end() && self->second.isListed_;
    if (isSelfListed && !isSelfListed_)
        listedAt_ = now;
    isSelfListed_ = isSelfListed;
    acknowledgedAt_ = view.acknowledgedAt_;
    for (auto& [id, participant] : participants_) {
        if (view.members_.count(id) == 0) {
            participant.isListed_ = false;
            participant.isAlive_ = false;
        }
    }
    for (const auto& [id, member] : view.members_) {
        const bool isOther = id != self_ && member.record_.dataCentre_ == dataCentre_;
        const bool isPresent = member.isListed_ || member.isAlive_;
        if (!isOther || (!isPresent && participants_.count(id) == 0))
            continue;
        Participant& participant = participants_[id];
        participant.isListed_ = member.isListed_;
        participant.isAlive_ = member.isAlive_;
        participant.heardAt_ = std::max(participant.heardAt_, member.heardAt_);
        participant.shareView_ = member.record_.state_.shareView_;
    }
    for (auto position = participants_.begin(); position != participants_.end();) {
        Participant& participant = position->second;
        if (participant.isListed_)
            participant.unlistedAt_ = now;
        // Silence alone proves nothing: it may be cut off and at work.
        const bool isGone = now > std::max(participant.heardAt_, participant.unlistedAt_) + reuseTime;
        position = isGone ? participants_.erase(position) : std::next(position);
    }
}

void MinionLimiter::updateStanding(Time now)
{
    if (!isSelfListed_ && now > acknowledgedAt_ + acknowledgedTime)
        isEstablished_ = false;
    if (!isEstablished_ && isSelfListed_) {
        isEstablished_ = std::all_of(participants_.begin(), participants_.end(),
            [&](const auto& entry) { return isConfirmedBy(entry.second, now); });
    }
    if (isSelfListed_)
        listedAt_ = isEstablished_ ? now : listedAt_;
    // The share is told only once the allowances that follow from it were in force.
    const std::uint64_t digest = participantsDigest();
    const bool wasInForce = digest == tickedView_;
    tickedView_ = digest;
    if (!isEstablished_ || (wasInForce && usesNoMoreThanItsShare(now)))
        shareView_ = digest;
}

bool MinionLimiter::isConfirmedBy(const Participant& participant, Time now) const
{
    if (participant.isAlive_)
        return participant.shareView_ == participantsDigest();
    // Nothing can be heard of it; by now it knows this instance from the list.
    return now > listedAt_ + listLag + loanTime;
}

bool MinionLimiter::usesNoMoreThanItsShare(Time now) const
{
    return std::all_of(usage_.minions_.begin(), usage_.minions_.end(), [&](const auto& entry) {
        const auto& [id, minion] = entry;
        if (minion.dataCentre_ != dataCentre_)
            return true;
        int borrowed = 0;
        const auto loans = borrowed_.find(id);
        if (loans != borrowed_.end()) {
            for (const SlotLoan& loan : loans->second)
                borrowed += hasLapsed(loan, now) ? 0 : loan.slots_;
        }
        return minion.busy_ - borrowed + lentOf(id, now) <= shareOf(id);
    });
}

int MinionLimiter::shareOf(const MinionId& id) const
{
    const auto minion = usage_.minions_.find(id);
    if (minion == usage_.minions_.end() || minion->second.dataCentre_ != dataCentre_)
        return 0;
    // Each minion has an order of its own, so that the odd slots go round. An
    // instance that is added never moves another one forward in it.
    const std::uint64_t own = hashOf(self_.value(), hashOf(id.value()));
    int rank = 0;
    for (const auto& [other, participant] : participants_) {
        const std::uint64_t hash = hashOf(other.value(), hashOf(id.value()));
        if (std::tie(hash, other) < std::tie(own, self_))
            ++rank;
    }
    const int count = static_cast<int>(participants_.size()) + 1;
    const int slots = minion->second.slots_;
    return slots / count + (rank < slots % count ? 1 : 0);
}

int MinionLimiter::lentOf(const MinionId& id, Time now) const
{
    const auto loans = lent_.find(id);
    if (loans == lent_.end())
        return 0;
    int lent = 0;
    for (const SlotLoan& loan : loans->second)
        lent += hasLapsed(loan, now) ? 0 : loan.slots_;
    return lent;
}

std::uint64_t MinionLimiter::participantsDigest() const
{
    // The ids in order, this instance among them, so that all compute the same.
    std::vector<InstanceId> ids { self_ };
    for (const auto& [id, participant] : participants_)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    std::uint64_t digest = fnvOffset;
    for (const InstanceId& id : ids)
        digest = hashOf(id.value(), digest);
    return digest;
}

void MinionLimiter::dropLapsed(Time now)
{
    for (auto* loans : { &lent_, &borrowed_ }) {
        for (auto position = loans->begin(); position != loans->end();) {
            std::vector<SlotLoan>& list = position->second;
            list.erase(std::remove_if(list.begin(), list.end(), [&](const SlotLoan& loan) { return hasLapsed(loan, now); }), list.end());
            position = list.empty() ? loans->erase(position) : std::next(position);
        }
    }
    for (auto position = pending_.begin(); position != pending_.end();)
        position = position->second.until_ <= now ? pending_.erase(position) : std::next(position);
}

std::map<MinionId, SlotAllowance> MinionLimiter::allowances(Time now) const
{
    std::map<MinionId, SlotAllowance> allowances;
    for (const auto& [id, minion] : usage_.minions_) {
        SlotAllowance allowance;
        allowance.own_ = isEstablished_ ? std::max(0, shareOf(id) - lentOf(id, now)) : 0;
        // A process that was paused past this finds its own slots gone.
        allowance.ownUntil_ = tickedAt_ + pauseTime;
        const auto loans = borrowed_.find(id);
        if (loans != borrowed_.end())
            allowance.loans_ = loans->second;
        if (allowance.own_ > 0 || !allowance.loans_.empty())
            allowances[id] = std::move(allowance);
    }
    return allowances;
}

std::optional<LoanGrant> MinionLimiter::lend(const LoanRequest& request, Time now)
{
    LoanGrant grant;
    grant.number_ = request.number_;
    const bool isWorn = usage_.wanted_ > 0 || now > tickedAt_ + pauseTime;
    const Duration time = std::min(request.time_, loanTime);
    for (const SlotCount& wanted : request.wanted_) {
        const auto minion = usage_.minions_.find(wanted.minion_);
        if (!isEstablished_ || isWorn || minion == usage_.minions_.end() || wanted.slots_ <= 0)
            continue;
        const int spare = shareOf(wanted.minion_) - lentOf(wanted.minion_, now) - minion->second.busy_;
        // Half of what is spare stays here for a burst of its own.
        const int slots = std::min(wanted.slots_, (spare + 1) / 2);
        if (slots <= 0)
            continue;
        lent_[wanted.minion_].push_back({ slots, now + time + time / clockDriftDivisor });
        grant.granted_.push_back({ wanted.minion_, slots });
    }
    if (grant.granted_.empty())
        return std::nullopt;
    return grant;
}

LoanGrant MinionLimiter::settle(const LoanGrant& grant, const SlotUsage& usage, Time now)
{
    usage_ = usage;
    LoanGrant settled;
    settled.number_ = grant.number_;
    for (const SlotCount& granted : grant.granted_) {
        const auto minion = usage_.minions_.find(granted.minion_);
        const int kept = shareOf(granted.minion_) - lentOf(granted.minion_, now);
        if (minion != usage_.minions_.end() && minion->second.busy_ <= kept)
            settled.granted_.push_back(granted);
        else
            lent_[granted.minion_].pop_back();
    }
    return settled;
}

void MinionLimiter::borrow(const LoanGrant& grant)
{
    // A grant counts once, and from the moment its request was sent.
    const auto pending = pending_.find(grant.number_);
    if (pending == pending_.end())
        return;
    for (const SlotCount& granted : grant.granted_)
        borrowed_[granted.minion_].push_back({ granted.slots_, pending->second.until_ });
    pending_.erase(pending);
    fruitlessAsks_ = 0;
}

void MinionLimiter::askForLoans(const MembershipView& view, Time now, std::vector<LimiterMessage>& messages)
{
    if (usage_.wanted_ <= 0) {
        fruitlessAsks_ = 0;
        return;
    }
    if (now < nextAsk_ || usage_.minions_.empty())
        return;
    nextAsk_ = now + shortestAskPause * (1 << std::min(fruitlessAsks_, largestAskDoubling));
    ++fruitlessAsks_;
    // The own data centre first; others once its peers had nothing.
    std::map<DataCentreId, std::vector<MinionId>> byDataCentre;
    for (const auto& [id, minion] : usage_.minions_)
        byDataCentre[minion.dataCentre_].push_back(id);
    auto chosen = byDataCentre.find(dataCentre_);
    const bool asksOwn = fruitlessAsks_ % 2 == 1 && chosen != byDataCentre.end() && !participants_.empty();
    if (!asksOwn)
        chosen = std::next(byDataCentre.begin(), static_cast<std::ptrdiff_t>(random_.below(byDataCentre.size())));
    const std::vector<InstanceId> lenders = lendersOf(view, chosen->first);
    if (lenders.empty())
        return;
    std::vector<MinionId>& minions = chosen->second;
    LoanRequest request;
    request.number_ = ++newestLoan_;
    request.time_ = loanTime;
    const std::size_t count = std::min({ minions.size(), mostMinionsAsked, static_cast<std::size_t>(usage_.wanted_) });
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(minions[index], minions[index + random_.below(minions.size() - index)]);
        const int slots = (usage_.wanted_ + static_cast<int>(count) - 1) / static_cast<int>(count);
        request.wanted_.push_back({ minions[index], std::min(slots, usage_.minions_[minions[index]].slots_) });
    }
    pending_[request.number_] = { now + loanTime };
    messages.push_back({ lenders[random_.below(lenders.size())], request });
}

std::vector<InstanceId> MinionLimiter::lendersOf(const MembershipView& view, const DataCentreId& dataCentre) const
{
    std::vector<InstanceId> lenders;
    for (const MemberView& member : view.aliveIn(dataCentre)) {
        if (member.record_.id_ != self_)
            lenders.push_back(member.record_.id_);
    }
    return lenders;
}

}
