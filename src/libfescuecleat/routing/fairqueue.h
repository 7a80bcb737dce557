#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fescuecleat {

/** Identifies a request within a dispatcher. */
using Ticket = std::uint64_t;

/** A request that waits for a slot. */
struct WaitingRequest {
    Ticket ticket_ = 0;
    OrganisationId organisation_;
    /** Expected slot time. */
    Duration cost_ {};
    /** Expires if it isn't started by then. */
    Time latestStart_;
};

/**
 * Queue of waiting requests with deficit round robin over organisations: each
 * organisation gets the same share of slot time, whatever the number and cost
 * of its requests. Requests of one organisation are served in order of arrival.
 */
class FairQueue {
public:
    void push(WaitingRequest);

    /** The next request, without removing it; empty if the queue is empty. */
    std::optional<WaitingRequest> front();

    /** Removes the request that front() returns. */
    void pop();

    /** Removes a request from any position; false if it isn't queued. */
    bool remove(Ticket);

    /** Removes and returns all requests whose latest start has passed. */
    std::vector<WaitingRequest> takeExpired(Time now);

    std::size_t size() const { return tickets_.size(); }
    bool isEmpty() const { return tickets_.empty(); }

    /** Expected slot time of the requests served before a new request of the organisation. */
    Duration workAhead(const OrganisationId&) const;

    /** Expected slot time of all waiting requests. */
    Duration work() const { return work_; }

private:
    struct OrganisationQueue {
        std::deque<WaitingRequest> requests_;
        Duration work_ {};
        /** Slot time that the organisation may still use in this round. */
        Duration deficit_ {};
    };

    void removeFromTotals(OrganisationQueue&, const WaitingRequest&);
    void removeQueueIfEmpty(const OrganisationId&);

    std::map<OrganisationId, OrganisationQueue> queues_;
    /** Organisations with waiting requests in the order in which they are served. */
    std::list<OrganisationId> roundRobin_;
    std::unordered_map<Ticket, OrganisationId> tickets_;
    Duration work_ {};
};

}
