#pragma once

#include <atomic>
#include <cstdint>

namespace fescuecleat {

/** Counts of a request router since its start. */
struct RouterCounters {
    std::atomic<std::uint64_t> requests_ { 0 };
    std::atomic<std::uint64_t> answered_ { 0 };
    std::atomic<std::uint64_t> notRun_ { 0 };
    std::atomic<std::uint64_t> outcomeUnknown_ { 0 };
    /** Requests sent to minions, first tries and retries. */
    std::atomic<std::uint64_t> dispatches_ { 0 };
    std::atomic<std::uint64_t> retries_ { 0 };
    /** Retries that the budget forbade. */
    std::atomic<std::uint64_t> retriesDenied_ { 0 };
    /** Attempts that a minion refused for want of a slot. */
    std::atomic<std::uint64_t> notStarted_ { 0 };
    /** Attempts without an answer that may be given to the caller. */
    std::atomic<std::uint64_t> unusableAnswers_ { 0 };
    std::atomic<std::uint64_t> claimsTaken_ { 0 };
    /** Repeated calls that got the recorded answer. */
    std::atomic<std::uint64_t> claimsRepeated_ { 0 };
    std::atomic<std::uint64_t> claimsImpossible_ { 0 };
    std::atomic<std::uint64_t> ejections_ { 0 };
    std::atomic<std::uint64_t> departures_ { 0 };
};

}
