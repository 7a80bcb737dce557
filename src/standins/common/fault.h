#pragma once

#include "base/result.h"
#include "base/time.h"
#include "json/json.h"

#include <string>
#include <vector>

namespace fescuecleat::standins {

/** Kinds of injected faults. */
enum class FaultKind {
    /** The request is handled after a delay. */
    Delay,
    /** The request is answered with 503 and not handled. */
    Fail,
    /** The request is handled, then the connection is closed without a response. */
    LoseAnswer,
    /** The connection stays open, but is never read or written again. */
    Silent,
    /** The responses to two requests are swapped. */
    Cross,
    /** The response is sent twice. */
    Duplicate,
    /** The connection is closed in the middle of the response. */
    Truncate,
    /** The response never ends. */
    Endless,
    /** The response isn't valid HTTP. */
    Malformed,
    /** The response belongs to another request. */
    Wrong,
    /** Tasks fail when a worker starts them. */
    FailTasks,
    /** New connections are refused. */
    Refuse,
};

/** One active fault of a stand-in. */
struct Fault {
    FaultKind kind_ = FaultKind::Delay;
    /** Share of the requests that are affected, 0 to 1. */
    double share_ = 1;
    /** Delay added by FaultKind::Delay. */
    Duration delay_ { 0 };
    /** Time when the fault ends. */
    Time until_ = Time::max();
    /** Affects only requests whose path has this prefix. */
    std::string pathPrefix_;
    /** Affects only this worker or minion; empty: all of the process. */
    std::string instance_;
    /** Affects only connections opened before this time; Time::max(): all. */
    Time openedBefore_ = Time::max();
};

/** Parses the body of POST /faults; the error names the first invalid member. */
Result<std::vector<Fault>> parseFaults(const JsonValue&, Time now);

}
