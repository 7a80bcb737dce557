#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace fescuecleat {

/** The worker executed the command. */
struct WorkerDone {
};

/** The worker refused the command, which has no effect. */
struct WorkerRefused {
    std::string kind_;
    std::string message_;
};

/** The worker refused the command because it has seen a higher epoch. */
struct WorkerFenced {
    std::uint64_t epoch_ = 0;
};

/** The command was not sent. */
struct WorkerNotReached {
    std::string message_;
};

/** There is no usable answer; the command may have taken effect. */
struct WorkerOutcomeUnknown {
    std::string message_;
};

/** Outcome of a command to a worker. */
using WorkerAnswer = std::variant<WorkerDone, WorkerRefused, WorkerFenced, WorkerNotReached, WorkerOutcomeUnknown>;

}
