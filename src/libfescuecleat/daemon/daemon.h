#pragma once

#include "base/time.h"
#include "settings/settings.h"

#include <memory>

namespace fescuecleat {

/**
 * One instance of fescuecleatd: the HTTP APIs for callers and operators, the
 * request router, and the scheduler of its data centre while it holds the lease.
 */
class Daemon {
public:
    /** Starts all threads and servers; throws std::runtime_error if an address is in use. */
    explicit Daemon(const Settings&);
    ~Daemon();

    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /**
     * Graceful shutdown: reports not ready, refuses new work, waits for work in
     * progress and hands over the lease. Returns false if the deadline passed
     * with work still in progress.
     */
    bool stop(Time deadline);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
