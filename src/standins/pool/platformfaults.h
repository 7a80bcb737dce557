#pragma once

#include "base/result.h"
#include "poolmodel/modelworkers.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace fescuecleat {

/** How the row store treats its callers. */
enum class StoreMode {
    Up,
    /** Receives calls, but neither applies nor answers them. */
    Silent,
    /** Answers that it has applied nothing. */
    Refusing,
    /** Closes the connection of each call, and applies nothing. */
    Reset,
};

/** The faults of the stand-in's store and workers. */
struct PlatformFaults {
    StoreMode storeMode_ = StoreMode::Up;
    Duration commitDelay_ {};
    bool areFeedsSilent_ = false;
    bool areFeedsRefused_ = false;
    /** Parts that are unavailable, while the others are served. */
    std::vector<std::string> refusedParts_;
    DeliveryFaults delivery_;
    /** The following act once and don't stay. */
    int answersToLose_ = 0;
    int commitsToHoldBack_ = 0;
    bool dropsHistory_ = false;
};

/** Parses a change of faults; members that it lacks stay as in `current`, except those that act once. */
Result<PlatformFaults> parsePlatformFaults(const nlohmann::json&, const PlatformFaults& current);

}
