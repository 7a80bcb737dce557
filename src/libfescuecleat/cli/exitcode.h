#pragma once

#include "base/errorkind.h"

namespace fescuecleat {

/** Exit codes of the command line; scripts rely on them. */
enum class ExitCode {
    /** Done. */
    Success = 0,
    /** The command line or a file was invalid; nothing was sent. */
    UsageError = 1,
    /** The daemon refused the request; nothing was done. */
    Refused = 2,
    /** The daemon was not reachable or overloaded; nothing was done. */
    Unavailable = 3,
    /** The request may or may not have taken effect. */
    OutcomeUnknown = 4,
    /** A job failed or was cancelled. */
    JobFailed = 5,
    /** Accepted, but not complete when the timeout expired. */
    Pending = 6,
};

/** Maps an error from the daemon or the transport to an exit code. */
ExitCode exitCodeOf(ErrorKind);

}
