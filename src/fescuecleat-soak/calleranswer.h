#pragma once

#include "base/time.h"
#include "callerqueue.h"
#include "pool/pooljobstate.h"

#include <string>
#include <variant>

namespace fescuecleat {

enum class CallerCallKind {
    Submit,
    State,
    Cancel,
    Waiting,
};

/** No connection was opened, so no instance has received the call. */
struct CallNotSent {
};

/** No answer came in time, or it was cut or garbled; the call may have been executed. */
struct CallUnanswered {
};

/** An answer whose body tells no state: an accepted call, a count or a refusal. */
struct PlainAnswer {
    int status_ = 0;
};

struct StateAnswer {
    PoolJobState state_ = PoolJobState::Queued;
};

/** A body that isn't what the interface describes for this call. */
struct MalformedAnswer {
    int status_ = 0;
    std::string cause_;
};

/** What came of one call. */
struct CallerAnswer {
    using Content = std::variant<CallNotSent, CallUnanswered, PlainAnswer, StateAnswer, MalformedAnswer>;

    CallerCallKind kind_ = CallerCallKind::Submit;
    /** The queue and key as they were used in the call. */
    CallerQueue queue_;
    Time sentAt_ {};
    Time endedAt_ {};
    Content content_;

    /** The HTTP status; 0 without an answer. */
    int status() const;
    /** The status as text, or why there is none. */
    std::string outcomeName() const;
    bool isSuccess() const { return status() / 100 == 2; }
    /** The call may have been executed although nothing confirms it. */
    bool isOutcomeUnknown() const;
    /** Refused for now; the same call may succeed later. */
    bool isRefusedForNow() const { return status() == 429 || status() == 503; }
};

}
