#include "routing/minionlimiter.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace fescuecleat {

namespace {

    /**
     * The share of an unlisted instance is reused after this time without a
     * message from it. By then it has read the list itself and its attempts have
     * ended.
     */
    constexpr Duration shareReuseDelay { std::chrono::seconds(10) };
    /** Own slots expire when the process is paused for longer than this. */
    constexpr Duration maxTickGap { std::chrono::seconds(3) };
    /** An unlisted instance keeps its share while its last acknowledgement by a peer is not older than this. */
    constexpr Duration acknowledgementTimeout { std::chrono::seconds(3) };
    /** Every instance reads a new entry of the list within this time. */
    constexpr Duration maxListLag { std::chrono::seconds(10) };
    constexpr Duration maxLoanDuration { std::chrono::seconds(5) };
    /** The clocks of two machines drift apart by less than this fraction (1 / n). */
    constexpr int maxClockDriftDivisor = 100;
    constexpr Duration minLoanRequestInterval { std::chrono::milliseconds(250) };
    constexpr int maxBackoffDoublings = 3;
    constexpr std::size_t maxMinionsPerLoanRequest = 8;
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

    bool isExpired(const SlotLoan& loan, Time now)
    {
        return loan.expiresAt_ <= now;
    }

}

MinionLimiter::MinionLimiter(InstanceId self, DataCentreId dataCentre, std::uint64_t seed)
    : self_(std::move(self))
    , dataCentre_(std::move(dataCentre))
    , random_(seed)
    // A random start keeps grants for an earlier start of the process from matching.
    , lastLoanNumber_(random_.next() / 2)
{
}

LimiterDecision MinionLimiter::tick(const MembershipView& view, const SlotUsage& usage, Time now)
{
    usage_ = usage;
    // After a long pause peers may already use this share, so it has to be confirmed again.
    if (now > lastTickAt_ + maxTickGap) {
        isEstablished_ = false;
        listedAt_ = now;
    }
    lastTickAt_ = now;
    dropExpired(now);
    updateParticipants(view, now);
    updateEstablished(now);
    LimiterDecision decision;
    requestLoans(view, now, decision.messages_);
    decision.allowances_ = allowances(now);
    decision.participantsDigest_ = participantsDigest_;
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
        const bool isListedOrAlive = member.isListed_ || member.isAlive_;
        if (!isOther || (!isListedOrAlive && participants_.count(id) == 0))
            continue;
        Participant& participant = participants_[id];
        participant.isListed_ = member.isListed_;
        participant.isAlive_ = member.isAlive_;
        participant.lastHeardAt_ = std::max(participant.lastHeardAt_, member.lastHeardAt_);
        participant.participantsDigest_ = member.record_.state_.participantsDigest_;
    }
    for (auto position = participants_.begin(); position != participants_.end();) {
        Participant& participant = position->second;
        if (participant.isListed_)
            participant.lastListedAt_ = now;
        // Silence alone is no proof of a stop: a partitioned instance may still send requests.
        const bool isGone = now > std::max(participant.lastHeardAt_, participant.lastListedAt_) + shareReuseDelay;
        position = isGone ? participants_.erase(position) : std::next(position);
    }
}

void MinionLimiter::updateEstablished(Time now)
{
    if (!isSelfListed_ && now > acknowledgedAt_ + acknowledgementTimeout)
        isEstablished_ = false;
    if (!isEstablished_ && isSelfListed_) {
        isEstablished_ = std::all_of(participants_.begin(), participants_.end(),
            [&](const auto& entry) { return isConfirmedBy(entry.second, now); });
    }
    if (isSelfListed_)
        listedAt_ = isEstablished_ ? now : listedAt_;
    // The digest is published only after the allowances that follow from it were in force.
    const std::uint64_t digest = participantsDigest();
    const bool isUnchanged = digest == lastDigest_;
    lastDigest_ = digest;
    if (!isEstablished_ || (isUnchanged && isWithinOwnShare(now)))
        participantsDigest_ = digest;
}

bool MinionLimiter::isConfirmedBy(const Participant& participant, Time now) const
{
    if (participant.isAlive_)
        return participant.participantsDigest_ == participantsDigest();
    // An unreachable participant knows this instance from the list by then.
    return now > listedAt_ + maxListLag + maxLoanDuration;
}

bool MinionLimiter::isWithinOwnShare(Time now) const
{
    return std::all_of(usage_.minions_.begin(), usage_.minions_.end(), [&](const auto& entry) {
        const auto& [id, minion] = entry;
        if (minion.dataCentre_ != dataCentre_)
            return true;
        int borrowed = 0;
        const auto loans = borrowed_.find(id);
        if (loans != borrowed_.end()) {
            for (const SlotLoan& loan : loans->second)
                borrowed += isExpired(loan, now) ? 0 : loan.slots_;
        }
        return minion.busy_ - borrowed + lentOf(id, now) <= shareOf(id);
    });
}

int MinionLimiter::shareOf(const MinionId& id) const
{
    const auto minion = usage_.minions_.find(id);
    if (minion == usage_.minions_.end() || minion->second.dataCentre_ != dataCentre_)
        return 0;
    // Instances are ranked by hash (rendezvous hashing), per minion, so that the
    // remaining slots are spread over the instances. Adding an instance never
    // improves the rank of another one.
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
        lent += isExpired(loan, now) ? 0 : loan.slots_;
    return lent;
}

std::uint64_t MinionLimiter::participantsDigest() const
{
    // All ids, sorted, so that every instance computes the same digest.
    std::vector<InstanceId> ids { self_ };
    for (const auto& [id, participant] : participants_)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    std::uint64_t digest = fnvOffset;
    for (const InstanceId& id : ids)
        digest = hashOf(id.value(), digest);
    return digest;
}

void MinionLimiter::dropExpired(Time now)
{
    for (auto* loans : { &lent_, &borrowed_ }) {
        for (auto position = loans->begin(); position != loans->end();) {
            std::vector<SlotLoan>& list = position->second;
            list.erase(std::remove_if(list.begin(), list.end(), [&](const SlotLoan& loan) { return isExpired(loan, now); }), list.end());
            position = list.empty() ? loans->erase(position) : std::next(position);
        }
    }
    for (auto position = pendingLoans_.begin(); position != pendingLoans_.end();)
        position = position->second.expiresAt_ <= now ? pendingLoans_.erase(position) : std::next(position);
}

std::map<MinionId, SlotAllowance> MinionLimiter::allowances(Time now) const
{
    std::map<MinionId, SlotAllowance> allowances;
    for (const auto& [id, minion] : usage_.minions_) {
        SlotAllowance allowance;
        allowance.ownSlots_ = isEstablished_ ? std::max(0, shareOf(id) - lentOf(id, now)) : 0;
        // Own slots expire if the process is paused for longer than this.
        allowance.ownExpiresAt_ = lastTickAt_ + maxTickGap;
        const auto loans = borrowed_.find(id);
        if (loans != borrowed_.end())
            allowance.loans_ = loans->second;
        if (allowance.ownSlots_ > 0 || !allowance.loans_.empty())
            allowances[id] = std::move(allowance);
    }
    return allowances;
}

std::optional<LoanGrant> MinionLimiter::lend(const LoanRequest& request, Time now)
{
    LoanGrant grant;
    grant.number_ = request.number_;
    const bool cannotLend = usage_.waitingRequests_ > 0 || now > lastTickAt_ + maxTickGap;
    const Duration duration = std::min(request.duration_, maxLoanDuration);
    for (const SlotCount& wanted : request.wanted_) {
        const auto minion = usage_.minions_.find(wanted.minion_);
        if (!isEstablished_ || cannotLend || minion == usage_.minions_.end() || wanted.slots_ <= 0)
            continue;
        const int spare = shareOf(wanted.minion_) - lentOf(wanted.minion_, now) - minion->second.busy_;
        // Half of the spare slots are kept for bursts of this instance.
        const int slots = std::min(wanted.slots_, (spare + 1) / 2);
        if (slots <= 0)
            continue;
        lent_[wanted.minion_].push_back({ slots, now + duration + duration / maxClockDriftDivisor });
        grant.granted_.push_back({ wanted.minion_, slots });
    }
    if (grant.granted_.empty())
        return std::nullopt;
    return grant;
}

LoanGrant MinionLimiter::confirmGrant(const LoanGrant& grant, const SlotUsage& usage, Time now)
{
    usage_ = usage;
    LoanGrant confirmed;
    confirmed.number_ = grant.number_;
    for (const SlotCount& granted : grant.granted_) {
        const auto minion = usage_.minions_.find(granted.minion_);
        const int kept = shareOf(granted.minion_) - lentOf(granted.minion_, now);
        if (minion != usage_.minions_.end() && minion->second.busy_ <= kept)
            confirmed.granted_.push_back(granted);
        else
            lent_[granted.minion_].pop_back();
    }
    return confirmed;
}

void MinionLimiter::borrow(const LoanGrant& grant)
{
    // A grant is accepted once, and its loans run from the time of the request.
    const auto pending = pendingLoans_.find(grant.number_);
    if (pending == pendingLoans_.end())
        return;
    for (const SlotCount& granted : grant.granted_)
        borrowed_[granted.minion_].push_back({ granted.slots_, pending->second.expiresAt_ });
    pendingLoans_.erase(pending);
    unansweredLoanRequests_ = 0;
}

void MinionLimiter::requestLoans(const MembershipView& view, Time now, std::vector<LimiterMessage>& messages)
{
    if (usage_.waitingRequests_ <= 0) {
        unansweredLoanRequests_ = 0;
        return;
    }
    if (now < nextLoanRequestAt_ || usage_.minions_.empty())
        return;
    nextLoanRequestAt_ = now + minLoanRequestInterval * (1 << std::min(unansweredLoanRequests_, maxBackoffDoublings));
    ++unansweredLoanRequests_;
    // Asks peers of the own data centre first, then alternates with a random one while no loan is granted.
    std::map<DataCentreId, std::vector<MinionId>> byDataCentre;
    for (const auto& [id, minion] : usage_.minions_)
        byDataCentre[minion.dataCentre_].push_back(id);
    auto chosen = byDataCentre.find(dataCentre_);
    const bool usesOwnDataCentre = unansweredLoanRequests_ % 2 == 1 && chosen != byDataCentre.end() && !participants_.empty();
    if (!usesOwnDataCentre)
        chosen = std::next(byDataCentre.begin(), static_cast<std::ptrdiff_t>(random_.below(byDataCentre.size())));
    const std::vector<InstanceId> lenders = possibleLenders(view, chosen->first);
    if (lenders.empty())
        return;
    std::vector<MinionId>& minions = chosen->second;
    LoanRequest request;
    request.number_ = ++lastLoanNumber_;
    request.duration_ = maxLoanDuration;
    const std::size_t count = std::min({ minions.size(), maxMinionsPerLoanRequest, static_cast<std::size_t>(usage_.waitingRequests_) });
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(minions[index], minions[index + random_.below(minions.size() - index)]);
        const int slots = (usage_.waitingRequests_ + static_cast<int>(count) - 1) / static_cast<int>(count);
        request.wanted_.push_back({ minions[index], std::min(slots, usage_.minions_[minions[index]].slots_) });
    }
    pendingLoans_[request.number_] = { now + maxLoanDuration };
    messages.push_back({ lenders[random_.below(lenders.size())], request });
}

std::vector<InstanceId> MinionLimiter::possibleLenders(const MembershipView& view, const DataCentreId& dataCentre) const
{
    std::vector<InstanceId> lenders;
    for (const MemberView& member : view.aliveIn(dataCentre)) {
        if (member.record_.id_ != self_)
            lenders.push_back(member.record_.id_);
    }
    return lenders;
}

}
