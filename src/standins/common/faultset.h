#pragma once

#include "standins/common/fault.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fescuecleat::standins {

/** The active faults of one stand-in process. Used by the thread of the event loop only. */
class FaultSet {
public:
    explicit FaultSet(std::uint64_t seed)
        : random_(seed)
    {
    }

    void replace(std::vector<Fault> faults) { faults_ = std::move(faults); }

    /** Returns the fault to apply to a request, if any: the first one in the list that matches. */
    std::optional<Fault> select(const std::string& instance, const std::string& path, Time openedAt, Time now);

    /** True if the instance currently refuses new connections. */
    bool refusesConnections(const std::string& instance, Time now) const;

    /** True if a task that the instance starts now has to fail. */
    bool failsTask(const std::string& instance, Time now);

private:
    bool happens(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

    std::vector<Fault> faults_;
    std::mt19937_64 random_;
};

}
