#pragma once

#include "base/time.h"

namespace fescuecleat {

/** Interval at which unanswered prepare, start and stop requests are sent again. */
constexpr Duration resendInterval = std::chrono::seconds(5);
/** Maximum time from placement until every task of a gang is prepared. */
constexpr Duration prepareTimeout = std::chrono::seconds(30);
/** Maximum time after the start deadline until every task is reported as running. */
constexpr Duration startConfirmTimeout = std::chrono::seconds(30);
/** How long a task of an unknown job may run before it is stopped; its job may still be submitted. */
constexpr Duration orphanGracePeriod = std::chrono::seconds(30);
/** How long an ended job is remembered, so that late reports for it are recognised. */
constexpr Duration endedJobRetention = std::chrono::minutes(10);
/** Consecutive full reports of a worker without a task after which the task counts as lost. */
constexpr int missedReportsUntilLost = 2;
/** Consecutive placements without progress, ended because of workers, after which the job fails. */
constexpr int maxConsecutiveInterruptions = 20;
/** Gangs between placement and running at once; limits the burst after a data centre returns. */
constexpr int maxGangsStarting = 64;

/** Time that jobs preempted for an urgent job get to write a checkpoint. */
constexpr Duration urgentCheckpointTimeout = std::chrono::seconds(5);
/** Time after the deadline of its victims at which a reservation expires. */
constexpr Duration reservationGracePeriod = std::chrono::minutes(1);
/** Interval of the time-dependent policy checks on queued jobs. */
constexpr Duration waitingPolicyInterval = std::chrono::seconds(10);
/** Delay from the first worker change to the reassignment of guaranteed cells, so that changes in a burst cause one pass. */
constexpr Duration bindDelay = std::chrono::seconds(1);
/** Divisor of the ageing time after which defragmentation may be triggered for a large job and any job is offered to other data centres. */
constexpr int earlyAgeDivisor = 6;
/** Time after the first event in which workers may still be joining. */
constexpr Duration workerJoinGracePeriod = std::chrono::minutes(2);
/** Sliding window in which defragmentation moves are counted. */
constexpr Duration defragmentationWindow = std::chrono::hours(1);
/** Queued jobs offered to other data centres per interval. */
constexpr int maxOffersPerInterval = 64;
/** Gangs that write checkpoints at the same time during a drain. */
constexpr int maxGangsDraining = 32;
/** Interval at which a drain checkpoints further gangs. */
constexpr Duration drainInterval = std::chrono::seconds(1);
/** A task may exceed its declared memory by the declared memory divided by this. */
constexpr int memoryToleranceDivisor = 20;
/** Time that a throttled task gets to return to its declared memory. */
constexpr Duration throttleGracePeriod = std::chrono::seconds(10);

}
