#pragma once

#include "base/time.h"

namespace fescuecleat {

/** Time after which an unanswered prepare, start or stop is sent again. */
constexpr Duration resendTime = std::chrono::seconds(5);
/** Time from placement in which every task of a gang has to be prepared. */
constexpr Duration prepareTime = std::chrono::seconds(30);
/** Time past the start deadline in which every task has to be reported as running. */
constexpr Duration startConfirmTime = std::chrono::seconds(30);
/** Time for which a task of an unknown job is left alone, since its job may still be told. */
constexpr Duration strayTime = std::chrono::seconds(30);
/** Time for which an ended job is remembered, so that late reports of it change nothing. */
constexpr Duration endedJobMemory = std::chrono::minutes(10);
/** Whole reports of its worker that may omit a task before it counts as gone. */
constexpr int reportsUntilMissing = 2;
/** Placements in a row, without progress, that may end by the fault of workers. */
constexpr int maxDisturbances = 20;
/** Gangs that may be between placement and running at once; bounds the burst after a return. */
constexpr int maxGangsStarting = 64;

}
