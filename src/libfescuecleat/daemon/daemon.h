#pragma once

#include "base/time.h"
#include "settings/settings.h"

#include <memory>

namespace fescuecleat {

/**
 * One instance of the system: the callers' and operators' edges, the request
 * router, and the scheduler of its data centre while it holds that lease.
 */
class Daemon {
public:
    /** Starts everything; throws std::runtime_error if an address is taken. */
    explicit Daemon(const Settings&);
    ~Daemon();

    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /**
     * Planned stop: not ready, no new work, finish what is in progress, hand
     * the lease over. Returns true if nothing was cut off by the deadline.
     */
    bool stop(Time deadline);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
