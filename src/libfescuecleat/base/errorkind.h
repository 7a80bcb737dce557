#pragma once

namespace fescuecleat {

/** What went wrong, for programs. The message and remedy are for people. */
enum class ErrorKind {
    InvalidSyntax,
    UnknownMember,
    DuplicateMember,
    MissingMember,
    WrongType,
    WrongUnit,
    OutOfRange,
    UnknownReference,
    GuaranteeDoesNotFit,
    TooLarge,
    TooDeep,
    Unauthenticated,
    Forbidden,
    NotFound,
    Conflict,
    Overloaded,
    DeadlineExceeded,
    Unavailable,
    OutcomeUnknown,
    Unsupported,
    Internal,
};

/** Stable name of a kind, as it appears in answers and logs. */
const char* errorKindName(ErrorKind);

}
