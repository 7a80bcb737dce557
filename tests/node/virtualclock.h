#pragma once

#include "base/time.h"

#include <boost/asio/io_context.hpp>

namespace fescuecleat {

/**
 * Virtual time for the whole test program while an instance exists: bootTimeNow() and
 * unixMsNow() stand still between calls of advance(). Timers are due by it as well.
 */
class VirtualClock {
public:
    VirtualClock();
    ~VirtualClock();
    VirtualClock(const VirtualClock&) = delete;
    VirtualClock& operator=(const VirtualClock&) = delete;

    void advance(Duration);

    /** Runs the handlers that are ready, and the timers that are due by virtual time. */
    static void poll(boost::asio::io_context&);
};

}
