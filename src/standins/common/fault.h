#pragma once

#include "base/result.h"
#include "base/time.h"
#include "json/json.h"

#include <string>
#include <vector>

namespace fescuecleat::standins {

/** How a stand-in misbehaves. */
enum class FaultKind {
    Delay,
    Fail,
    LoseAnswer,
    Silent,
    Cross,
    Duplicate,
    Truncate,
    Endless,
    Malformed,
    Wrong,
    FailTasks,
    Refuse,
};

/** One active fault of a stand-in. */
struct Fault {
    FaultKind kind_ = FaultKind::Delay;
    /** Share of the calls that it hits, 0 to 1. */
    double share_ = 1;
    /** Added by kind Delay. */
    Duration delay_ { 0 };
    /** End of the fault. */
    Time until_ = Time::max();
    /** Prefix of the paths that it hits. */
    std::string path_;
    /** Worker or minion that it hits; empty: all of the process. */
    std::string instance_;
    /** Hits only connections that were opened before this moment; max: all. */
    Time openedBefore_ = Time::max();
};

/** Parses the body of POST /faults; errors name every wrong member. */
Result<std::vector<Fault>> parseFaults(const JsonValue&, Time now);

}
