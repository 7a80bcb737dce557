#pragma once

#include "base/errorkind.h"

namespace fescuecleat {

/** Exit codes of the command line; scripts rely on them. */
enum class ExitCode {
    /** Done. */
    Success = 0,
    /** The command line or a file was wrong; nothing was sent. */
    BadUse = 1,
    /** The system refused; nothing was done. */
    Refused = 2,
    /** Not reachable or overloaded; nothing was done, try again later. */
    Unavailable = 3,
    /** It may or may not have been done. */
    OutcomeUnknown = 4,
    /** The job ended without success. */
    JobFailed = 5,
    /** Accepted and still on its way when the time was up. */
    Pending = 6,
};

/** The exit code for an error that the system answered or the transport met. */
ExitCode exitCodeOf(ErrorKind);

}
