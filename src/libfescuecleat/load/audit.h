#pragma once

#include "load/evidence.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** Which promise was broken. */
enum class ViolationKind {
    RanTwice,
    RanPartly,
    WrongAnswer,
    NotRunThatRan,
    StartAfterTakenOut,
    RunningAfterDeadline,
    WorkToLeavingMinion,
    ConfigurationReverted,
    RequestCut,
    AcceptedWorkLost,
    /** The stand-ins dropped log entries, so nothing is proved. */
    IncompleteLog,
};

/** Stable name of a kind. */
const char* violationKindName(ViolationKind);

/** The kind of that name, if there is one. */
std::optional<ViolationKind> violationKind(const std::string& name);

/** One broken promise and the log lines that show it. */
struct Violation {
    ViolationKind kind_ = ViolationKind::RanTwice;
    /** Tag, job, worker, minion or instance. */
    std::string item_;
    std::string what_;
    std::vector<std::string> trace_;
};

/** How long the promises allow for what takes "a few seconds". */
struct AuditLimits {
    /** From the call that takes a data centre out to its last start. */
    Duration startAfterTakenOut_ = std::chrono::seconds(5);
    /** From the deadline of taking a data centre out to the end of its last task. */
    Duration runAfterDeadline_ = std::chrono::seconds(2);
    /** From the moment a minion says that it leaves to the last new work. */
    Duration workAfterLeaving_ = std::chrono::seconds(3);
    /** Longest time that tasks of a gang run while another one does not. */
    Duration partialGang_ = std::chrono::seconds(15);
};

/** Matches what was sent and asked for with what the stand-ins saw. Pure. */
std::vector<Violation> audit(const Evidence&, const AuditLimits& = {});

}
