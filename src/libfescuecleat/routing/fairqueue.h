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

/** Names one waiting request within a dispatcher. */
using Ticket = std::uint64_t;

/** A request that waits for a slot. */
struct WaitingRequest {
    Ticket ticket_ = 0;
    OrganisationId organisation_;
    /** Expected time on a slot. */
    Duration cost_ {};
    /** Past this moment it can't be finished any more. */
    Time startBefore_;
};

/**
 * Waiting requests by organisation, served by deficit round robin: each
 * organisation gets the same share of slot time, whatever the number and size
 * of its requests. Within an organisation the order is that of arrival.
 */
class FairQueue {
public:
    void push(WaitingRequest);

    /** The request that is next, left in place; empty if none waits. */
    std::optional<WaitingRequest> front();

    /** Removes what front() returned. */
    void pop();

    /** Removes a request wherever it waits; false if it doesn't. */
    bool remove(Ticket);

    /** Removes and returns every request whose time to start has passed. */
    std::vector<WaitingRequest> takeExpired(Time now);

    std::size_t size() const { return tickets_.size(); }
    bool isEmpty() const { return tickets_.empty(); }

    /** Expected slot time that is served before a new request of the organisation. */
    Duration workAhead(const OrganisationId&) const;

    /** Expected slot time of all that waits. */
    Duration work() const { return work_; }

private:
    struct Lane {
        std::deque<WaitingRequest> requests_;
        Duration work_ {};
        /** Slot time that the lane may still use in this round. */
        Duration deficit_ {};
    };

    void forget(Lane&, const WaitingRequest&);
    void dropLaneIfEmpty(const OrganisationId&);

    std::map<OrganisationId, Lane> lanes_;
    /** Organisations with waiting requests, next one first. */
    std::list<OrganisationId> round_;
    std::unordered_map<Ticket, OrganisationId> tickets_;
    Duration work_ {};
};

}
