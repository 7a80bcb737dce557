#pragma once

#include "base/time.h"

namespace fescuecleat {

/** What an attempt says about the minion itself. */
enum class AttemptVerdict {
    /** A whole answer that is no server error. */
    Good,
    /** A whole answer with a server error, or no usable answer. */
    Bad,
    /** The minion refused for want of a slot. */
    Neutral,
    /** No answer by the caller's own deadline; bad only if the time was ample. */
    TimedOut,
};

enum class MinionCondition {
    Healthy,
    /** Gets nothing until `probeAt()`. */
    Ejected,
    /** Gets one idempotent request at a time until enough went well. */
    Probing,
};

/** Judges one minion by its answers: ejects it, probes it and takes it back. */
class MinionHealth {
public:
    MinionCondition condition(Time now) const;

    /** Counts an ended attempt; true if the minion should be ejected now. */
    bool record(AttemptVerdict, Time now);

    /** Ejects until a moment that moves out with each ejection in a row. */
    void eject(Time now);

    /** Forgets everything bad: the minion came anew. */
    void reset() { *this = MinionHealth(); }

    Time probeAt() const { return probeAt_; }
    double badShare() const { return badShare_; }

private:
    bool shouldEject() const;

    /** Share of bad attempts, recent ones weigh more. */
    double badShare_ = 0;
    int attempts_ = 0;
    int badInRow_ = 0;
    int goodProbes_ = 0;
    int ejectionsInRow_ = 0;
    bool isEjected_ = false;
    Time probeAt_;
};

}
