#include "load/requestsender.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Time after the request's deadline in which an answer is still received. */
    constexpr Duration answerGracePeriod = std::chrono::milliseconds(500);

    std::string headerValue(const HttpResponse& response, const std::string& name)
    {
        const auto found = response.headers_.find(name);
        return found == response.headers_.end() ? "" : found->second;
    }

    SentOutcome outcomeOf(const HttpResponse& response)
    {
        const std::string outcome = headerValue(response, "x-outcome");
        if (outcome == "answered")
            return SentOutcome::Answered;
        if (outcome == "not_run")
            return SentOutcome::NotRun;
        if (outcome == "unknown")
            return SentOutcome::Unknown;
        return SentOutcome::Refused;
    }

}

SentRequest RequestSender::send(const PlannedRequest& planned, Time intended)
{
    SentRequest sent;
    sent.tag_ = planned.tag_;
    sent.kind_ = planned.kind_;
    sent.body_ = planned.body_;
    sent.isIdempotent_ = planned.isIdempotent_;
    sent.organisation_ = testbed_.organisations_[planned.organisation_].id_;
    sent.intendedAt_ = intended;
    sent.deadline_ = intended + planned.timeout_;
    sent.outcome_ = SentOutcome::Refused;
    std::string excludedInstance;
    // If the connection can't be opened, nothing was sent, so another instance is safe to try.
    for (std::size_t attempt = 0; attempt < balancer_.entries(); ++attempt) {
        const auto entry = balancer_.next(excludedInstance);
        if (!entry)
            break;
        sent.entry_ = toString(entry->callerAddress_);
        sent.sentAt_ = monotonicNow();
        const auto response = client_.send(entry->callerAddress_, buildRequest(planned, sent.deadline_), sent.deadline_ + answerGracePeriod, false);
        sent.endedAt_ = monotonicNow();
        if (response) {
            sent.outcome_ = outcomeOf(*response);
            sent.answer_ = response->body_;
            return sent;
        }
        if (response.error().failure_ == TransportFailure::NoAnswer) {
            sent.outcome_ = sent.endedAt_ < sent.deadline_ ? SentOutcome::Cut : SentOutcome::Unknown;
            return sent;
        }
        excludedInstance = entry->instance_;
    }
    sent.endedAt_ = monotonicNow();
    return sent;
}

HttpRequest RequestSender::buildRequest(const PlannedRequest& planned, Time deadline) const
{
    const auto timeLeft = std::chrono::ceil<std::chrono::milliseconds>(remaining(deadline, monotonicNow()));
    HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/v1/services/" + testbed_.service_ + "/requests";
    request.query_["kind"] = planned.kind_;
    request.headers_["authorization"] = "Bearer " + testbed_.organisations_[planned.organisation_].key_;
    request.headers_["x-deadline-ms"] = std::to_string(std::max<std::int64_t>(1, timeLeft.count()));
    request.headers_["idempotency-key"] = planned.tag_;
    request.headers_["x-idempotent"] = planned.isIdempotent_ ? "true" : "false";
    request.body_ = planned.body_;
    return request;
}

}
