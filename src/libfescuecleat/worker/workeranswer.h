#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace fescuecleat {

/** The worker did what it was asked. */
struct WorkerDone {
};

/** The worker refused: the command had and will have no effect. */
struct WorkerRefused {
    std::string kind_;
    std::string message_;
};

/** A higher epoch than the sender's is in force at the worker. */
struct WorkerFenced {
    std::uint64_t epoch_ = 0;
};

/** The command never left this process. */
struct WorkerNotReached {
    std::string message_;
};

/** The command may or may not have had its effect. */
struct WorkerSilent {
    std::string message_;
};

/** How a command to a worker ended. */
using WorkerAnswer = std::variant<WorkerDone, WorkerRefused, WorkerFenced, WorkerNotReached, WorkerSilent>;

}
