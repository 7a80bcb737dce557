#include "platform/platformcaller.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr int statusRequestTimeout = 408;
    constexpr int statusTooManyRequests = 429;
    constexpr int firstServerError = 500;

    bool isAnswer(int status)
    {
        return status < firstServerError && status != statusRequestTimeout && status != statusTooManyRequests;
    }

    /** A server error may come from something between us and the table after the table took the write. */
    bool mayFollowEffect(int status)
    {
        return status >= firstServerError;
    }

}

Error PlatformCallFailure::toWriteError() const
{
    if (!mayHaveTakenEffect_)
        return { ErrorKind::Unavailable, "the platform took no write: " + message_, "try again when the platform answers", {} };
    return { ErrorKind::OutcomeUnknown, "the write may have taken effect: " + message_, "read the row back, or repeat the same write id", {} };
}

Error PlatformCallFailure::toReadError() const
{
    return { ErrorKind::Unavailable, "the platform can't be read: " + message_, "try again when the platform answers", {} };
}

PlatformCaller::PlatformCaller(HttpClient& client, Address platform, const RetryPolicy& policy)
    : client_(client)
    , platform_(std::move(platform))
    , policy_(policy)
{
}

tl::expected<PlatformAnswer, PlatformCallFailure> PlatformCaller::send(const HttpRequest& request, Time deadline)
{
    PlatformCallFailure failure { false, "the deadline had passed before the first attempt" };
    Duration pause = policy_.firstPause_;
    bool mayReuse = true;
    for (Time now = monotonicNow(); now < deadline; now = monotonicNow()) {
        ++attempts_;
        const auto answer = client_.send(platform_, request, std::min(deadline, now + policy_.attemptTime_), mayReuse);
        if (answer && isAnswer(answer->status_))
            return PlatformAnswer { *answer, failure.mayHaveTakenEffect_ };
        if (answer) {
            failure.mayHaveTakenEffect_ |= mayFollowEffect(answer->status_);
            failure.message_ = "status " + std::to_string(answer->status_);
        } else {
            failure.mayHaveTakenEffect_ |= answer.error().failure_ == TransportFailure::NoAnswer;
            failure.message_ = answer.error().message_;
        }
        // A kept-alive connection may have gone silent for good; a new one may work.
        mayReuse = false;
        ++retries_;
        std::this_thread::sleep_for(std::min(pause, remaining(deadline, monotonicNow())));
        pause = std::min(pause * 2, policy_.longestPause_);
    }
    ++failures_;
    return tl::unexpected<PlatformCallFailure>(failure);
}

PlatformCallCounts PlatformCaller::counts() const
{
    return { attempts_, retries_, failures_ };
}

}
