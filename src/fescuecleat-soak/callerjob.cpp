#include "callerjob.h"

namespace fescuecleat {

namespace {

    /** Answers that mean that the submission wasn't and won't be executed. */
    bool isRefusal(int status)
    {
        return status == 401 || status == 404 || status == 429 || status == 503;
    }

}

CallerJob::CallerJob(std::string id, CallerQueue queue, Time submittedAt)
    : id_(std::move(id))
    , queue_(std::move(queue))
    , submittedAt_(submittedAt)
{
}

void CallerJob::record(const CallerAnswer& answer)
{
    if (answer.kind_ == CallerCallKind::Submit) {
        attempts_.push_back(answer.status());
        if (std::holds_alternative<CallNotSent>(answer.content_))
            return;
        if (answer.isSuccess() && !acceptedAt_)
            acceptedAt_ = answer.endedAt_;
        if (isRefusal(answer.status()))
            wasRefused_ = true;
        else
            mayHaveBeenAccepted_ = true;
    }
    if (const auto* const shown = std::get_if<StateAnswer>(&answer.content_)) {
        lastState_ = shown->state_;
        if (shown->state_ == PoolJobState::Completed && !completedAt_)
            completedAt_ = answer.endedAt_;
    }
}

bool CallerJob::isOpen() const
{
    return acceptedAt_ && !isCancelSent_ && !(lastState_ && isFinal(*lastState_));
}

bool CallerJob::isRefused() const
{
    return wasRefused_ && !mayHaveBeenAccepted_;
}

std::optional<Duration> CallerJob::completionTime() const
{
    if (!completedAt_)
        return std::nullopt;
    return *completedAt_ - submittedAt_;
}

}
