#include "platform/platformcaller.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr int statusRequestTimeout = 408;
    constexpr int statusTooManyRequests = 429;
    constexpr int minServerErrorStatus = 500;

    bool isFinalAnswer(int status)
    {
        return status < minServerErrorStatus && status != statusRequestTimeout && status != statusTooManyRequests;
    }

    /** A proxy may answer with a server error after the platform has taken the request. */
    bool leavesOutcomeUnknown(int status)
    {
        return status >= minServerErrorStatus;
    }

}

Error PlatformCallFailure::toWriteError() const
{
    if (!mayHaveTakenEffect_)
        return { ErrorKind::Unavailable, "the write had no effect: " + message_, "try again when the platform is reachable", {} };
    return { ErrorKind::OutcomeUnknown, "the outcome of the write is unknown: " + message_, "read it back, or repeat it with the same write id", {} };
}

Error PlatformCallFailure::toReadError() const
{
    return { ErrorKind::Unavailable, "the read from the platform failed: " + message_, "try again when the platform is reachable", {} };
}

PlatformCaller::PlatformCaller(HttpClient& client, Address platform, const RetryPolicy& policy)
    : client_(client)
    , platform_(std::move(platform))
    , policy_(policy)
{
}

tl::expected<PlatformAnswer, PlatformCallFailure> PlatformCaller::send(const HttpRequest& request, Time deadline)
{
    PlatformCallFailure failure { false, "the deadline passed before the first attempt" };
    Duration backoff = policy_.initialBackoff_;
    bool mayReuse = true;
    for (Time now = monotonicNow(); now < deadline; now = monotonicNow()) {
        ++attempts_;
        const auto answer = client_.send(platform_, request, std::min(deadline, now + policy_.attemptTimeout_), mayReuse);
        if (answer && isFinalAnswer(answer->status_))
            return PlatformAnswer { *answer, failure.mayHaveTakenEffect_ };
        if (answer) {
            failure.mayHaveTakenEffect_ |= leavesOutcomeUnknown(answer->status_);
            failure.message_ = "status " + std::to_string(answer->status_);
        } else {
            failure.mayHaveTakenEffect_ |= answer.error().failure_ == TransportFailure::NoAnswer;
            failure.message_ = answer.error().message_;
        }
        // The reused connection may be dead without having been closed, so the next attempt opens a new one.
        mayReuse = false;
        ++retries_;
        std::this_thread::sleep_for(std::min(backoff, remaining(deadline, monotonicNow())));
        backoff = std::min(backoff * 2, policy_.maxBackoff_);
    }
    ++failures_;
    return tl::unexpected<PlatformCallFailure>(failure);
}

PlatformCallCounts PlatformCaller::counts() const
{
    return { attempts_, retries_, failures_ };
}

}
