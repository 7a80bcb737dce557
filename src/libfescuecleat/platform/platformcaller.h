#pragma once

#include "http/httpclient.h"
#include "platform/retrypolicy.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace fescuecleat {

/** Why a call to the platform got no final answer. */
struct PlatformCallFailure {
    /** True if any attempt may have taken effect. */
    bool mayHaveTakenEffect_ = false;
    std::string message_;

    /** Unavailable if nothing took effect, otherwise OutcomeUnknown. */
    Error toWriteError() const;
    /** Always Unavailable. */
    Error toReadError() const;
};

/** A final answer: one that would not change by a retry. */
struct PlatformAnswer {
    HttpResponse response_;
    /** True if an earlier attempt without a final answer may have taken effect. */
    bool mayHaveTakenEffectBefore_ = false;
};

/** Counters since the start. */
struct PlatformCallCounts {
    std::uint64_t attempts_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t failures_ = 0;
};

/**
 * Calls the platform, retrying with exponential backoff until it gets a final
 * answer or the deadline has passed. All calls are idempotent: object writes
 * replace the whole object, and commits carry a write id. Thread-safe.
 */
class PlatformCaller {
public:
    /** The client must outlive this object. */
    PlatformCaller(HttpClient&, Address platform, const RetryPolicy& = {});

    /** Returns the first answer with a status below 500 other than 408 and 429, or why there is none. */
    tl::expected<PlatformAnswer, PlatformCallFailure> send(const HttpRequest&, Time deadline);

    PlatformCallCounts counts() const;

private:
    HttpClient& client_;
    Address platform_;
    RetryPolicy policy_;
    std::atomic<std::uint64_t> attempts_ { 0 };
    std::atomic<std::uint64_t> retries_ { 0 };
    std::atomic<std::uint64_t> failures_ { 0 };
};

}
