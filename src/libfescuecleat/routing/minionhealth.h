#pragma once

#include "base/time.h"

namespace fescuecleat {

/** What the result of an attempt says about the health of the minion. */
enum class HealthSignal {
    /** A complete answer without server error. */
    Success,
    /** A server error or no usable answer. */
    Failure,
    /** The minion refused the request because all its slots were busy. */
    Neutral,
    /** No answer by the caller's deadline; a failure only if the deadline left enough time. */
    TimedOut,
};

enum class MinionCondition {
    Healthy,
    /** Gets no requests until `probeAt()`. */
    Ejected,
    /** Gets one idempotent request at a time until enough of them succeeded. */
    Probing,
};

/** Tracks the health of one minion by its answers: ejection, probing and reinstatement. */
class MinionHealth {
public:
    MinionCondition condition(Time now) const;

    /** Records the end of an attempt; true if the minion should be ejected. */
    bool record(HealthSignal, Time now);

    /** Ejects the minion; the duration doubles with each ejection in a row, up to a limit. */
    void eject(Time now);

    /** Clears the history, for a minion that passed its probes or was restarted. */
    void reset() { *this = MinionHealth(); }

    Time probeAt() const { return probeAt_; }
    double failureShare() const { return failureShare_; }

private:
    bool shouldEject() const;

    /** Moving average of the share of failed attempts. */
    double failureShare_ = 0;
    int attempts_ = 0;
    int failuresInRow_ = 0;
    int successfulProbes_ = 0;
    int ejectionsInRow_ = 0;
    bool isEjected_ = false;
    Time probeAt_;
};

}
