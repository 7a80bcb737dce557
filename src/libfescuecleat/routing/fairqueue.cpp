#include "routing/fairqueue.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Slot time credited to an organisation per round; small, so that organisations alternate even with short requests. */
    constexpr Duration quantum { 100 };
    /** Lower bound of costs, so that each request uses up credit. */
    constexpr Duration minCost = quantum;

}

void FairQueue::push(WaitingRequest request)
{
    request.cost_ = std::max(request.cost_, minCost);
    OrganisationQueue& queue = queues_[request.organisation_];
    if (queue.requests_.empty())
        roundRobin_.push_back(request.organisation_);
    queue.work_ += request.cost_;
    work_ += request.cost_;
    tickets_[request.ticket_] = request.organisation_;
    queue.requests_.push_back(std::move(request));
}

std::optional<WaitingRequest> FairQueue::front()
{
    if (roundRobin_.empty())
        return std::nullopt;
    // Skips the rounds in which no organisation has enough credit for its first request.
    Duration skippedCredit = Duration::max();
    for (const OrganisationId& organisation : roundRobin_) {
        const OrganisationQueue& queue = queues_[organisation];
        const Duration missing = std::max(Duration::zero(), queue.requests_.front().cost_ - queue.deficit_);
        skippedCredit = std::min(skippedCredit, missing / quantum * quantum);
    }
    for (const OrganisationId& organisation : roundRobin_)
        queues_[organisation].deficit_ += skippedCredit;
    while (true) {
        OrganisationQueue& queue = queues_[roundRobin_.front()];
        if (queue.deficit_ >= queue.requests_.front().cost_)
            return queue.requests_.front();
        queue.deficit_ += quantum;
        roundRobin_.splice(roundRobin_.end(), roundRobin_, roundRobin_.begin());
    }
}

void FairQueue::pop()
{
    const std::optional<WaitingRequest> first = front();
    if (!first)
        return;
    OrganisationQueue& queue = queues_[first->organisation_];
    queue.deficit_ -= first->cost_;
    queue.requests_.pop_front();
    removeFromTotals(queue, *first);
    removeQueueIfEmpty(first->organisation_);
}

bool FairQueue::remove(Ticket ticket)
{
    const auto found = tickets_.find(ticket);
    if (found == tickets_.end())
        return false;
    const OrganisationId organisation = found->second;
    OrganisationQueue& queue = queues_[organisation];
    const auto request = std::find_if(queue.requests_.begin(), queue.requests_.end(),
        [&](const WaitingRequest& other) { return other.ticket_ == ticket; });
    const WaitingRequest removed = *request;
    queue.requests_.erase(request);
    removeFromTotals(queue, removed);
    removeQueueIfEmpty(organisation);
    return true;
}

std::vector<WaitingRequest> FairQueue::takeExpired(Time now)
{
    std::vector<WaitingRequest> expired;
    for (const auto& [organisation, queue] : queues_) {
        for (const WaitingRequest& request : queue.requests_) {
            if (request.latestStart_ <= now)
                expired.push_back(request);
        }
    }
    for (const WaitingRequest& request : expired)
        remove(request.ticket_);
    return expired;
}

Duration FairQueue::workAhead(const OrganisationId& organisation) const
{
    const auto found = queues_.find(organisation);
    const Duration own = found == queues_.end() ? Duration::zero() : found->second.work_;
    // While this queue is served, each other queue gets as much slot time, if it has as much work.
    Duration ahead = own;
    for (const auto& [other, queue] : queues_) {
        if (other != organisation)
            ahead += std::min(queue.work_, own + quantum);
    }
    return ahead;
}

void FairQueue::removeFromTotals(OrganisationQueue& queue, const WaitingRequest& request)
{
    queue.work_ -= request.cost_;
    work_ -= request.cost_;
    tickets_.erase(request.ticket_);
}

void FairQueue::removeQueueIfEmpty(const OrganisationId& organisation)
{
    const auto found = queues_.find(organisation);
    if (!found->second.requests_.empty())
        return;
    // An idle organisation accumulates no credit.
    roundRobin_.remove(organisation);
    queues_.erase(found);
}

}
