#pragma once

#include "load/evidence.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** Guarantee that a violation breaks. */
enum class ViolationKind {
    /** A request or job that isn't idempotent was started again, a task was started twice, or attempts overlapped. */
    RanTwice,
    /** Only a part of a gang ran or finished. */
    RanPartly,
    WrongAnswer,
    NotRunThatRan,
    StartAfterTakenOut,
    RunningAfterDeadline,
    WorkToLeavingMinion,
    ConfigurationReverted,
    RequestCut,
    AcceptedWorkLost,
    /** The stand-ins dropped log entries, so the audit is inconclusive. */
    IncompleteLog,
};

/** Name of a kind as used in result files. */
const char* violationKindName(ViolationKind);

/** Inverse of violationKindName(). */
std::optional<ViolationKind> violationKind(const std::string& name);

/** A broken guarantee and the log lines that show it. */
struct Violation {
    ViolationKind kind_ = ViolationKind::RanTwice;
    /** Tag, job, task, minion, instance or "logs". */
    std::string item_;
    std::string description_;
    std::vector<std::string> trace_;
};

/** Tolerances for guarantees that take effect within a few seconds. */
struct AuditLimits {
    /** From the call that takes a data centre out to the last start of a task there. */
    Duration maxStartDelayAfterTakeOut_ = std::chrono::seconds(5);
    /** From the deadline for running work to the end of the last task. */
    Duration maxRunAfterDeadline_ = std::chrono::seconds(2);
    /** From a minion's announcement that it leaves to the last new work it receives. */
    Duration maxWorkAfterLeaving_ = std::chrono::seconds(3);
    /** Time in which tasks of a gang may run while others don't. */
    Duration maxPartialGangTime_ = std::chrono::seconds(15);
};

/** Compares requests, jobs and operator actions with the logs of the stand-ins. Has no side effects. */
std::vector<Violation> audit(const Evidence&, const AuditLimits& = {});

}
