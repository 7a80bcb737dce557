#pragma once

#include <atomic>
#include <cstdint>

namespace fescuecleat {

/** Counters of a request router since its start. */
struct RouterCounters {
    std::atomic<std::uint64_t> requests_ { 0 };
    std::atomic<std::uint64_t> answered_ { 0 };
    std::atomic<std::uint64_t> notRun_ { 0 };
    std::atomic<std::uint64_t> outcomeUnknown_ { 0 };
    /** Attempts to send a request to a minion, including retries. */
    std::atomic<std::uint64_t> dispatches_ { 0 };
    std::atomic<std::uint64_t> retries_ { 0 };
    /** Retries denied by the retry budget or the deadline. */
    std::atomic<std::uint64_t> retriesDenied_ { 0 };
    /** Attempts that a minion refused because all its slots were busy. */
    std::atomic<std::uint64_t> notStarted_ { 0 };
    /** Attempts without an answer that may be passed on to the caller. */
    std::atomic<std::uint64_t> unusableAnswers_ { 0 };
    std::atomic<std::uint64_t> claimsTaken_ { 0 };
    /** Repeated calls that were given the recorded answer. */
    std::atomic<std::uint64_t> claimsRepeated_ { 0 };
    std::atomic<std::uint64_t> claimsFailed_ { 0 };
    std::atomic<std::uint64_t> ejections_ { 0 };
    std::atomic<std::uint64_t> departures_ { 0 };
};

}
