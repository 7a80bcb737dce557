#include "daemon/callerhandler.h"

#include "api/errorresponse.h"
#include "api/jobsubmission.h"
#include "api/requestoptions.h"
#include "api/waittime.h"
#include "base/overloaded.h"
#include "daemon/requestpath.h"
#include "daemon/wallclock.h"

#include <sodium.h>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr Duration storeTimeout = std::chrono::seconds(3);
    /** By default a status call doesn't wait for the end of the job. */
    constexpr WaitLimits waitLimits { Duration(0), std::chrono::seconds(30) };
    constexpr int statusAccepted = 202;
    constexpr int statusUnknownOutcome = 504;

    HttpResponse notFound(const std::string& path)
    {
        return writeError({ ErrorKind::NotFound, "unknown path " + path, "see docs/API.md for the paths", {} });
    }

    HttpResponse wrongMethod(const std::string& method)
    {
        return writeError({ ErrorKind::Unsupported, method + " is not supported for this path", "see docs/API.md for the methods", {} });
    }

    JsonValue writeJob(const JobRecord& record)
    {
        JsonValue job = jsonObject();
        job.addValue("job", record.spec_.id_.value());
        job.addValue("state", std::string(jobStateName(record.state_)));
        job.addValue("data_centre", record.dataCentre_.value());
        job.addValue("attempt", record.attempt_);
        job.addValue("tasks", record.spec_.tasks_);
        job.addValue("accelerators", record.spec_.shape_.accelerators_);
        job.addValue("urgent", record.spec_.isUrgent_);
        job.addValue("checkpointed_share", record.checkpointedShare_);
        job.addValue("reason", record.reason_);
        job.addValue("submitted_at_ms", record.submittedAtMs_);
        job.addValue("ended_at_ms", record.endedAtMs_);
        JsonValue& placement = job.addMember("placement");
        placement.setCategory(JsonValue::Array);
        for (const WorkerId& worker : record.placement_)
            placement.addMember().setValue(worker.value());
        return job;
    }

    HttpResponse withOutcome(HttpResponse response, const char* outcome)
    {
        response.headers_["x-outcome"] = outcome;
        return response;
    }

    HttpResponse writeNotRun(const NotRun& outcome)
    {
        HttpResponse response = writeError({ ErrorKind::Overloaded, "the request did not run: " + outcome.reason_, "send it again after Retry-After", {} });
        const Duration wait = remaining(outcome.retryAt_, monotonicNow());
        // Retry-After holds whole seconds: round up so that callers don't retry too early.
        response.headers_["retry-after"] = std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
        response.headers_["x-retry-after-ms"] = std::to_string(std::chrono::ceil<std::chrono::milliseconds>(wait).count());
        return withOutcome(std::move(response), "not_run");
    }

    HttpResponse writeUnknown(const OutcomeUnknown& outcome)
    {
        HttpResponse response = writeError({ ErrorKind::OutcomeUnknown, "the request may have run: " + outcome.reason_, "send it again with the same idempotency key", {} });
        response.status_ = statusUnknownOutcome;
        return withOutcome(std::move(response), "unknown");
    }

    HttpResponse writeAnswered(const Answered& outcome)
    {
        HttpResponse response;
        response.status_ = outcome.status_;
        const auto type = outcome.headers_.find("content-type");
        if (type != outcome.headers_.end())
            response.headers_["content-type"] = type->second;
        response.body_ = outcome.body_;
        return withOutcome(std::move(response), "answered");
    }

}

CallerHandler::CallerHandler(const InstanceId& instance, IdentitySource& identities, JobService& jobs, const JobExplanations& explanations, RequestRouter& router, Metrics& metrics)
    : identities_(identities)
    , jobs_(jobs)
    , explanations_(explanations)
    , router_(router)
    , requestPrefix_(instance.value() + "-" + std::to_string(wallClockMs()) + "-" + std::to_string(randombytes_uniform(1'000'000)) + "-")
    , answered_(metrics.counter("fescuecleat_requests_total", "Requests to services by outcome", { { "outcome", "answered" } }))
    , notRun_(metrics.counter("fescuecleat_requests_total", "Requests to services by outcome", { { "outcome", "not_run" } }))
    , unknown_(metrics.counter("fescuecleat_requests_total", "Requests to services by outcome", { { "outcome", "unknown" } }))
    , refused_(metrics.counter("fescuecleat_calls_refused_total", "Calls without a valid key"))
    , requestTime_(metrics.latency("fescuecleat_request_seconds", "Time from a request's arrival to its outcome"))
    , submitTime_(metrics.latency("fescuecleat_submit_seconds", "Time of making a submitted job durable"))
{
}

HttpResponse CallerHandler::handle(const HttpRequest& request)
{
    if (!identities_.isConfigured()) {
        notRun_.add();
        return writeNotRun({ "no configuration is in force on this instance yet", monotonicNow() + std::chrono::seconds(1) });
    }
    const Identity identity = identities_.identify(request.headers_);
    const auto* organisation = std::get_if<OrganisationId>(&identity);
    if (!organisation) {
        refused_.add();
        if (std::holds_alternative<Operator>(identity))
            return writeError({ ErrorKind::Forbidden, "an operator's key can't be used on behalf of an organisation", "use a key of the organisation", {} });
        return writeError({ ErrorKind::Unauthenticated, "the key is missing or invalid", "send Authorization: Bearer KEY", {} });
    }
    return route(request, splitPath(request.path_), *organisation);
}

HttpResponse CallerHandler::route(const HttpRequest& request, const std::vector<std::string>& path, const OrganisationId& organisation)
{
    if (path.size() >= 2 && path[0] == "v1" && path[1] == "jobs")
        return routeJobs(request, path, organisation);
    const bool isServiceRequest = path.size() == 4 && path[0] == "v1" && path[1] == "services" && path[3] == "requests";
    if (!isServiceRequest)
        return notFound(request.path_);
    if (request.method_ != "POST")
        return wrongMethod(request.method_);
    return this->forwardToService(request, ServiceId(path[2]), organisation);
}

HttpResponse CallerHandler::routeJobs(const HttpRequest& request, const std::vector<std::string>& path, const OrganisationId& organisation)
{
    const bool isGet = request.method_ == "GET";
    const bool isPost = request.method_ == "POST";
    if (path.size() == 2) {
        if (isPost)
            return submit(request, organisation);
        return isGet ? list(organisation) : wrongMethod(request.method_);
    }
    const JobId job(path[2]);
    if (path.size() == 3)
        return isGet ? status(request, job, organisation) : wrongMethod(request.method_);
    if (path.size() == 4 && path[3] == "cancel")
        return isPost ? cancel(job, organisation) : wrongMethod(request.method_);
    if (path.size() == 4 && path[3] == "why")
        return isGet ? explain(request, job, organisation) : wrongMethod(request.method_);
    return notFound(request.path_);
}

HttpResponse CallerHandler::submit(const HttpRequest& request, const OrganisationId& organisation)
{
    if (isStopping_)
        return writeError({ ErrorKind::Unavailable, "this instance is stopping; the job was not accepted", "submit it to another instance", {} });
    const Time begin = monotonicNow();
    const Result<JsonValue> body = parseJson(request.body_, "body");
    if (!body)
        return writeError(body.error());
    const ValidationResult<JobSpec> spec = parseJobSubmission(*body, organisation);
    if (!spec)
        return writeErrors(spec.error());
    const Result<Submission> submission = jobs_.submit(*spec, begin + storeTimeout);
    submitTime_.record(monotonicNow() - begin);
    if (!submission)
        return writeError(submission.error());
    JsonValue answer = jsonObject();
    answer.addValue("job", submission->job_.value());
    answer.addValue("state", std::string(jobStateName(JobState::Submitted)));
    answer.addValue("data_centre", submission->dataCentre_.value());
    answer.addValue("new", submission->isNew_);
    return writeAnswer(answer, statusAccepted);
}

HttpResponse CallerHandler::status(const HttpRequest& request, const JobId& job, const OrganisationId& organisation)
{
    const Result<Duration> wait = parseWaitTime(request, waitLimits);
    if (!wait)
        return writeError(wait.error());
    const Result<StoredJob> found = jobs_.wait(job, organisation, monotonicNow() + *wait);
    if (!found)
        return writeError(found.error());
    return writeAnswer(writeJob(found->record_));
}

HttpResponse CallerHandler::list(const OrganisationId& organisation)
{
    const Result<std::vector<StoredJob>> jobs = jobs_.list(organisation, monotonicNow() + storeTimeout);
    if (!jobs)
        return writeError(jobs.error());
    JsonValue answer = jsonObject();
    JsonValue& list = answer.addMember("jobs");
    list.setCategory(JsonValue::Array);
    for (const StoredJob& job : *jobs)
        addMember(list, {}, writeJob(job.record_));
    return writeAnswer(answer);
}

HttpResponse CallerHandler::cancel(const JobId& job, const OrganisationId& organisation)
{
    const Result<StoredJob> found = jobs_.cancel(job, organisation, monotonicNow() + storeTimeout);
    if (!found)
        return writeError(found.error());
    return writeAnswer(writeJob(found->record_), statusAccepted);
}

HttpResponse CallerHandler::explain(const HttpRequest& request, const JobId& job, const OrganisationId& organisation)
{
    const Result<StoredJob> found = jobs_.find(job, organisation, monotonicNow() + storeTimeout);
    if (!found)
        return writeError(found.error());
    JsonValue answer = writeJob(found->record_);
    answer.addValue("explanation", explanations_.explain(found->record_, request));
    return writeAnswer(answer);
}

HttpResponse CallerHandler::forwardToService(const HttpRequest& request, const ServiceId& service, const OrganisationId& organisation)
{
    const Time begin = monotonicNow();
    if (isStopping_) {
        notRun_.add();
        return writeNotRun({ "this instance is stopping", begin });
    }
    const ValidationResult<RequestOptions> options = parseRequestOptions(request, begin);
    if (!options)
        return writeErrors(options.error());
    ServiceRequest routed;
    routed.id_ = RequestId(requestPrefix_ + std::to_string(++requestCount_));
    routed.organisation_ = organisation;
    routed.service_ = service;
    routed.kind_ = options->kind_;
    routed.body_ = request.body_;
    routed.deadline_ = options->deadline_;
    routed.isIdempotent_ = options->isIdempotent_;
    routed.idempotencyKey_ = options->idempotencyKey_;
    const RequestOutcome outcome = router_.route(routed);
    requestTime_.record(monotonicNow() - begin);
    return std::visit(Overloaded {
                          [this](const Answered& answered) {
                              answered_.add();
                              return writeAnswered(answered);
                          },
                          [this](const NotRun& notRun) {
                              notRun_.add();
                              return writeNotRun(notRun);
                          },
                          [this](const OutcomeUnknown& unknown) {
                              unknown_.add();
                              return writeUnknown(unknown);
                          },
                      },
        outcome);
}

}
