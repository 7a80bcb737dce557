#pragma once

#include "base/time.h"
#include "control/controlrecords.h"
#include "control/controltiming.h"

#include <cstdint>

namespace fescuecleat {

/** How far a change of a service row has come. */
enum class ServiceProgress {
    /** Starts may still happen. */
    Pending,
    /** Taken out, and no start can happen any more. */
    Done,
    /** The data centre is in service; starts follow as soon as its scheduler sees it. */
    InService,
};

/**
 * Decides when a take-out is done: once the scheduler acknowledged it, or once
 * every start permit that was asked for before the change has certainly
 * lapsed. Pure; one per data centre and instance.
 */
class ServiceWatch {
public:
    explicit ServiceWatch(const ControlTiming& timing = {})
        : timing_(timing)
    {
    }

    /** An answer that arrived at `receivedAt` showed that this version stands. */
    void known(std::uint64_t version, Time receivedAt);

    /** Progress of the change that the rows show; they were read after known() was told of them. */
    ServiceProgress progress(const ControlRows&, Time now) const;

    /** True if the scheduler has acknowledged the change that the rows show. */
    static bool isAcknowledged(const ControlRows&);

private:
    ControlTiming timing_;
    std::uint64_t version_ = 0;
    Time since_ = Time::min();
};

}
