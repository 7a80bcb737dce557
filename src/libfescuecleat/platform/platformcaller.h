#pragma once

#include "http/httpclient.h"
#include "platform/retrypolicy.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace fescuecleat {

/** Why a call to the platform has no answer that counts. */
struct PlatformCallFailure {
    /** True if some attempt may have reached the platform and taken effect. */
    bool mayHaveTakenEffect_ = false;
    std::string message_;

    /** Unavailable if nothing took effect, else OutcomeUnknown. */
    Error toWriteError() const;
    /** Unavailable: a read has no effect. */
    Error toReadError() const;
};

/** An answer that counts. */
struct PlatformAnswer {
    HttpResponse response_;
    /** True if an earlier attempt, which got no answer, may have taken effect. */
    bool mayHaveTakenEffectBefore_ = false;
};

/** Counters of a platform client since its start. */
struct PlatformCallCounts {
    std::uint64_t attempts_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t failures_ = 0;
};

/**
 * Sends a call to the platform again and again until it is answered or the
 * deadline passed. Every call of the platform may be repeated: reads have no
 * effect, writes of objects are whole, and commits carry a write id.
 * Thread-safe.
 */
class PlatformCaller {
public:
    /** The client outlives the caller. */
    PlatformCaller(HttpClient&, Address platform, const RetryPolicy& = {});

    /** An answer with a status below 500 other than 408 and 429, or why there is none. */
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
