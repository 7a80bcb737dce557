#pragma once

#include "standins/common/fault.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fescuecleat::standins {

/** The faults of one stand-in process. Used by its loop thread only. */
class FaultSet {
public:
    explicit FaultSet(std::uint64_t seed)
        : random_(seed)
    {
    }

    void replace(std::vector<Fault> faults) { faults_ = std::move(faults); }

    /** The fault that hits this call, if any; the first in order wins. */
    std::optional<Fault> pick(const std::string& instance, const std::string& path, Time opened, Time now);

    /** True if the instance takes no new connections now. */
    bool refuses(const std::string& instance, Time now) const;

    /** True if a task that the instance starts now is to fail. */
    bool failsTask(const std::string& instance, Time now);

private:
    bool happens(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

    std::vector<Fault> faults_;
    std::mt19937_64 random_;
};

}
