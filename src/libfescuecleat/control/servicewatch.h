#pragma once

#include "base/time.h"
#include "control/controlrecords.h"
#include "control/controltiming.h"

#include <cstdint>

namespace fescuecleat {

/** Progress of a change of the service row. */
enum class ServiceProgress {
    /** Tasks may still start. */
    Pending,
    /** Out of service, and no task can start any more. */
    Done,
    /** In service; its scheduler starts tasks once it has read the row. */
    InService,
};

/**
 * Decides when taking a data centre out of service is done: once its scheduler
 * has acknowledged the change, or once every start permit requested before the
 * change has expired. One per data centre and instance. Reads no clock and does
 * no I/O.
 */
class ServiceWatch {
public:
    explicit ServiceWatch(const ControlTiming& timing = {})
        : timing_(timing)
    {
    }

    /** An answer that arrived at `receivedAt` showed this version of the service row. */
    void noteVersion(std::uint64_t version, Time receivedAt);

    /** Progress of the change in these rows. noteVersion() must have been called with their version. */
    ServiceProgress progress(const ControlRows&, Time now) const;

    /** True if the scheduler has acknowledged the change in these rows. */
    static bool isAcknowledged(const ControlRows&);

private:
    ControlTiming timing_;
    std::uint64_t version_ = 0;
    Time versionSeenAt_ = Time::min();
};

}
