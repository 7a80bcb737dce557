#include "routing/fairqueue.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Slot time that a lane gains each time it comes round; small, so that lanes alternate even when requests are. */
    constexpr Duration quantum { 100 };
    /** Costs are kept above this so that a round always advances. */
    constexpr Duration leastCost = quantum;

}

void FairQueue::push(WaitingRequest request)
{
    request.cost_ = std::max(request.cost_, leastCost);
    Lane& lane = lanes_[request.organisation_];
    if (lane.requests_.empty())
        round_.push_back(request.organisation_);
    lane.work_ += request.cost_;
    work_ += request.cost_;
    tickets_[request.ticket_] = request.organisation_;
    lane.requests_.push_back(std::move(request));
}

std::optional<WaitingRequest> FairQueue::front()
{
    if (round_.empty())
        return std::nullopt;
    // Skips the rounds in which no lane could afford its first request.
    Duration rounds = Duration::max();
    for (const OrganisationId& organisation : round_) {
        const Lane& lane = lanes_[organisation];
        const Duration missing = std::max(Duration::zero(), lane.requests_.front().cost_ - lane.deficit_);
        rounds = std::min(rounds, missing / quantum * quantum);
    }
    for (const OrganisationId& organisation : round_)
        lanes_[organisation].deficit_ += rounds;
    while (true) {
        Lane& lane = lanes_[round_.front()];
        if (lane.deficit_ >= lane.requests_.front().cost_)
            return lane.requests_.front();
        lane.deficit_ += quantum;
        round_.splice(round_.end(), round_, round_.begin());
    }
}

void FairQueue::pop()
{
    const std::optional<WaitingRequest> first = front();
    if (!first)
        return;
    Lane& lane = lanes_[first->organisation_];
    lane.deficit_ -= first->cost_;
    lane.requests_.pop_front();
    forget(lane, *first);
    dropLaneIfEmpty(first->organisation_);
}

bool FairQueue::remove(Ticket ticket)
{
    const auto found = tickets_.find(ticket);
    if (found == tickets_.end())
        return false;
    const OrganisationId organisation = found->second;
    Lane& lane = lanes_[organisation];
    const auto request = std::find_if(lane.requests_.begin(), lane.requests_.end(),
        [&](const WaitingRequest& other) { return other.ticket_ == ticket; });
    const WaitingRequest removed = *request;
    lane.requests_.erase(request);
    forget(lane, removed);
    dropLaneIfEmpty(organisation);
    return true;
}

std::vector<WaitingRequest> FairQueue::takeExpired(Time now)
{
    std::vector<WaitingRequest> expired;
    for (const auto& [organisation, lane] : lanes_) {
        for (const WaitingRequest& request : lane.requests_) {
            if (request.startBefore_ <= now)
                expired.push_back(request);
        }
    }
    for (const WaitingRequest& request : expired)
        remove(request.ticket_);
    return expired;
}

Duration FairQueue::workAhead(const OrganisationId& organisation) const
{
    const auto found = lanes_.find(organisation);
    const Duration own = found == lanes_.end() ? Duration::zero() : found->second.work_;
    // While this lane works off its own, each other lane gets as much, if it has as much.
    Duration ahead = own;
    for (const auto& [other, lane] : lanes_) {
        if (other != organisation)
            ahead += std::min(lane.work_, own + quantum);
    }
    return ahead;
}

void FairQueue::forget(Lane& lane, const WaitingRequest& request)
{
    lane.work_ -= request.cost_;
    work_ -= request.cost_;
    tickets_.erase(request.ticket_);
}

void FairQueue::dropLaneIfEmpty(const OrganisationId& organisation)
{
    const auto found = lanes_.find(organisation);
    if (!found->second.requests_.empty())
        return;
    // An idle organisation saves up nothing.
    round_.remove(organisation);
    lanes_.erase(found);
}

}
