#include "load/requestsender.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** How much longer than its deadline a caller listens for the answer. */
    constexpr Duration grace = std::chrono::milliseconds(500);

    std::string header(const HttpResponse& response, const std::string& name)
    {
        const auto found = response.headers_.find(name);
        return found == response.headers_.end() ? "" : found->second;
    }

    SentOutcome outcomeOf(const HttpResponse& response)
    {
        const std::string outcome = header(response, "x-outcome");
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
    sent.intended_ = intended;
    sent.deadline_ = intended + planned.patience_;
    sent.outcome_ = SentOutcome::Refused;
    std::string avoided;
    // A connection that can't be opened sends nothing, so the balancer takes another instance.
    for (std::size_t tries = 0; tries < balancer_.entries(); ++tries) {
        const auto entry = balancer_.next(avoided);
        if (!entry)
            break;
        sent.entry_ = toString(entry->caller_);
        sent.sent_ = monotonicNow();
        const auto response = client_.send(entry->caller_, message(planned, sent.deadline_), sent.deadline_ + grace, false);
        sent.ended_ = monotonicNow();
        if (response) {
            sent.outcome_ = outcomeOf(*response);
            sent.answer_ = response->body_;
            return sent;
        }
        if (response.error().failure_ == TransportFailure::NoAnswer) {
            sent.outcome_ = sent.ended_ < sent.deadline_ ? SentOutcome::Cut : SentOutcome::Unknown;
            return sent;
        }
        avoided = entry->instance_;
    }
    sent.ended_ = monotonicNow();
    return sent;
}

HttpRequest RequestSender::message(const PlannedRequest& planned, Time deadline) const
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(remaining(deadline, monotonicNow()));
    HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/v1/services/" + testbed_.service_ + "/requests";
    request.query_["kind"] = planned.kind_;
    request.headers_["authorization"] = "Bearer " + testbed_.organisations_[planned.organisation_].key_;
    request.headers_["x-deadline-ms"] = std::to_string(std::max<std::int64_t>(1, left.count()));
    request.headers_["idempotency-key"] = planned.tag_;
    request.headers_["x-idempotent"] = planned.isIdempotent_ ? "true" : "false";
    request.body_ = planned.body_;
    return request;
}

}
