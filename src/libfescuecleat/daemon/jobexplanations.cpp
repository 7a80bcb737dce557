#include "daemon/jobexplanations.h"

#include "daemon/datacentrescheduler.h"
#include "daemon/peercoordinator.h"
#include "http/httpclient.h"

namespace fescuecleat {

namespace {

    constexpr Duration askTimeout = std::chrono::seconds(2);
    /** Marks a request that another instance forwarded, so that it isn't forwarded again. */
    const char* const forwardedHeader = "x-forwarded-by-instance";

}

std::string JobExplanations::explain(const JobRecord& record, const HttpRequest& request) const
{
    if (isFinal(record.state_))
        return record.reason_.empty() ? std::string("the job has ended") : record.reason_;
    const std::optional<std::string> own = scheduler_.explain(record.spec_.id_);
    if (own)
        return *own;
    if (request.headers_.count(forwardedHeader))
        return "the scheduler of " + record.dataCentre_.value() + " is changing; ask again in a few seconds";
    return askScheduler(record, request);
}

std::string JobExplanations::askScheduler(const JobRecord& record, const HttpRequest& request) const
{
    std::string noScheduler = "no instance is known to schedule " + record.dataCentre_.value() + "; the job waits for one to take over";
    const std::optional<Address> scheduler = peers_.schedulerOf(record.dataCentre_);
    if (!scheduler)
        return noScheduler;
    HttpRequest forwarded;
    forwarded.path_ = request.path_;
    forwarded.headers_[forwardedHeader] = "1";
    const auto key = request.headers_.find("authorization");
    if (key != request.headers_.end())
        forwarded.headers_["authorization"] = key->second;
    const auto answer = client_.send(*scheduler, forwarded, monotonicNow() + askTimeout, false);
    const Result<JsonValue> body = parseJson(answer ? answer->body_ : std::string());
    std::string explanation;
    if (body && body->getMember("explanation", explanation))
        return explanation;
    return noScheduler;
}

}
