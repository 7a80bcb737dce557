#include "base/errorkind.h"

namespace fescuecleat {

const char* errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSyntax:
        return "invalid_syntax";
    case ErrorKind::UnknownMember:
        return "unknown_member";
    case ErrorKind::DuplicateMember:
        return "duplicate_member";
    case ErrorKind::MissingMember:
        return "missing_member";
    case ErrorKind::WrongType:
        return "wrong_type";
    case ErrorKind::WrongUnit:
        return "wrong_unit";
    case ErrorKind::OutOfRange:
        return "out_of_range";
    case ErrorKind::UnknownReference:
        return "unknown_reference";
    case ErrorKind::GuaranteeDoesNotFit:
        return "guarantee_does_not_fit";
    case ErrorKind::TooLarge:
        return "too_large";
    case ErrorKind::TooDeep:
        return "too_deep";
    case ErrorKind::Unauthenticated:
        return "unauthenticated";
    case ErrorKind::Forbidden:
        return "forbidden";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorKind::Unsupported:
        return "unsupported";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

}
