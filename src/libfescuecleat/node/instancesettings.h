#pragma once

#include "base/result.h"
#include "base/time.h"
#include "net/socketaddress.h"

#include <cstdint>
#include <string>

namespace fescuecleat {

/** What an instance is told at its start. */
struct InstanceSettings {
    std::string instance_;
    std::string dataCentre_;
    /** For callers. */
    SocketAddress callers_;
    /** Answers whether the instance takes callers. */
    SocketAddress readiness_;
    /** Calls of other instances, and metrics. */
    SocketAddress peers_;
    SocketAddress store_;
    /** The part of a processor that the instance has. */
    double processorShare_ = 1;
    /** The longest lease that a worker grants. */
    Duration maxWorkerLease_ {};
    /** A key that was taken away must be refused this soon. */
    Duration revocationLimit_ {};
    /** Time from the request to stop until the process is killed. */
    Duration stopLimit_ {};
};

/** Reads settings: JSON with comments. Unknown members are left alone. */
Result<InstanceSettings> parseInstanceSettings(const std::string& text);

}
