#pragma once

namespace fescuecleat {

/** Machine-readable class of an error. The message and the remedy of an Error are the human-readable part. */
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

/** Stable name of an error kind, as used in responses and logs. */
const char* errorKindName(ErrorKind);

}
