#pragma once

#include "base/time.h"

#include <optional>

namespace fescuecleat {

/** The views on which the permission to start depends; each reflects the store at this local time or later. */
struct ViewTimes {
    /** Shows that workers drain or have left. */
    Time registry_ {};
    /** Shows that data centres are closed. */
    Time operatorRows_ {};
    /** Shows that jobs are cancelled. */
    Time intake_ {};
};

enum class View {
    Registry,
    OperatorRows,
    Intake,
};

const char* viewName(View);

/** An age of a view beyond which no start may be sent. */
struct OutdatedView {
    View view_ = View::Registry;
    Duration age_ {};
};

/**
 * How old each view may be when a start is sent. Zero stands for any age.
 */
struct ViewLimits {
    Duration registry_ {};
    Duration operatorRows_ {};
    Duration intake_ {};
};

/**
 * The largest permitted age of a view when a request is sent that must not be executed
 * later than `bound` after a change of the view: the rest is for the request's own way,
 * `requestTimeout` or half of the bound, whichever is less. Zero without a bound.
 */
Duration maxViewAge(Duration bound, Duration requestTimeout);

/**
 * The wait of a long poll that keeps a view below its largest permitted age. Its age is
 * largest before an answer: two waits, the pause between the polls, and the way of the answers.
 */
Duration pollWaitFor(Duration maxAge, Duration wait, Duration pause);

/** The view that forbids starts at present, if any; of several, the one that is the furthest beyond its limit. */
std::optional<OutdatedView> findOutdatedView(const ViewTimes&, const ViewLimits&, Time now);

}
