#pragma once

#include "base/time.h"

#include <cstdint>

namespace fescuecleat {

/**
 * Until when tasks may be started in this data centre. A confirmation that the
 * data centre is in service extends it, counted from when the question was
 * sent: whatever operators decide after that moment ends it in time. Pure.
 */
class StartPermit {
public:
    explicit StartPermit(Duration validity)
        : validity_(validity)
    {
    }

    /** An answer to a read that was sent at `sentAt` showed this version of the service row. */
    void confirmed(Time sentAt, std::uint64_t serviceVersion, bool isInService);

    bool allowsAt(Time now) const { return now < until_; }
    /** End of the permit; in the past if there is none. */
    Time until() const { return until_; }
    /** End of the newest permit that was ever given; starts that were sent may happen until then. */
    Time lastGiven() const { return lastGiven_; }
    bool isTakenOut() const { return isTakenOut_; }
    /** Newest version of the service row that was seen. */
    std::uint64_t serviceVersion() const { return serviceVersion_; }

    /** True once no start can follow the change that took the data centre out. */
    bool canAcknowledgeAt(Time now, int startsInFlight) const;

private:
    Duration validity_;
    Time until_ = Time::min();
    Time lastGiven_ = Time::min();
    std::uint64_t serviceVersion_ = 0;
    bool isTakenOut_ = false;
};

}
