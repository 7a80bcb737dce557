#pragma once

#include "base/time.h"

#include <cstdint>

namespace fescuecleat {

/**
 * The time until which tasks may be started in this data centre. Each read that
 * shows the data centre in service extends the permit, counted from the sending
 * of the read. So a permit expires a bounded time after any change that the read
 * could not see. Reads no clock and does no I/O.
 */
class StartPermit {
public:
    explicit StartPermit(Duration validity)
        : validity_(validity)
    {
    }

    /** A read that was sent at `sentAt` returned this version of the service row. */
    void confirmed(Time sentAt, std::uint64_t serviceVersion, bool isInService);

    bool allowsAt(Time now) const { return now < expiresAt_; }
    /** End of the permit; Time::min() without one. */
    Time expiresAt() const { return expiresAt_; }
    /** Latest end of any permit so far; starts that were sent may take effect until then. */
    Time latestExpiry() const { return latestExpiry_; }
    bool isTakenOut() const { return isTakenOut_; }
    /** Newest version of the service row that was read. */
    std::uint64_t serviceVersion() const { return serviceVersion_; }

    /** True if the data centre is out of service and no task can start any more. */
    bool canAcknowledgeAt(Time now, int startsInFlight) const;

private:
    Duration validity_;
    Time expiresAt_ = Time::min();
    Time latestExpiry_ = Time::min();
    std::uint64_t serviceVersion_ = 0;
    bool isTakenOut_ = false;
};

}
