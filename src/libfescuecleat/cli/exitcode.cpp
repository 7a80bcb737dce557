#include "cli/exitcode.h"

namespace fescuecleat {

ExitCode exitCodeOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Unavailable:
    case ErrorKind::Overloaded:
        return ExitCode::Unavailable;
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::DeadlineExceeded:
    case ErrorKind::Internal:
        return ExitCode::OutcomeUnknown;
    default:
        return ExitCode::Refused;
    }
}

}
