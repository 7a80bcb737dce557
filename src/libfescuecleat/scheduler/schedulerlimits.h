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

/** Time that urgent work gives to what makes way for it. */
constexpr Duration urgentCheckpointTime = std::chrono::seconds(5);
/** Time past their deadline after which a reservation is given up if what was stopped has not ended. */
constexpr Duration reservationGraceTime = std::chrono::minutes(1);
/** Interval at which waiting jobs are looked at for what only time changes. */
constexpr Duration policyInterval = std::chrono::seconds(10);
/** Time from the first change of workers until homes are laid again, so that many at once cost one pass. */
constexpr Duration bindDelay = std::chrono::seconds(1);
/** Part of the ageing time after which a large job may have small work moved, and any job is offered elsewhere. */
constexpr int earlyAgeDivisor = 6;
/** Time after the first event during which workers may still be joining. */
constexpr Duration settlingTime = std::chrono::minutes(2);
/** Window of the budget for moves. */
constexpr Duration moveWindow = std::chrono::hours(1);
/** Queued jobs that are offered to other data centres in one interval. */
constexpr int offersPerInterval = 64;
/** Gangs that write checkpoints at once while a data centre is emptied. */
constexpr int maxGangsDraining = 32;
/** Interval at which further gangs are told to leave. */
constexpr Duration drainInterval = std::chrono::seconds(1);
/** Part by which a task may exceed its declared memory, as a divisor. */
constexpr int memoryToleranceDivisor = 20;
/** Time a throttled task gets to come back to its declared memory. */
constexpr Duration throttleTime = std::chrono::seconds(10);

}
