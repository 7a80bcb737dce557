#include "daemon/jobexplanations.h"

#include "daemon/datacentrescheduler.h"
#include "daemon/peercoordinator.h"
#include "http/httpclient.h"

namespace fescuecleat {

namespace {

    constexpr Duration askTime = std::chrono::seconds(2);
    /** Marks a question that was passed on, so that it isn't passed on again. */
    const char* const forwardedField = "x-forwarded-by-instance";

}

std::string JobExplanations::explain(const JobRecord& record, const HttpRequest& request) const
{
    if (isFinal(record.state_))
        return record.reason_.empty() ? std::string("the job has ended") : record.reason_;
    const std::optional<std::string> own = scheduler_.explain(record.spec_.id_);
    if (own)
        return *own;
    if (request.headers_.count(forwardedField))
        return "the scheduler of " + record.dataCentre_.value() + " is changing; ask again in a few seconds";
    return ask(record, request);
}

std::string JobExplanations::ask(const JobRecord& record, const HttpRequest& request) const
{
    std::string unknown = "no instance is known that schedules " + record.dataCentre_.value() + "; the job waits for one to take over";
    const std::optional<Address> scheduler = peers_.schedulerOf(record.dataCentre_);
    if (!scheduler)
        return unknown;
    HttpRequest question;
    question.path_ = request.path_;
    question.headers_[forwardedField] = "1";
    const auto key = request.headers_.find("authorization");
    if (key != request.headers_.end())
        question.headers_["authorization"] = key->second;
    const auto answer = client_.send(*scheduler, question, monotonicNow() + askTime, false);
    const Result<JsonValue> body = parseJson(answer ? answer->body_ : std::string());
    std::string explanation;
    if (body && body->getMember("explanation", explanation))
        return explanation;
    return unknown;
}

}
